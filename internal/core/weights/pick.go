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
	// maxAtPeers bounds the fetches from peers at once, those that wait for an upload slot included. With fewer a
	// slow link carries nothing while a fetch waits for its turn at the sender.
	maxAtPeers = 6
	// firstAtPeers is how many are made at once at the beginning.
	firstAtPeers = 2
	// usualFetch is how long a fetch takes with all of these under way on such links. Where fetches take longer, the link to this
	// host is narrower or busy, and fewer are made at once.
	usualFetch = 350 * time.Millisecond
	// maxCrossing is how many more a delegate may have under way.
	maxCrossing = 2
	// maxPerPeer bounds the fetches from one peer at once.
	maxPerPeer = 2
	// samples is how many chunks are looked at to find a rare one.
	samples = 24
	// busyAtLeast and busyAtMost bound the wait after a peer refused an upload.
	busyAtLeast = 40 * time.Millisecond
	busyAtMost  = 500 * time.Millisecond
)

// fetch fills the free places for fetches.
func (b *Burst) fetch(in step.Input) []step.Effect {
	if b.Manifest == nil || b.complete() {
		return nil
	}
	r := random(in.Rand)
	if b.mode == Direct {
		return b.draw(in, &r)
	}
	var effects []step.Effect
	if b.mode == Tiers {
		effects = b.cross(in, &r)
	}
	for b.atPeers < b.fetchesAtOnce() {
		c, p, found := b.pick(in, &r)
		if !found {
			break
		}
		effects = append(effects, b.take(in, c, p))
	}
	return append(effects, b.draw(in, &r)...)
}

// fetchesAtOnce is how many fetches from peers may be under way, 1 at least. A burst begins with few, since nothing is known yet of
// how much the link to this host carries.
func (b *Burst) fetchesAtOnce() int {
	most := min(maxAtPeers, firstAtPeers+len(b.order)/2)
	slower := float64(b.pace.fetch) / float64(usualFetch)
	if slower <= 1 {
		return most
	}
	return max(1, int(float64(most)/(slower*slower)))
}

// pick chooses the rarest among some random chunks that a neighbour can send.
func (b *Burst) pick(in step.Input, r *random) (c, from int, found bool) {
	n := b.ready.len()
	if n == 0 {
		return 0, 0, false
	}
	rarest := 0
	start := r.below(n)
	for k := range min(n, samples) {
		at := (start + k) % n
		if n > samples {
			at = r.below(n)
		}
		i := b.ready.items[at]
		holders := b.chunks[i].near
		if found && len(holders) >= rarest {
			continue
		}
		p, ok := b.sender(in, i, holders, r)
		if !ok {
			continue
		}
		c, from, found, rarest = i, p, true, len(holders)
	}
	return c, from, found
}

// sender chooses among a chunk's holders the one from which the least is under way.
func (b *Burst) sender(in step.Input, c int, holders []int, r *random) (int, bool) {
	if in.Now.Before(b.chunks[c].notAgain) || len(holders) == 0 {
		return 0, false
	}
	best, found := 0, false
	start := r.below(len(holders))
	for k := range holders {
		i := holders[(start+k)%len(holders)]
		p := b.peers[i]
		if !p.answers(in.Now) || in.Now.Before(p.busyUntil) || p.outstanding >= maxPerPeer {
			continue
		}
		if !found || p.outstanding < b.peers[best].outstanding {
			best, found = i, true
		}
	}
	return best, found
}

// cross takes chunks from other places as their delegate, or in place of a delegate that is silent.
func (b *Burst) cross(in step.Input, r *random) []step.Effect {
	var effects []step.Effect
	n := b.outer.len()
	if n == 0 {
		return nil
	}
	candidates := append([]int(nil), b.outer.items...)
	start := r.below(n)
	for k := 0; k < n && b.atPeers < b.fetchesAtOnce()+maxCrossing; k++ {
		c := candidates[(start+k)%n]
		if b.held(in, b.chunks[c].near) {
			continue
		}
		if p, ok := b.sender(in, c, b.permitted(in, c), r); ok {
			effects = append(effects, b.take(in, c, p))
		}
	}
	return effects
}

// held tells whether one of the holders can be counted on.
func (b *Burst) held(in step.Input, holders []int) bool { return b.heldAt(in.Now, holders) }

