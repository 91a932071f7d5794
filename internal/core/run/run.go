// Package run is the agent's reducer for requests that entries send to it. It decides whether a request may start on
// an upstream and under which weights. If it may not, the reducer reports whether the request ran.
//
// The package belongs to the first product's path: internal/entry with core/request and core/routing, then internal/agent
// with core/run, and core/rollout for loading. On the users' platform, gateway with core/forward and hostagent with
// core/install do the same.
//
// An attempt is unknown, queued, running, or over. Only suspects are queued: requests that may crash an upstream and
// therefore wait to run alone on it. The outcome of an attempt that is over is kept for a time. A late copy of its
// message is then refused, and a late fence call for it gets the right answer.
package run

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// OutcomeRetention is how long the outcome of an attempt is kept by its ID. After that, a late copy is recognized
	// by its entry's sequence number.
	OutcomeRetention = 2 * time.Minute
	// maxKnownEntries is the maximum number of entry instances for which a sequence number is kept.
	maxKnownEntries = 4096
)

// ID identifies one attempt of one request.
type ID struct {
	Request string
	Attempt int
}

// Message holds the fields by which an entry's message identifies an attempt.
type Message struct {
	ID ID
	// Incarnation is the start time of the agent's instance that the entry addressed, in nanoseconds. It is not the
	// fencing number of package incarnation.
	Incarnation uint64
	// Entry identifies the entry's instance, and Sequence counts the attempts that it sent.
	Entry    string
	Sequence uint64
}

// Run is one attempt that is queued or running.
type Run struct {
	Message
	Upstream    string
	Fingerprint string
	// Exclusive requires that no other request runs on the upstream at the same time.
	Exclusive bool
	// bootID identifies the engine's instance that runs the request.
	bootID string
	// Shared is set when another request ran on the upstream at any time during the run.
	Shared bool
	// call is the message that the shell answers for this run.
	call   uint64
	queued bool
}

// outcome is the outcome of an attempt that is over, and until when it is kept.
type outcome struct {
	Message
	ran   code.Ran
	until time.Time
}

// State holds the queued and running attempts, and the outcomes of those that are over.
type State struct {
	// Running holds the attempts that are queued or running.
	Running map[ID]*Run
	// incarnation is the start time of this instance of the agent, in nanoseconds.
	incarnation uint64
	// runningOn holds the running attempts by upstream, and queues the suspects that wait to run alone on it.
	runningOn map[string]map[ID]*Run
	queues    map[string][]ID
	// outcomes holds the outcomes of the attempts that are over.
	outcomes map[ID]outcome
	// outcomeOrder lists the outcomes, the oldest first.
	outcomeOrder []ID
	// crashedBootIDs holds, by upstream, the boot ID of the last instance that crashed during a run.
	crashedBootIDs map[string]string
	// maxForgotten holds, by entry instance, the highest sequence number whose outcome was dropped. knownEntries
	// lists these instances, the oldest first.
	maxForgotten map[string]uint64
	knownEntries []string
	// stopping is set while no new work is accepted: after the start of a graceful shutdown or while the host is
	// leaving.
	stopping bool
	// Load limits and reports the load of each upstream.
	Load *Load
}

// NewState returns the initial state of an agent. incarnation is the start time of its instance, in nanoseconds.
func NewState(incarnation uint64) *State {
	return &State{
		incarnation: incarnation,
		Running:     map[ID]*Run{}, runningOn: map[string]map[ID]*Run{}, queues: map[string][]ID{},
		outcomes: map[ID]outcome{}, maxForgotten: map[string]uint64{}, Load: NewLoad(),
		crashedBootIDs: map[string]string{},
	}
}

// StartRequested is the event that an entry requests the start of an attempt.
type StartRequested struct {
	// Call identifies the message that the shell answers. Two copies of a message have different calls.
	Call uint64
	Message
	Upstream string
	// Fingerprint identifies the request by its content, independent of its sender.
	Fingerprint string
	// Exclusive requires that no other request runs on the upstream at the same time.
	Exclusive bool
	// Digest, if set, identifies the only version of the weights that the request may run under.
	Digest string
}

