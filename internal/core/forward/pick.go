package forward

import (
	"fmt"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// toldFor is how long an agent's word on its engine counts; agents speak at least once a second.
	toldFor = 2500 * time.Millisecond
	// quietAfter is how long after its agent's last word an engine is used only when no other has room: the host may be frozen or
	// cut off. It is a little more than the longest time between two words of an agent that is well.
	quietAfter = 1200 * time.Millisecond
	// avoidFirst and avoidMost bound how long an upstream gets no work after failures in a row; it doubles.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 4 * time.Second
	// failuresToAvoid is how many failures in a row take an upstream out of use for a while.
	failuresToAvoid = 3
	// plainFactor is how many requests for each slot an entry gives a plain upstream, which queues a few more.
	plainFactor = 2
	// choices is how many of the nearest upstreams are looked at for a request. With all of them 11 of 100 answers came late at two
	// thirds of the load of 76 engines, with two 2 of 1,000.
	choices = 2
	// readAhead is how much reading of prompts an entry gives an engine at once. An engine reads prompts one after the other, so that
	// whoever comes behind this waits about as long on top of the usual time to the first event, a third of the users' objectives.
	// Without the bound 62.5 of 100 requests were answered in time at one and a half times the engines' capacity, with it 68.0 (means of
	// six days); 60 ms and 90 ms did equally well there, and 60 ms worse where prompts are fewer.
	readAhead = 90 * time.Millisecond
	// usualReadRate is in tokens of prompts a second, for engines of which the manifest does not say it.
	usualReadRate = 30000.0
	// farMargin is how many places an entry leaves free at an engine of another data centre, of whose load it hears late: nearer
	// entries fill them meanwhile, and what comes on top waits at the engine. It brought 4.5 of 100 requests in time at one and
	// a half times the capacity (72.5 against 68.0).
	farMargin = 2
	// blindFirst and blindMost bound how long an entry sends nothing to engines of which nobody tells, after one of them turned a request away
	// or kept it waiting; it doubles until one answers. Of 823 requests that were sent so while 76 engines changed their version 157 were
	// turned away, and half of the others waited over 480 ms for their first event.
	blindFirst = time.Second
	blindMost  = 8 * time.Second
	// unheardSharers is how many entries an entry assumes to give an engine as much work as itself, that has no word on
	// the engine's load: about two entries stand in a data centre.
	unheardSharers = 2
)

// load is what an entry knows of an upstream's load and health.
type load struct {
	// inFlight are this entry's own requests there, and reading the tokens of their prompts that were not answered yet.
	inFlight int
	reading  int
	told     LoadTold
	toldAt   time.Time
	// others are the requests of other entries, as of toldAt.
	others int
	// allowance is how many more requests this entry gives the engine until its agent's next word; see share.
	allowance int
	failures  int
	avoid     time.Time
	avoidFor  time.Duration
	// broken are the requests that broke there in the last moments, the oldest first.
	broken []broken
}

// found tells how the search for an upstream ended.
type found int

const (
	none found = iota
	full
	room
)

func (s *State) load(life catalog.Life) *load {
	l := s.loads[life]
	if l == nil {
		l = &load{}
		s.loads[life] = l
	}
	return l
}

// note learns from the end of a send.
func (l *load) note(now time.Time, o Outcome) {
	switch o {
	case Answered:
		l.failures, l.avoidFor = 0, 0
		return
	case NotSent, Misdirected, Silent:
		// Nothing listens there, something else does, or the way there is blocked.
		l.failures = failuresToAvoid
	default:
		l.failures++
	}
	if l.failures >= failuresToAvoid {
		l.avoidFor = min(max(2*l.avoidFor, avoidFirst), avoidMost)
		l.avoid = now.Add(l.avoidFor)
	}
}

func (s *State) loadTold(in step.Input, ev LoadTold) []step.Effect {
	if ev.Entries > 0 {
		s.entries = s.countEntries(ev)
	}
	u := s.Catalog.At(ev.Address, ev.Born)
	if u == nil || ev.Born > 0 && ev.Born < u.Born {
		return nil // It is the word on an earlier life.
	}
	var effects []step.Effect
	if ev.Born > u.Born && u.Born > 0 {
		effects = s.wentDown(in.Now, u.Life())
		s.Catalog.Reborn(u.ID, ev.Born)
		u = s.Catalog.Upstreams[u.ID]
	}
	l := s.load(u.Life())
	if empties(l.told, ev) {
		effects = append(effects, s.wentDown(in.Now, u.Life())...)
	}
	l.told, l.toldAt = ev, in.Now
	l.others = max(0, ev.Occupied-l.inFlight)
	l.allowance = s.share(in, u, ev)
	return append(effects, s.serveQueue(in, u.Service)...)
}

// forget drops what is known of upstreams that are gone.
func (s *State) forget(now time.Time) {
	for life, l := range s.loads {
		u := s.Catalog.Upstreams[life.ID]
		if (u == nil || u.Born != life.Born) && l.inFlight == 0 && now.Sub(l.toldAt) > toldFor {
			delete(s.loads, life)
		}
	}
}

