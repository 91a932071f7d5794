package forward

import (
	"math"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// minMovedPart is the part of moved work in a data centre below which its slots are shared as without a plan.
	minMovedPart = 0.02
	// contendedPart is the part of a data centre's supply from which on its slots are contended, so that no entry may take more than its
	// quota.
	contendedPart = 0.95
	// idlePart is the part of an engine's slots that must be free for an entry to exceed its quota there. The plan is an estimate, and slots
	// must not be left free because of it. A larger part costs served requests in an overload, because an entry at its quota gives up slots
	// that no other takes in time.
	idlePart = 0.15
)

// slotQuota is the part of the slots of the engines of a data centre that this entry's requests may take. Entries reuse the slots that they
// free, so that an entry that comes later would get none of the slots of a full engine without it.
type slotQuota struct {
	part float64
	// contended is set if the plan sends the data centre about as much as it can serve, or more.
	contended bool
}

// updateQuotas computes the quotas from the plan: an entry's part of the slots is its part of the work that the plan sends to the data
// centre, as far as it comes from entries that send heartbeats to the same engine, and so use it.
func (s *State) updateQuotas(now time.Time, engines engineCounts) {
	b := &s.balance
	b.quotas = nil
	if !b.shares.Known() || !b.heard.knows(s.Self.DataCentre) {
		return // Without the demand of its own data centre, the plan says nothing about this entry's part.
	}
	own := s.Demand(now)
	// The plan rests on aged demand, so this entry's fresh demand has to age like that of its data centre.
	aged := balance.Aged(now.Sub(b.heard.estimates[s.Self.DataCentre].at))
	for dataCentre, inside := range engines.byDataCentre {
		load := b.shares.Load(dataCentre)
		if load.Supply <= 0 || load.Moved <= 0 || load.Moved < minMovedPart*(load.Own+load.Moved) {
			continue
		}
		mine := 0.0
		for _, d := range own {
			mine += aged * d.Work * s.plannedPart(d.Homes, dataCentre)
		}
		if b.quotas == nil {
			b.quotas = map[string]slotQuota{}
		}
		b.quotas[dataCentre] = slotQuota{part: math.Min(1, mine/s.heardWork(load, inside, engines.total)), contended: load.Own+load.Moved >= contendedPart*load.Supply}
	}
}

// plannedPart returns the part of this entry's demand with a set of homes that goes to a data centre. Demand that the plan doesn't cover yet,
// since no agent has told of it, stays here if it may.
func (s *State) plannedPart(homes []string, dataCentre string) float64 {
	if !s.balance.shares.Covers(s.Self.DataCentre, homes) && dataCentre == s.Self.DataCentre && (len(homes) == 0 || slices.Contains(homes, s.Self.Region)) {
		return 1
	}
	return s.balance.shares.Fraction(s.Self.DataCentre, homes, dataCentre)
}

// heardWork returns the planned work for a data centre of the entries that send heartbeats to one engine there.
func (s *State) heardWork(load balance.Load, inside, total int) float64 {
	return load.Own*fraction(maxNearAgents, inside) + load.Moved*fraction(maxFarAgents, total-inside)
}

// maxSlots returns this entry's quota of an engine's slots. A fraction of a slot is rounded by a hash, so that each entry holds its slots at
// the same engines and all quotas of an engine add up to its slots on average.
func (s *State) maxSlots(v *upstreamView, q slotQuota) int {
	return int(q.part*float64(v.slots()) + float64(mix(v.hash^step.Score(s.Self.Name, "")))/math.MaxUint64)
}

// sendsUntilNextReport returns how many requests this entry may send to an engine before its next load report; see shareOfFree. Where the
// plan moves work to the engine's data centre, the free slots go to the entries below their quota. As long as the slots there are not
// contended, no entry gets less than it would without a plan.
func (s *State) sendsUntilNextReport(v *upstreamView, ev LoadReported, draw uint64) int {
	share := v.shareOfFree(ev, draw)
	q, planned := s.balance.quotas[v.DataCentre]
	if !planned || v.engine == nil {
		return share
	}
	free := math.Min(float64(max(0, v.slots()-ev.RequestCount)), v.prefillPrompts())
	below := max(0, min(s.maxSlots(v, q)-v.load.inFlight, int(free)))
	if q.contended && !v.idle(ev) {
		return below
	}
	return max(share, below)
}

// idle reports whether so many slots of an engine are free that an entry may exceed its quota.
func (v *upstreamView) idle(ev LoadReported) bool {
	return float64(ev.RequestCount) < (1-idlePart)*float64(v.slots())
}

// mayReuseSlot reports whether this entry may use the slot that one of its requests freed before the engine's next load report. It may not if
// it holds more than its quota of contended slots: the slot then goes to an entry below its own.
func (s *State) mayReuseSlot(now time.Time, r *request) bool {
	if len(s.balance.quotas) == 0 || r.model == "" {
		return true
	}
	u := s.Catalog.Upstreams[r.instance.ID]
	if u == nil {
		return true
	}
	q, planned := s.balance.quotas[u.DataCentre]
	if !planned || !q.contended {
		return true
	}
	v := s.view(u)
	return v.engine == nil || !v.load.hasReport(now) || v.idle(v.load.report) || v.load.inFlight < s.maxSlots(v, q)
}