func (b *Burst) heldAt(now time.Time, holders []int) bool {
	for _, i := range holders {
		if b.peers[i].answers(now) {
			return true
		}
	}
	return false
}

// permitted lists the far holders from which this host may take a chunk: as the delegate at once, as the next in
// rank after the delegate's patience is over, and so on.
func (b *Burst) permitted(in step.Input, c int) []int {
	turn := int(in.Now.Sub(b.chunks[c].farSince) / b.pace.patience())
	turn = max(turn, b.idleTurns(in))
	var holders []int
	for _, i := range b.chunks[c].far {
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

// take starts a fetch from a peer.
func (b *Burst) take(in step.Input, c, from int) step.Effect {
	b.peers[from].outstanding++
	b.atPeers++
	return b.launch(in, c, flight{peer: from}, Source(b.peers[from].Address))
}

func (b *Burst) launch(in step.Input, c int, f flight, from Source) step.Effect {
	*b.fetches++
	f.id = *b.fetches
	f.chunk = c
	f.started = in.Now
	b.flights[f.id] = &f
	b.chunks[c].flights++
	b.sort(c)
	return FetchChunk{
		ID: f.id, Ref: b.Ref, Digest: b.Digest, Index: c, Chunk: b.Manifest.Chunks[c], Offset: b.Manifest.Offset(c),
		From: from, Try: b.chunks[c].failures, Limit: b.pace.limit(f.origin),
	}
}

// peerFailed draws the consequences of a fetch from a peer that failed.
func (b *Burst) peerFailed(in step.Input, ev ChunkFailed, i int) {
	p := b.peers[i]
	switch ev.Reason {
	case Busy:
		p.refused(in.Now, max(ev.RetryAfter, b.pace.fetch/4, busyAtLeast), 4*b.pace.stall(false))
	case Corrupt:
		b.Counts.Corrupt++
		b.Counts.Wasted += b.Manifest.Chunks[ev.Index].Size
		p.distrust(in.Now)
	case Missing:
		if ev.Index < len(p.have) {
			p.have[ev.Index] = false
		}
		b.removeHolder(ev.Index, i)
	case NoMemory:
		b.noMemory(in, ev.Index)
	default:
		p.silentUntil = in.Now.Add(silentFor)
	}
}

// noMemory puts a chunk off that this host has no room for.
func (b *Burst) noMemory(in step.Input, c int) {
	b.trouble = code.MemoryTooSmall
	b.chunks[c].notAgain = in.Now.Add(memoryPatience)
}

// onlyHolderStalls notes a chunk that nobody else is known to have.
func (b *Burst) onlyHolderStalls(in step.Input, f *flight) {
	c := &b.chunks[f.chunk]
	if f.origin || b.stalled.has(f.chunk) || b.held(in, c.near) || b.held(in, c.far) {
		return
	}
	b.stalled.add(f.chunk)
	c.stalledAt = in.Now
}

// peerOf returns the peer of a fetch, nil for one from the origin.
func (b *Burst) peerOf(f *flight) *peer {
	if f.origin {
		return nil
	}
	return b.peers[f.peer]
}

// hedge asks a second sender for a chunk that is long under way.
func (b *Burst) hedge(in step.Input) []step.Effect {
	var effects []step.Effect
	r := random(in.Rand)
	for _, id := range b.flightIDs() {
		f := b.flights[id]
		if in.Now.Sub(f.started) < b.pace.stall(f.origin) {
			continue
		}
		if p := b.peerOf(f); p != nil && !in.Now.Before(p.slowUntil) {
			p.slow(in.Now)
		}
		c := &b.chunks[f.chunk]
		if c.flights > 1 {
			continue
		}
		holders := append(append([]int(nil), c.near...), b.permitted(in, f.chunk)...)
		p, found := b.sender(in, f.chunk, holders, &r)
		if !found {
			b.onlyHolderStalls(in, f)
			continue
		}
		b.Counts.Hedged++
		effects = append(effects, b.take(in, f.chunk, p))
	}
	return effects
}

func (b *Burst) flightIDs() []uint64 {
	ids := make([]uint64, 0, len(b.flights))
	for id := range b.flights {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}
