package forward

import (
	"cmp"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

// maxFutileSearches is how many searches for an upstream may find all upstreams full in one pass of a prioritized queue since its last
// send. Requests beyond that wait for the next pass. A search takes up to 0.1 ms at 1,000 upstreams, so that a pass takes no longer than
// a tick.
const maxFutileSearches = 64

// pass is one pass over a queue, in which its requests get capacity in their order.
type pass struct {
	prioritized bool
	// leastUrgent is the priority of the least urgent request that waits, in a prioritized queue.
	leastUrgent int
	// waiting and ahead are the number and the work of the requests that had their turn and still wait.
	waiting int
	ahead   time.Duration
	// full are the results of the searches since the last send that found all upstreams full or silent.
	full []fullResult
	// delayInputs are those of the requests refused since the last send, by kind.
	delayInputs map[searchKey]delayInputs
	// silentSlots are the results of silentSlots, by kind of request.
	silentSlots map[searchKey]float64
	// awaiting is the number of requests that wait for silent upstreams, once awaitingKnown is set.
	awaiting      int
	awaitingKnown bool
	// reserved are the upstreams that are reserved for requests that had their turn; see reserve.
	reserved []*loadState
}

// searchKey has what the result "full" of a search depends on beside the sizes of a request: two requests with the same key differ only
// in these. A queued request has had no attempt.
type searchKey struct {
	service, model, homes, moveTo string
	kind                          catalog.Kind
	objective                     time.Duration
	repeatable, returning         bool
	fitsMemory                    bool
	priority                      int
}

// fullResult says that all upstreams are full, or that a silent one is awaited, for requests that are at least as large.
type fullResult struct {
	key            searchKey
	found          availability
	prompt, tokens int
	// blocked are the upstreams that the request could use but for its size, the best first; see reserve.
	blocked []*upstreamView
}

func newPass(q *schedule.Queue, prioritized bool) *pass {
	p := &pass{prioritized: prioritized, delayInputs: map[searchKey]delayInputs{}, silentSlots: map[searchKey]float64{}}
	for priority, n := range q.Waiting() {
		if n > 0 {
			p.leastUrgent = priority
		}
	}
	return p
}

// endPass ends the pass and the reservations that it made.
func (s *State) endPass() {
	for _, l := range s.pass.reserved {
		l.reserved = 0
	}
	s.pass = nil
}

// search is pick within a pass. It spares searches whose result is known, since thousands of requests may wait.
func (s *State) search(in step.Input, r *request) (*catalog.Upstream, availability) {
	if s.pass == nil || r.attempts > 0 {
		return s.pick(in, r)
	}
	p, key := s.pass, s.searchKey(r)
	for i := range p.full {
		if f := &p.full[i]; f.key == key && r.prompt >= f.prompt && r.tokens >= f.tokens {
			s.reserve(r, f)
			return nil, f.found
		}
	}
	if p.prioritized && len(p.full) >= maxFutileSearches {
		return nil, full
	}
	u, found := s.pick(in, r)
	if found == full || found == awaited {
		f := fullResult{key: key, found: found, prompt: r.prompt, tokens: r.tokens}
		switch {
		case found == awaited || !s.anySlot(in, r):
			f.prompt, f.tokens = 0, 0 // A smaller request finds no upstream either.
		case p.prioritized && r.priority < p.leastUrgent:
			f.blocked = s.blockedBySize(in, r)
			s.reserve(r, &f)
		}
		p.full = append(p.full, f)
	}
	return u, found
}

// anySlot reports whether any upstream has a slot that the request may take, disregarding its size.
func (s *State) anySlot(in step.Input, r *request) bool {
	return slices.ContainsFunc(s.viewsFor(in.Now, r), func(v *upstreamView) bool { return v.hasSlot(in.Now, r) })
}

func (s *State) searchKey(r *request) searchKey {
	k := searchKey{
		service: r.service, model: r.model, moveTo: r.moveTo, kind: r.route.Kind, objective: r.route.Objective, repeatable: r.route.Repeatable(),
		returning: r.returning, priority: r.priority, fitsMemory: fitsMemory(s.engine(r.service), r.tokens),
	}
	if !r.homes.Unrestricted() {
		k.homes = r.homes.String()
	}
	return k
}

// blockedBySize returns the upstreams that have a free slot for the request and can't take it for now only because of its size: its prompt
// or its memory. The one with the fewest pending prompt tokens is first.
func (s *State) blockedBySize(in step.Input, r *request) []*upstreamView {
	var blocked []*upstreamView
	required := s.requiredVersion(in.Now, r.model)
	for _, v := range s.viewsFor(in.Now, r) {
		if v.usable(in.Now, r, required) && !v.stale(in.Now) && !v.unreported() && v.hasSlot(in.Now, r) {
			blocked = append(blocked, v)
		}
	}
	slices.SortStableFunc(blocked, func(a, b *upstreamView) int {
		return cmp.Compare(a.load.pendingPromptTokens, b.load.pendingPromptTokens)
	})
	return blocked
}

// reserve keeps the next of the upstreams at which a request is blocked by its size from less urgent requests until the end of the pass.
// Else short requests would take the room for prompts over and over before a longer one fits. Each request reserves one upstream, so
// that few that are blocked leave the others in use. The upstream works on the pending prompts meanwhile.
func (s *State) reserve(r *request, f *fullResult) {
	for len(f.blocked) > 0 {
		l := f.blocked[0].load
		f.blocked = f.blocked[1:]
		if l.reserved == 0 {
			l.reserved = reservation(max(0, r.priority) + 1)
			s.pass.reserved = append(s.pass.reserved, l)
			return
		}
	}
}

// reservation is 0 for an upstream that is not reserved, else the most urgent priority whose requests it excludes.
type reservation int

// excludes reports whether a request must leave the upstream to a more urgent one.
func (v reservation) excludes(r *request) bool { return v > 0 && r.priority >= int(v) }