// pick chooses an upstream with room: of the nearest ones some at random, and of these the one that will answer soonest. The
// entries see the same loads a little late; if each took the least loaded of all, they would take the same one.
//
// An engine of which nobody tells is used when those that are told of are full, until one such turns a request away: then the whole fleet is
// likely to be full; see blindFirst.
func (s *State) pick(in step.Input, r *request) (*catalog.Upstream, found) {
	var known, strangers choice
	for _, u := range s.Catalog.Upstreams {
		if !s.usable(in.Now, r, u) {
			if s.loading(in.Now, r, u) {
				known.consider(candidate{}, false)
			}
			continue
		}
		c := s.candidate(in, u, r)
		into := &known
		if s.stranger(u) {
			into = &strangers
		}
		into.consider(c, c.occupied < c.limit && !s.crowded(u, r) && !s.spent(in.Now, u, r))
	}
	blind := known.found == none || !in.Now.Before(s.blindAgain)
	if known.found == room || !blind || strangers.found == none {
		return known.best()
	}
	return strangers.best()
}

// choice gathers the nearest of the upstreams with room.
type choice struct {
	found   found
	nearest []candidate
}

func (h *choice) consider(c candidate, hasRoom bool) {
	if !hasRoom {
		h.found = max(h.found, full)
		return
	}
	h.found = room
	if len(h.nearest) > 0 && h.nearest[0].nearer(c) {
		return
	}
	if len(h.nearest) > 0 && c.nearer(h.nearest[0]) {
		h.nearest = h.nearest[:0]
	}
	h.nearest = append(h.nearest, c)
}

// best is the one that will answer soonest of some of the nearest.
func (h *choice) best() (*catalog.Upstream, found) {
	if h.found != room {
		return nil, h.found
	}
	nearest := h.nearest
	sort.Slice(nearest, func(i, j int) bool { return nearest[i].tie < nearest[j].tie })
	best := nearest[0]
	for _, c := range nearest[1:min(choices, len(nearest))] {
		if c.cost < best.cost {
			best = c
		}
	}
	return best.upstream, room
}

// share is how many requests this entry may give an engine until its agent's next word, beside those whose places it frees itself: its part
// of the free places, since all entries that hear of these fill them at once. Where each took them all, requests for far engines waited
// 835 ms in the middle for their first event while 76 engines changed their version; with it 74.5 of 100 requests of that day were
// answered in time, before 70.8 (one run each).
func (s *State) share(in step.Input, u *catalog.Upstream, ev LoadTold) int {
	slots, sharers := s.slots(u), ev.Near
	if s.distance(u) > 0 {
		slots, sharers = max(1, slots-farMargin), ev.Entries-ev.Near
	}
	free, n := max(0, slots-ev.Occupied), max(1, sharers)
	rounding := int(mix(in.Rand) % uint64(n)) // So that on the whole no part of a place is lost.
	return (free + rounding) / n
}

// spent tells whether this entry has used its share of an engine's free places.
func (s *State) spent(now time.Time, u *catalog.Upstream, r *request) bool {
	l := s.load(u.Life())
	return r.model != "" && r.sends == 0 && l.allowance <= 0 && !l.toldAt.IsZero() && now.Sub(l.toldAt) < toldFor
}

// candidate is an upstream that could take a request.
type candidate struct {
	upstream *catalog.Upstream
	// quiet is set when the engine's agent has said nothing for a while, or is not asked to.
	quiet bool
	// distance is 0 in this data centre, 1 in this region, 2 elsewhere.
	distance int
	occupied int
	limit    int
	// cost grows with the time to the first event.
	cost float64
	// tie orders upstreams in another way for each request.
	tie uint64
}

// nearer tells whether c is to be used before o whatever their loads.
func (c candidate) nearer(o candidate) bool {
	if c.quiet != o.quiet {
		return o.quiet
	}
	return c.distance < o.distance
}

func (s *State) candidate(in step.Input, u *catalog.Upstream, r *request) candidate {
	c := candidate{upstream: u, distance: s.distance(u), tie: mix(step.Score(u.ID, "") ^ in.Rand)}
	c.occupied, c.limit = s.occupied(in.Now, u, r), s.limit(u, r)
	c.cost = float64(c.occupied)/float64(c.limit) + float64(s.load(u.Life()).reading)/s.readBound(u)
	told := s.load(u.Life()).toldAt
	c.quiet = !told.IsZero() && in.Now.Sub(told) > quietAfter || s.stranger(u)
	return c
}

// stranger tells whether nobody tells this entry of an engine's load, because it greets too many others.
func (s *State) stranger(u *catalog.Upstream) bool {
	return s.greeted != nil && !s.greeted[u.ID] && s.load(u.Life()).toldAt.IsZero() && s.isEngine(u)
}

