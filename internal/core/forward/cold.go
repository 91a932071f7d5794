package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// coldShare is the part of what a cold upstream takes in a second that entries give it on the average. Their moments are at random, so that a
	// second may hold some more of them than another.
	coldShare = 0.8
	// coldSlotKept is how long a moment for a request to a cold upstream stays of use: what a second may hold is counted to the second.
	coldSlotKept = 200 * time.Millisecond
)

// cold tells whether the upstream takes no more than its service's cold rate now, as its entry says or it has said itself.
func (t *target) cold(now time.Time) bool {
	return t.coldRate > 0 && (now.Before(t.ColdUntil) || now.Before(t.load.coldUntil))
}

// saidCold takes how much longer an upstream says that it is cold. It tells nothing when it does not say: only some answers do.
func (l *load) saidCold(now time.Time, left time.Duration) {
	if left > 0 {
		l.coldUntil = now.Add(left)
	}
}

// paced tells whether this entry may send the upstream one more request now, by the limit that it named and while it is cold.
func (t *target) paced(now time.Time) bool {
	return t.load.pace.allows(now) && (!t.cold(now) || t.load.cold.allows(now))
}

// paceCold gives this entry its moments for an upstream that is cold, and ends them for one that is not. It goes by what agents count, and is asked
// again with each word on the upstream.
func (s *State) paceCold(now time.Time, t *target) {
	if !t.cold(now) {
		t.load.cold.lift()
		return
	}
	t.load.cold.kept = coldSlotKept
	t.load.cold.set(now, coldShare*t.coldRate, s.part(t.Life()), step.Score(s.Self.Name, t.ID))
}

// paceColdLife is paceCold for a life that may be over.
func (s *State) paceColdLife(now time.Time, life catalog.Life) {
	if u := s.Catalog.Upstreams[life.ID]; u != nil && u.Life() == life {
		s.paceCold(now, s.target(u))
	}
}
