package forward

import (
	"fmt"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// quietAfter is how long after its agent's last word an engine is used only when no other can be: the host may be frozen or
	// cut off. It is a little more than the longest time between two words of an agent that is well, which is shorter in this data centre.
	quietAfter = 1200 * time.Millisecond
	quietNear  = 700 * time.Millisecond
	// overdueQuiet is the same for an engine that keeps a request waiting beyond its latency objective: the load of an engine that works
	// changes with each request, and its agent tells that within 400 ms.
	overdueQuiet = 500 * time.Millisecond
	// fewHeard is how many engines an entry must hear of for these to tell of the others: when all of them are without the weights, so
	// are most likely those of which nobody tells, whatever the store still says of them.
	fewHeard = 8
	// mostChoices bounds how many of the nearest upstreams are looked at for a request; see pick.
	mostChoices = 4
)

// found tells how the search for an upstream ended.
type found int

const (
	none found = iota
	full
	room
)

// pick chooses an upstream with room: of the nearest ones some at random, and of these the one that will answer soonest. The
// entries see the same loads a little late; if each took the least loaded of all, they would take the same one.
//
// An engine of which nobody tells is used when those that are told of are full, until one such turns a request away or keeps it waiting: then
// the whole fleet is likely to be full; see mayBlind. One whose agent fell silent is used when no other can be, full or not: a request that waits for
// a place is answered sooner than one that is with a frozen host. Neither is used when enough are heard of that could take nothing
// even if they were not full; see fewHeard.
func (s *State) pick(in step.Input, r *request) (*catalog.Upstream, found) {
	p := s.pools(in, r)
	switch {
	case p.known.found < room && p.ending.found == room:
		return p.ending.best(in.Now, r)
	case p.known.found == none && p.heard >= fewHeard:
		return nil, none
	case p.known.found < room && p.strangers.found > none && s.mayBlind(in.Now, &p.known):
		return p.strangers.best(in.Now, r)
	case p.known.found == none:
		return p.quiet.best(in.Now, r)
	}
	return p.known.best(in.Now, r)
}

// pools are the upstreams that could take a request, by how much is known of them.
type pools struct {
	// known are those that an agent tells of, and those that need none; the agents of quiet ones fell silent, and nobody tells of strangers.
	known, quiet, strangers choice
	// ending are those with a version that the request may begin on for a moment more; see lastVersion.
	ending choice
	// heard counts the upstreams whose agents are heard, whatever these say, of those that were looked at.
	heard int
}

// pools looks at the upstreams that a request may go to, the nearest first, as far as farther ones could change what is chosen.
func (s *State) pools(in step.Input, r *request) pools {
	p := pools{known: s.noChoice(), quiet: s.noChoice(), strangers: s.noChoice(), ending: s.noChoice()}
	required, last := s.requiredVersion(in.Now, r.model), s.lastVersion(in.Now, r)
	wait := s.waitFor(r)
	for _, t := range s.targetsFor(in.Now, r) {
		if p.known.settled(t.distance) {
			break
		}
		if t.load.heard(in.Now) {
			p.heard++
		}
		switch {
		case t.usable(in.Now, r, required):
			p.of(t, in.Now).consider(in, t, r)
		case last < required && !t.quiet(in.Now) && t.usable(in.Now, r, last):
			p.ending.consider(in, t, r)
		case t.loading(in.Now, r) || t.backSoon(in.Now, wait):
			p.known.found = max(p.known.found, full)
		}
	}
	return p
}

// of is the pool that a usable upstream belongs to.
func (p *pools) of(t *target, now time.Time) *choice {
	switch {
	case t.stranger():
		return &p.strangers
	case t.quiet(now):
		return &p.quiet
	}
	return &p.known
}

// candidate is an upstream with room for a request.
type candidate struct {
	*target
	// tie orders upstreams in another way for each request.
	tie uint64
}

// quiet tells whether the engine's agent has said nothing for so long that its host may be frozen or cut off.
func (t *target) quiet(now time.Time) bool {
	if t.load.toldAt.IsZero() {
		return false
	}
	silence, usual := now.Sub(t.load.toldAt), quietAfter
	if t.distance == 0 {
		usual = quietNear
	}
	return silence > usual || t.load.overdue > 0 && silence > overdueQuiet
}

