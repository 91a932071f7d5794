package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// originFetchesPerHost is how many chunks an origin fetcher fetches from the origin at the same
	// time. All fetchers share the origin's link, and a chunk can be passed on only when it is
	// complete. Few concurrent fetches are therefore best.
	originFetchesPerHost = 1
	// swarmOriginFetches and directOriginFetches are the same for the baseline modes.
	swarmOriginFetches  = 2
	directOriginFetches = 4
	// initialOriginBackoff is the wait after the first failure at the origin. It doubles with each
	// failure, up to shortOriginBackoff. It is short because an unavailable origin is usually
	// restarting, and a whole fleet may be waiting for a version that must be in use.
	initialOriginBackoff = 200 * time.Millisecond
	shortOriginBackoff   = time.Second
	// shortBackoffFailures is the number of failures after which the backoff grows further, up to
	// maxOriginBackoff, because the outage is then a long one.
	shortBackoffFailures = 12
	maxOriginBackoff     = 5 * time.Second
	// reportedFailures is the number of consecutive failures from which on operators get a report.
	reportedFailures = 3
	// regionFallbackTurns and placeFallbackTurns are the numbers of idle turns after which the
	// delegates of a region and of a data centre fetch from the origin themselves. This happens, for
	// example, when they reach no origin fetcher.
	regionFallbackTurns = 3
	placeFallbackTurns  = 6
	// firstOriginChunkTimeout is how long the origin may take for the first chunk of a fleet before
	// the fetchers of the origin parts count as silent. It takes into account that all fetchers
	// share the origin's link.
	firstOriginChunkTimeout = 2 * time.Second
	// helloAnswerTimeout is how long a host waits for the answers of its linked peers before it
	// fetches from the origin. If this host has restarted, the peers may already have most chunks.
	helloAnswerTimeout = 150 * time.Millisecond
)

// fetchFromOrigin starts the fetches from the weight store or the origin that this host may make.
func (b *Burst) fetchFromOrigin(in step.Input, r *random) []step.Effect {
	if b.originGone || in.Now.Before(b.originRetryAt) || b.originReserved(in.Now) {
		return nil
	}
	switch b.mode {
	case Direct:
		return b.fetchAnyFromOrigin(in, r, directOriginFetches)
	case Swarm:
		return b.fetchAnyFromOrigin(in, r, swarmOriginFetches)
	}
	if in.Now.Sub(b.startedAt) < helloAnswerTimeout && !b.allLinkedAnswered() {
		return nil
	}
	var effects []step.Effect
	// The parts of which this host is the fetcher come first, then those where it is a standby, by
	// rank.
	for rank := range uint8(candidatesPerPart) {
		for j := range b.originParts {
			if b.originParts[j].rank == rank {
				effects = append(effects, b.fetchPart(in, j)...)
			}
		}
	}
	return append(effects, b.fetchFallback(in)...)
}

// allLinkedAnswered reports whether every linked peer has reported its chunks.
func (b *Burst) allLinkedAnswered() bool {
	for _, p := range b.peers {
		if p.linked && p.have == nil {
			return false
		}
	}
	return true
}

// fetchPart fetches the next chunks of an origin part, as its fetcher or in place of a silent one.
// After a takeover it continues without a new wait for each chunk, until another host is found to
// have a new chunk of the part.
func (b *Burst) fetchPart(in step.Input, j int) []step.Effect {
	part := &b.originParts[j]
	if b.originFetches >= originFetchesPerHost || b.outage.suspends(in.Now, int(part.rank)) {
		return nil
	}
	if !b.tookOverPart[j] && part.rank > 0 && in.Now.Sub(b.partLastActive(j)) < time.Duration(part.rank)*b.partTimeout() {
		return nil
	}
	var effects []step.Effect
	for c := j; c < len(b.chunks) && b.originFetches < originFetchesPerHost; c += len(b.originParts) {
		if b.mayFetchFromOrigin(in, c) {
			b.tookOverPart[j] = part.rank > 0
			effects = append(effects, b.fetchChunkFromOrigin(in, c))
		}
	}
	return effects
}

func (b *Burst) mayFetchFromOrigin(in step.Input, c int) bool {
	chunk := &b.chunks[c]
	inFlight := chunk.inFlight
	if inFlight == 1 && b.stalled.has(c) {
		inFlight = 0 // The stalled fetch is not cancelled, because it may only be slow.
	}
	if chunk.have || inFlight > 0 || in.Now.Before(chunk.retryAt) {
		return false
	}
	return !b.available(in, chunk.nearHolders) && !b.available(in, chunk.farHolders)
}

// partTimeout is how long an origin fetcher may be silent before the next candidate takes over.
func (b *Burst) partTimeout() time.Duration {
	if b.Policy == setting.OriginFirst {
		return min(max(6*b.timing.partGap, time.Second), 5*time.Second)
	}
	return min(max(3*b.timing.partGap, 300*time.Millisecond), 5*time.Second)
}

