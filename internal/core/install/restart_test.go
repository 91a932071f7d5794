package install_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// TestVersionIsUsedInTimeAfterAllProcessesRestart activates a version while all engines hold the previous one. Three seconds later, every
// entry and every agent ends and restarts at once, while the engines keep running.
//
// It guards against requests that start on the old version after it has expired, and against load orders that come too late. With the
// fault, both are late by the time for which the processes had known of the version before the restart. A process that starts finds the
// version in the store's list, which has no activation times. If it assumes that the version was activated at that moment, it ignores the
// time that has already passed. Heartbeats and load reports carry the age, but no process is left that knows it.
func TestVersionIsUsedInTimeAfterAllProcessesRestart(t *testing.T) {
	const never = time.Duration(0)
	for _, c := range []struct {
		name      string
		restartAt time.Duration
		// survivors is the number of agents that keep running.
		survivors int
	}{
		{name: "nobody starts anew", restartAt: never},
		{name: "all but one agent start anew", restartAt: 3 * time.Second, survivors: 1},
		{name: "every process starts anew", restartAt: 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3, 10)
			f.activate(2)
			for f.now < versionLifetime+4*time.Second {
				if c.restartAt != never && f.now == c.restartAt {
					f.restart(c.survivors)
				}
				if f.now == 4*time.Second {
					f.completeAll(2)
				}
				f.pass()
			}
			assert.Empty(t, f.expired, "requests that started on version 1 after it expired, by time since the activation of version 2")
			for _, a := range f.agents {
				assert.Less(t, a.orderedAt, versionLifetime, "load order to the engine of %s, by time since the activation of version 2", a.host)
			}
		})
	}
}

// fleet simulates the reducers of entries and agents, and the agents' engines, in one data centre. It starts as version 2 is activated.
type fleet struct {
	now     time.Duration
	version int64
	entries []*forward.State
	agents  []*fleetAgent
	nextID  uint64
	// expired are the times at which requests started on version 1 although version 2 was required.
	expired []time.Duration
}

// fleetAgent is an agent with its engine. The engine keeps running when the agent ends.
type fleetAgent struct {
	host      string
	catalog   *catalog.State
	install   *install.State
	engine    install.EngineRead
	loadedBy  time.Duration
	orderedAt time.Duration
	// complete is set once all chunks of the version are on this host. It survives a restart of the agent, as stored chunks do.
	complete bool
}

const (
	// loadTime is how long an engine is unavailable during a load.
	loadTime = 1500 * time.Millisecond
	// listInterval is the interval between two lists that an agent reads.
	listInterval = 2 * time.Second
	// reportInterval is the interval between heartbeats, and between load reports.
	reportInterval = time.Second
	// fleetModel is the model of the fleet's engines.
	fleetModel = "m"
)

// host holds the settings of the fleet's hosts.
var host = hostconfig.Host{VersionLifetime: versionLifetime, SettleTime: 3 * time.Second}

func newFleet(entries, agents int) *fleet {
	f := &fleet{version: 1}
	for i := range agents {
		f.agents = append(f.agents, &fleetAgent{
			host: fmt.Sprintf("10.0.1.%d:7700", i), engine: install.EngineRead{StartedAt: 1, Loaded: map[string]int64{fleetModel: 1}}, orderedAt: time.Hour,
		})
	}
	f.entries = make([]*forward.State, entries)
	f.restart(0)
	return f
}

