package hostagent

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// subscriberTimeout is how long after its last heartbeat an entry still receives load reports; entries send a heartbeat each second.
	subscriberTimeout = 3500 * time.Millisecond
	// nearMinInterval and farMinInterval are the minimum times between two reports to an entry when the engine's request count has changed,
	// for an entry in this data centre and for one in another. Entries in other data centres send requests here only when their own engines are full.
	nearMinInterval = 90 * time.Millisecond
	farMinInterval  = 400 * time.Millisecond
	// idleInterval is the time between two reports without a change. nearIdleInterval is the same for entries of this data centre, which send
	// most of the requests and must notice quickly when this host freezes.
	idleInterval     = 900 * time.Millisecond
	nearIdleInterval = 300 * time.Millisecond
)

// subscriber is an entry that sent a heartbeat within subscriberTimeout. Such an entry receives this engine's load reports.
type subscriber struct {
	dataCentre string
	// near is set for an entry in this data centre.
	near bool
	// heartbeatAt is when its last heartbeat arrived. reportedAt is when a message was last sent to it, and lastLoad the last load report.
	heartbeatAt time.Time
	reportedAt  time.Time
	lastLoad    loadreport.Load
	// loadWithheld is set if the last message had no load report because the engine was silent.
	loadWithheld bool
	// crashChanges is the value of quarantine.Table.Changes when crashes were last sent to the entry, at crashesSentAt.
	crashChanges  uint64
	crashesSentAt time.Time
	// evidence decides when the entry is sent what is known of parts and requests that crash upstreams.
	evidence attribution.Schedule
	// entriesSentAt is when the list of entries of its data centre was last sent to it.
	entriesSentAt time.Time
	// demand is what the entry last said of its demand, at demandAt.
	demand         []loadreport.Demand
	demandAt       time.Time
	demandSequence balance.Sequence
	// wantsOwnSum is set if the entry asked for the sum of its own data centre.
	wantsOwnSum bool
}

// reporter holds the subscribers, and what is passed on to all of them.
type reporter struct {
	mu          sync.Mutex
	subscribers map[netip.AddrPort]*subscriber
	// crashes holds the requests that crash upstreams, as reported in heartbeats. It is passed on to all subscribers.
	crashes *quarantine.Table
	// parts holds the crashes that parts of prompts may have caused. It is passed on in the same way.
	parts *attribution.Table
	// quarantinedRequests holds the requests that are quarantined as a whole. It is passed on with parts.
	quarantinedRequests *attribution.Table
	demand              demandSums
}

func newReporter() reporter {
	return reporter{
		subscribers: map[netip.AddrPort]*subscriber{}, crashes: quarantine.NewTable(), parts: attribution.NewTable(attribution.Observer{}), quarantinedRequests: attribution.NewTable(attribution.Observer{}),
		demand: demandSums{sequence: balance.Sequence{Start: time.Now().UnixMilli()}},
	}
}

// handleHeartbeat handles an entry's heartbeat, with the versions and crashes that the entry knows.
func (a *Agent) handleHeartbeat(from netip.AddrPort, m loadreport.Message) {
	a.storePeers.HandleMessage(from, m)
	if m.Evidence != nil {
		a.reporter.mergeEvidence(time.Now(), *m.Evidence)
	}
	if m.DataCentre == "" {
		return // A seed's response or evidence, not a heartbeat.
	}
	for _, n := range m.Activations {
		a.Step(n.Event())
	}
	a.reporter.mu.Lock()
	defer a.reporter.mu.Unlock()
	a.reporter.crashes.Merge(time.Now(), m.Crashes)
	s := a.reporter.subscribers[from]
	if s == nil {
		s = &subscriber{}
		a.reporter.subscribers[from] = s
	}
	s.heartbeatAt, s.dataCentre, s.near = time.Now(), m.DataCentre, m.DataCentre == a.host.DataCentre
	a.recordDemand(s.heartbeatAt, s, m)
}

// pollEngine reads the engine's state and reports it to the entries.
func (a *Agent) pollEngine(ctx context.Context) {
	a.readEngineState(ctx)
	a.sendReports()
}

