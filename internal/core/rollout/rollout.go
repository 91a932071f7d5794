// Package rollout is the reducer that brings this host's engines to the version and role that the settings require. It reads
// each engine's state, and lets an engine serve an accepted version that it already holds. Before an order that changes an
// engine, it drains the engine. It orders the engine to load a version whose chunks are complete and verified on this host, and
// lets it serve once a reading shows that the order took effect.
//
// No decision depends on the answer to an order. A lost, repeated or late answer has no effect, because the engine's state is
// read after each order.
package rollout

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/incarnation"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

// Timing holds the intervals and timeouts of readings and orders. Zero fields take the defaults.
type Timing struct {
	// Poll is the time between two readings of an engine's state.
	Poll time.Duration
	// MaxPoll is the maximum time between two readings of an engine that does not answer.
	MaxPoll time.Duration
	// RetryDelay is the delay after a failed order; it doubles with each failure up to MaxRetryDelay.
	RetryDelay    time.Duration
	MaxRetryDelay time.Duration
	// OrderTimeout is the time after which an order counts as lost if the engine is not loading.
	OrderTimeout time.Duration
	// DrainWarning is how long a drain may take before it is reported as overdue.
	DrainWarning time.Duration
	// Incarnation holds the timing of the incarnation and its lease.
	Incarnation incarnation.Timing
	// Slots holds the timing of the slots.
	Slots slot.Timing
}

// The defaults of Timing.
const (
	DefaultPoll          = 500 * time.Millisecond
	DefaultMaxPoll       = 8 * time.Second
	DefaultRetryDelay    = time.Second
	DefaultMaxRetryDelay = 30 * time.Second
	DefaultOrderTimeout  = 5 * time.Second
	DefaultDrainWarning  = 30 * time.Second
)

// downAfter is the number of consecutive failed readings after which an engine counts as down.
const downAfter = 3

// generationBits is the number of low bits of a generation that count the loads under one incarnation. The bits above them
// are the incarnation's number.
const generationBits = 20

func (t Timing) withDefaults() Timing {
	defaults := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.Poll, DefaultPoll}, {&t.MaxPoll, DefaultMaxPoll}, {&t.RetryDelay, DefaultRetryDelay}, {&t.MaxRetryDelay, DefaultMaxRetryDelay},
		{&t.OrderTimeout, DefaultOrderTimeout}, {&t.DrainWarning, DefaultDrainWarning},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
	return t
}

// Target is the state that the settings require of an upstream.
type Target struct {
	// Digest identifies the version that the engine should hold; empty when the settings require none.
	Digest string
	// Role is the role that the engine should have; empty for any.
	Role setting.Role
	// IgnoresFencing is set when the engine obeys orders with old fencing numbers.
	IgnoresFencing bool
	// MaxUnavailable bounds the engines of the service that a rollout takes out of service at the same time.
	MaxUnavailable int
	// Rank is the engine's position, from 0, in the rollout order of the engines of its service that serve another version
	// or role.
	Rank int
	// Accepted holds the versions that engines of the service serve now. During a rollout requests may be served from them
	// too, besides Digest.
	Accepted map[string]bool
}

// accepts reports whether requests of the service may be served from a version.
func (t Target) accepts(digest string) bool {
	return digest != "" && (digest == t.Digest || t.Accepted[digest])
}

// EngineState is the state that an engine reports.
type EngineState struct {
	// BootID identifies the instance of the engine.
	BootID string
	// Digest identifies the version that the engine holds; empty for none.
	Digest string
	// Generation is the number of the load of that version.
	Generation uint64
	// Fencing is the fencing number of the last order that the engine obeyed.
	Fencing uint64
	// Loading is set while the engine loads a version.
	Loading bool
	// Role is the engine's present role.
	Role setting.Role
}

// loaded reports whether the engine holds a complete version.
func (r EngineState) loaded() bool { return r.Digest != "" && !r.Loading }

// Upstream is an engine or plain service on this agent's host. It embeds member.Upstream, the part of its state that the agent
// advertises. The other fields are known only to the agent: the upstream's URL, the last reading, the target and the order.
//
// Digest, Generation and BootID are the pin of an engine that serves or drains: the weights, their load and the engine
// instance that it was taken into service with. Each request runs under the pin that the engine had when the request started. Its
// answer counts only if the engine's state still shows all three.
type Upstream struct {
	member.Upstream
	// URL is the upstream's base address.
	URL string
	// BootID identifies the engine instance that holds the weights.
	BootID string
	// DrainOverdue is set when a drain takes longer than Timing.DrainWarning.
	DrainOverdue bool

	// target is the desired state of the engine.
	target Target
	// running counts the requests in flight on the upstream.
	running int
	// observed is the last reading. fresh is set when it is newer than the last order.
	observed EngineState
	fresh    bool
	// readInFlight is the serial of the reading in flight; 0 for none. Readings with a serial below minSerial are too old to use.
	readInFlight uint64
	minSerial    uint64
	nextReadAt   time.Time
	// failedReads counts the consecutive failed readings.
	failedReads int
	// order is the order in flight; nil for none.
	order *order
	// draining is set while requests end before an order. The phase is Idle then, but the engine still has its pin.
	draining       bool
	drainStartedAt time.Time
	// announcedNumber is the fencing number of the last order that the engine answered as obeyed.
	announcedNumber uint64
	nextOrderAt     time.Time
	// failedOrders counts the consecutive failed orders.
	failedOrders int
}

