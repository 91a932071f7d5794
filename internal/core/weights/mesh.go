package weights

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// chosenLinks is how many peers a host chooses itself to link to. Other peers link to it by their
	// own choice.
	chosenLinks = 5
	// maxLinks bounds the linked peers, both those that this host chose and those that chose this host.
	maxLinks = 16
	// helloRetryInterval is the wait before a hello is repeated to a peer that did not answer.
	helloRetryInterval = time.Second
	// silentBackoff is how long nothing is fetched from a peer that did not answer.
	silentBackoff = 2 * time.Second
)

// setPeers updates the hosts that want the version.
func (b *Burst) setPeers(in step.Input, list []Peer) []step.Effect {
	changed := len(b.originParts) == 0
	listed := make(map[string]bool, len(list))
	for _, p := range list {
		listed[p.Address] = true
		changed = b.addPeer(p) || changed
	}
	for i, p := range b.peers {
		if p.listed && !listed[p.Address] {
			changed = true
			b.unlist(i)
		}
	}
	if changed {
		b.cachedGroups = nil
		b.chooseLinks()
		b.rankChunks()
	}
	for _, address := range b.earlyPeers {
		b.linkTo(address)
	}
	b.earlyPeers = nil
	if b.Manifest == nil {
		return append(b.sendHellos(in), b.requestManifest(in)...)
	}
	return append(b.sendHellos(in), b.scheduleFetches(in)...)
}

// addPeer adds or updates a host. It reports whether anything changed.
func (b *Burst) addPeer(p Peer) bool {
	i, known := b.index[p.Address]
	if !known {
		i = len(b.peers)
		b.index[p.Address] = i
		b.peers = append(b.peers, &peer{hash: hostHash(p.Address)})
	}
	other := b.peers[i]
	if other.listed && other.Peer == p {
		return false
	}
	other.Peer = p
	other.listed = true
	other.tier = b.distance(p)
	return true
}

func (b *Burst) distance(p Peer) Tier {
	switch {
	case b.mode != Tiers || p.Place == b.self.Place:
		return Place
	case p.Region == b.self.Region:
		return Region
	}
	return Fleet
}

func (b *Burst) unlist(i int) {
	p := b.peers[i]
	p.listed = false
	p.linked = false
	b.forgetChunks(i)
}

// forgetChunks discards what is known about the chunks of a peer.
func (b *Burst) forgetChunks(i int) {
	for c, has := range b.peers[i].have {
		if has && c < len(b.chunks) {
			b.removeHolder(c, i)
		}
	}
	b.peers[i].have = nil
}

func (b *Burst) removeHolder(c, i int) {
	b.chunks[c].nearHolders = without(b.chunks[c].nearHolders, i)
	b.chunks[c].farHolders = without(b.chunks[c].farHolders, i)
	b.reindex(c)
}

func without(list []int, item int) []int {
	for k, v := range list {
		if v == item {
			return append(list[:k], list[k+1:]...)
		}
	}
	return list
}

// chooseLinks selects linked peers among the hosts of the data centre by rendezvous hashing. The
// selection is stable when other hosts come and go.
func (b *Burst) chooseLinks() {
	if b.mode == Direct {
		return
	}
	key := mix(b.selfHash ^ xxhash.Sum64String(b.Digest))
	for _, i := range b.topRanked(key, chosenLinks, func(i int) bool { return i != selfIndex && b.peers[i].tier == Place }) {
		p := b.peers[i]
		if !p.linked {
			p.linked = true
			p.helloDue = true
		}
	}
}

// linkTo links a peer that sent a hello.
func (b *Burst) linkTo(address string) {
	i, known := b.index[address]
	if !known || b.peers[i].linked || b.linkCount() >= maxLinks {
		return
	}
	b.peers[i].linked = true
	b.peers[i].announced = len(b.arrivalOrder)
}

func (b *Burst) linkCount() int {
	n := 0
	for _, p := range b.peers {
		if p.linked {
			n++
		}
	}
	return n
}

