// Package install is the agent's reducer that brings one engine to the versions of weights in force: it asks for the
// version's manifest, waits until every chunk is on this host, has the pieces laid out for the engine and read back,
// and orders the engine to load them, in turn with the other engines. It is pure: see package step.
//
// No decision rests on the answer to an order: a lost, repeated or late one is settled by reading the engine.
package install

import (
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// resolveTimeout is how long the question what a version consists of may be unanswered.
	resolveTimeout = 4 * time.Second
	// resolveRetry is the wait before a manifest that could not be had is asked for again.
	resolveRetry = 100 * time.Millisecond
	// prepareRetry is the wait after pieces could not be laid out.
	prepareRetry = 200 * time.Millisecond
	// orderRetry is the wait after an order that showed no effect. An order that was accepted shows as busy at the next reading.
	orderRetry = 500 * time.Millisecond
	// orderSilent is how long an order may be unanswered.
	orderSilent = 3 * time.Second
	// maxCheckAge is how old the oldest reading of a piece may be when the engine is ordered to load. Stored pieces can go bad;
	// an engine that loads one soon after its check is within what the platform tolerates.
	maxCheckAge = 2 * time.Second
	// servingShare is the part of the host's link that transfers may use while the engine works on requests: its answers take the same way.
	servingShare = 0.8
	// idleShare is the same while the engine is idle; what the hosts tell one another takes the rest.
	idleShare = 0.92
	// engineSilent is how long an engine may not answer before it counts as down: some readings, which are made each 100 ms.
	engineSilent = 800 * time.Millisecond
)

// Phase is where a version stands on this host.
type Phase string

// The phases of a version.
const (
	// Resolving: it is being found out what the version consists of.
	Resolving Phase = "resolving"
	// Fetching: its chunks are on their way.
	Fetching Phase = "fetching"
	// Whole: every chunk is on this host.
	Whole Phase = "whole"
)

// The phases of an engine, for a model.
const (
	// Idle: the engine is left alone.
	Idle Phase = "idle"
	// Waiting: the engine is to load, and waits for its turn.
	Waiting Phase = "waiting for its turn"
	// Preparing: the pieces are being laid out and read back.
	Preparing Phase = "preparing"
	// Ordering: an order is with the engine.
	Ordering Phase = "ordering"
	// Loading: the engine finishes what runs and loads.
	Loading Phase = "loading"
)

// Named says that a version of a model is to be on the engine.
type Named struct {
	Model   string
	Version int64
	// Age is how long it has been in force at least.
	Age time.Duration
}

// Resolved says what a version consists of; an empty digest says that it could not be found out.
type Resolved struct {
	Model   string
	Version int64
	Digest  string
}

// Refuted says that the origin now tells something else of what a digest stands for, so that one of the two was spoilt.
type Refuted struct{ Digest string }

// Complete says that every chunk of a digest is on this host.
type Complete struct{ Digest string }

// EngineRead is a reading of the engine.
type EngineRead struct {
	// Born is when the engine started, in milliseconds since 1970; 0 when it does not say.
	Born int64
	// Loaded are the versions that it holds whole, by model.
	Loaded map[string]int64
	// Busy is set while an order is in progress.
	Busy bool
	// Sequence counts the orders that it accepted since its start.
	Sequence int64
	// Occupied counts the requests that it works on or has queued.
	Occupied int
	// Slowdown is how many times as long as its service says it takes; 0 when it does not say.
	Slowdown float64
	// Notice is what it says of itself beside that.
	Notice catalog.Notice
}

// EngineFailed says that the engine did not answer a reading.
type EngineFailed struct{}

// Prepared says whether the pieces of a version lie at the engine, each read back and right.
type Prepared struct {
	Model   string
	Version int64
	OK      bool
	// Checked is when the first piece was read back.
	Checked time.Time
}

// OrderEnded says that the engine answered an order, or that the call failed.
type OrderEnded struct {
	Model   string
	Version int64
	// Accepted is set when the engine took the order.
	Accepted bool
}

// PeersChanged says which hosts bring weights to engines of the same service.
type PeersChanged struct{ Peers []string }

// Event marks the type as an event.
func (Named) Event() {}

// Event marks the type as an event.
func (Resolved) Event() {}

// Event marks the type as an event.
func (Refuted) Event() {}

// Event marks the type as an event.
func (Complete) Event() {}

// Event marks the type as an event.
func (EngineRead) Event() {}

// Event marks the type as an event.
func (EngineFailed) Event() {}

// Event marks the type as an event.
func (Prepared) Event() {}

// Event marks the type as an event.
func (OrderEnded) Event() {}

// Event marks the type as an event.
func (PeersChanged) Event() {}

// Resolve has the shell find out what a version consists of.
type Resolve struct {
	Model   string
	Version int64
	// Try counts the tries before this one. The more there were, the more hosts ask the origin themselves.
	Try int
}

// Fetch says that the versions whose chunks are wanted on this host have changed; see State.Wanted.
type Fetch struct{}

// Want is a version whose chunks are to be on this host.
type Want struct {
	Model   string
	Version int64
	Digest  string
}

// Prepare has the shell lay the pieces out for the engine and read each back.
type Prepare struct {
	Model   string
	Version int64
	Digest  string
}