// noteBlind learns from the end of a send to an engine of which nobody tells.
func (s *State) noteBlind(now time.Time, r *request, o Outcome) {
	u := s.Catalog.Upstreams[r.at.ID]
	if u == nil || !s.stranger(u) {
		return
	}
	switch o {
	case Answered:
		s.blindFor = 0
	case Declined, Silent:
		s.blindFor = min(max(2*s.blindFor, blindFirst), blindMost)
		s.blindAgain = now.Add(s.blindFor)
	}
}

// mix spreads the bits of z, so that numbers that differ in few bits are in no order.
func mix(z uint64) uint64 {
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (s *State) distance(u *catalog.Upstream) int {
	switch {
	case u.DataCentre == s.Self.DataCentre:
		return 0
	case s.Self.Regions[u.DataCentre] == s.Self.Region:
		return 1
	}
	return 2
}

// occupied is how many requests an upstream has, as far as this entry knows.
func (s *State) occupied(now time.Time, u *catalog.Upstream, r *request) int {
	l := s.load(u.Life())
	if r.model == "" {
		return l.inFlight
	}
	if now.Sub(l.toldAt) < toldFor {
		return l.inFlight + l.others
	}
	return l.inFlight * unheardSharers
}

// crowded tells whether an engine has as many prompts to read as this entry gives it at once. A request that was sent before does
// not wait for that.
func (s *State) crowded(u *catalog.Upstream, r *request) bool {
	reading := s.load(u.Life()).reading
	return r.sends == 0 && reading > 0 && float64(reading+r.prompt) > s.readBound(u)
}

// readBound is how many tokens of prompts an entry has an engine read at once.
func (s *State) readBound(u *catalog.Upstream) float64 {
	rate := usualReadRate
	if e := s.engine(u); e != nil && e.ReadRate > 0 {
		rate = e.ReadRate
	}
	return rate * readAhead.Seconds()
}

// limit is how many requests an upstream may have.
func (s *State) limit(u *catalog.Upstream, r *request) int {
	slots := s.slots(u)
	if r.model == "" {
		return slots * plainFactor
	}
	if s.distance(u) > 0 && r.sends == 0 {
		return max(1, slots-farMargin)
	}
	return slots
}

// slots is how many requests an upstream works on at once. Its entry may come from another writer, and claims no more than its service
// says.
func (s *State) slots(u *catalog.Upstream) int {
	if e := s.engine(u); e != nil && e.Slots > 0 {
		return max(1, min(u.Slots, e.Slots))
	}
	return max(1, u.Slots)
}

func (s *State) usable(now time.Time, r *request, u *catalog.Upstream) bool {
	if u.Service != r.service || u.Draining || r.tried[u.Life()] {
		return false
	}
	l := s.load(u.Life())
	if now.Before(l.avoid) {
		return false
	}
	if r.model == "" {
		return true
	}
	if l.closing(now) {
		return false
	}
	held := s.heldVersion(now, u, l, r.model)
	return held > 0 && held >= s.requiredVersion(now, r.model)
}

// loading tells whether an engine takes nothing now and will in a moment: it loads its weights in some 0.4 s. When no other can be used
// it is worth the wait for room; refusing at once cost 0.5 of 100 requests in time on days on which all engines load at the same time
// (means of eight days).
func (s *State) loading(now time.Time, r *request, u *catalog.Upstream) bool {
	return r.model != "" && u.Service == r.service && !u.Draining && s.load(u.Life()).closing(now)
}

// closing tells whether the engine's agent says that it takes nothing now.
func (l *load) closing(now time.Time) bool { return now.Sub(l.toldAt) < toldFor && l.told.Closing }

// heldVersion is the version of a model that an engine holds; its agent knows it sooner than the store.
func (s *State) heldVersion(now time.Time, u *catalog.Upstream, l *load, model string) int64 {
	if now.Sub(l.toldAt) < toldFor {
		return l.told.Versions[model]
	}
	return u.Versions[model]
}

// requiredVersion is the version that a request for a model must begin on from now on; 0 for any.
func (s *State) requiredVersion(now time.Time, model string) int64 {
	if s.Self.VersionTime <= 0 {
		return 0
	}
	return s.Catalog.RequiredVersion(model, now, s.Self.VersionTime-catalog.VersionMargin)
}

// census says in words why no upstream was found.
func (s *State) census(now time.Time, r *request) string {
	var registered, draining, avoided, empty, fullOnes int
	for _, u := range s.Catalog.Upstreams {
		if u.Service != r.service {
			continue
		}
		registered++
		l := s.load(u.Life())
		switch {
		case u.Draining:
			draining++
		case now.Before(l.avoid):
			avoided++
		case !s.usable(now, r, u):
			empty++
		case s.occupied(now, u, r) >= s.limit(u, r):
			fullOnes++
		}
	}
	return fmt.Sprintf("%d registered, %d draining, %d avoided after failures, %d without the weights or tried, %d full",
		registered, draining, avoided, empty, fullOnes)
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
