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
	// unheardSharers is how many entries an entry assumes to give an engine as much work as itself, that has no word on
	// the engine's load: about two entries stand in a data centre.
	unheardSharers = 2
)

// load is what an entry knows of an upstream's load and health.
type load struct {
	// inFlight are this entry's own requests there.
	inFlight int
	told     LoadTold
	toldAt   time.Time
	// others are the requests of other entries, as of toldAt.
	others   int
	failures int
	avoid    time.Time
	avoidFor time.Duration
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

func (s *State) load(id string) *load {
	l := s.loads[id]
	if l == nil {
		l = &load{}
		s.loads[id] = l
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
		s.entries = ev.Entries
	}
	u := s.Catalog.At(ev.Address)
	if u == nil {
		return nil
	}
	l := s.load(u.ID)
	var effects []step.Effect
	if empties(l.told, ev) {
		effects = s.wentDown(in.Now, u.ID)
	}
	l.told, l.toldAt = ev, in.Now
	l.others = max(0, ev.Occupied-l.inFlight)
	return append(effects, s.serveQueue(in, u.Service)...)
}

// forget drops what is known of upstreams that are gone.
func (s *State) forget(now time.Time) {
	for id, l := range s.loads {
		if s.Catalog.Upstreams[id] == nil && l.inFlight == 0 && now.Sub(l.toldAt) > toldFor {
			delete(s.loads, id)
		}
	}
}

// pick chooses the least occupied upstream with room that is nearest to this entry.
func (s *State) pick(in step.Input, r *request) (*catalog.Upstream, found) {
	result := none
	best := candidate{}
	for _, u := range s.Catalog.Upstreams {
		if !s.usable(in.Now, r, u) {
			continue
		}
		c := s.candidate(in, u, r)
		if c.occupied >= c.limit {
			result = max(result, full)
			continue
		}
		if result != room || c.before(best) {
			best, result = c, room
		}
	}
	return best.upstream, result
}

// candidate is an upstream that could take a request.
type candidate struct {
	upstream *catalog.Upstream
	// quiet is set when the engine's agent has said nothing for a while.
	quiet bool
	// distance is 0 in this data centre, 1 in this region, 2 elsewhere.
	distance int
	occupied int
	limit    int
	// tie orders upstreams that are alike, in another way for each request.
	tie uint64
}

func (c candidate) before(o candidate) bool {
	if c.quiet != o.quiet {
		return o.quiet
	}
	if c.distance != o.distance {
		return c.distance < o.distance
	}
	a, b := c.occupied*o.limit, o.occupied*c.limit
	if a != b {
		return a < b
	}
	return c.tie < o.tie
}

func (s *State) candidate(in step.Input, u *catalog.Upstream, r *request) candidate {
	c := candidate{upstream: u, distance: s.distance(u), tie: step.Score(u.ID, "") ^ in.Rand}
	c.occupied, c.limit = s.occupied(in.Now, u, r), s.limit(u, r)
	told := s.load(u.ID).toldAt
	c.quiet = !told.IsZero() && in.Now.Sub(told) > quietAfter
	return c
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
	l := s.load(u.ID)
	if r.model == "" {
		return l.inFlight
	}
	if now.Sub(l.toldAt) < toldFor {
		return l.inFlight + l.others
	}
	return l.inFlight * unheardSharers
}

// limit is how many requests an upstream may have.
func (s *State) limit(u *catalog.Upstream, r *request) int {
	slots := max(1, u.Slots)
	if r.model == "" {
		return slots * plainFactor
	}
	return slots
}

func (s *State) usable(now time.Time, r *request, u *catalog.Upstream) bool {
	if u.Service != r.service || u.Draining || r.tried[u.ID] {
		return false
	}
	l := s.load(u.ID)
	if now.Before(l.avoid) {
		return false
	}
	if r.model == "" {
		return true
	}
	if now.Sub(l.toldAt) < toldFor && l.told.Closing {
		return false
	}
	held := s.heldVersion(now, u, l, r.model)
	return held > 0 && held >= s.requiredVersion(now, r.model)
}

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
		l := s.load(u.ID)
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