// restart ends and restarts all entries, and all agents but the first few. The new processes read the store's lists at once.
func (f *fleet) restart(survivors int) {
	for i := range f.entries {
		c := catalog.NewState()
		c.ListedActivatedAt = begin.Add(f.now).Add(-host.AssumedVersionAge())
		f.entries[i] = forward.NewState(forward.Self{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: "perth-a", Region: "perth", Regions: map[string]string{"perth-a": "perth"},
			Retries: hostconfig.RetryBudget{Ratio: 0.2, Base: 100, Window: 10 * time.Second}, VersionLifetime: versionLifetime,
		}, c)
		for _, ev := range f.lists() {
			c.Reduce(f.input(ev))
		}
		f.versions(func(ev step.Event) { c.Reduce(f.input(ev)) }).OnList(f.object())
	}
	for _, a := range f.agents[survivors:] {
		a.catalog, a.install = catalog.NewState(), install.NewState(a.host, versionLifetime)
		a.catalog.ListedActivatedAt = begin.Add(f.now).Add(-host.AssumedVersionAge())
		f.step(a, install.PeersChanged{Peers: f.hosts()})
		f.step(a, a.engine)
		for _, ev := range f.lists() {
			f.step(a, ev)
		}
		f.versions(func(ev step.Event) { f.step(a, ev) }).OnList(f.object())
		if a.complete {
			f.completeContent(a)
		}
	}
}

// lists returns what a starting process reads from the store in addition to the activated version: the configuration manifest, and the
// engines, which started an hour ago.
func (f *fleet) lists() []step.Event {
	route := &catalog.Route{
		Name: "reports", Host: "h", Prefix: "/reports/", Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2,
		Shares: []catalog.Share{{Service: "model", Weight: 1}}, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
	}
	events := []step.Event{catalog.StoreAnswered{}, catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: catalog.NewManifest(1, []*catalog.Route{route}, nil)}}
	var upstreams []*catalog.Upstream
	for i, a := range f.agents {
		upstreams = append(upstreams, &catalog.Upstream{
			ID: a.host, StartedAt: begin.Add(-time.Hour).UnixMilli(), Service: "model", Address: a.host, DataCentre: "perth-a", Slots: 16,
			Versions: map[string]int64{fleetModel: a.engine.Loaded[fleetModel]}, Revision: storerev.Revision{Number: int64(2 + i)},
		})
	}
	return append(events,
		catalog.UpstreamsListed{Revision: storerev.Revision{Number: 100 + f.version}, Upstreams: upstreams}, catalog.TopicListed{Topic: catalog.UpstreamTopic})
}

// versions returns a follower that converts the store's version objects to events, as in a real process.
func (f *fleet) versions(handle func(step.Event)) *storewatch.Follower {
	return storewatch.Decoder{Step: handle, Log: zerolog.Nop()}.Follower(nil, platform.VersionKind)
}

// object returns the store's object of the activated version, with the store revision.
func (f *fleet) object() (revision storerev.Revision, objects []platform.Object) {
	revision = storerev.Revision{Number: 100 + f.version}
	spec := json.RawMessage(fmt.Sprintf(`{"model":%q,"version":%d}`, fleetModel, f.version))
	return revision, []platform.Object{{Name: fleetModel, Revision: revision, Spec: spec}}
}

// activate has the operator activate a version. Every process receives it at once through its watch for changes.
func (f *fleet) activate(version int64) {
	f.version = version
	_, objects := f.object()
	for _, e := range f.entries {
		f.versions(func(ev step.Event) { e.Catalog.Reduce(f.input(ev)) }).OnChanges(objects)
	}
	for _, a := range f.agents {
		f.versions(func(ev step.Event) { f.step(a, ev) }).OnChanges(objects)
	}
}

// completeAll completes the activated version on every host.
func (f *fleet) completeAll(version int64) {
	for _, a := range f.agents {
		a.complete = true
		f.completeContent(a)
	}
}

func (f *fleet) completeContent(a *fleetAgent) {
	digest := fmt.Sprint("digest of version ", f.version)
	f.step(a, install.Resolved{Model: fleetModel, Version: f.version, Digest: digest})
	f.step(a, install.ContentComplete{Digest: digest})
}

func (f *fleet) hosts() []string {
	var list []string
	for _, a := range f.agents {
		list = append(list, a.host)
	}
	return list
}

