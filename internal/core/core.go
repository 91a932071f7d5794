// Package core is the reducer over all events of a process. It composes the reducers of its sub-packages, one for each
// concern, and passes the changes of one to the others. It is pure (see package step): it returns effects, which the
// shell around it carries out.
package core

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/incarnation"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// Self identifies a process. Its configuration gives all fields except Incarnation.
type Self struct {
	Host    string
	Address string
	// Place is the data centre of the process.
	Place  string
	Region string
	Role   member.Role
	// Incarnation is the start time of the process in nanoseconds. It identifies the instance of the process. It is not the
	// fencing number of an agent, which package incarnation acquires.
	Incarnation uint64
}

// InForce is a setting in force, with the object API's revision of it.
type InForce struct {
	Setting  *setting.Setting
	Revision uint64
}

// State is the complete state of a process.
type State struct {
	Self     Self
	Records  *record.State
	Members  *member.State
	Weights  *weights.State
	Rollout  *rollout.State
	Requests *request.State
	Runs     *run.State
	Suspects *suspect.State
	// Settings holds the settings in force by object key.
	Settings map[string]InForce
	// Ready is set once the settings are complete and fresh enough to accept requests, at readyAt.
	Ready   bool
	readyAt time.Time
	// ReadyForCallers is set once the load balancer may send requests to this process.
	ReadyForCallers bool
	// Watch decides what to read from the platform and when the process is ready.
	Watch *watch.State

	// major and sequence form the version of the records that this process publishes about itself, see ownRecord. major starts
	// as Self.Incarnation and is raised by republishContested.
	major    uint64
	sequence uint64
	// published holds the values that this process last published about itself, by key.
	published map[string]string
	// publishedRouting is the routing part of the last published phases (see member.Advert.Routing). A change of other
	// parts may be published from nextPhases on. phasesPending is set while such a change waits.
	publishedRouting string
	nextPhases       time.Time
	phasesPending    bool
	nextCleanup      time.Time
	// reportedServed holds the versions that an entry reported as served, by setting key, see QueryServed.
	reportedServed map[string][]string
	nextServed     time.Time
	// leaving is set while this process accepts no new requests: during a graceful shutdown, and on an agent while its host is
	// listed as leaving. stopping is set once a graceful shutdown has begun. It is never reset.
	leaving  bool
	stopping bool
	// replan is set when settings or members have changed since the last plan.
	replan bool
	demand demandState
}

// NewState returns the state of a process that starts with the given upstreams on its host.
func NewState(self Self, upstreams []rollout.Upstream) *State {
	s := &State{
		Self:     self,
		Records:  record.NewState(record.PhasePrefix+self.Address, self.Role == member.Entry),
		Members:  member.NewState(self.Address),
		Weights:  weights.NewState(weights.Peer{Address: self.Address, Place: self.Place, Region: self.Region}),
		Rollout:  rollout.NewState(upstreams),
		Requests: request.NewState(),
		Runs:     run.NewState(self.Incarnation),
		Suspects: suspect.NewState(),
		Settings: map[string]InForce{},
		Watch:    &watch.State{},
		major:    self.Incarnation,

		published:      map[string]string{},
		reportedServed: map[string][]string{},

		replan: true,
	}
	s.Members.Place = self.Place
	s.Requests.Routing = routing.NewState(routing.Self{Name: self.Address, Place: self.Place, Region: self.Region})
	s.Requests.Fleet = admission.NewFleet(self.Address)
	return s
}

// Started is the first event of a process.
type Started struct{}

// PlatformListed is the event that all settings were read from the object API, as of Revision.
type PlatformListed struct {
	Revision uint64
	Records  []record.Record
}

// PlatformWatched is the event that the object API returned all changes of settings since the last read, up to Revision.
type PlatformWatched struct {
	Revision uint64
	Records  []record.Record
}

// StopRequested is the event that a graceful shutdown has begun.
type StopRequested struct{}

// Event marks the type as an event.
func (Started) Event() {}

// Event marks the type as an event.
func (PlatformListed) Event() {}

