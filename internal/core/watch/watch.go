// Package watch is the reducer that decides which processes read the platform and when, and when a process is ready.
//
// In each data centre the first processes in rendezvous order are the watchers: they watch the settings and read the host
// list. All others receive both from their peers. Each exchange between processes carries the age of the last successful
// reading of the platform. If that age exceeds MaxAge, the watchers have probably failed, and the next process in rank reads too.
// While the platform is down, a process with a higher rank waits longer between its attempts. The rate of all attempts
// therefore grows only with the logarithm of the number of processes.
package watch

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// WatchersPerDataCentre is the number of watchers of a data centre in normal operation.
	WatchersPerDataCentre = 2
	// WatchTimeout is how long one watch call waits for changes.
	WatchTimeout = 3 * time.Second
	// MaxAge is the age of the last reading above which the watchers count as failed. The next processes in rank then take over, one
	// more for each RankDelay/2.
	MaxAge = 9 * time.Second
	// RankDelay is the wait per rank after a failed reading. Half of it is added to MaxAge for each rank after the watchers.
	RankDelay = time.Second
	// InitialRetry and MaxRetry are the minimum and maximum wait after a failed reading. A process whose wait by RankDelay is
	// longer waits that long instead.
	InitialRetry = 500 * time.Millisecond
	MaxRetry     = 4 * time.Second
	// MaxRankWait bounds the wait by rank of a process that has no settings yet.
	MaxRankWait = 10 * time.Second
	// HostsInterval is the minimum time between two readings of the host list by one process.
	HostsInterval = 2 * time.Second
	// UnlistedInterval is the time between two readings by a new process that is not on the host list yet.
	UnlistedInterval = 500 * time.Millisecond
	// HostsBytesPerSecond is the average rate, in bytes per second, at which a watcher may read the host list.
	HostsBytesPerSecond = 2500
	// listedBytes is the approximate size of one host in the host list, in bytes.
	listedBytes = 90
	// MinPeers is the number of peers whose complete state a process must have merged to become ready without the platform.
	MinPeers = 3
	// PeersTimeout is how long a process waits for that many peers once it has merged the state of one.
	PeersTimeout = 5 * time.Second
	// EngineStateTimeout is how long a new entry waits to receive the state of the engines.
	EngineStateTimeout = 3 * time.Second
	// PlatformTimeout is how long a new process waits for the platform before the state of its peers is sufficient.
	PlatformTimeout = 2 * time.Second
)

// ReadFailed is the event of a failed reading of the settings. Compacted is set when the reading failed because the platform no
// longer keeps the changes since the requested revision.
type ReadFailed struct{ Compacted bool }

// HostsFailed is the event of a failed reading of the host list.
type HostsFailed struct{}

// Event marks the type as an event.
func (ReadFailed) Event() {}

// Event marks the type as an event.
func (HostsFailed) Event() {}

// List is the effect that reads all settings.
type List struct{}

// Watch is the effect that waits for changes of settings.
type Watch struct {
	// After is the revision after which changes are returned.
	After uint64
	// Wait is the maximum wait for a change; 0 returns at once.
	Wait time.Duration
}

// ReadHosts is the effect that reads the host list.
type ReadHosts struct{}

// Effect marks the type as an effect.
func (List) Effect() {}

// Effect marks the type as an effect.
func (Watch) Effect() {}

// Effect marks the type as an effect.
func (ReadHosts) Effect() {}

// View is the part of the process's other state that the decisions depend on.
type View struct {
	// Rank is this process's position in the rendezvous order of the processes in its data centre, from 0.
	Rank int
	// Hosts is the number of listed processes without this one. Listed is set when this process is listed.
	Hosts  int
	Listed bool
	// SettingsKnown is set once every setting up to revision Floor is known. FloorCurrentAt is the last time at which Floor was known
	// to be the platform's current revision.
	SettingsKnown  bool
	Floor          uint64
	FloorCurrentAt time.Time
	// MergedPeers is the number of peers whose complete state was merged.
	MergedPeers int
	// EnginesUnknown is set while an entry has not received the state of the engines yet.
	EnginesUnknown bool
}

// State holds what a process knows of its readings of the platform.
type State struct {
	// Ready is set once the process knows enough of the settings to accept requests.
	Ready bool
	// HasRead is set once this process itself has read the settings from the platform.
	HasRead bool

	// started is the time of the first tick.
	started time.Time
	// firstPeer is when the complete state of a peer was first known to be merged.
	firstPeer time.Time
	// settingsAt is when the settings were first known.
	settingsAt time.Time
	// reading is set while a reading of the settings is in flight.
	reading bool
	// compacted is set when the platform no longer keeps the changes since the requested revision. All settings are listed then.
	compacted bool
	// failures counts the failed readings of the settings since the last successful one, except those that failed because of
	// compacted. failed is set when there are any.
	failed   bool
	failures int
	nextRead time.Time
	// readingHosts is set while a reading of the host list is in flight, hostsKnown after the first success.
	readingHosts  bool
	hostsKnown    bool
	nextHostsRead time.Time
}

