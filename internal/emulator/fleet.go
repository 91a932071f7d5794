package emulator

import (
	"fmt"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	host      = "h"
	modelName = "m"
	service   = "engines"
	// readInterval is how often an agent reads its engine. localMinInterval and remoteMinInterval are the minimum times between two reports when the
	// load changes; localIdleInterval and remoteIdleInterval are the times between two reports when it doesn't.
	readInterval       = 100 * time.Millisecond
	localMinInterval   = 90 * time.Millisecond
	remoteMinInterval  = 400 * time.Millisecond
	localIdleInterval  = 300 * time.Millisecond
	remoteIdleInterval = 900 * time.Millisecond
)

// Setup describes a fleet and its callers.
type Setup struct {
	// Centres is the number of data centres. Entries and Engines are the numbers in each of them.
	Centres, Entries, Engines int
	EngineModel               EngineModel
	Kinds                     []RequestKind
	// ReportLoss is the fraction of the agents' load reports that are lost.
	ReportLoss float64
	// Policy is the policy by which entries choose upstreams.
	Policy forward.Policy
}

// fleet is a simulated fleet with its callers.
type fleet struct {
	setup      Setup
	simulation *simulation
	engines    []*engine
	byID       map[string]*engine
	entries    []*entry
	entriesOf  [][]*entry
	requests   []*request
	// rates are the requests a second from each data centre.
	rates []float64
}

func centreName(i int) string { return fmt.Sprintf("centre-%d", i) }

// newFleet returns a fleet at the start of a simulation, before any request.
func newFleet(setup Setup, seed uint64) *fleet {
	f := &fleet{setup: setup, simulation: newSimulation(seed), byID: map[string]*engine{}, entriesOf: make([][]*entry, setup.Centres), rates: make([]float64, setup.Centres)}
	for c := range setup.Centres {
		for i := range setup.Entries {
			f.addEntry(c, i)
		}
	}
	for c := range setup.Centres {
		for i := range setup.Engines {
			f.addEngine(c, fmt.Sprintf("engine-%d-%d", c, i))
		}
	}
	for _, e := range f.entries {
		f.simulation.every(tickInterval, func() { e.step(tickEvent) })
	}
	for c := range setup.Centres {
		f.arrivals(c)
	}
	return f
}

func (f *fleet) addEntry(centre, i int) {
	regions := map[string]string{}
	for c := range f.setup.Centres {
		regions[centreName(c)] = centreName(c)
	}
	state := catalog.NewState()
	e := &entry{
		fleet: f, dataCentre: centreName(centre), inFlight: map[uint64]*exchange{},
		state: forward.NewState(forward.Self{
			Name: fmt.Sprintf("entry-%d-%d", centre, i), DataCentre: centreName(centre), Region: centreName(centre), Regions: regions,
			Retries: hostconfig.RetryBudget{Ratio: 0.2, Base: 136, Window: 10 * time.Second}, VersionLifetime: 10300 * time.Millisecond, Policy: f.setup.Policy,
		}, state),
	}
	e.step(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: f.manifest()})
	e.step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
	e.step(catalog.TopicListed{Topic: catalog.VersionTopic})
	f.entries = append(f.entries, e)
	f.entriesOf[centre] = append(f.entriesOf[centre], e)
}

func (f *fleet) manifest() *catalog.Manifest {
	var routes []*catalog.Route
	accounts := map[string]*catalog.ClientAccount{}
	prompt, answer := 0.0, 0.0
	for _, k := range f.setup.Kinds {
		routes = append(routes, &catalog.Route{
			Name: k.Name, Host: host, Prefix: "/" + k.Name + "/", Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2,
			Shares: []catalog.Share{{Service: service, Weight: 1}}, Timeout: k.Limit, Objective: k.Objective, CallerTimeout: firstEventTimeout, Priority: k.Priority,
		})
		accounts[k.Account] = &catalog.ClientAccount{Name: k.Account}
		prompt += k.Share * float64(k.Prompt)
		answer += k.Share * float64(k.Events)
	}
	m := catalog.NewManifest(1, routes, accounts)
	model := f.setup.EngineModel
	m.Services[service] = &catalog.Service{Name: service, Engine: &catalog.Engine{
		Slots: f.setup.EngineModel.Slots, PromptTokensPerSecond: f.setup.EngineModel.ReadRate, MeanPromptTokens: prompt, Models: []string{modelName},
		MeanAnswerTokens: answer * float64(model.TokensPerEvent), StepTime: model.PassTime + time.Duration(model.Slots)*model.PerSequence,
	}}
	return m
}

