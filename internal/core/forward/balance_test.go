package forward_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

// The data centres of the simulation, each in a region of its own.
var centres = []string{"perth-a", "bunbury-a", "karratha-a"}

var regionOfCentre = map[string]string{"perth-a": "perth", "bunbury-a": "southwest", "karratha-a": "pilbara"}

const (
	entriesPerCentre = 3
	enginesPerCentre = 4
	simulatedSlots   = 12
	slotTime         = 900 * time.Millisecond
	// fullLoad is how many requests per second fill the slots of one data centre.
	fullLoad = enginesPerCentre * simulatedSlots / 0.9
	tickTime = 10 * time.Millisecond
)

// simulation is a fleet of entries, with engines that run as many requests as they have slots and queue the others.
type simulation struct {
	now     time.Duration
	draw    uint64
	nextID  uint64
	entries []*rig
	centre  []string
	engines map[string]*simulatedEngine
	// silent has the agents send no demand, so that no entry has a plan. lossy loses half of their sums and delays the others by 0.9 s.
	silent, lossy bool
	// offered and started count the requests by the caller's data centre, and moved those that ran in another one.
	offered, started, moved map[string]float64
	due                     map[time.Duration][]func()
	// load is the requests per second of each data centre as a part of fullLoad, of which bound are bound to their own region.
	load, bound map[string]float64
}

type simulatedEngine struct {
	dataCentre string
	running    int
	queued     []func()
}

func newSimulation() *simulation {
	s := &simulation{draw: 1, engines: map[string]*simulatedEngine{}, due: map[time.Duration][]func(){}, load: map[string]float64{}, bound: map[string]float64{}}
	for _, c := range centres {
		for i := range entriesPerCentre {
			s.entries, s.centre = append(s.entries, s.newEntry(fmt.Sprintf("%s-%d", c, i), c)), append(s.centre, c)
		}
		for i := range enginesPerCentre {
			s.engines[fmt.Sprintf("%s-m%d", c, i)] = &simulatedEngine{dataCentre: c}
		}
		s.load[c] = 1
	}
	for _, e := range s.entries {
		s.addEngines(e)
	}
	s.resetCounts()
	return s
}

func (s *simulation) newEntry(name, dataCentre string) *rig {
	var routes []*catalog.Route
	for path, homes := range map[string]residency.Regions{resumableStream: nil, nonResumableStream: {regionOfCentre[dataCentre]}} {
		routes = append(routes, &catalog.Route{Name: path, Host: "h", Prefix: path, Kind: catalog.Streaming, MaxUpstreams: 2, Shares: share("model"), Timeout: 6 * time.Second, Objective: 500 * time.Millisecond, HomeRegions: homes})
	}
	m := catalog.NewManifest(1, routes, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: simulatedSlots, Models: []string{"m"}}}
	c := catalog.NewState()
	c.FollowsEvacuations = true
	r := &rig{now: s.now, state: forward.NewState(forward.Self{
		Name: name, DataCentre: dataCentre, Region: regionOfCentre[dataCentre], Regions: regionOfCentre, Retries: hostconfig.RetryBudget{Ratio: 0.2, Base: 100, Window: 10 * time.Second},
	}, c)}
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: m})
	for _, topic := range []catalog.Topic{catalog.UpstreamTopic, catalog.VersionTopic, catalog.EvacuationTopic} {
		r.applyCatalog(catalog.TopicListed{Topic: topic})
	}
	return r
}

func (s *simulation) addEngines(r *rig) {
	for _, c := range centres {
		for i := range enginesPerCentre {
			r.add(fmt.Sprintf("%s-m%d", c, i), "model", c, simulatedSlots)
		}
	}
	r.state.ChooseHeartbeatTargets()
}

func (s *simulation) resetCounts() {
	s.offered, s.started, s.moved = map[string]float64{}, map[string]float64{}, map[string]float64{}
}

func (s *simulation) random() float64 {
	s.draw = s.draw*6364136223846793005 + 1442695040888963407
	return float64(s.draw>>11) / (1 << 53)
}

