package emulator

import (
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

const (
	host    = "h"
	model   = "m"
	service = "engines"
	// readEvery is how often an agent reads its engine; nearEvery and farEvery are the least times between two reports of a change, and nearCalm
	// and farCalm between two without.
	readEvery = 100 * time.Millisecond
	nearEvery = 90 * time.Millisecond
	farEvery  = 400 * time.Millisecond
	nearCalm  = 300 * time.Millisecond
	farCalm   = 900 * time.Millisecond
)

// Setup is a fleet and its work.
type Setup struct {
	// Centres is how many data centres there are; each has as many entries and engines.
	Centres, Entries, Engines int
	Terms                     EngineTerms
	Kinds                     []RequestKind
	// ReportLoss is the part of the agents' reports that are lost.
	ReportLoss float64
	// Policy is how entries decide.
	Policy forward.Policy
}

// fleet is a play.
type fleet struct {
	setup     Setup
	world     *world
	engines   []*engine
	byID      map[string]*engine
	entries   []*entry
	entriesOf [][]*entry
	requests  []*request
	// rates are the requests a second of each data centre.
	rates []float64
}

func centreName(i int) string { return fmt.Sprintf("centre-%d", i) }

// newFleet returns a fleet in which nothing has happened.
func newFleet(setup Setup, seed uint64) *fleet {
	f := &fleet{setup: setup, world: newWorld(seed), byID: map[string]*engine{}, entriesOf: make([][]*entry, setup.Centres), rates: make([]float64, setup.Centres)}
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
		f.world.every(tick, func() { e.step(tickEvent) })
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
		fleet: f, dataCentre: centreName(centre), open: map[uint64]*exchange{},
		state: forward.NewState(forward.Self{
			Name: fmt.Sprintf("entry-%d-%d", centre, i), DataCentre: centreName(centre), Region: centreName(centre), Regions: regions,
			Retries: hostconfig.Retries{Ratio: 0.2, Extra: 136, Window: 10 * time.Second}, VersionTime: 10300 * time.Millisecond, Policy: f.setup.Policy,
		}, state),
	}
	e.step(catalog.ManifestRead{Revision: 1, Manifest: f.manifest()})
	e.step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
	e.step(catalog.TopicListed{Topic: catalog.VersionTopic})
	f.entries = append(f.entries, e)
	f.entriesOf[centre] = append(f.entriesOf[centre], e)
}

func (f *fleet) manifest() *catalog.Manifest {
	var routes []*catalog.Route
	prompt := 0.0
	for _, k := range f.setup.Kinds {
		routes = append(routes, &catalog.Route{
			Name: k.Name, Host: host, Prefix: "/" + k.Name + "/", Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2,
			Shares: []catalog.Share{{Service: service, Weight: 1}}, Timeout: k.Limit, Objective: k.Objective, CallerPatience: firstPatience,
		})
		prompt += k.Share * float64(k.Prompt)
	}
	m := catalog.NewManifest(1, routes, nil)
	m.Services[service] = &catalog.Service{Name: service, Engine: &catalog.Engine{
		Slots: f.setup.Terms.Slots, ReadRate: f.setup.Terms.ReadRate, UsualPrompt: prompt, Models: []string{model},
	}}
	return m
}

// addEngine adds an engine that all entries know at once.
func (f *fleet) addEngine(centre int, id string) *engine {
	u := &catalog.Upstream{
		ID: id, Born: 1, Service: service, Address: id, DataCentre: centreName(centre), Slots: f.setup.Terms.Slots, Versions: map[string]int64{model: 1},
		Revision: int64(len(f.engines) + 1),
	}
	e := &engine{world: f.world, terms: f.setup.Terms, upstream: u, slow: 1}
	f.engines = append(f.engines, e)
	f.byID[id] = e
	for _, entry := range f.entries {
		entry.step(catalog.UpstreamChanged{Upstream: u})
	}
	f.report(e)
	return e
}

func (f *fleet) engineOf(u *catalog.Upstream) *engine { return f.byID[u.ID] }

// report has the agent beside an engine tell entries of its load.
func (f *fleet) report(e *engine) {
	type listener struct {
		told forward.LoadTold
		at   time.Duration
	}
	listeners := make([]listener, len(f.entries))
	f.world.every(readEvery, func() {
		told := forward.LoadTold{
			Address: e.upstream.Address, Born: 1, Occupied: e.occupied(), Closing: e.away, Versions: map[string]int64{model: 1},
			Leaving: e.notice.Leaving, Entries: len(f.entries), Near: f.setup.Entries,
		}
		if e.notice.Limited {
			limit := e.notice.RateLimit
			told.RateLimit = &limit
		}
		for i, entry := range f.entries {
			l := &listeners[i]
			way, least, calm := farWay, farEvery, farCalm
			if entry.dataCentre == e.upstream.DataCentre {
				way, least, calm = nearWay, nearEvery, nearCalm
			}
			since := f.world.now - l.at
			urgent := told.Closing != l.told.Closing || told.Leaving != l.told.Leaving
			if !urgent && since < calm && (told.Occupied == l.told.Occupied || since < least) {
				continue
			}
			l.told, l.at = told, f.world.now
			if f.world.random.Float64() < f.setup.ReportLoss {
				continue
			}
			f.world.after(way, func() { entry.step(told) })
		}
	})
}

// arrivals has callers of a data centre ask, at random moments.
func (f *fleet) arrivals(centre int) {
	var next func()
	next = func() {
		rate := f.rates[centre]
		if rate <= 0 {
			f.world.after(50*time.Millisecond, next)
			return
		}
		f.world.after(time.Duration(f.world.demand.ExpFloat64()/rate*float64(time.Second)), func() {
			f.ask(centre)
			next()
		})
	}
	f.world.after(0, next)
}

// load sets the requests a second of all data centres together, as a part of what the engines can do, with their shares of it.
func (f *fleet) load(part float64, shares ...float64) {
	all := part * f.setup.Capacity()
	for c := range f.rates {
		share := 1 / float64(f.setup.Centres)
		if len(shares) > 0 {
			share = shares[c]
		}
		f.rates[c] = all * share
	}
}
