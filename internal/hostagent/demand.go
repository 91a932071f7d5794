package hostagent

import (
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// demandSumInterval is how often the sums of the demand are computed; they are sent with the entries, every idleInterval.
	demandSumInterval = 300 * time.Millisecond
	// demandLogInterval is the minimum time between two log lines about demand that was dropped.
	demandLogInterval = 10 * time.Second
)

// demandSums passes on what entries said of their demand, summed by data centre. The sums cover the entries whose heartbeats reach this
// agent, which are a sample in a large fleet. The receivers know how large a part of the entries that is; see package forward.
type demandSums struct {
	sums       []loadreport.DemandSum
	computedAt time.Time
	// next is the index of the data centre that follows this one's in the sums. It advances with each computation, because the sums of all
	// data centres may not fit into a load report.
	next int
	// dropped counts the demand that was dropped since the last log line about it, which was written at loggedAt.
	dropped  int
	loggedAt time.Time
	// sequence is that of the last report with sums.
	sequence balance.Sequence
}

// recordDemand keeps what an entry said of its demand. Demand that can't be used is dropped; the rest of the heartbeat is used. The caller
// holds the lock.
func (a *Agent) recordDemand(now time.Time, s *subscriber, m loadreport.Message) {
	if len(m.Demand) == 0 {
		return
	}
	if !a.host.KnowsDataCentre(m.DataCentre) || !loadreport.ValidDemand(m.Demand, a.host.KnowsRegion) {
		a.reporter.demand.dropped++
		return
	}
	// An entry whose clock was set back during its restart is believed again once its earlier demand has no effect.
	if now.Sub(s.demandAt) <= subscriberTimeout && !m.DemandSequence.Follows(s.demandSequence) {
		a.reporter.demand.dropped++
		return
	}
	s.demand, s.demandAt, s.demandSequence, s.wantsOwnSum = m.Demand, now, m.DemandSequence, m.WantsOwnSum
}

// updateDemandSums computes the sums, this data centre's first, and logs what was dropped. The caller holds the lock.
func (a *Agent) updateDemandSums(now time.Time) {
	d := &a.reporter.demand
	if d.dropped > 0 && now.Sub(d.loggedAt) >= demandLogInterval {
		logevent.Warn(a.log, logevent.DemandDropped).Int("count", d.dropped).Msg("demand dropped")
		d.dropped, d.loggedAt = 0, now
	}
	if now.Sub(d.computedAt) < demandSumInterval {
		return
	}
	d.computedAt, d.sums = now, nil
	lists, ages := map[string][][]loadreport.Demand{}, map[string]time.Duration{}
	for _, s := range a.reporter.subscribers {
		if len(s.demand) > 0 && now.Sub(s.demandAt) <= subscriberTimeout {
			lists[s.dataCentre] = append(lists[s.dataCentre], s.demand)
			ages[s.dataCentre] += now.Sub(s.demandAt)
		}
	}
	if len(lists) == 0 {
		return
	}
	sum := func(dataCentre string) loadreport.DemandSum {
		n := len(lists[dataCentre])
		return loadreport.SumDemand(dataCentre, (ages[dataCentre] / time.Duration(max(1, n))).Milliseconds(), lists[dataCentre])
	}
	// The sum of this data centre is sent even if none of its entries was heard: it then has no demand as far as this agent knows.
	d.sums = append(d.sums, sum(a.host.DataCentre))
	delete(lists, a.host.DataCentre)
	others := slices.Sorted(maps.Keys(lists))
	d.next++
	for i := range others {
		d.sums = append(d.sums, sum(others[(i+d.next)%len(others)]))
	}
	d.sums = loadreport.FitSums(d.sums)
}

// addSums adds the sums for an entry to a load report. The caller holds the lock.
func (d *demandSums) addSums(s *subscriber, m *loadreport.Message) {
	if m.DemandSums = d.sumsFor(s); len(m.DemandSums) > 0 {
		d.sequence = d.sequence.Next()
		m.DemandSequence = d.sequence
	}
}

// sumsFor returns the sums for an entry. One of another data centre gets the sum of this one only, to spare the links between regions: it
// hears agents of the other data centres itself. If it hears none of its own data centre, it gets the sum of that, too. The caller holds
// the lock.
func (d *demandSums) sumsFor(s *subscriber) []loadreport.DemandSum {
	if s.near || len(d.sums) <= 1 {
		return d.sums
	}
	sums := slices.Clone(d.sums[:1])
	for _, sum := range d.sums[1:] {
		if s.wantsOwnSum && sum.DataCentre == s.dataCentre {
			sums = append(sums, sum)
		}
	}
	return sums
}