// nearer tells whether c is to be used before o whatever their loads: engines that are late or slow come after those that are neither.
func (c candidate) nearer(o candidate) bool {
	if late, otherLate := c.load.overdue > 0, o.load.overdue > 0; late != otherLate {
		return otherLate
	}
	if slow, otherSlow := c.slow(), o.slow(); slow != otherSlow {
		return otherSlow
	}
	return c.distance < o.distance
}

// cost grows with the time to the first event.
func (c candidate) cost(now time.Time, r *request) float64 {
	return float64(c.occupied(now, r))/float64(c.limit(r)) + float64(c.load.reading)/c.readBound()
}

// choice draws some of the nearest upstreams with room: those whose tie is the smallest.
type choice struct {
	found found
	// busy is set when one that could take the request is full.
	busy  bool
	drawn [mostChoices]candidate
	n     int
	// most is how many are drawn.
	most int
}

// noChoice is a choice of which nothing was considered.
func (s *State) noChoice() choice { return choice{most: s.Self.Policy.Choices} }

// consider takes an upstream that could take a request: among those that are drawn from, or as one that is full.
func (h *choice) consider(in step.Input, t *target, r *request) {
	if !t.hasRoom(in.Now, r) {
		h.found, h.busy = max(h.found, full), true
		return
	}
	h.draw(candidate{target: t, tie: mix(t.hash ^ in.Rand)})
}

// draw draws from one more upstream with room.
func (h *choice) draw(c candidate) {
	h.found = room
	if h.n > 0 && h.drawn[0].nearer(c) {
		return
	}
	if h.n > 0 && c.nearer(h.drawn[0]) {
		h.n = 0
	}
	if h.n < h.most {
		h.drawn[h.n] = c
		h.n++
		return
	}
	last := 0
	for i := range h.drawn[:h.n] {
		if h.drawn[i].tie > h.drawn[last].tie {
			last = i
		}
	}
	if c.tie < h.drawn[last].tie {
		h.drawn[last] = c
	}
}

// settled tells whether no upstream at a distance or farther can be chosen any more: a nearer one has room that is neither late nor slow.
func (h *choice) settled(distance int) bool {
	return h.found == room && h.drawn[0].distance < distance && h.drawn[0].load.overdue == 0 && !h.drawn[0].slow()
}

// best is the one of those drawn that will answer soonest.
func (h *choice) best(now time.Time, r *request) (*catalog.Upstream, found) {
	if h.found != room {
		return nil, h.found
	}
	best := h.drawn[0]
	for _, c := range h.drawn[1:h.n] {
		cost, least := c.cost(now, r), best.cost(now, r)
		if cost < least || cost == least && c.tie < best.tie {
			best = c
		}
	}
	return best.Upstream, room
}

// mix spreads the bits of z, so that numbers that differ in few bits are in no order.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// census says in words why no upstream was found.
func (s *State) census(now time.Time, r *request) string {
	var registered, evacuated, draining, avoided, loading, backedOff, empty, limited, fullOnes int
	required := s.requiredVersion(now, r.model)
	for _, t := range s.targetsFor(now, r) {
		registered++
		switch {
		case t.evacuated:
			evacuated++
		case t.leaving(now):
			draining++
		case now.Before(t.load.avoid):
			avoided++
		case t.loading(now, r):
			loading++
		case !t.load.backoff.allows(now):
			backedOff++
		case !t.usable(now, r, required):
			empty++
		case !t.paced(now):
			limited++
		case !t.hasRoom(now, r):
			fullOnes++
		}
	}
	homes := ""
	if !r.bound.Free() {
		homes = fmt.Sprintf("of those in its homes (%s): ", r.bound)
	}
	return homes + fmt.Sprintf("%d registered, %d evacuated, %d draining, %d avoided after failures, %d loading, %d that sent Retry-After, %d without the weights or tried, %d at their limit, %d full",
		registered, evacuated, draining, avoided, loading, backedOff, empty, limited, fullOnes)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
