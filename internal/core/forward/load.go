package forward

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// toldFor is how long an agent's word on its engine counts; agents speak at least once a second.
	toldFor = 2500 * time.Millisecond
	// avoidFirst and avoidMost bound how long an upstream gets no work after failures in a row; it doubles.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 4 * time.Second
	// failuresToAvoid is how many failures in a row take an upstream out of use for a while.
	failuresToAvoid = 3
)

// load is what an entry knows of an upstream's load and health.
type load struct {
	// inFlight are this entry's own requests there, and reading the tokens of their prompts that were not answered yet.
	inFlight int
	reading  int
	// tokens is what this entry's own requests there may take of its memory.
	tokens int
	told   LoadTold
	toldAt time.Time
	// nearPeak is how many entries of its data centre its agent counts.
	nearPeak peak
	// overdue counts this entry's requests there that have waited for their first event longer than their latency objective, as of the
	// last tick.
	overdue int
	// others are the requests of other entries, as of toldAt.
	others int
	// allowance is how many more requests this entry gives the engine until its agent's next word; see share.
	allowance int
	failures  int
	avoid     time.Time
	avoidFor  time.Duration
	// foundDown is when it was last found to have gone down.
	foundDown time.Time
	// leftAt is when it said last that it shuts down, which it does not take back in this life; zero when it did not.
	leftAt time.Time
	// notice is what it said of itself last, and pace spreads what it gets while it names a limit.
	notice catalog.Notice
	pace   pace
	// coldUntil is when it is no longer cold, as it said itself, and cold spreads what it gets until then.
	coldUntil time.Time
	cold      pace
	// backoff is the time in which it wants nothing from this entry.
	backoff backoff
	// broken are the requests that broke there in the last moments, the oldest first.
	broken []broken
}

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
	case Withdrawn, Unsent:
		return // It says nothing of the upstream.
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

// heard tells whether the agent's last word counts.
func (l *load) heard(now time.Time) bool { return now.Sub(l.toldAt) < toldFor }

// closing tells whether the engine's agent says that it takes nothing now.
func (l *load) closing(now time.Time) bool { return l.told.Closing && l.heard(now) }

func (s *State) loadTold(in step.Input, ev LoadTold) []step.Effect {
	if ev.Entries > 0 {
		s.entries = s.countEntries(ev)
		s.entryPeak.note(in.Now, s.entries)
	}
	s.Catalog.Confirm(in.Now, ev.Address, ev.Born)
	u := s.Catalog.At(ev.Address, ev.Born)
	if u == nil || ev.Born > 0 && ev.Born < u.Born {
		return nil // It is the word on an earlier life.
	}
	var effects []step.Effect
	if ev.Born > u.Born && u.Born > 0 {
		effects = s.wentDown(in, u.Life())
		s.Catalog.Reborn(in.Now, u.ID, ev.Born)
		u = s.Catalog.Upstreams[u.ID]
	}
	if len(ev.Versions) == 0 {
		s.nothingAt(in.Now, ev)
	}
	l := s.load(u.Life())
	if empties(l.told, ev) {
		effects = append(effects, s.wentDown(in, u.Life())...)
	}
	l.told, l.toldAt = ev, in.Now
	l.nearPeak.note(in.Now, ev.Near)
	l.others = max(0, ev.Occupied-l.inFlight)
	l.saidCold(in.Now, ev.ColdLeft)
	t := s.target(u)
	l.allowance = t.share(ev, in.Rand)
	s.paceCold(in.Now, t)
	if ev.Leaving {
		l.leftAt = in.Now
	}
	if limit := ev.RateLimit; limit != nil && *limit >= 0 && !math.IsInf(*limit, 0) {
		l.pace.set(in.Now, *limit, s.part(u.Life()), in.Rand) // It ends as any other: by an answer without it.
	}
	return append(effects, s.serveQueue(in, u.Service)...)
}

// nothingAt notes for every upstream that registered at an address that the engine there holds nothing: while it starts, its agent can't say
// which of them it is.
func (s *State) nothingAt(now time.Time, ev LoadTold) {
	for _, u := range s.Catalog.AllAt(ev.Address) {
		l := s.load(u.Life())
		if l.toldAt.IsZero() {
			l.told, l.toldAt = ev, now
		}
	}
}

// countOverdue counts the requests that wait for their first event longer than their objective, by upstream.
func (s *State) countOverdue(now time.Time) {
	for _, l := range s.overdue {
		l.overdue = 0
	}
	s.overdue = s.overdue[:0]
	for _, r := range s.requests {
		if r.reading && r.route.Objective > 0 && now.Sub(r.sentAt) > r.route.Objective {
			l := s.load(r.at)
			l.overdue++
			s.overdue = append(s.overdue, l)
		}
	}
}

// wordKept is how long what an upstream said of itself is remembered after its entry is gone: an entry lapses when its upstream does not reach
// the store, and comes back with the same life.
const wordKept = time.Minute

// remembered tells whether the upstream said something of itself that may still hold if it comes back.
func (l *load) remembered(now time.Time) bool {
	return now.Sub(l.pace.heard) < wordKept || now.Sub(l.leftAt) < wordKept || l.backoff.on(now)
}

// forgetInterval is the time between two looks at all upstreams for those that are gone: a tick comes many times a second.
const forgetInterval = time.Second

// forget drops what is known of upstreams that are gone.
func (s *State) forget(now time.Time) {
	if now.Sub(s.forgot) < forgetInterval {
		return
	}
	s.forgot = now
	for life, l := range s.loads {
		u := s.Catalog.Upstreams[life.ID]
		if (u == nil || u.Born != life.Born) && l.inFlight == 0 && now.Sub(l.toldAt) > toldFor && !l.remembered(now) {
			delete(s.loads, life)
		}
	}
}
