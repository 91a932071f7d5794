package weights

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// announcementsPerVersion is the approximate number of announcements to each linked peer during
	// the transfer of a version.
	announcementsPerVersion = 80
	// minAnnounceInterval and maxAnnounceInterval bound the time between two announcements.
	minAnnounceInterval = 50 * time.Millisecond
	maxAnnounceInterval = 500 * time.Millisecond
)

// announceIfDue announces immediately if the announcement interval has passed or the version is
// complete. Otherwise a later tick announces.
func (b *Burst) announceIfDue(in step.Input) []step.Effect {
	if in.Now.Before(b.nextAnnounce) && !b.complete() {
		return nil
	}
	return b.announce(in)
}

// announce sends linked peers the chunks that arrived since the last announcement, and sends other
// peers the chunks queued for them.
func (b *Burst) announce(in step.Input) []step.Effect {
	if in.Now.Before(b.nextAnnounce) && !b.complete() {
		return nil
	}
	b.nextAnnounce = in.Now.Add(b.announceInterval())
	var effects []step.Effect
	for i, p := range b.peers {
		if !p.linked && len(b.pendingAnnouncements[i]) == 0 {
			continue
		}
		chunks := b.newChunksFor(i)
		if len(chunks) == 0 || !p.listed || in.Now.Before(p.silentUntil) {
			continue
		}
		p.announced = len(b.arrivalOrder)
		effects = append(effects, Announce{Digest: b.Digest, To: p.Address, New: chunks})
	}
	b.pendingAnnouncements = map[int][]int{}
	return effects
}

// newChunksFor lists the chunks to announce to a peer, without those that it is known to have.
func (b *Burst) newChunksFor(i int) []int {
	p := b.peers[i]
	chunks := append([]int(nil), b.pendingAnnouncements[i]...)
	if p.linked {
		for _, c := range b.arrivalOrder[p.announced:] {
			if c >= len(p.have) || !p.have[c] {
				chunks = append(chunks, c)
			}
		}
	}
	sort.Ints(chunks)
	return chunks
}

// queueForDelegates queues announcements of a chunk that came from another data centre or from the
// origin to the delegates elsewhere.
func (b *Burst) queueForDelegates(c int, from Tier) {
	for _, i := range b.delegates(c, from) {
		b.queueForPeer(i, c)
	}
}

// queueForCandidates queues announcements of a chunk to the other candidates for its origin part,
// which would fetch the part if this host were silent.
func (b *Burst) queueForCandidates(c int) {
	if b.mode != Tiers {
		return
	}
	for _, i := range b.originParts[c%len(b.originParts)].candidates {
		b.queueForPeer(i, c)
	}
}

func (b *Burst) queueForPeer(i, c int) {
	if i == selfIndex || b.peers[i].linked {
		return
	}
	for _, queued := range b.pendingAnnouncements[i] {
		if queued == c {
			return
		}
	}
	b.pendingAnnouncements[i] = append(b.pendingAnnouncements[i], c)
}
