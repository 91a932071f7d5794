package forward

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// planInterval is the time between two plans of an entry. It matches the interval in which package balance damps changes.
	planInterval = 500 * time.Millisecond
	// planLogInterval is the minimum time between two log lines about the plan, and planLogChange the change of a part that is logged.
	planLogInterval = 5 * time.Second
	planLogChange   = 0.1
)

// balanceState is what an entry knows for its plan across data centres. The plan is in effect where the manifest has home regions or a data
// centre is evacuated; elsewhere it is empty and no decision depends on it.
type balanceState struct {
	shares    balance.Shares
	plannedAt time.Time
	// quotas are the parts of the engines' slots that this entry's requests may take, by data centre; see slotQuota. A data centre to which
	// the plan moves nothing has none.
	quotas map[string]slotQuota
	own    ownDemand
	heard  heardDemand
	// regions are the regions of the settings in a fixed order, and homes the sets of them that requests were bound to, by the bits of
	// their regions.
	regions []string
	homes   map[uint64][]string
	// loggedAt is when the plan was last logged, and logged that plan.
	loggedAt time.Time
	logged   balance.Shares
}

// BalanceChanged has the shell log that the plan across data centres changed.
type BalanceChanged struct {
	// Plan describes the parts of this data centre's demand, Demand and Supply the inputs.
	Plan, Demand, Supply string
	// OldestDemand is the age of the oldest demand that the plan rests on.
	OldestDemand time.Duration
}

// Effect marks the type as an effect.
func (BalanceChanged) Effect() {}

// maxPlanRegions bounds the bits in which the regions of a request are noted.
const maxPlanRegions = 64

func newBalanceState(self Self) balanceState {
	regions := append(slices.Collect(maps.Values(self.Regions)), self.Region)
	slices.Sort(regions)
	regions = slices.Compact(regions)
	return balanceState{regions: regions[:min(len(regions), maxPlanRegions)], homes: map[uint64][]string{}, own: newOwnDemand(), heard: newHeardDemand()}
}

// balanceInEffect reports whether requests are bound to regions, or a data centre is evacuated.
func (s *State) balanceInEffect() bool {
	return s.Catalog.Manifest != nil && (s.Catalog.Manifest.HasHomes() || s.Catalog.AnyEvacuated())
}

// homesOf returns the regions in which a request may be, in a fixed order; nil for any.
func (s *State) homesOf(r *request) []string {
	if r.homes.Unrestricted() {
		return nil
	}
	bits := uint64(0)
	for i, region := range s.balance.regions {
		if r.homes.Allows(region) {
			bits |= 1 << i
		}
	}
	homes, known := s.balance.homes[bits]
	if !known {
		for i, region := range s.balance.regions {
			if bits&(1<<i) != 0 {
				homes = append(homes, region)
			}
		}
		if len(s.balance.homes) < 1<<10 {
			s.balance.homes[bits] = homes
		}
	}
	return homes
}

// planned reports whether the plan covers a request: it is for a model engine, and some region that the settings name is allowed.
func (s *State) planned(r *request) bool {
	return r.model != "" && (r.homes.Unrestricted() || len(s.homesOf(r)) > 0)
}

// chooseDataCentre notes the data centre that a request is to be tried at first, if the plan names another one than this. The plan may change
// while a request waits; the draw stays, so that the request is not moved back and forth.
func (s *State) chooseDataCentre(in step.Input, r *request) {
	r.moveTo = ""
	if !s.balance.shares.Known() || !s.planned(r) {
		return
	}
	if r.balanceDraw == 0 {
		r.balanceDraw = mix(in.Rand^r.id) | 1
	}
	if to, ok := s.balance.shares.Choose(s.Self.DataCentre, s.homesOf(r), r.balanceDraw); ok && to != s.Self.DataCentre {
		r.moveTo = to
	}
}

// rank returns the place of an upstream's data centre in the order in which a request tries them: its distance, except that the one that
// the plan names comes first.
func (r *request) rank(v *upstreamView) int {
	if r.moveTo != "" && r.moveTo == v.DataCentre {
		return -1
	}
	return v.distance
}

// firstKey identifies a list of views that begins with those of one data centre.
type firstKey struct{ service, dataCentre string }

// viewsFirstIn returns the views of a service's upstreams, those in a data centre first, then the nearest first.
func (s *State) viewsFirstIn(now time.Time, service, dataCentre string) []*upstreamView {
	all := s.viewsOf(now, service)
	if dataCentre == "" {
		return all
	}
	key := firstKey{service, dataCentre}
	list, known := s.views.firstIn[key]
	if known {
		return list
	}
	list = make([]*upstreamView, 0, len(all))
	for _, first := range []bool{true, false} {
		for _, v := range all {
			if (v.DataCentre == dataCentre) == first {
				list = append(list, v)
			}
		}
	}
	if s.views.firstIn == nil {
		s.views.firstIn = map[firstKey][]*upstreamView{}
	}
	s.views.firstIn[key] = list
	return list
}