// order is an order in flight.
type order struct {
	serial uint64
	// digest is the version to load; empty for a role order.
	digest     string
	generation uint64
	role       setting.Role
	// announceOnly is set for an order that changes only the fencing number that the engine has seen.
	announceOnly bool
	fencing      uint64
	bootID       string
	startedAt    time.Time
	cancelled    bool
}

// State holds the upstreams by name.
type State struct {
	Upstreams map[string]*Upstream
	// UpstreamNames lists the upstreams' names in the order of the process's settings.
	UpstreamNames []string
	// Incarnation is nil before OrdersEnabled.
	Incarnation *incarnation.State
	// Slots holds the slots of each engine's service, by the key of their object.
	Slots map[string]*slot.Service

	timing Timing
	// serial numbers the readings and orders.
	serial uint64
	// loadCount counts the loads under the present incarnation.
	loadCount uint64
	// raiseNumber is set when an engine refused an order because of its fencing number; a higher number is needed.
	raiseNumber bool
	// renewLease is set while orders to engines that ignore fencing numbers are needed or in flight. They need a valid lease.
	renewLease bool
	releasing  bool
}

// NewState returns the initial state of an agent. The agent has not read the state of its engines, so none of them serves. Plain
// services serve from the start.
func NewState(upstreams []Upstream) *State {
	s := &State{Upstreams: map[string]*Upstream{}, timing: Timing{}.withDefaults()}
	for _, u := range upstreams {
		u.Phase = member.Idle
		if u.Kind == setting.Plain {
			u.Phase = member.Serving
		}
		s.Upstreams[u.Name] = &u
		s.UpstreamNames = append(s.UpstreamNames, u.Name)
	}
	return s
}

// SetTarget sets the state that the settings require of an upstream.
func (s *State) SetTarget(name string, t Target) {
	if u := s.Upstreams[name]; u != nil {
		u.target = t
	}
}

// Target returns the state that the settings require of the upstream.
func (u *Upstream) Target() Target { return u.target }

// RequestStarted counts a new request in flight and returns its upstream, or nil when the upstream can't accept requests.
func (s *State) RequestStarted(name string) *Upstream {
	u := s.Upstreams[name]
	if u == nil || u.Phase != member.Serving {
		return nil
	}
	u.running++
	return u
}

// RequestFinished records that a request is no longer in flight.
func (s *State) RequestFinished(name string) {
	if u := s.Upstreams[name]; u != nil {
		u.running--
	}
}

// OrderAllowed reports whether an order to the upstream may start or continue now. The shell checks it again before each part of an
// order that it sends.
func (s *State) OrderAllowed(name string, now time.Time) bool {
	u := s.Upstreams[name]
	return u != nil && s.Incarnation != nil && s.Incarnation.OrdersAllowed(now, u.target.IgnoresFencing)
}

// Reduce handles one input and returns the effects for the shell. complete reports whether all chunks of a version are on this
// host. changed reports whether the state that this host advertises changed.
func (s *State) Reduce(in step.Input, complete func(digest string) bool) (changed bool, effects []step.Effect) {
	before := s.advertised()
	effects = s.handle(in)
	effects = append(effects, s.advance(in, complete)...)
	for i, name := range s.UpstreamNames {
		changed = changed || before[i] != s.Upstreams[name].Upstream
	}
	return changed, effects
}

// advertised returns a copy of the advertised state of all upstreams.
func (s *State) advertised() []member.Upstream {
	list := make([]member.Upstream, 0, len(s.UpstreamNames))
	for _, name := range s.UpstreamNames {
		list = append(list, s.Upstreams[name].Upstream)
	}
	return list
}

func (s *State) handle(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case OrdersEnabled:
		s.timing = ev.Timing.withDefaults()
		s.Incarnation = incarnation.NewState(ev.Host, ev.Holder, ev.Timing.Incarnation)
		s.createSlots(ev)
	case ReleaseRequested:
		s.releasing = true
	case incarnation.Event:
		if s.Incarnation != nil {
			return s.Incarnation.Reduce(in)
		}
	case slot.Present:
		s.reduceSlots(in, ev.Key)
	case slot.Failed:
		s.reduceSlots(in, ev.Key)
	case StateReadRequested:
		if u := s.Upstreams[ev.Upstream]; u != nil {
			u.nextReadAt = in.Now
		}
	case StateRead:
		return s.stateRead(in, ev)
	case StateFailed:
		return s.stateFailed(in, ev)
	case OrderEnded:
		s.orderEnded(in, ev)
	}
	return nil
}

// advance starts all readings, orders and platform calls that are due.
func (s *State) advance(in step.Input, complete func(string) bool) []step.Effect {
	if s.Incarnation == nil {
		return nil
	}
	var effects []step.Effect
	s.renewLease = false
	for _, name := range s.UpstreamNames {
		u := s.Upstreams[name]
		if u.Kind != setting.Engine {
			continue
		}
		effects = append(effects, s.startRead(in, u)...)
		effects = append(effects, s.decide(in, u, complete)...)
	}
	effects = append(effects, s.advanceSlots(in)...)
	return append(effects, s.advanceIncarnation(in)...)
}

// advanceIncarnation acquires, renews or releases the incarnation.
func (s *State) advanceIncarnation(in step.Input) []step.Effect {
	if s.releasing && !s.orderInFlight() {
		s.Incarnation.Release()
	}
	if s.raiseNumber && s.Incarnation.Idle() {
		s.raiseNumber = false
		return s.Incarnation.AcquireHigher(in.Now)
	}
	return s.Incarnation.Advance(in.Now, s.renewLease)
}

// orderInFlight reports whether an order is in flight.
func (s *State) orderInFlight() bool {
	for _, u := range s.Upstreams {
		if u.order != nil {
			return true
		}
	}
	return false
}
