package weights

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/manifest"
)

const (
	maxChunks = manifest.MaxChunks
	// maxPeerFetches bounds the concurrent fetches from peers, including those that wait for an
	// upload slot. With fewer, a slow link is idle while a fetch waits for its turn at the sender.
	maxPeerFetches = 6
	// initialPeerFetches is the number of concurrent fetches at the beginning.
	initialPeerFetches = 2
	// expectedFetchTime is how long a fetch takes on a slow link with maxPeerFetches in flight. If
	// fetches take longer, the link to this host is narrower or busy, and the number of concurrent
	// fetches is reduced.
	expectedFetchTime = 350 * time.Millisecond
	// extraDelegateFetches is how many more fetches a delegate may have in flight.
	extraDelegateFetches = 2
	// maxFetchesPerPeer bounds the concurrent fetches from one peer.
	maxFetchesPerPeer = 2
	// rarestSampleSize is how many random chunks are compared to find one with few holders.
	rarestSampleSize = 24
	// minBusyBackoff and maxBusyBackoff bound the wait after a peer rejected a request for a chunk.
	minBusyBackoff = 40 * time.Millisecond
	maxBusyBackoff = 500 * time.Millisecond
)

// scheduleFetches starts as many fetches as the limits allow.
func (b *Burst) scheduleFetches(in step.Input) []step.Effect {
	if b.Manifest == nil || b.complete() {
		return nil
	}
	r := random(in.Rand)
	if b.mode == Direct {
		return b.fetchFromOrigin(in, &r)
	}
	var effects []step.Effect
	if b.mode == Tiers {
		effects = b.fetchAsDelegate(in, &r)
	}
	limit := b.peerFetchLimit(in.Now)
	for b.peerFetches < limit {
		c, p, found := b.pickRarest(in, &r)
		if !found {
			break
		}
		effects = append(effects, b.fetchFromPeer(in, c, p))
	}
	return append(effects, b.fetchFromOrigin(in, &r)...)
}

// peerFetchLimit is the number of concurrent fetches from peers allowed now, at least 1. A burst
// begins with few, because the capacity of the link to this host is not yet known.
func (b *Burst) peerFetchLimit(now time.Time) int {
	limit := min(maxPeerFetches, initialPeerFetches+len(b.arrivalOrder)/2)
	if b.peersReserved(now) {
		return laterPeerFetches
	}
	slowdown := float64(b.timing.peerFetchTime) / float64(expectedFetchTime)
	if slowdown <= 1 {
		return limit
	}
	return max(1, int(float64(limit)/(slowdown*slowdown)))
}

// pickRarest chooses, among some random chunks that a peer of the data centre can send, the one with
// the fewest holders there, and the peer to fetch it from.
func (b *Burst) pickRarest(in step.Input, r *random) (c, from int, found bool) {
	n := b.nearChunks.len()
	if n == 0 {
		return 0, 0, false
	}
	rarest := 0
	start := r.intN(n)
	for k := range min(n, rarestSampleSize) {
		at := (start + k) % n
		if n > rarestSampleSize {
			at = r.intN(n)
		}
		i := b.nearChunks.items[at]
		holders := b.chunks[i].nearHolders
		if found && len(holders) >= rarest {
			continue
		}
		p, ok := b.chooseSender(in, i, holders, r)
		if !ok {
			continue
		}
		c, from, found, rarest = i, p, true, len(holders)
	}
	return c, from, found
}

// chooseSender chooses the available holder of a chunk with the fewest fetches in flight.
func (b *Burst) chooseSender(in step.Input, c int, holders []int, r *random) (int, bool) {
	if in.Now.Before(b.chunks[c].retryAt) || len(holders) == 0 {
		return 0, false
	}
	best, found := 0, false
	start := r.intN(len(holders))
	for k := range holders {
		i := holders[(start+k)%len(holders)]
		p := b.peers[i]
		if !p.available(in.Now) || in.Now.Before(p.busyUntil) || p.inFlight >= maxFetchesPerPeer {
			continue
		}
		if !found || p.inFlight < b.peers[best].inFlight {
			best, found = i, true
		}
	}
	return best, found
}

// fetchAsDelegate fetches chunks from other data centres, as their delegate or in place of a silent
// delegate.
func (b *Burst) fetchAsDelegate(in step.Input, r *random) []step.Effect {
	var effects []step.Effect
	n := b.farChunks.len()
	if n == 0 {
		return nil
	}
	candidates := append([]int(nil), b.farChunks.items...)
	start := r.intN(n)
	limit := b.peerFetchLimit(in.Now)
	if limit > laterPeerFetches || b.rank == 0 {
		limit += extraDelegateFetches
	}
	for k := 0; k < n && b.peerFetches < limit; k++ {
		c := candidates[(start+k)%n]
		if b.available(in, b.chunks[c].nearHolders) {
			continue
		}
		if p, ok := b.chooseSender(in, c, b.permittedHolders(in, c), r); ok {
			effects = append(effects, b.fetchFromPeer(in, c, p))
		}
	}
	return effects
}

