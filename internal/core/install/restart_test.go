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
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

// TestAVersionIsInUseInTimeThoughEveryProcessStartedAnew names a version while all engines hold the one before, and has every entry and every
// agent end three seconds later and start again at once, the engines going on.
//
// What is seen: for as long as the processes had known of the version before they ended, requests go on to begin on the old one after its time,
// and engines that could have loaded the new one are ordered to after it.
// How it comes about: a process that starts finds the version in the store's list and takes it to have been named at that moment. The age
// travels with greetings and reports, but nobody is left who knew it.
// Cause: a version's time is counted from the moment at which a process heard of it, and runs from the store's confirmation. The store's list
// does not say how long ago that was.
func TestAVersionIsInUseInTimeThoughEveryProcessStartedAnew(t *testing.T) {
	const never = time.Duration(0)
	for _, c := range []struct {
		name      string
		restartAt time.Duration
		// survivors is how many agents go on.
		survivors int
	}{
		{name: "nobody starts anew", restartAt: never},
		{name: "all but one agent start anew", restartAt: 3 * time.Second, survivors: 1},
		{name: "every process starts anew", restartAt: 3 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(3, 10)
			f.name(2)
			for f.now < versionTime+4*time.Second {
				if c.restartAt != never && f.now == c.restartAt {
					f.restart(c.survivors)
				}
				if f.now == 4*time.Second {
					f.bring(2)
				}
				f.pass()
			}
			assert.Empty(t, f.late, "requests that began on version 1 after its time, by the time since version 2 was named")
			for _, a := range f.agents {
				assert.Less(t, a.orderedAt, versionTime, "the order to the engine of %s, since version 2 was named", a.host)
			}
		})
	}
}

// fleet is entries and agents with their engines in one data centre, as far as their reducers go. It starts as version 2 is named.
type fleet struct {
	now     time.Duration
	version int64
	entries []*forward.State
	agents  []*fleetAgent
	nextID  uint64
	// late are the times at which requests began on version 1 that had to begin on version 2.
	late []time.Duration
}

// fleetAgent is an agent with its engine, which goes on when the agent ends.
type fleetAgent struct {
	host      string
	catalog   *catalog.State
	install   *install.State
	engine    install.EngineRead
	loadedBy  time.Duration
	orderedAt time.Duration
	// here is set once the chunks of the version are on this host, which they stay when the agent ends: they lie at the engine.
	here bool
}

const (
	// loadTime is how long an engine is away for a load.
	loadTime = 1500 * time.Millisecond
	// listInterval is the time between two lists of an agent.
	listInterval = 2 * time.Second
	// tellInterval is the time between two greetings, and between two reports.
	tellInterval = time.Second
	// fleetModel is the model of the fleet's engines.
	fleetModel = "m"
)

// host has the settings of the fleet's hosts.
var host = hostconfig.Host{VersionTime: versionTime, Settle: 3 * time.Second}

func newFleet(entries, agents int) *fleet {
	f := &fleet{version: 1}
	for i := range agents {
		f.agents = append(f.agents, &fleetAgent{
			host: fmt.Sprintf("10.0.1.%d:7700", i), engine: install.EngineRead{Born: 1, Loaded: map[string]int64{fleetModel: 1}}, orderedAt: time.Hour,
		})
	}
	f.entries = make([]*forward.State, entries)
	f.restart(0)
	return f
}

// restart has all entries and all agents but the first few end and start again. They read the store's lists at once.
func (f *fleet) restart(survivors int) {
	for i := range f.entries {
		c := catalog.NewState()
		c.ListedSince = begin.Add(f.now).Add(-host.ListedAge())
		f.entries[i] = forward.NewState(forward.Self{
			Name: fmt.Sprintf("entry-%d", i), DataCentre: "perth-a", Region: "perth", Regions: map[string]string{"perth-a": "perth"},
			Retries: hostconfig.Retries{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}, VersionTime: versionTime,
		}, c)
		for _, ev := range f.lists() {
			c.Reduce(f.input(ev))
		}
		f.versions(func(ev step.Event) { c.Reduce(f.input(ev)) }).Listed(f.object())
	}
	for _, a := range f.agents[survivors:] {
		a.catalog, a.install = catalog.NewState(), install.NewState(a.host, versionTime)
		a.catalog.ListedSince = begin.Add(f.now).Add(-host.ListedAge())
		f.step(a, install.PeersChanged{Peers: f.hosts()})
		f.step(a, a.engine)
		for _, ev := range f.lists() {
			f.step(a, ev)
		}
		f.versions(func(ev step.Event) { f.step(a, ev) }).Listed(f.object())
		if a.here {
			f.complete(a)
		}
	}
}

// lists are what a process reads of the store when it starts beside the version in force: the manifest, and the engines, which started an hour
// ago and hold version 1.
func (f *fleet) lists() []step.Event {
	route := &catalog.Route{
		Name: "reports", Host: "h", Prefix: "/reports/", Kind: catalog.Streaming, Resumable: true, MaxUpstreams: 2,
		Shares: []catalog.Share{{Service: "model", Weight: 1}}, Timeout: 6 * time.Second, Objective: 500 * time.Millisecond,
	}
	events := []step.Event{catalog.StoreHeard{}, catalog.ManifestRead{Revision: 1, Manifest: catalog.NewManifest(1, []*catalog.Route{route}, nil)}}
	var upstreams []*catalog.Upstream
	for i, a := range f.agents {
		upstreams = append(upstreams, &catalog.Upstream{
			ID: a.host, Born: begin.Add(-time.Hour).UnixMilli(), Service: "model", Address: a.host, DataCentre: "perth-a", Slots: 16,
			Versions: map[string]int64{fleetModel: a.engine.Loaded[fleetModel]}, Revision: int64(2 + i),
		})
	}
	return append(events,
		catalog.UpstreamsListed{Revision: 100 + f.version, Upstreams: upstreams}, catalog.TopicListed{Topic: catalog.UpstreamTopic})
}