// Event marks the type as an event.
func (PlatformWatched) Event() {}

// Event marks the type as an event.
func (StopRequested) Event() {}

// SettingChanged is the effect that reports a new revision of a setting in force in this process.
type SettingChanged struct {
	Key      string
	Revision uint64
	Deleted  bool
}

// BadRecord is the effect that reports a record or setting that could not be encoded or decoded and was skipped.
type BadRecord struct {
	Key string
	Err error
}

// BecameReady is the effect that reports that the process can accept requests.
type BecameReady struct{}

// Effect marks the type as an effect.
func (SettingChanged) Effect() {}

// Effect marks the type as an effect.
func (BadRecord) Effect() {}

// Effect marks the type as an effect.
func (BecameReady) Effect() {}

// Reduce handles one input and returns the effects that the shell must carry out.
func (s *State) Reduce(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case Started:
		return s.advertise(in)
	case PlatformListed, PlatformWatched, watch.ReadFailed, watch.HostsFailed, member.ListRead:
		return s.reducePlatform(in)
	case ServedReceived:
		s.applyServed(ev)
		return nil
	case StopRequested:
		return s.stopRequested(in)
	case record.Published, record.Received, record.ExchangeAsked, record.ExchangeAnswered, record.CompareAsked, record.Compared,
		record.Offered, record.OfferAnswered:
		return s.reduceRecords(in)
	case member.CallFailed, member.CallSucceeded:
		s.Members.Reduce(in)
		return nil
	case weights.Event:
		return s.reduceWeights(in)
	case rollout.Event, incarnation.Event, slot.Event:
		return s.reduceRollout(in)
	case run.StartRequested, run.FenceRequested, run.FirstByte, run.LoadRead, run.CacheRead:
		return s.Runs.Reduce(in, s.Rollout, s.Suspects)
	case run.Crashed:
		return s.crashed(in, ev)
	case run.Finished:
		return s.runFinished(in, ev)
	case step.Tick:
		return s.tick(in)
	}
	return s.Requests.Reduce(in, s.Members, s.Suspects)
}

// tick passes a tick to all reducers and publishes what has changed.
func (s *State) tick(in step.Input) []step.Effect {
	effects := s.reduceRecords(in)
	effects = append(effects, s.readPlatform(in)...)
	s.updateReadyForCallers(in.Now)
	effects = append(effects, s.cleanUp(in)...)
	effects = append(effects, s.askServed(in)...)
	effects = append(effects, s.Runs.Reduce(in, s.Rollout, s.Suspects)...)
	effects = append(effects, s.Requests.Reduce(in, s.Members, s.Suspects)...)
	effects = append(effects, s.publishDemand(in)...)
	effects = append(effects, s.plan(in)...)
	effects = append(effects, s.reduceWeights(in)...)
	if s.Weights.BlockedReportDue(in) || s.phasesPending && !in.Now.Before(s.nextPhases) {
		effects = append(effects, s.advertise(in)...)
	}
	return append(effects, s.reduceRollout(in)...)
}

func (s *State) stopRequested(in step.Input) []step.Effect {
	s.leaving = true
	s.stopping = true
	s.Requests.Reduce(withEvent(in, request.StopRequested{}), s.Members, s.Suspects)
	s.Runs.Reduce(withEvent(in, run.StopRequested{}), s.Rollout, s.Suspects)
	return s.advertise(in)
}

// withEvent returns the input with another event.
func withEvent(in step.Input, ev step.Event) step.Input {
	in.Event = ev
	return in
}

func (s *State) reduceWeights(in step.Input) []step.Effect {
	effects := s.Weights.Reduce(in)
	for _, e := range effects {
		if _, done := e.(weights.Completed); done {
			return append(effects, s.reduceRollout(in)...)
		}
	}
	return effects
}

func (s *State) reduceRollout(in step.Input) []step.Effect {
	changed, effects := s.Rollout.Reduce(in, s.Weights.Complete)
	if !changed {
		return effects
	}
	return append(effects, s.advertise(in)...)
}