// Order has the shell order the engine to load.
type Order struct {
	Model   string
	Version int64
	// Sequence is what the engine's count of orders must be.
	Sequence int64
	// Checked is when the first piece was read back; an order later than MaxAge after it must not be sent.
	Checked time.Time
	MaxAge  time.Duration
}

// Moved tells the shell that a model entered a phase, for its log.
type Moved struct {
	Model   string
	Version int64
	Phase   Phase
	Why     string
}

// Effect marks the type as an effect.
func (Resolve) Effect() {}

// Effect marks the type as an effect.
func (Fetch) Effect() {}

// Effect marks the type as an effect.
func (Prepare) Effect() {}

// Effect marks the type as an effect.
func (Order) Effect() {}

// Effect marks the type as an effect.
func (Moved) Effect() {}

// version is one version of a model on its way to the engine.
type version struct {
	number int64
	digest string
	phase  Phase
	// next is when a manifest that could not be had is asked for again, and tries how often it was.
	next  time.Time
	tries int
}

// model is what is known of one model.
type model struct {
	name string
	// named is when each version was named, as far as known, also those that the engine will leave out: their time ends that of the
	// versions before them all the same.
	named map[int64]time.Time
	// versions are those that the engine may still need, the oldest first; see keep.
	versions []*version
	// phase is where the engine stands, and loading the version that it is about.
	phase   Phase
	loading int64
	// next is when the phase may go on.
	next time.Time
}

// State is what an agent knows of its engine and of the versions that it should hold.
type State struct {
	// Self is this host's address among the peers.
	Self string
	// VersionTime is how long after the naming of a version requests may still begin on an older one.
	VersionTime time.Duration

	models map[string]*model
	peers  []string
	engine EngineRead
	// readAt is when the engine last answered.
	readAt time.Time
	// bornAt is the latest start of the engine that is known; see EngineRead.
	bornAt int64
	// complete are the digests whose chunks are all here.
	complete map[string]bool
}

// NewState returns the state of a fresh agent.
func NewState(self string, versionTime time.Duration) *State {
	return &State{Self: self, VersionTime: versionTime, models: map[string]*model{}, complete: map[string]bool{}}
}

// Loaded returns the versions that the engine holds whole, by model.
func (s *State) Loaded() map[string]int64 { return s.engine.Loaded }

// Closing tells whether the engine takes no new requests now or in a moment.
func (s *State) Closing() bool {
	for _, m := range s.models {
		if m.phase == Ordering || m.phase == Loading {
			return true
		}
	}
	return s.engine.Busy
}

// LinkShare is the part of the host's link that transfers may use, above 0 up to 1: nearly the whole while the engine answers nobody.
func (s *State) LinkShare() float64 {
	if s.engine.Occupied > 0 {
		return servingShare
	}
	return idleShare
}

// Answered tells whether the engine has ever answered.
func (s *State) Answered() bool { return !s.readAt.IsZero() }

// Born is when the engine started, as of its last reading.
func (s *State) Born() int64 { return s.engine.Born }

// ColdLeft is how much longer the engine says that it is cold; 0 when it does not say.
func (s *State) ColdLeft() time.Duration { return s.engine.Notice.ColdLeft }

// Slowdown is how many times as long as its service says the engine takes; 0 for no longer, or when it does not say.
func (s *State) Slowdown() float64 {
	if s.engine.Slowdown <= 1 {
		return 0
	}
	return s.engine.Slowdown
}

// RateLimit is the limit that the engine names, in requests a second from all entries together; nil for none.
func (s *State) RateLimit() *float64 {
	if !s.engine.Notice.Limited {
		return nil
	}
	limit := s.engine.Notice.RateLimit
	return &limit
}

// Leaving tells whether the engine says that it shuts down.
func (s *State) Leaving() bool { return s.engine.Notice.Leaving }

// Occupied counts the requests at the engine.
func (s *State) Occupied() int { return s.engine.Occupied }

// Wanted returns the versions whose chunks are to be on this host, those that are here whole included: other hosts may still need
// them.
func (s *State) Wanted() []Want {
	var wants []Want
	for _, name := range s.Models() {
		for _, v := range s.models[name].versions {
			if v.digest != "" {
				wants = append(wants, Want{Model: name, Version: v.number, Digest: v.digest})
			}
		}
	}
	return wants
}

// Newest returns the newest version of a model that was named; 0 for none.
func (s *State) Newest(name string) int64 {
	if m := s.models[name]; m != nil {
		return m.newest().number
	}
	return 0
}

// Models returns the names of the models, sorted.
func (s *State) Models() []string {
	names := make([]string, 0, len(s.models))
	for name := range s.models {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Reduce handles one input.
func (s *State) Reduce(in step.Input) []step.Effect {
	var effects []step.Effect
	switch ev := in.Event.(type) {
	case Named:
		effects = s.named(in, ev)
	case Resolved:
		effects = s.resolved(in, ev)
	case Refuted:
		effects = s.refuted(in, ev)
	case Complete:
		s.complete[ev.Digest] = true
	case EngineRead:
		effects = s.engineRead(in, ev)
	case EngineFailed:
		s.engineFailed(in.Now)
	case Prepared:
		effects = s.prepared(in, ev)
	case OrderEnded:
		effects = s.orderEnded(in, ev)
	case PeersChanged:
		s.peers = ev.Peers
	}
	return append(effects, s.advance(in)...)
}
