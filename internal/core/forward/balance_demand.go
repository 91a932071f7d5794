package forward

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// demandWindow is the time over which arrivals are averaged.
	demandWindow = 1500 * time.Millisecond
	// defaultSlotTime is how long a request takes an engine's slot, until it is measured. Requests of the users take 0.5 to 1.3 s.
	defaultSlotTime = 900 * time.Millisecond
	// slotTimeWeight is the weight of one request in the measured slot time.
	slotTimeWeight = 0.02
	// freshSums is how long an agent's sums are used. After that the last estimate remains, and ages in package balance.
	freshSums = 3 * time.Second
	// minCoverage is how many times the agents that are heard must cover all entries of this data centre on average. With fewer, an estimate
	// that is too large by chance would move requests to another region below capacity. At this value its standard deviation is 0.28 with
	// 14 entries. Estimates of the other data centres rest on few agents by design, and move no requests out of this one by themselves.
	minCoverage = 0.75
	// sumsLifetime is how long an agent's sums are kept at all, and estimateLifetime the same for an estimate. By then an estimate is worth
	// less than a thousandth.
	sumsLifetime     = 10 * time.Second
	estimateLifetime = 15 * time.Second
)

// ownDemand is the demand at this entry.
type ownDemand struct {
	slotTime time.Duration
	// arrivals are the arrivals of first tries by homes, decayed over demandWindow. Callers that return after a refusal don't count: their
	// demand counted already.
	arrivals map[string]*arrivalRate
}

// arrivalRate is a decaying count of the arrivals with one set of homes.
type arrivalRate struct {
	homes []string
	count float64
	at    time.Time
}

func newOwnDemand() ownDemand {
	return ownDemand{slotTime: defaultSlotTime, arrivals: map[string]*arrivalRate{}}
}

// decay reduces the count to its value at now.
func (a *arrivalRate) decay(now time.Time) {
	a.count *= math.Exp(-now.Sub(a.at).Seconds() / demandWindow.Seconds())
	a.at = now
}

// countArrival counts the arrival of a request for the demand of this entry.
func (s *State) countArrival(now time.Time, r *request) {
	if r.returning || !s.planned(r) {
		return
	}
	homes := s.homesOf(r)
	key := strings.Join(homes, "\n")
	a := s.balance.own.arrivals[key]
	if a == nil {
		a = &arrivalRate{homes: homes, at: now}
		s.balance.own.arrivals[key] = a
	}
	a.decay(now)
	a.count++
}

// measureSlotTime records how long an answered request took an engine's slot.
func (s *State) measureSlotTime(now time.Time, r *request, o Outcome) {
	if o == Answered && r.model != "" {
		d := &s.balance.own.slotTime
		*d += time.Duration(slotTimeWeight * float64(now.Sub(r.sentAt)-*d))
	}
}

// EntryDemand is the demand at this entry with one set of homes, for other processes.
type EntryDemand struct {
	Homes []string
	// Work is the work that arrives per second, in seconds of a slot.
	Work float64
	// Waiting are the requests that wait for capacity, by priority.
	Waiting [schedule.Priorities]int
}

// Demand returns the demand at this entry by homes, in a fixed order. It is empty where no plan can come into effect.
func (s *State) Demand(now time.Time) []EntryDemand {
	if s.Catalog.Manifest == nil || !s.Catalog.FollowsEvacuations && !s.balanceInEffect() {
		return nil
	}
	waiting := map[string]*[schedule.Priorities]int{}
	for _, r := range s.requests {
		if r.instance.ID != "" || r.queueDeadline.IsZero() || !s.planned(r) {
			continue
		}
		key := strings.Join(s.homesOf(r), "\n")
		if waiting[key] == nil {
			waiting[key] = &[schedule.Priorities]int{}
		}
		waiting[key][catalog.ClampPriority(r.priority)]++
	}
	var list []EntryDemand
	for _, key := range slices.Sorted(maps.Keys(s.balance.own.arrivals)) {
		a := s.balance.own.arrivals[key]
		a.decay(now)
		if a.count < 1e-3 {
			delete(s.balance.own.arrivals, key)
			continue
		}
		d := EntryDemand{Homes: a.homes, Work: a.count / demandWindow.Seconds() * s.balance.own.slotTime.Seconds()}
		if w := waiting[key]; w != nil {
			d.Waiting = *w
		}
		list = append(list, d)
	}
	if list == nil {
		return []EntryDemand{{}} // No demand differs from unknown demand.
	}
	return list
}

// DemandReported is the event that an agent's sums of the demand were received.
type DemandReported struct {
	// Address is the address of the agent's engine.
	Address  string
	Sequence balance.Sequence
	Sums     []DemandSum
}

// DemandDropped has the shell count sums that were dropped: the agent is unknown, or newer ones were received before.
type DemandDropped struct{}

// Effect marks the type as an effect.
func (DemandDropped) Effect() {}

// DemandSum is the demand of the entries of one data centre from which an agent gets heartbeats.
type DemandSum struct {
	DataCentre string
	// Entries is the number of these entries, and Age the mean age of what they said.
	Entries int
	Age     time.Duration
	Sets    []balance.Demand
}

// Event marks the type as an event.
func (DemandReported) Event() {}

// heardDemand is what agents said about the demand of all data centres.
type heardDemand struct {
	agents map[string]*agentSums
	// estimates are the last estimates by data centre.
	estimates map[string]estimate
}

// agentSums are the last sums of one agent, by data centre.
type agentSums struct {
	dataCentre string
	at         time.Time
	sequence   balance.Sequence
	sums       map[string]agentSum
}