// Succeeded records a successful reading of the settings.
func (s *State) Succeeded() {
	s.HasRead = true
	s.reading, s.compacted, s.failed = false, false, false
	s.failures = 0
	s.nextRead = time.Time{}
}

// Failed records a failed reading of the settings and sets the time of the next attempt.
func (s *State) Failed(in step.Input, ev ReadFailed, v View) {
	s.reading = false
	if ev.Compacted {
		s.compacted = true
		s.nextRead = in.Now.Add(InitialRetry)
		return
	}
	s.failed = true
	s.failures++
	wait := min(InitialRetry<<min(s.failures-1, 8), MaxRetry)
	rankWait := time.Duration(v.Rank) * RankDelay
	if !v.SettingsKnown {
		rankWait = min(rankWait, MaxRankWait)
	}
	wait = max(wait, rankWait)
	// Jitter of up to a quarter of the wait keeps processes that lost the platform at the same time from retrying together.
	wait += time.Duration(in.Rand % uint64(wait/4+1))
	s.nextRead = in.Now.Add(wait)
}

// HostsRead records a reading of the host list; ok is false when it failed.
func (s *State) HostsRead(in step.Input, ok bool, v View) {
	s.readingHosts = false
	s.hostsKnown = s.hostsKnown || ok
	wait := HostsInterval
	switch {
	case ok && !v.Listed && v.Hosts > 0:
		wait = UnlistedInterval
	case ok:
		wait = max(wait, time.Duration(v.Hosts)*listedBytes*time.Second/HostsBytesPerSecond)
	}
	s.nextHostsRead = in.Now.Add(wait + time.Duration(in.Rand%uint64(wait/4)))
}

// Tick returns the readings to start now.
func (s *State) Tick(in step.Input, v View) []step.Effect {
	if s.started.IsZero() {
		s.started = in.Now
	}
	var effects []step.Effect
	if s.shouldReadHosts(in.Now, v) {
		s.readingHosts = true
		effects = append(effects, ReadHosts{})
	}
	if s.reading || in.Now.Before(s.nextRead) || !s.shouldRead(in.Now, v) {
		return effects
	}
	s.reading = true
	return append(effects, s.read(v))
}

// read returns the reading that costs the platform least and still returns all changes that this process lacks.
func (s *State) read(v View) step.Effect {
	if !v.SettingsKnown || s.compacted {
		return List{}
	}
	if s.failed || !s.HasRead {
		// The first reading, and one after a failure, must return at once even without changes: it shows that the platform answers.
		return Watch{After: v.Floor}
	}
	return Watch{After: v.Floor, Wait: WatchTimeout}
}

// shouldRead reports whether this process should read the settings from the platform now.
func (s *State) shouldRead(now time.Time, v View) bool {
	if !v.SettingsKnown {
		// Peers have ListDelay to send the state, which saves the platform the listing of all settings.
		return v.Hosts == 0 && s.hostsKnown || now.Sub(s.started) >= ListDelay
	}
	return !s.HasRead && !s.Ready || s.isWatcher(now, v)
}

// ListDelay is how long a new process waits for its peers' state before it lists the settings itself.
const ListDelay = 300 * time.Millisecond

// isWatcher reports whether this process is a watcher: one of the first in rank, or one of the next in rank if the watchers
// count as failed.
func (s *State) isWatcher(now time.Time, v View) bool {
	if v.Rank < WatchersPerDataCentre {
		return true
	}
	return now.Sub(v.FloorCurrentAt) > MaxAge+time.Duration(v.Rank-WatchersPerDataCentre+1)*RankDelay/2
}

// shouldReadHosts reports whether this process should read the host list now.
func (s *State) shouldReadHosts(now time.Time, v View) bool {
	if s.readingHosts || now.Before(s.nextHostsRead) {
		return false
	}
	// A process that is not listed yet reads again, so that it can inform its peers as soon as it is.
	return !s.hostsKnown || v.Hosts == 0 || !v.Listed || s.isWatcher(now, v)
}

// BecomesReady reports whether the process becomes ready to accept requests with this call.
func (s *State) BecomesReady(now time.Time, v View) bool {
	if s.Ready || !v.SettingsKnown {
		return false
	}
	if v.MergedPeers > 0 && s.firstPeer.IsZero() {
		s.firstPeer = now
	}
	if s.settingsAt.IsZero() {
		s.settingsAt = now
	}
	if v.EnginesUnknown && now.Sub(s.settingsAt) < EngineStateTimeout {
		return false
	}
	s.Ready = s.HasRead || s.enoughPeers(now, v)
	return s.Ready
}

// enoughPeers reports whether the state of the peers is sufficient to become ready without the platform.
func (s *State) enoughPeers(now time.Time, v View) bool {
	if !s.failed && now.Sub(s.started) < PlatformTimeout {
		return false
	}
	if v.MergedPeers >= MinPeers {
		return true
	}
	return v.MergedPeers > 0 && now.Sub(s.firstPeer) >= PeersTimeout
}