func (a *Agent) readEngineState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, engineReadTimeout)
	defer cancel()
	state, err := a.engine.ReadState(ctx)
	if err != nil {
		a.Step(install.EngineFailed{Silent: errors.Is(ctx.Err(), context.DeadlineExceeded)})
		return
	}
	a.Step(state)
	a.updateLinkShare()
}

// updateLinkShare lets transfers use the part of the link that the engine does not need.
func (a *Agent) updateLinkShare() {
	a.mu.Lock()
	share := a.install.LinkShare()
	a.mu.Unlock()
	a.fetcher.Execute(weights.SetShare{Share: share})
}

// activateDefaultVersions activates a version for each model without a version activated by the operator: the newest one that any engine
// of the fleet holds, or the first version. It does so once the operator's activations are known. It also waits for this host's engine,
// because chunks may be staged there. If this host joins a running fleet, it doesn't wait for the engine, so that the weights are fetched
// while the engine starts.
func (a *Agent) activateDefaultVersions() {
	a.mu.Lock()
	defer a.mu.Unlock()
	engine := a.engineConfig()
	if engine == nil || !a.catalog.Ready() || !a.install.Answered() && !a.joinsRunningFleet() {
		return
	}
	for _, model := range engine.Models {
		if a.install.NewestVersion(model) > 0 {
			continue
		}
		a.reduce(install.VersionActivated{Model: model, Version: a.newestVersionInFleet(model)})
	}
}

// joinsRunningFleet reports whether this host is new to a running fleet. The caller holds the lock.
func (a *Agent) joinsRunningFleet() bool {
	return a.catalog.UpstreamAt(a.host.Engine, 0) == nil && a.storePeers.JoinedRunningFleet()
}

// initialVersion is the first version of a model.
const initialVersion = 1

func (a *Agent) newestVersionInFleet(model string) int64 {
	newest := int64(initialVersion)
	for _, u := range a.catalog.Upstreams {
		newest = max(newest, u.Versions[model])
	}
	return newest
}

// sendReports sends a message to each entry to which one is due. While the engine is silent, the message has no load report. The entry's last
// one then ages, as if this host were frozen, and the entry uses the engine only if no other can be used.
func (a *Agent) sendReports() {
	now := time.Now()
	load, versions := a.currentLoad(now)
	silent := a.engineSilent()
	a.reporter.mu.Lock()
	defer a.reporter.mu.Unlock()
	for address, s := range a.reporter.subscribers {
		if now.Sub(s.heartbeatAt) > subscriberTimeout {
			delete(a.reporter.subscribers, address)
		}
	}
	load.Entries = len(a.reporter.subscribers)
	for _, s := range a.reporter.subscribers {
		if s.near {
			load.NearEntries++
		}
	}
	a.updateDemandSums(now)
	a.reporter.crashes.Expire(now)
	a.reporter.parts.Expire(now)
	a.reporter.quarantinedRequests.Expire(now)
	if n := a.reporter.crashes.TakeDropped() + a.reporter.parts.TakeDropped(); n > 0 {
		logevent.Warn(a.log, logevent.CrashesDropped).Int("count", n).Msg("crashes dropped")
	}
	crashes, changes := a.reporter.crashes.Reports(now), a.reporter.crashes.Changes()
	a.sendEvidence(now)
	for address, s := range a.reporter.subscribers {
		if !s.reportDue(now, load, silent) && !s.crashesDue(now, changes) {
			continue
		}
		m := loadreport.Message{Activations: versions}
		s.reportedAt, s.loadWithheld = now, silent
		if !silent {
			s.lastLoad, m.Load = load, &load
		}
		if s.crashesDue(now, changes) {
			s.crashChanges, s.crashesSentAt = changes, now
			m.Crashes = crashes
		}
		if now.Sub(s.entriesSentAt) >= idleInterval { // Sent with each report, the entries would take up much of it.
			s.entriesSentAt = now
			a.storePeers.AddEntries(s.dataCentre, &m)
			if !silent { // An entry takes sums only with a load report.
				a.reporter.demand.addSums(s, &m)
			}
		}
		if err := a.socket.Send(address, m); err != nil {
			logevent.Info(a.log, logevent.PeerFailed).Str("peer", address.String()).Err(err).Msg("peer failed")
		}
	}
}