// recordPartChunk records that a chunk of an origin part has come from the origin to some host.
func (b *Burst) recordPartChunk(in step.Input, c int) {
	if len(b.originParts) == 0 {
		return
	}
	j := c % len(b.originParts)
	if b.firstOriginChunkAt.IsZero() {
		b.firstOriginChunkAt = in.Now
	}
	if b.originParts[j].rank == maxRank {
		return
	}
	for len(b.partActiveAt) <= j {
		b.partActiveAt = append(b.partActiveAt, b.startedAt)
	}
	b.timing.addPartGap(in.Now.Sub(b.partActiveAt[j]))
	b.partActiveAt[j] = in.Now
}

// partLastActive is the time from which the silence of the part's fetcher is counted. While no chunk
// of any part has arrived, the silence is due to the origin and not to one fetcher: all fetch their
// first chunks at the same time, over one link. An outage also silences the fetchers of all parts,
// so the time starts again when it ends.
func (b *Burst) partLastActive(j int) time.Time {
	active := b.firstOriginChunkAt
	if active.IsZero() {
		active = b.startedAt.Add(firstOriginChunkTimeout)
	}
	if j < len(b.partActiveAt) && b.partActiveAt[j].After(active) {
		active = b.partActiveAt[j]
	}
	if b.outage.endedAt.After(active) {
		return b.outage.endedAt
	}
	return active
}

// fetchFallback fetches chunks that no reachable host has, after a long time without progress.
// After the first such fetch it continues without a new wait for each chunk, until a chunk arrives
// from another data centre or becomes available there, or a fetch from the origin fails. Chunks
// whose only holder stalled are fetched sooner.
func (b *Burst) fetchFallback(in step.Input) []step.Effect {
	if b.originFetches >= originFetchesPerHost || b.outage.suspends(in.Now, candidatesPerPart) {
		return nil
	}
	for _, c := range b.stalled.items {
		waited := in.Now.Sub(b.chunks[c].stalledAt)
		if b.mayFallBack(c, int(waited/b.timing.delegateTimeout())+regionFallbackTurns-1) && b.mayFetchFromOrigin(in, c) {
			return []step.Effect{b.fetchChunkFromOrigin(in, c)}
		}
	}
	turns := max(b.idleTurns(in), b.fallbackTurns)
	if turns < regionFallbackTurns {
		return nil
	}
	for _, c := range b.missing.items {
		if b.mayFallBack(c, turns) && b.mayFetchFromOrigin(in, c) {
			b.fallbackTurns = turns
			return []step.Effect{b.fetchChunkFromOrigin(in, c)}
		}
	}
	return nil
}

// mayFallBack reports whether this host may fetch a chunk from the origin after the given number of
// idle turns.
func (b *Burst) mayFallBack(c, turns int) bool {
	return int(b.ranks[c].region)+regionFallbackTurns <= turns || int(b.ranks[c].place)+placeFallbackTurns <= turns
}

// fetchAnyFromOrigin fetches random missing chunks, at most limit at the same time. The baseline
// modes use it.
func (b *Burst) fetchAnyFromOrigin(in step.Input, r *random, limit int) []step.Effect {
	var effects []step.Effect
	n := b.missing.len()
	start := r.intN(n)
	items := append([]int(nil), b.missing.items...)
	for k := 0; k < n && b.originFetches < limit; k++ {
		if c := items[(start+k)%n]; b.mayFetchFromOrigin(in, c) {
			effects = append(effects, b.fetchChunkFromOrigin(in, c))
		}
	}
	return effects
}

func (b *Burst) fetchChunkFromOrigin(in step.Input, c int) step.Effect {
	b.originFetches++
	return b.startFetch(in, c, chunkFetch{fromOrigin: true}, Origin)
}

// originFetchFailed handles a failed fetch from the origin.
func (b *Burst) originFetchFailed(in step.Input, ev ChunkFailed) {
	c := &b.chunks[ev.Index]
	switch ev.Reason {
	case Busy:
		b.originRetryAt = in.Now.Add(max(ev.RetryAfter, initialOriginBackoff))
		return
	case NoMemory:
		b.recordMemoryFull(in, ev.Index)
		return
	case Gone:
		b.originGone = true
		return
	case Corrupt, Changed:
		b.Counts.Corrupt++
		b.Counts.Wasted += b.Manifest.Chunks[ev.Index].Size
		c.originFailures++
		c.retryAt = in.Now.Add(originBackoff(c.originFailures))
		b.recordCorruptOrigin(ev.Reason, c)
		return
	}
	c.originFailures++
	b.originFailures++
	wait := originBackoff(b.originFailures)
	r := random(in.Rand)
	b.originRetryAt = in.Now.Add(wait/2 + time.Duration(r.intN(int(wait/2))))
	b.outage.recordOwnFailure(in.Now)
	b.fallbackTurns = 0
	clear(b.tookOverPart)
	if b.originFailures >= reportedFailures {
		b.blockedBy = code.SourceUnavailable
	}
}

func (b *Burst) recordCorruptOrigin(why Reason, c *chunk) {
	if why == Changed {
		b.blockedBy = code.SourceChanged
		return
	}
	if c.originFailures >= reportedFailures {
		b.blockedBy = code.ChunkCorrupt
	}
}

func originBackoff(failures int) time.Duration {
	if failures <= shortBackoffFailures {
		return min(initialOriginBackoff<<min(failures-1, 8), shortOriginBackoff)
	}
	return min(shortOriginBackoff<<min(failures-shortBackoffFailures, 8), maxOriginBackoff)
}