// input returns an input with the event at the current time.
func (f *fleet) input(ev step.Event) step.Input {
	return step.Input{Now: begin.Add(f.now), Rand: step.Score(fmt.Sprint(f.nextID), ""), Event: ev}
}

// pass advances time by one tick of 100 ms, in which each entry receives a request.
func (f *fleet) pass() {
	f.now += step.TickInterval
	for _, a := range f.agents {
		if a.engine.Busy && f.now >= a.loadedBy {
			a.engine.Busy, a.engine.Loaded = false, map[string]int64{fleetModel: f.version}
		}
		f.step(a, a.engine)
	}
	for _, e := range f.entries {
		for _, a := range f.agents {
			e.Reduce(f.input(forward.LoadReported{
				Address: a.host, NotAccepting: a.install.NotAccepting(), Versions: a.install.Loaded(), Entries: len(f.entries), NearEntries: len(f.entries),
			}))
		}
	}
	if f.now%listInterval == 0 {
		for _, a := range f.agents {
			f.versions(func(ev step.Event) { f.step(a, ev) }).OnList(f.object())
		}
	}
	if f.now%reportInterval == 0 {
		f.report()
	}
	for _, e := range f.entries {
		f.request(e)
	}
}

// report exchanges the known versions and their ages between entries and agents.
func (f *fleet) report() {
	for _, e := range f.entries {
		for _, a := range f.agents {
			for _, ev := range f.reports(a.catalog) {
				e.Catalog.Reduce(f.input(ev))
			}
			for _, ev := range f.reports(e.Catalog) {
				f.step(a, ev)
			}
		}
	}
}

func (f *fleet) reports(c *catalog.State) []step.Event {
	var events []step.Event
	now := begin.Add(f.now)
	for _, n := range loadreport.Activations(now, c.ReportedActivations(now, versionLifetime)) {
		events = append(events, n.Event())
	}
	return events
}

// request sends a request to an entry. The engine that the entry chooses starts it at once.
func (f *fleet) request(e *forward.State) {
	f.nextID++
	arrived := forward.Arrived{ID: f.nextID, Host: "h", Path: "/reports/x", Model: fleetModel, Fingerprint: f.nextID}
	for _, effect := range e.Reduce(f.input(arrived)) {
		attempt, ok := effect.(forward.Send)
		if !ok {
			continue
		}
		outcome := forward.Answered
		for _, a := range f.agents {
			held := a.engine.Loaded[fleetModel]
			switch {
			case a.host != attempt.Upstream.Address:
			case a.engine.Busy:
				outcome = forward.Declined
			case attempt.Version > 0 && attempt.Version != held:
				outcome = forward.Misdirected
			case held < 2 && f.now > versionLifetime:
				f.expired = append(f.expired, f.now)
			}
		}
		e.Reduce(f.input(forward.AttemptEnded{ID: attempt.ID, Outcome: outcome}))
	}
	e.Reduce(f.input(forward.CallerGone{ID: f.nextID}))
}

// step passes an event to an agent's reducers and carries out the effects.
func (f *fleet) step(a *fleetAgent, ev step.Event) {
	in := f.input(ev)
	effects := a.catalog.Reduce(in)
	effects = append(effects, a.install.Reduce(in)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case catalog.ActivationChanged:
			n := effect.Activation
			f.step(a, install.VersionActivated{Model: n.Model, Version: n.Version, Age: in.Now.Sub(n.ActivatedAt)})
		case install.Prepare:
			f.step(a, install.Prepared{Model: effect.Model, Version: effect.Version, OK: true, CheckedAt: in.Now})
		case install.LoadOrder:
			a.orderedAt = min(a.orderedAt, f.now)
			a.engine.Busy, a.engine.OrderCount, a.loadedBy = true, a.engine.OrderCount+1, f.now+loadTime
			f.step(a, install.LoadOrderEnded{Model: effect.Model, Version: effect.Version, Accepted: true})
		}
	}
}