// maxInterval returns the maximum time between two reports to the entry.
func (s *subscriber) maxInterval() time.Duration {
	if s.near {
		return nearIdleInterval
	}
	return idleInterval
}

// needsImmediateReport reports whether a change from the previous to the current load report must be sent at once. Otherwise an entry may send
// requests that the engine does not accept, or none to an engine that accepts them.
func needsImmediateReport(previous, current loadreport.Load, near bool) bool {
	limited := (current.RateLimit != nil) != (previous.RateLimit != nil)
	cold := (current.ColdMS > 0) != (previous.ColdMS > 0)
	ready := readyChanged(previous, current)
	return limited || cold || near && ready || current.StartedAt != previous.StartedAt || current.NotAccepting != previous.NotAccepting || current.Leaving != previous.Leaving
}

// maxReadyChange is the change of the predicted time at which the engine accepts requests that is reported to near entries at once. The entries
// let callers wait or return by it.
const maxReadyChange = 300 * time.Millisecond

// readyChanged reports whether the prediction has changed by more than maxReadyChange, or to or from unknown.
func readyChanged(previous, current loadreport.Load) bool {
	if (previous.ReadyMS > 0) != (current.ReadyMS > 0) {
		return true
	}
	return time.Duration(max(current.ReadyMS-previous.ReadyMS, previous.ReadyMS-current.ReadyMS))*time.Millisecond > maxReadyChange
}

// aged returns a load report whose prediction is counted from now, for one that was sent the given time ago.
func aged(load loadreport.Load, elapsed time.Duration) loadreport.Load {
	if load.ReadyMS > 0 {
		load.ReadyMS = max(1, load.ReadyMS-elapsed.Milliseconds())
	}
	return load
}

// readiness returns in how many milliseconds the engine is expected to accept requests again, and with which version. Both are 0 while it
// accepts requests and if the time is unknown. The caller holds the lock.
func (a *Agent) readiness(now time.Time) (ms, version int64) {
	at, version, ok := a.install.Ready(now)
	if !ok {
		a.metrics.EngineReady.Set(0)
		return 0, 0
	}
	remaining := max(time.Millisecond, at.Sub(now))
	a.metrics.EngineReady.Set(remaining)
	return remaining.Milliseconds(), version
}

// reportDue reports whether a message is to be sent to the entry now. silent is set while the engine is silent.
func (s *subscriber) reportDue(now time.Time, load loadreport.Load, silent bool) bool {
	elapsed := now.Sub(s.reportedAt)
	if elapsed >= s.maxInterval() {
		return true
	}
	if silent {
		return false
	}
	if s.loadWithheld || needsImmediateReport(aged(s.lastLoad, elapsed), load, s.near) {
		return true
	}
	if load.RequestCount == s.lastLoad.RequestCount {
		return false
	}
	if s.near {
		return elapsed >= nearMinInterval
	}
	return elapsed >= farMinInterval
}

// crashesDue reports whether crashes are to be sent to the entry now. They are sent at once after each change, and repeatedly, because
// datagrams get lost. They are not sent with each report: at eleven reports a second they would take up most of the traffic.
func (s *subscriber) crashesDue(now time.Time, changes uint64) bool {
	return changes != s.crashChanges || now.Sub(s.crashesSentAt) >= idleInterval
}

// engineSilent reports whether the engine is silent and may go on.
func (a *Agent) engineSilent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.install.Silent()
}

// currentLoad returns the load report of the engine, and the activations to send with it.
func (a *Agent) currentLoad(now time.Time) (loadreport.Load, []loadreport.Activation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	readyMS, readyVersion := a.readiness(now)
	load := loadreport.Load{
		Address: a.host.Engine, StartedAt: a.install.StartedAt(), RequestCount: a.install.RequestCount(), NotAccepting: a.install.NotAccepting(), Versions: a.install.Loaded(),
		ReadyMS: readyMS, ReadyVersion: readyVersion, RateLimit: a.install.RateLimit(), Leaving: a.install.Leaving(), ColdMS: a.install.ColdRemaining().Milliseconds(), Slowdown: a.install.Slowdown(),
	}
	return load, loadreport.Activations(now, a.catalog.ReportedActivations(now, a.host.VersionLifetime))
}
