package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// initialFetchTime and initialPartGap are the assumed duration of a fetch and the assumed time
	// between two chunks of an origin part, before any measurement.
	initialFetchTime = 250 * time.Millisecond
	initialPartGap   = 500 * time.Millisecond
	// initialChunkGap is the assumed time between two chunks, before any measurement.
	initialChunkGap = 50 * time.Millisecond
	// minDelegateTimeout and maxDelegateTimeout bound the wait for a delegate.
	minDelegateTimeout = 400 * time.Millisecond
	maxDelegateTimeout = 10 * time.Second
	// maxIdleTurn bounds the length of an idle turn. Each wait increases the mean time between chunks
	// and thereby the next wait, so the bound must be well below the time that a person would wait.
	maxIdleTurn = 2 * time.Second
	// minPeerStallTimeout and minOriginStallTimeout are the minimum times after which a fetch
	// counts as stalled.
	minPeerStallTimeout   = 500 * time.Millisecond
	minOriginStallTimeout = 3 * time.Second
	// minFetchTimeout and maxFetchTimeout bound the timeout of one fetch.
	minFetchTimeout = 5 * time.Second
	maxFetchTimeout = time.Minute
	// pastWeight is the weight of the previous mean in a running mean, out of 8; a sample has the
	// rest.
	pastWeight = 7
)

// timing measures how fast a burst proceeds. The timeouts for other hosts are derived from it.
type timing struct {
	// peerFetchTime, originFetchTime and partGap are running means of the duration of a fetch from
	// a peer, of a fetch from the origin, and of the time between two chunks of one origin part.
	peerFetchTime, originFetchTime, partGap time.Duration
	// chunkGap is the running mean of the time between two chunks.
	chunkGap time.Duration
	// lastProgress is when a missing chunk last arrived or became available at a peer; lastChunk is
	// when a chunk last arrived.
	lastProgress, lastChunk time.Time
}

func newTiming(now time.Time) timing {
	return timing{peerFetchTime: initialFetchTime, originFetchTime: initialFetchTime, partGap: initialPartGap, chunkGap: initialChunkGap, lastProgress: now, lastChunk: now}
}

func smooth(mean *time.Duration, sample time.Duration) {
	*mean = (*mean*pastWeight + sample) / (pastWeight + 1)
}

// addGap updates the mean chunkGap with the time since the last chunk, at most twice the mean.
// Callers skip it after a long wait: timeouts that grow with the waits they cause would grow without
// bound.
func (t *timing) addGap(now time.Time) { smooth(&t.chunkGap, min(now.Sub(t.lastChunk), 2*t.chunkGap)) }

// addChunk records a chunk that arrived.
func (t *timing) addChunk(now time.Time, took time.Duration, from Tier) {
	t.lastChunk = now
	if from == FromOrigin {
		smooth(&t.originFetchTime, took)
	} else {
		smooth(&t.peerFetchTime, took)
	}
	t.lastProgress = now
}

// progressed records that a missing chunk became available at a peer.
func (t *timing) progressed(now time.Time) { t.lastProgress = now }

func (t *timing) addPartGap(took time.Duration) { smooth(&t.partGap, min(took, 2*t.partGap)) }

// delegateTimeout is how long a delegate may take to fetch a chunk that was announced to it.
func (t *timing) delegateTimeout() time.Duration {
	return min(max(4*t.peerFetchTime, minDelegateTimeout), maxDelegateTimeout)
}

// stallTimeout is the time after which a fetch counts as stalled.
func (t *timing) stallTimeout(origin bool) time.Duration {
	if origin {
		return max(4*t.originFetchTime, minOriginStallTimeout)
	}
	return max(4*t.peerFetchTime, minPeerStallTimeout)
}

// fetchTimeout is the time after which a fetch is abandoned.
func (t *timing) fetchTimeout(origin bool) time.Duration {
	mean := t.peerFetchTime
	if origin {
		mean = t.originFetchTime
	}
	return min(max(20*mean, minFetchTimeout), maxFetchTimeout)
}

// announceInterval is the time between two announcements. It is a fixed part of the time that the
// whole version takes, so the number of announcements does not depend on the length of the burst.
func (b *Burst) announceInterval() time.Duration {
	whole := b.timing.chunkGap * time.Duration(len(b.chunks))
	return min(max(whole/announcementsPerVersion, minAnnounceInterval), maxAnnounceInterval)
}

// idleTurns is the number of idle turns that have passed without progress. A turn is a small
// multiple of the typical fetch time or of the time between chunks.
func (b *Burst) idleTurns(in step.Input) int {
	idle := in.Now.Sub(b.timing.lastProgress)
	turn := min(max(4*b.timing.peerFetchTime, 6*b.timing.chunkGap, minDelegateTimeout), maxIdleTurn)
	return int(idle / turn)
}

// pollPeers asks one random host of each tier for its chunks when there was no progress for a
// while.
func (b *Burst) pollPeers(in step.Input) []step.Effect {
	if b.mode == Direct || b.idleTurns(in) < 1 || in.Now.Before(b.nextPoll) {
		return nil
	}
	b.nextPoll = in.Now.Add(minDelegateTimeout)
	r := random(in.Rand)
	var effects []step.Effect
	for tier := Place; tier < FromOrigin; tier++ {
		if p := b.randomPeer(tier, &r); p != nil {
			p.announced = len(b.arrivalOrder)
			effects = append(effects, Announce{Digest: b.Digest, To: p.Address, Hello: true, OriginFailed: b.outage.failureReport(in.Now)})
		}
	}
	return effects
}

func (b *Burst) randomPeer(tier Tier, r *random) *peer {
	if len(b.peers) == 0 {
		return nil
	}
	start := r.intN(len(b.peers))
	for k := range b.peers {
		p := b.peers[(start+k)%len(b.peers)]
		if p.listed && p.tier == tier {
			return p
		}
	}
	return nil
}