// addEngine adds an engine, which all entries know at once.
func (f *fleet) addEngine(centre int, id string) *engine {
	u := &catalog.Upstream{
		ID: id, StartedAt: 1, Service: service, Address: id, DataCentre: centreName(centre), Slots: f.setup.EngineModel.Slots, Versions: map[string]int64{modelName: 1},
		Revision: storerev.Revision{Number: int64(len(f.engines) + 1)},
	}
	e := &engine{simulation: f.simulation, model: f.setup.EngineModel, upstream: u, slowdown: 1}
	f.engines = append(f.engines, e)
	f.byID[id] = e
	for _, entry := range f.entries {
		entry.step(catalog.UpstreamChanged{Upstream: u})
	}
	f.startReports(e)
	return e
}

func (f *fleet) engineOf(u *catalog.Upstream) *engine { return f.byID[u.ID] }

// startReports has the agent of an engine report its load to the entries.
func (f *fleet) startReports(e *engine) {
	type listener struct {
		loadReport forward.LoadReported
		at         time.Duration
	}
	listeners := make([]listener, len(f.entries))
	f.simulation.every(readInterval, func() {
		loadReport := forward.LoadReported{
			Address: e.upstream.Address, StartedAt: 1, RequestCount: e.occupied(), NotAccepting: e.notAccepting, Versions: map[string]int64{modelName: 1},
			Leaving: e.notice.Leaving, Entries: len(f.entries), NearEntries: f.setup.Entries,
		}
		if e.notice.Limited {
			limit := e.notice.RateLimit
			loadReport.RateLimit = &limit
		}
		for i, entry := range f.entries {
			l := &listeners[i]
			latency, minInterval, idleInterval := remoteLatency, remoteMinInterval, remoteIdleInterval
			if entry.dataCentre == e.upstream.DataCentre {
				latency, minInterval, idleInterval = localLatency, localMinInterval, localIdleInterval
			}
			since := f.simulation.now - l.at
			urgent := loadReport.NotAccepting != l.loadReport.NotAccepting || loadReport.Leaving != l.loadReport.Leaving
			if !urgent && since < idleInterval && (loadReport.RequestCount == l.loadReport.RequestCount || since < minInterval) {
				continue
			}
			l.loadReport, l.at = loadReport, f.simulation.now
			if f.simulation.random.Float64() < f.setup.ReportLoss {
				continue
			}
			f.simulation.after(latency, func() { entry.step(loadReport) })
		}
	})
}

// arrivals creates the requests of a data centre as a Poisson process.
func (f *fleet) arrivals(centre int) {
	var next func()
	next = func() {
		rate := f.rates[centre]
		if rate <= 0 {
			f.simulation.after(50*time.Millisecond, next)
			return
		}
		f.simulation.after(time.Duration(f.simulation.demand.ExpFloat64()/rate*float64(time.Second)), func() {
			f.newRequest(centre, f.drawKind())
			next()
		})
	}
	f.simulation.after(0, next)
}

// burst adds requests of one kind from all data centres between two times. They come in equal intervals, at a rate that is a fraction of
// what the engines can do of this kind.
func (f *fleet) burst(kind string, utilization float64, from, to time.Duration) {
	i := slices.IndexFunc(f.setup.Kinds, func(k RequestKind) bool { return k.Name == kind })
	k := &f.setup.Kinds[i]
	only := f.setup
	only.Kinds = []RequestKind{{Share: 1, Prompt: k.Prompt, Events: k.Events}}
	interval := time.Duration(float64(time.Second) / (utilization * only.Capacity()))
	n := 0
	for at := from; at < to; at += interval {
		n++
		centre := n % f.setup.Centres
		f.simulation.after(at, func() { f.newRequest(centre, k) })
	}
}

// load sets the request rate of all data centres together, as a fraction of the engines' capacity, and each data centre's share of it. Without shares
// it is the same for all.
func (f *fleet) load(utilization float64, shares ...float64) {
	all := utilization * f.setup.Capacity()
	for c := range f.rates {
		share := 1 / float64(f.setup.Centres)
		if len(shares) > 0 {
			share = shares[c]
		}
		f.rates[c] = all * share
	}
}