func (s *simulation) after(d time.Duration, do func()) {
	s.due[s.now+d] = append(s.due[s.now+d], do)
}

// carryOut carries out the effects of an entry.
func (s *simulation) carryOut(entry int, effects []step.Effect) {
	for _, send := range sentAttempts(effects) {
		engine := s.engines[send.Upstream.ID]
		sent := s.now
		run := func() {
			engine.running++
			if s.now-sent <= 500*time.Millisecond {
				s.started[s.centre[entry]]++
			}
			if engine.dataCentre != s.centre[entry] {
				s.moved[s.centre[entry]]++
			}
			s.carryOut(entry, s.step(entry, forward.Started{ID: send.ID}))
			length := slotTime + time.Duration(s.random()*20-10)*tickTime
			s.after(length, func() {
				engine.running--
				if len(engine.queued) > 0 {
					next := engine.queued[0]
					engine.queued = engine.queued[1:]
					next()
				}
				s.carryOut(entry, s.step(entry, forward.AttemptEnded{ID: send.ID, Outcome: forward.Answered}))
			})
		}
		if engine.running < simulatedSlots {
			run()
		} else {
			engine.queued = append(engine.queued, run)
		}
	}
}

func (s *simulation) step(entry int, ev step.Event) []step.Effect {
	s.entries[entry].now = s.now
	return s.entries[entry].step(ev)
}

// run lets time pass.
func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += tickTime {
		for _, do := range s.due[s.now] {
			do()
		}
		delete(s.due, s.now)
		for entry, c := range s.centre {
			if s.random() < s.load[c]*fullLoad/entriesPerCentre*tickTime.Seconds() {
				s.nextID++
				s.offered[c]++
				path := resumableStream
				if s.random() < s.bound[c] {
					path = nonResumableStream
				}
				s.carryOut(entry, s.step(entry, forward.Arrived{ID: s.nextID, Host: "h", Path: path + "x", Model: "m"}))
			}
			if s.now%(2*tickTime) == 0 {
				s.carryOut(entry, s.step(entry, step.Tick{}))
			}
			s.report(entry, c)
		}
	}
}

// report sends the agents' reports that are due to an entry: of its own data centre each 90 ms, of others each 400 ms, sums each 900 ms.
func (s *simulation) report(entry int, c string) {
	for i, id := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[id]
		interval, offset := 400*time.Millisecond, time.Duration((entry*7+i*13)%40)*tickTime
		if e.dataCentre == c {
			interval = 90 * time.Millisecond
		}
		if (s.now+offset)%interval == 0 {
			s.carryOut(entry, s.step(entry, forward.LoadReported{
				Address: id, RequestCount: e.running + len(e.queued), Versions: map[string]int64{"m": 1}, Entries: len(s.entries), NearEntries: entriesPerCentre,
			}))
		}
		if (s.now+offset)%(900*time.Millisecond) == 0 && !s.silent && !(s.lossy && s.random() < .5) {
			sum := forward.DemandSum{DataCentre: e.dataCentre}
			for other, oc := range s.centre {
				if oc == e.dataCentre {
					for _, d := range s.entries[other].state.Demand(begin.Add(s.now)) {
						sum.Entries++
						sum.Sets = append(sum.Sets, balance.Demand{Homes: d.Homes, Work: d.Work})
					}
				}
			}
			delay := 40 * time.Millisecond
			if s.lossy {
				delay = 900 * time.Millisecond
			}
			s.after(delay, func() {
				s.step(entry, forward.DemandReported{Address: id, Sums: []forward.DemandSum{sum}})
			})
		}
	}
}

func (s *simulation) evacuate(dataCentres ...string) {
	for _, r := range s.entries {
		r.evacuate(dataCentres...)
	}
}

// served returns the part of the requests of each data centre that started in time.
func (s *simulation) served() (perth, bunbury, karratha float64) {
	part := func(c string) float64 { return s.started[c] / s.offered[c] }
	return part(centres[0]), part(centres[1]), part(centres[2])
}
