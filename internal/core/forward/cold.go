package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// coldRateFactor is the part of a cold upstream's rate that entries use on average. Entries send at random times, so that one
	// second may hold more requests than another.
	coldRateFactor = 0.8
	// coldSlotLifetime is how long an unused send slot for a cold upstream stays valid. It is short because the upstream's limit
	// applies to each second.
	coldSlotLifetime = 200 * time.Millisecond
)

// cold reports whether the upstream accepts no more than its service's cold rate now, according to its registration or to its own
// answers.
func (t *target) cold(now time.Time) bool {
	return t.coldRate > 0 && (now.Before(t.ColdUntil) || now.Before(t.load.coldUntil))
}

// noteCold records how much longer an upstream says that it is cold. A value of 0 changes nothing, because only some answers carry
// it.
func (l *load) noteCold(now time.Time, left time.Duration) {
	if left > 0 {
		l.coldUntil = now.Add(left)
	}
}

// rateAllowed reports whether this entry may send the upstream one more request now, under the upstream's rate limit and its cold
// rate.
func (t *target) rateAllowed(now time.Time) bool {
	return t.load.limitPacer.allows(now) && (!t.cold(now) || t.load.coldPacer.allows(now))
}

// setColdPacer sets this entry's send slots for a cold upstream, or removes them if the upstream is not cold. The entry's share
// follows from the entry counts that agents report, so it is computed again with each report.
func (s *State) setColdPacer(now time.Time, t *target) {
	if !t.cold(now) {
		t.load.coldPacer.reset()
		return
	}
	t.load.coldPacer.slotLifetime = coldSlotLifetime
	t.load.coldPacer.setLimit(now, coldRateFactor*t.coldRate, s.limitShare(t.Instance()), step.Score(s.Self.Name, t.ID))
}

// setColdPacerOf calls setColdPacer for an upstream's instance if it is still the current one.
func (s *State) setColdPacerOf(now time.Time, instance catalog.Instance) {
	if u := s.Catalog.Upstreams[instance.ID]; u != nil && u.Instance() == instance {
		s.setColdPacer(now, s.target(u))
	}
}
