package rollout

import (
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// Event is an event of this package.
type Event interface {
	step.Event
	// rollout marks the events of this package.
	rollout()
}

// OrdersEnabled is an agent's first event. From then on the agent may take the incarnation of its host and give orders.
type OrdersEnabled struct {
	Host string
	// Holder identifies the agent process; it must be unique among all processes.
	Holder string
	Timing Timing
}

// ReleaseRequested is the event that the agent shuts down. No order follows, and the incarnation is released.
type ReleaseRequested struct{}

// StateRead is the event of an engine's answer to ReadState.
type StateRead struct {
	Upstream string
	Serial   uint64
	State    EngineState
}

// StateFailed is the event of a ReadState without an answer.
type StateFailed struct {
	Upstream string
	Serial   uint64
}

// Outcome is the result of the call of an order, as far as it is known when the call ends. It has nothing to do with the outcomes
// of attempts and choices of upstreams in packages forward, run and routing.
type Outcome int

// The outcomes of an order's call. None of them shows whether the order took effect: the engine's state is read again after each.
const (
	// OrderDone means that the engine answered that it obeyed the order.
	OrderDone Outcome = iota
	// OrderRefused means that the engine has already obeyed an order with a higher fencing number.
	OrderRefused
	// OrderFailed means that the order failed or that its answer was lost.
	OrderFailed
)

// OrderEnded is the event that the call of an order has ended.
type OrderEnded struct {
	Upstream string
	Order    uint64
	Outcome  Outcome
}

// Event marks the type as an event.
func (OrdersEnabled) Event() {}

// Event marks the type as an event.
func (ReleaseRequested) Event() {}

// Event marks the type as an event.
func (StateRead) Event() {}

// Event marks the type as an event.
func (StateFailed) Event() {}

// Event marks the type as an event.
func (OrderEnded) Event() {}

func (OrdersEnabled) rollout()      {}
func (StateReadRequested) rollout() {}
func (ReleaseRequested) rollout()   {}
func (StateRead) rollout()          {}
func (StateFailed) rollout()        {}
func (OrderEnded) rollout()         {}

// StateReadRequested is the event that a request's connection to an upstream failed, so the upstream's state must be read at once.
type StateReadRequested struct{ Upstream string }

// Event marks the type as an event.
func (StateReadRequested) Event() {}

// ReadState is the effect that reads an engine's state.
type ReadState struct {
	Upstream string
	URL      string
	// Serial is returned in the StateRead or StateFailed that answers this effect.
	Serial uint64
}

// Load is the effect that orders an engine to load a version.
type Load struct {
	Upstream string
	URL      string
	// Order is the serial number of the order.
	Order uint64
	// Digest identifies the version.
	Digest string
	// Generation is the number that the engine reports for this load, unique among the loads of the host.
	Generation uint64
	// Fencing is the fencing number of the order.
	Fencing uint64
}

// SetRole is the effect that orders an engine to take a role.
type SetRole struct {
	Upstream string
	URL      string
	Order    uint64
	Role     setting.Role
	Fencing  uint64
}

// CancelOrder is the effect that aborts the call of an order at once.
type CancelOrder struct {
	Upstream string
	Order    uint64
}

// OutOfService is the effect that reports that an engine went out of service at once, without a drain, and why. With ReasonChanged
// its state no longer shows the pin under which its requests run, and the shell withholds their answers.
type OutOfService struct {
	Upstream string
	Reason   Reason
}

// Reason is the reason why an engine went out of service, as it is logged.
type Reason string

// The reasons.
const (
	ReasonChanged    Reason = "the engine's weights or boot ID changed"
	ReasonNoAnswer   Reason = "the engine does not answer"
	ReasonSuperseded Reason = "another agent has taken over this host"
)

// InService is the effect that reports that an engine serves a version.
type InService struct {
	Upstream   string
	Digest     string
	Generation uint64
	// Adopted is set when the engine did not load the version on an order under this agent's present incarnation: it already
	// held the version, for example from an order of the previous agent.
	Adopted bool
}

// DrainOverdue is the effect that reports a drain that has taken longer than Timing.DrainWarning.
type DrainOverdue struct {
	Upstream string
	// Running is the number of requests in flight.
	Running int
}

// Effect marks the type as an effect.
func (ReadState) Effect() {}

// Effect marks the type as an effect.
func (Load) Effect() {}

// Effect marks the type as an effect.
func (SetRole) Effect() {}

// Effect marks the type as an effect.
func (CancelOrder) Effect() {}

// Effect marks the type as an effect.
func (OutOfService) Effect() {}

// Effect marks the type as an effect.
func (InService) Effect() {}

// Effect marks the type as an effect.
func (DrainOverdue) Effect() {}
