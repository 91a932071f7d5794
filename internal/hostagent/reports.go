package hostagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// listenerFor is how long an entry that greeted is told the load; entries greet each second.
	listenerFor = 3500 * time.Millisecond
	// nearInterval and farInterval are the least times between two reports to an entry that has a change to hear, in this data centre
	// and elsewhere. Entries elsewhere send work only when their own engines are full.
	nearInterval = 90 * time.Millisecond
	farInterval  = 400 * time.Millisecond
	// calmInterval is the time between two reports without a change, and nearCalm the same to entries of this data centre, which send most
	// of the work and must notice soon when this host freezes.
	calmInterval = 900 * time.Millisecond
	nearCalm     = 300 * time.Millisecond
)

// listener is an entry that hears of this engine's load.
type listener struct {
	dataCentre string
	// near is set for an entry in this data centre.
	near    bool
	greeted time.Time
	told    time.Time
	last    loadreport.Load
	// crashes is the count of quarantine.Table.Changes at which it was last told of crashes, and crashesTold is when.
	crashes     uint64
	crashesTold time.Time
	// entriesTold is when it was last told of the entries of its data centre.
	entriesTold time.Time
}

// reports are the entries that listen.
type reports struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	// crashes are what greetings told of requests that bring upstreams down; it goes on to all listeners.
	crashes *quarantine.Table
}

func newReports() reports {
	return reports{listeners: map[netip.AddrPort]*listener{}, crashes: quarantine.NewTable()}
}

// heard takes an entry's greeting and what it knows of the versions in force.
func (a *Agent) heard(from netip.AddrPort, m loadreport.Message) {
	a.neighbours.Heard(from, m)
	if m.DataCentre == "" {
		return // It is a seed's answer.
	}
	for _, n := range m.Named {
		a.Step(n.Event())
	}
	a.reports.mu.Lock()
	defer a.reports.mu.Unlock()
	a.reports.crashes.Merge(time.Now(), m.Crashes)
	l := a.reports.listeners[from]
	if l == nil {
		l = &listener{}
		a.reports.listeners[from] = l
	}
	l.greeted, l.dataCentre, l.near = time.Now(), m.DataCentre, m.DataCentre == a.host.DataCentre
}

// readEngine reads the engine's state and tells the entries of it.
func (a *Agent) readEngine(ctx context.Context) {
	a.readOnce(ctx)
	a.report()
}

func (a *Agent) readOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reading, err := a.engine.Read(ctx)
	if err != nil {
		a.Step(install.EngineFailed{})
		return
	}
	a.Step(reading)
	a.shareLink()
}

// shareLink lets transfers use as much of the link as the engine leaves.
func (a *Agent) shareLink() {
	a.mu.Lock()
	share := a.install.LinkShare()
	a.mu.Unlock()
	a.fetcher.Carry(weights.SetShare{Share: share})
}

// nameUnnamed gives models that the operator has named no version of the newest version that an engine holds, once it is known what was
// named. It waits for this host's engine, beside which the pieces may lie, but where that joins a fleet that runs: its weights are on their way
// while it starts.
func (a *Agent) nameUnnamed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	terms := a.engineTerms()
	if terms == nil || !a.catalog.Ready() || !a.install.Answered() && !a.joins() {
		return
	}
	for _, model := range terms.Models {
		if a.install.Newest(model) > 0 {
			continue
		}
		a.reduce(install.Named{Model: model, Version: a.newestHeld(model)})
	}
}

// joins tells whether this host is new to a fleet that runs. It is called with the lock held.
func (a *Agent) joins() bool {
	return a.catalog.At(a.host.Engine, 0) == nil && a.neighbours.FleetRuns()
}

// firstVersion is the version that models begin with.
const firstVersion = 1

func (a *Agent) newestHeld(model string) int64 {
	newest := int64(firstVersion)
	for _, u := range a.catalog.Upstreams {
		newest = max(newest, u.Versions[model])
	}
	return newest
}

// report tells each entry that is due the engine's load.
func (a *Agent) report() {
	now := time.Now()
	load, named := a.loadNow(now)
	a.reports.mu.Lock()
	defer a.reports.mu.Unlock()
	for address, l := range a.reports.listeners {
		if now.Sub(l.greeted) > listenerFor {
			delete(a.reports.listeners, address)
		}
	}
	load.Entries = len(a.reports.listeners)
	for _, l := range a.reports.listeners {
		if l.near {
			load.Near++
		}
	}
	a.reports.crashes.Expire(now)
	if n := a.reports.crashes.TakeDropped(); n > 0 {
		logevent.Warn(a.log, logevent.CrashesDropped).Int("count", n).Msg("crashes dropped")
	}
	crashes, changes := a.reports.crashes.Reports(now), a.reports.crashes.Changes()
	for address, l := range a.reports.listeners {
		if !l.due(now, load) && !l.dueCrashes(now, changes) {
			continue
		}
		l.told, l.last = now, load
		m := loadreport.Message{Load: &load, Named: named}
		if l.dueCrashes(now, changes) {
			l.crashes, l.crashesTold = changes, now
			m.Crashes = crashes
		}
		if now.Sub(l.entriesTold) >= calmInterval { // Told with each report they would be a good part of it.
			l.entriesTold = now
			a.neighbours.Tell(l.dataCentre, &m)
		}
		if err := a.socket.Send(address, m); err != nil {
			logevent.Info(a.log, logevent.PeerFailed).Str("peer", address.String()).Err(err).Msg("peer failed")
		}
	}
}

// calm is how long an entry may hear nothing.
func (l *listener) calm() time.Duration {
	if l.near {
		return nearCalm
	}
	return calmInterval
}

// urgent tells whether an entry that was told one load must hear of another at once: it may send what the engine does not take, or nothing to one
// that takes it.
func urgent(told, load loadreport.Load) bool {
	limited := (load.RateLimit != nil) != (told.RateLimit != nil)
	cold := (load.ColdMS > 0) != (told.ColdMS > 0)
	return limited || cold || load.Born != told.Born || load.Closing != told.Closing || load.Leaving != told.Leaving
}

// due tells whether an entry is to hear of the load now.
func (l *listener) due(now time.Time, load loadreport.Load) bool {
	since := now.Sub(l.told)
	if since >= l.calm() || urgent(l.last, load) {
		return true
	}
	if load.Occupied == l.last.Occupied {
		return false
	}
	if l.near {
		return since >= nearInterval
	}
	return since >= farInterval
}

// dueCrashes tells whether an entry is to hear of crashes now: at once of each change, and again and again, since datagrams get lost. They are
// not told with each report: at eleven a second they would be most of it.
func (l *listener) dueCrashes(now time.Time, changes uint64) bool {
	return changes != l.crashes || now.Sub(l.crashesTold) >= calmInterval
}

func (a *Agent) loadNow(now time.Time) (loadreport.Load, []loadreport.Naming) {
	a.mu.Lock()
	defer a.mu.Unlock()
	load := loadreport.Load{
		Address: a.host.Engine, Born: a.install.Born(), Occupied: a.install.Occupied(), Closing: a.install.Closing(), Versions: a.install.Loaded(),
		RateLimit: a.install.RateLimit(), Leaving: a.install.Leaving(), ColdMS: a.install.ColdLeft().Milliseconds(), Slowdown: a.install.Slowdown(),
	}
	return load, loadreport.Namings(now, a.catalog.Told(now, a.host.VersionTime))
}