// versions turns objects of the store that name versions into events, as a process does.
func (f *fleet) versions(take func(step.Event)) *storewatch.Follower {
	return storewatch.Beliefs{Step: take, Log: zerolog.Nop()}.Follower(nil, platform.VersionKind)
}

// object is the store's object that names the version in force, with the store's revision.
func (f *fleet) object() (revision int64, objects []platform.Object) {
	revision = 100 + f.version
	spec := json.RawMessage(fmt.Sprintf(`{"model":%q,"version":%d}`, fleetModel, f.version))
	return revision, []platform.Object{{Name: fleetModel, Revision: revision, Spec: spec}}
}

// name has the operator name a version, of which every process hears at once by its wait for changes.
func (f *fleet) name(version int64) {
	f.version = version
	_, objects := f.object()
	for _, e := range f.entries {
		f.versions(func(ev step.Event) { e.Catalog.Reduce(f.input(ev)) }).Changed(objects)
	}
	for _, a := range f.agents {
		f.versions(func(ev step.Event) { f.step(a, ev) }).Changed(objects)
	}
}

// bring has the chunks of a version come to every host.
func (f *fleet) bring(version int64) {
	for _, a := range f.agents {
		a.here = true
		f.complete(a)
	}
}

func (f *fleet) complete(a *fleetAgent) {
	digest := fmt.Sprint("digest of version ", f.version)
	f.step(a, install.Resolved{Model: fleetModel, Version: f.version, Digest: digest})
	f.step(a, install.Complete{Digest: digest})
}

func (f *fleet) hosts() []string {
	var list []string
	for _, a := range f.agents {
		list = append(list, a.host)
	}
	return list
}

// input is an event at this moment.
func (f *fleet) input(ev step.Event) step.Input {
	return step.Input{Now: begin.Add(f.now), Rand: step.Score(fmt.Sprint(f.nextID), ""), Event: ev}
}

// pass lets a tenth of a second go by, in which each entry gets a request.
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
			e.Reduce(f.input(forward.LoadTold{
				Address: a.host, Closing: a.install.Closing(), Versions: a.install.Loaded(), Entries: len(f.entries), Near: len(f.entries),
			}))
		}
	}
	if f.now%listInterval == 0 {
		for _, a := range f.agents {
			f.versions(func(ev step.Event) { f.step(a, ev) }).Listed(f.object())
		}
	}
	if f.now%tellInterval == 0 {
		f.tell()
	}
	for _, e := range f.entries {
		f.request(e)
	}
}

// tell has entries and agents tell one another the versions that they know, with their ages.
func (f *fleet) tell() {
	for _, e := range f.entries {
		for _, a := range f.agents {
			for _, ev := range f.told(a.catalog) {
				e.Catalog.Reduce(f.input(ev))
			}
			for _, ev := range f.told(e.Catalog) {
				f.step(a, ev)
			}
		}
	}
}

func (f *fleet) told(c *catalog.State) []step.Event {
	var events []step.Event
	now := begin.Add(f.now)
	for _, n := range loadreport.Namings(now, c.Told(now, versionTime)) {
		events = append(events, n.Event())
	}
	return events
}

// request has a request come to an entry, and be begun by the engine to which it is sent at once.
func (f *fleet) request(e *forward.State) {
	f.nextID++
	arrived := forward.Arrived{ID: f.nextID, Host: "h", Path: "/reports/x", Model: fleetModel, Fingerprint: f.nextID}
	for _, effect := range e.Reduce(f.input(arrived)) {
		send, ok := effect.(forward.Send)
		if !ok {
			continue
		}
		outcome := forward.Answered
		for _, a := range f.agents {
			held := a.engine.Loaded[fleetModel]
			switch {
			case a.host != send.Upstream.Address:
			case a.engine.Busy:
				outcome = forward.Declined
			case send.Version > 0 && send.Version != held:
				outcome = forward.Misdirected
			case held < 2 && f.now > versionTime:
				f.late = append(f.late, f.now)
			}
		}
		e.Reduce(f.input(forward.SendEnded{ID: send.ID, Outcome: outcome}))
	}
	e.Reduce(f.input(forward.CallerGone{ID: f.nextID}))
}

// step has an agent's reducers take an event, and carries out what they answer.
func (f *fleet) step(a *fleetAgent, ev step.Event) {
	in := f.input(ev)
	effects := a.catalog.Reduce(in)
	effects = append(effects, a.install.Reduce(in)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case catalog.NamingChanged:
			n := effect.Naming
			f.step(a, install.Named{Model: n.Model, Version: n.Version, Age: in.Now.Sub(n.Since)})
		case install.Prepare:
			f.step(a, install.Prepared{Model: effect.Model, Version: effect.Version, OK: true, Checked: in.Now})
		case install.Order:
			a.orderedAt = min(a.orderedAt, f.now)
			a.engine.Busy, a.engine.Sequence, a.loadedBy = true, a.engine.Sequence+1, f.now+loadTime
			f.step(a, install.OrderEnded{Model: effect.Model, Version: effect.Version, Accepted: true})
		}
	}
}
