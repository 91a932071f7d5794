package gateway

import (
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

// droppedDemandLogInterval is the minimum time between two log lines about demand that was dropped.
const droppedDemandLogInterval = 10 * time.Second

// droppedDemand counts the demand that was dropped since the last log line about it.
type droppedDemand struct {
	mu       sync.Mutex
	count    int
	loggedAt time.Time
}

// addDemand adds the demand at this entry to a heartbeat, and asks for the sum of its data centre where that is needed. The caller holds the
// lock.
func (g *Gateway) addDemand(now time.Time, m *loadreport.Message) {
	m.Demand = g.demand(now)
	if len(m.Demand) == 0 {
		return
	}
	g.demandSequence = g.demandSequence.Next()
	m.DemandSequence, m.WantsOwnSum = g.demandSequence, !g.forward.HearsOwnDemand(now)
}

// demand returns the demand at this entry for its heartbeats. The caller holds the lock.
func (g *Gateway) demand(now time.Time) []loadreport.Demand {
	var list []loadreport.Demand
	for _, d := range g.forward.Demand(now) {
		sent := loadreport.Demand{Homes: d.Homes, Work: d.Work}
		for priority, n := range d.Waiting {
			if n > 0 {
				sent.Waiting += n
				sent.WaitingByPriority = append(sent.WaitingByPriority, make([]int, priority+1-len(sent.WaitingByPriority))...)
				sent.WaitingByPriority[priority] = n
			}
		}
		list = append(list, sent)
	}
	if len(list) == 0 {
		return nil
	}
	return loadreport.FitDemand(list)
}

// handleDemandSums applies the sums of the demand in an agent's load report. If one of them can't be used, none is.
func (g *Gateway) handleDemandSums(m loadreport.Message) {
	if len(m.DemandSums) == 0 {
		return
	}
	ev := forward.DemandReported{Address: m.Load.Address, Sequence: m.DemandSequence}
	for _, s := range m.DemandSums {
		if !g.host.KnowsDataCentre(s.DataCentre) || !s.Valid(g.host.KnowsRegion) {
			g.countDroppedDemand(time.Now())
			return
		}
		sum := forward.DemandSum{DataCentre: s.DataCentre, Entries: s.Entries, Age: time.Duration(s.AgeMS) * time.Millisecond}
		for _, d := range s.Sets {
			sum.Sets = append(sum.Sets, balance.Demand{Homes: d.Homes, Work: d.Work})
		}
		ev.Sums = append(ev.Sums, sum)
	}
	g.step(ev)
}

// countDroppedDemand counts demand that was dropped, and logs the count from time to time.
func (g *Gateway) countDroppedDemand(now time.Time) {
	d := &g.droppedDemand
	d.mu.Lock()
	defer d.mu.Unlock()
	d.count++
	if now.Sub(d.loggedAt) >= droppedDemandLogInterval {
		logevent.Warn(g.log, logevent.DemandDropped).Int("count", d.count).Msg("demand dropped")
		d.count, d.loggedAt = 0, now
	}
}