// sendHellos sends the hellos that are due.
func (b *Burst) sendHellos(in step.Input) []step.Effect {
	var effects []step.Effect
	for _, p := range b.peers {
		if !p.helloDue || !p.listed || in.Now.Before(p.nextHello) {
			continue
		}
		p.helloDue = false
		p.nextHello = in.Now.Add(helloRetryInterval)
		p.announced = len(b.arrivalOrder)
		effects = append(effects, Announce{Digest: b.Digest, To: p.Address, Hello: true, OriginFailed: b.outage.failureReport(in.Now)})
	}
	return effects
}

func (b *Burst) peerHas(in step.Input, ev PeerHas) []step.Effect {
	i, known := b.index[ev.From]
	if !known {
		return nil // The peer is not in the host list yet. It gets a hello when it is.
	}
	p := b.peers[i]
	p.silentUntil = time.Time{}
	b.outage.recordPeerFailure(in.Now, ev.From, ev.OriginFailed)
	if ev.Hello {
		b.linkTo(ev.From)
	}
	if ev.All == nil && p.have == nil && p.tier == Place && len(ev.New) > 0 && !p.helloDue {
		// Announcements without a full list mean that this host restarted and lost the list.
		p.helloDue = true
	}
	useful := b.recordHeldChunks(in, i, ev.All)
	for _, c := range ev.New {
		useful = b.recordHeldChunk(in, i, c) || useful
	}
	if b.Manifest == nil {
		return b.requestManifestFrom(in, p, ev)
	}
	if !useful {
		return nil
	}
	return b.scheduleFetches(in)
}

// requestManifestFrom fetches the manifest from a peer that has it.
func (b *Burst) requestManifestFrom(in step.Input, p *peer, ev PeerHas) []step.Effect {
	if ev.All == nil && ev.New == nil || b.blockedBy == code.MemoryTooSmall || in.Now.Before(b.nextPeerManifest) {
		return nil
	}
	b.nextPeerManifest = in.Now.Add(manifestRetryInterval / 2)
	return []step.Effect{FetchManifest{Ref: b.Ref, Digest: b.Digest, From: Source(p.Address)}}
}

func (b *Burst) recordHeldChunks(in step.Input, i int, all []bool) bool {
	useful := false
	for c, has := range all {
		if has {
			useful = b.recordHeldChunk(in, i, c) || useful
		}
	}
	if all != nil && b.peers[i].have == nil {
		b.peers[i].have = make([]bool, len(all))
	}
	return useful
}

// recordHeldChunk records that a peer has a chunk. It reports whether the peer is a new holder of a
// chunk that this host lacks.
func (b *Burst) recordHeldChunk(in step.Input, i, c int) bool {
	p := b.peers[i]
	if c < 0 || (b.Manifest != nil && c >= len(b.chunks)) || c >= maxChunks {
		return false
	}
	for c >= len(p.have) {
		p.have = append(p.have, false)
	}
	if p.have[c] {
		return false
	}
	p.have[c] = true
	if b.Manifest == nil {
		return false
	}
	return b.addHolder(in, i, c)
}

// addHolder records that a peer has a chunk. A chunk that no host was known to have must have come
// from the origin.
func (b *Burst) addHolder(in step.Input, i, c int) bool {
	chunk := &b.chunks[c]
	if len(chunk.nearHolders)+len(chunk.farHolders) == 0 && !chunk.have {
		b.recordOriginChunk(in.Now, false)
		b.lastOriginProgress = in.Now
		b.recordPartChunk(in, c)
		delete(b.tookOverPart, c%originPartCount)
	}
	if b.peers[i].tier == Place {
		chunk.nearHolders = append(chunk.nearHolders, i)
	} else {
		chunk.farHolders = append(chunk.farHolders, i)
		b.fallbackTurns = 0
		if chunk.farSince.IsZero() {
			chunk.farSince = in.Now
		}
	}
	if chunk.have {
		return false
	}
	b.reindex(c)
	b.timing.progressed(in.Now)
	return true
}

// peerSilent stops asking a peer for some time. A linked peer gets another hello, because it may have
// restarted.
func (b *Burst) peerSilent(in step.Input, address string) []step.Effect {
	i, known := b.index[address]
	if !known {
		return nil
	}
	p := b.peers[i]
	p.silentUntil = in.Now.Add(silentBackoff)
	if p.linked {
		p.helloDue = true
		p.nextHello = in.Now.Add(helloRetryInterval)
	}
	return nil
}