type agentSum struct {
	at   time.Time
	sets []balance.Demand
}

// estimate is the estimated demand of a data centre.
type estimate struct {
	at   time.Time
	sets []balance.Demand
}

func newHeardDemand() heardDemand {
	return heardDemand{agents: map[string]*agentSums{}, estimates: map[string]estimate{}}
}

func (s *State) demandReported(in step.Input, ev DemandReported) []step.Effect {
	u := s.Catalog.UpstreamAt(ev.Address, 0)
	if u == nil {
		return []step.Effect{DemandDropped{}}
	}
	h := &s.balance.heard
	a := h.agents[ev.Address]
	if a == nil || a.dataCentre != u.DataCentre {
		a = &agentSums{dataCentre: u.DataCentre, sums: map[string]agentSum{}}
		h.agents[ev.Address] = a
	}
	// An agent whose clock was set back during its restart is believed again once its earlier sums are too old to be used.
	if in.Now.Sub(a.at) <= freshSums && !ev.Sequence.Follows(a.sequence) {
		return []step.Effect{DemandDropped{}}
	}
	a.at, a.sequence = in.Now, ev.Sequence
	for _, sum := range ev.Sums {
		a.sums[sum.DataCentre] = agentSum{at: in.Now.Add(-sum.Age), sets: sum.Sets}
	}
	return nil
}

// HearsOwnDemand reports whether an agent of this entry's data centre said lately what the demand there is. If none did, because the data
// centre has no engines or its agents are silent, the entry asks the other agents for it.
func (s *State) HearsOwnDemand(now time.Time) bool {
	return s.balance.heard.hears(now, s.Self.DataCentre)
}

// hears reports whether an agent of a data centre sent sums lately.
func (h *heardDemand) hears(now time.Time, dataCentre string) bool {
	for _, a := range h.agents {
		if a.dataCentre == dataCentre && now.Sub(a.at) <= freshSums {
			return true
		}
	}
	return false
}

// knows reports whether the demand of a data centre was heard.
func (h *heardDemand) knows(dataCentre string) bool {
	_, known := h.estimates[dataCentre]
	return known
}

// estimate returns the demand of all data centres. An agent hears only the entries that send it heartbeats: a fraction of those of its own
// data centre and a smaller one of the others, which follow from the numbers of engines; see ChooseHeartbeatTargets. The sum over some
// agents, divided by the sum of these fractions, is an estimate of the whole. Agents of the data centre itself hear the most of it. Where
// none of them is heard, those of this entry's data centre are used, and for the demand of this one all others; see HearsOwnDemand.
func (h *heardDemand) estimate(now time.Time, here string, engines engineCounts) []balance.Demand {
	h.expire(now)
	names := map[string]bool{}
	for _, a := range h.agents {
		for name := range a.sums {
			names[name] = true
		}
	}
	for name := range names {
		inside := engines.byDataCentre[name]
		in := func(dataCentre string) bool { return dataCentre == name }
		coverage := 0.0
		if name == here {
			coverage = minCoverage
		}
		if h.estimateFrom(now, name, in, fraction(maxNearAgents, inside), coverage) || name == here && h.hears(now, here) {
			continue
		}
		elsewhere := func(dataCentre string) bool { return dataCentre != name && (name == here || dataCentre == here) }
		h.estimateFrom(now, name, elsewhere, fraction(maxFarAgents, engines.total-inside), 0)
	}
	var list []balance.Demand
	for _, name := range slices.Sorted(maps.Keys(h.estimates)) {
		for _, d := range h.estimates[name].sets {
			list = append(list, balance.Demand{DataCentre: name, Homes: d.Homes, Work: d.Work, At: h.estimates[name].at})
		}
	}
	return list
}

// expire drops the sums and the estimates that are too old to be used, also while no plan is in effect.
func (h *heardDemand) expire(now time.Time) {
	maps.DeleteFunc(h.agents, func(_ string, a *agentSums) bool { return now.Sub(a.at) > sumsLifetime })
	maps.DeleteFunc(h.estimates, func(_ string, e estimate) bool { return now.Sub(e.at) > estimateLifetime })
}

// estimateFrom estimates the demand of a data centre from what the agents of the data centres that in selects said lately. heardPart is the
// part of its entries that each of them hears, and minTotal the sum of these parts from which there is an estimate. It reports whether there
// is one.
func (h *heardDemand) estimateFrom(now time.Time, name string, in func(dataCentre string) bool, heardPart, minTotal float64) bool {
	total, heard, e := 0.0, false, estimate{}
	byHomes := map[string]int{}
	for _, address := range slices.Sorted(maps.Keys(h.agents)) {
		a := h.agents[address]
		if !in(a.dataCentre) || now.Sub(a.at) > freshSums {
			continue
		}
		total += heardPart // Agents that heard none of the entries count too, or the estimate would be too large.
		sum, known := a.sums[name]
		if !known || now.Sub(sum.at) > freshSums {
			continue
		}
		heard, e.at = true, step.Later(e.at, sum.at)
		for _, d := range sum.sets {
			key := strings.Join(d.Homes, "\n")
			i, known := byHomes[key]
			if !known {
				i = len(e.sets)
				byHomes[key] = i
				e.sets = append(e.sets, balance.Demand{Homes: d.Homes})
			}
			e.sets[i].Work += d.Work
		}
	}
	if !heard || total < minTotal {
		return false
	}
	for i := range e.sets {
		e.sets[i].Work /= total
	}
	h.estimates[name] = e
	return true
}