// Finished is the event that a run is over.
type Finished struct {
	ID ID
	// Ran reports whether the request ran; empty means unknown.
	Ran code.Ran
	// Complete is set when the answer is complete.
	Complete bool
}

// Crashed is the event that the upstream crashed during a run.
type Crashed struct{ ID ID }

// FenceRequested is the event that an entry abandoned an attempt. The attempt must not start from now on.
type FenceRequested struct {
	Call uint64
	Message
}

// StopRequested is the event that a graceful shutdown has started.
type StopRequested struct{}

// Leaving is the event that the host stops taking new work although the process keeps running, or, if Active is false,
// that the host takes new work again.
type Leaving struct{ Active bool }

// Event marks the type as an event.
func (StartRequested) Event() {}

// Event marks the type as an event.
func (Finished) Event() {}

// Event marks the type as an event.
func (Crashed) Event() {}

// Event marks the type as an event.
func (FenceRequested) Event() {}

// Event marks the type as an event.
func (StopRequested) Event() {}

// Event marks the type as an event.
func (Leaving) Event() {}

// Start is the effect that starts the request on the upstream, pinned to the version of the weights that Digest identifies.
type Start struct {
	Call       uint64
	ID         ID
	Upstream   string
	Kind       setting.Kind
	URL        string
	Digest     string
	Generation uint64
	// BootID identifies the engine's instance that holds these weights.
	BootID string
}

// Join is the effect that answers a message with the answer of the run that another copy of the message started.
type Join struct {
	Call uint64
	ID   ID
}

// Refuse is the effect that reports to the entry that the attempt does not start, and whether it ran earlier.
type Refuse struct {
	Call uint64
	ID   ID
	Code code.Code
	Ran  code.Ran
}

// FenceAnswer is the effect that reports to the entry whether the attempt that it abandoned ran. If Running is set, the
// attempt is running and the shell cancels it.
type FenceAnswer struct {
	Call    uint64
	ID      ID
	Ran     code.Ran
	Running bool
}

// Effect marks the type as an effect.
func (Start) Effect() {}

// Effect marks the type as an effect.
func (Join) Effect() {}

// Effect marks the type as an effect.
func (Refuse) Effect() {}

// Effect marks the type as an effect.
func (FenceAnswer) Effect() {}

// SuspectStatuses returns the status on a request's fingerprint: whether it is suspect or quarantined.
type SuspectStatuses interface {
	Status(now time.Time, fingerprint string) suspect.Status
}

// Reduce handles one input.
func (s *State) Reduce(in step.Input, upstreams *rollout.State, statuses SuspectStatuses) []step.Effect {
	switch ev := in.Event.(type) {
	case StartRequested:
		return s.handleStartRequested(in, ev, upstreams, statuses)
	case Crashed:
		if r := s.Running[ev.ID]; r != nil {
			s.crashedBootIDs[r.Upstream] = r.bootID
		}
	case Finished:
		return s.handleFinished(in, ev, upstreams)
	case FenceRequested:
		return s.handleFenceRequested(in, ev)
	case StopRequested:
		s.stopping = true
		s.Load.leaving = true
	case Leaving:
		s.stopping = ev.Active
		s.Load.leaving = ev.Active
	case FirstByte, LoadRead, CacheRead:
		s.Load.reduce(in)
	case step.Tick:
		s.expireOutcomes(in.Now)
		return s.refuseQueues(in, upstreams)
	}
	return nil
}

// serving reports whether an upstream accepts requests. After a crash, an engine accepts none until a read of its state has
// shown a new boot ID.
func (s *State) serving(upstreams *rollout.State, name string) bool {
	u := upstreams.Upstreams[name]
	if u == nil || u.Phase != member.Serving {
		return false
	}
	return u.BootID == "" || s.crashedBootIDs[name] != u.BootID
}