// updateBalance computes a new plan if one is due. The plan ends at once when it is no longer in effect.
func (s *State) updateBalance(now time.Time) []step.Effect {
	b := &s.balance
	if !s.balanceInEffect() {
		b.shares, b.quotas, b.plannedAt = balance.Shares{}, nil, time.Time{}
		return nil
	}
	if now.Sub(b.plannedAt) < planInterval {
		return nil
	}
	b.plannedAt = now
	supply, engines := s.supply(now)
	demand := b.heard.estimate(now, s.Self.DataCentre, engines)
	for i, c := range supply {
		// A data centre of which nothing was heard may be full: nothing is moved there before its demand is known.
		if c.DataCentre != s.Self.DataCentre && !b.heard.knows(c.DataCentre) {
			supply[i].Work = 0
		}
	}
	b.shares = balance.Plan(b.shares, now, demand, supply)
	s.updateQuotas(now, engines)
	if now.Sub(b.loggedAt) < planLogInterval || b.shares.Difference(b.logged) < planLogChange {
		return nil
	}
	b.loggedAt, b.logged = now, b.shares
	return []step.Effect{s.describePlan(now, demand, supply)}
}

// engineCounts counts the registered engines by data centre.
type engineCounts struct {
	byDataCentre map[string]int
	total        int
}

// supply returns what the engines of each data centre can serve, and how many engines there are. A data centre that the settings name and
// that has no engines is included, because its callers have demand.
func (s *State) supply(now time.Time) ([]balance.Supply, engineCounts) {
	slots, counts := map[string]*slotCount{s.Self.DataCentre: {}}, engineCounts{byDataCentre: map[string]int{}}
	for dataCentre := range s.Self.Regions {
		slots[dataCentre] = &slotCount{}
	}
	for name, service := range s.Catalog.Manifest.Services {
		if service.Engine == nil {
			continue
		}
		required := map[string]int64{}
		for _, model := range service.Engine.Models {
			required[model] = s.requiredVersion(now, model)
		}
		for _, v := range s.viewsOf(now, name) {
			counts.byDataCentre[v.DataCentre]++
			counts.total++
			if slots[v.DataCentre] == nil {
				slots[v.DataCentre] = &slotCount{}
			}
			slots[v.DataCentre].add(now, v, required)
		}
	}
	var list []balance.Supply
	for _, dataCentre := range slices.Sorted(maps.Keys(slots)) {
		region := s.Self.Regions[dataCentre]
		if region == "" && dataCentre == s.Self.DataCentre {
			region = s.Self.Region
		}
		list = append(list, balance.Supply{DataCentre: dataCentre, Region: region, Work: slots[dataCentre].usable(), Evacuated: s.Catalog.Evacuated(dataCentre)})
	}
	return list, counts
}

// slotCount counts the slots of the engines of one data centre.
type slotCount struct {
	// heard are the slots of the engines whose agents report to this entry, heardUsable those of the usable ones among them, and others the
	// slots of the engines that are usable as far as the store says.
	heard, heardUsable, others float64
}

func (c *slotCount) add(now time.Time, v *upstreamView, required map[string]int64) {
	if v.inactive(now) {
		return
	}
	slots := float64(v.slots())
	usable := v.holdsAny(now, required) && !now.Before(v.load.avoidUntil) && !v.load.silence.lasting(now)
	switch {
	case v.noHeartbeat && usable:
		c.others += slots
	case !v.noHeartbeat:
		c.heard += slots
		silent := !v.load.reportedAt.IsZero() && !v.load.hasReport(now)
		if usable && !silent {
			c.heardUsable += slots
		}
	}
}

// usable returns the slots of the usable engines. Of those that don't report to this entry, the part is assumed to be usable that is so of the
// others: where a data centre is cut off, all of them are not.
func (c *slotCount) usable() float64 {
	if c.heard == 0 {
		return c.others
	}
	return c.heardUsable + c.others*c.heardUsable/c.heard
}

// holdsAny reports whether an engine holds weights on which requests may start. An engine that loads weights for some tenths of a second
// counts, so that the plan doesn't follow each load.
func (v *upstreamView) holdsAny(now time.Time, required map[string]int64) bool {
	for model, version := range required {
		if held := v.heldVersion(now, model); held > 0 && held >= version {
			return true
		}
	}
	return false
}

func (s *State) describePlan(now time.Time, demand []balance.Demand, supply []balance.Supply) BalanceChanged {
	e := BalanceChanged{Plan: s.balance.shares.Describe(s.Self.DataCentre)}
	var parts []string
	for _, d := range demand {
		parts = append(parts, fmt.Sprintf("%s%v %.1f", d.DataCentre, d.Homes, d.Work))
		e.OldestDemand = max(e.OldestDemand, now.Sub(d.At))
	}
	e.Demand, parts = strings.Join(parts, ", "), nil
	for _, c := range supply {
		work := fmt.Sprintf("%.0f", c.Work)
		if c.Evacuated {
			work = "evacuated"
		}
		parts = append(parts, c.DataCentre+" "+work)
	}
	e.Supply = strings.Join(parts, ", ")
	return e
}