// available reports whether one of the holders is available.
func (b *Burst) available(in step.Input, holders []int) bool { return b.availableAt(in.Now, holders) }

func (b *Burst) availableAt(now time.Time, holders []int) bool {
	for _, i := range holders {
		if b.peers[i].available(now) {
			return true
		}
	}
	return false
}

// permittedHolders lists the far holders from which this host may fetch a chunk now. The delegate
// may fetch from them immediately, the next host in rank after the delegate's timeout, and so on.
func (b *Burst) permittedHolders(in step.Input, c int) []int {
	turn := int(in.Now.Sub(b.chunks[c].farSince) / b.timing.delegateTimeout())
	turn = max(turn, b.idleTurns(in))
	var holders []int
	for _, i := range b.chunks[c].farHolders {
		rank := b.ranks[c].place
		if b.peers[i].tier == Fleet {
			rank = b.ranks[c].region
		}
		if int(rank) <= turn {
			holders = append(holders, i)
		}
	}
	return holders
}

// fetchFromPeer starts a fetch from a peer.
func (b *Burst) fetchFromPeer(in step.Input, c, from int) step.Effect {
	b.peers[from].inFlight++
	b.peerFetches++
	return b.startFetch(in, c, chunkFetch{peerIndex: from}, Source(b.peers[from].Address))
}

func (b *Burst) startFetch(in step.Input, c int, f chunkFetch, from Source) step.Effect {
	*b.fetchCount++
	f.id = *b.fetchCount
	f.chunkIndex = c
	f.startedAt = in.Now
	b.inFlight[f.id] = &f
	b.chunks[c].inFlight++
	b.reindex(c)
	return FetchChunk{
		ID: f.id, Ref: b.Ref, Digest: b.Digest, Index: c, Chunk: b.Manifest.Chunks[c], Offset: b.Manifest.Offset(c),
		From: from, Try: b.chunks[c].originFailures, Limit: b.timing.fetchTimeout(f.fromOrigin),
	}
}

// peerFetchFailed handles a failed fetch from a peer.
func (b *Burst) peerFetchFailed(in step.Input, ev ChunkFailed, i int) {
	p := b.peers[i]
	switch ev.Reason {
	case Busy:
		p.recordRefusal(in.Now, max(ev.RetryAfter, b.timing.peerFetchTime/4, minBusyBackoff), 4*b.timing.stallTimeout(false))
	case Corrupt:
		b.Counts.Corrupt++
		b.Counts.Wasted += b.Manifest.Chunks[ev.Index].Size
		p.recordCorruption(in.Now)
	case Missing:
		if ev.Index < len(p.have) {
			p.have[ev.Index] = false
		}
		b.removeHolder(ev.Index, i)
	case NoMemory:
		b.recordMemoryFull(in, ev.Index)
	default:
		p.silentUntil = in.Now.Add(silentBackoff)
	}
}

// recordMemoryFull postpones a chunk for which this host has no free memory.
func (b *Burst) recordMemoryFull(in step.Input, c int) {
	b.blockedBy = code.MemoryTooSmall
	b.chunks[c].retryAt = in.Now.Add(memoryRetryInterval)
}

// recordStalledHolder records the chunk of a stalled fetch from a peer, if no available peer is
// known to have it.
func (b *Burst) recordStalledHolder(in step.Input, f *chunkFetch) {
	c := &b.chunks[f.chunkIndex]
	if f.fromOrigin || b.stalled.has(f.chunkIndex) || b.available(in, c.nearHolders) || b.available(in, c.farHolders) {
		return
	}
	b.stalled.add(f.chunkIndex)
	c.stalledAt = in.Now
}

// peerOfFetch returns the peer of a fetch; nil for a fetch from the origin.
func (b *Burst) peerOfFetch(f *chunkFetch) *peer {
	if f.fromOrigin {
		return nil
	}
	return b.peers[f.peerIndex]
}

// hedge fetches a chunk from a second peer if its fetch has stalled.
func (b *Burst) hedge(in step.Input) []step.Effect {
	var effects []step.Effect
	r := random(in.Rand)
	for _, id := range b.inFlightIDs() {
		f := b.inFlight[id]
		if in.Now.Sub(f.startedAt) < b.timing.stallTimeout(f.fromOrigin) {
			continue
		}
		if p := b.peerOfFetch(f); p != nil && !in.Now.Before(p.stalledUntil) {
			p.recordStall(in.Now)
		}
		c := &b.chunks[f.chunkIndex]
		if c.inFlight > 1 {
			continue
		}
		holders := append(append([]int(nil), c.nearHolders...), b.permittedHolders(in, f.chunkIndex)...)
		p, found := b.chooseSender(in, f.chunkIndex, holders, &r)
		if !found {
			b.recordStalledHolder(in, f)
			continue
		}
		b.Counts.Hedged++
		effects = append(effects, b.fetchFromPeer(in, f.chunkIndex, p))
	}
	return effects
}

func (b *Burst) inFlightIDs() []uint64 {
	ids := make([]uint64, 0, len(b.inFlight))
	for id := range b.inFlight {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
