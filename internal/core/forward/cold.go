package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// coldRateFactor is the part of a cold upstream's rate that entries use on average. Entries send at random times, so some
	// seconds have more requests than others, and the rest of the rate is left for these.
	coldRateFactor = 0.8
	// coldSlotLifetime is how long an unused send slot for a cold upstream stays valid. It is short because the upstream's limit
	// applies to each second.
	coldSlotLifetime = 200 * time.Millisecond
)

// cold reports whether the upstream accepts no more than its service's cold rate now, according to its registration or to its own
// answers.
func (v *upstreamView) cold(now time.Time) bool {
	return v.coldRate > 0 && (now.Before(v.ColdUntil) || now.Before(v.load.coldUntil))
}

// noteCold records how much longer an upstream says that it is cold. A value of 0 changes nothing, because only some answers carry
// it.
func (l *loadState) noteCold(now time.Time, left time.Duration) {
	if left > 0 {
		l.coldUntil = now.Add(left)
	}
}

// rateAllowed reports whether this entry may send the upstream one more request now, under the upstream's rate limit and its cold
// rate.
func (v *upstreamView) rateAllowed(now time.Time) bool {
	return v.load.limitPacer.allows(now) && (!v.cold(now) || v.load.coldPacer.allows(now))
}

// setColdPacer sets this entry's send slots for a cold upstream, or removes them if the upstream is not cold. The entry's share
// follows from the entry counts that agents report, so it is computed again with each report.
func (s *State) setColdPacer(now time.Time, v *upstreamView) {
	if !v.cold(now) {
		v.load.coldPacer.reset()
		return
	}
	v.load.coldPacer.slotLifetime = coldSlotLifetime
	v.load.coldPacer.setLimit(now, coldRateFactor*v.coldRate, s.limitShare(v.Instance()), step.Score(s.Self.Name, v.ID))
}

// setColdPacerOf calls setColdPacer for an upstream's instance if it is still the current one.
func (s *State) setColdPacerOf(now time.Time, instance catalog.Instance) {
	if u := s.Catalog.Upstreams[instance.ID]; u != nil && u.Instance() == instance {
		s.setColdPacer(now, s.view(u))
	}
}
