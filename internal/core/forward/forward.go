// Package forward is the entry's reducer for requests that go straight to registered upstreams: which upstream a request
// is sent to, how long it may wait for room, whether it may be sent once more, and what its caller is told at the end.
// It is pure: see package step.
//
// Three rules stand above all others. A request that may run once only is never sent again after a send that may have
// run. A caller is told "not run" only when every send is known not to have run. A request that can't be helped is
// answered at once.
package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

// Self is what an entry knows of itself.
type Self struct {
	// Name is the host's, by which its choices differ from other entries'.
	Name       string
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
	Retries hostconfig.Retries
	// VersionTime is how long after the naming of a version requests may begin on an older one.
	VersionTime time.Duration
	// Policy is DefaultPolicy unless it is set.
	Policy Policy
}

// Outcome tells how a send ended.
type Outcome string

// The outcomes.
const (
	// Answered: the upstream's whole answer was passed on, or is at hand.
	Answered Outcome = "answered"
	// ServerFailed: the upstream answered with a failure of its own; it ran the request.
	ServerFailed Outcome = "failed by the upstream"
	// NotSent: no connection was made, so that nothing reached the upstream.
	NotSent Outcome = "not sent"
	// Declined: the upstream says that it did not run the request.
	Declined Outcome = "declined"
	// Misdirected: another upstream has the address now; it did not run the request.
	Misdirected Outcome = "misdirected"
	// Broken: the connection ended or carried something else than the answer; the request may have run.
	Broken Outcome = "broken"
	// Silent: nothing came within the patience; the request may have run.
	Silent Outcome = "silent"
	// Withdrawn: the entry took it back before its answer began; the request may have run.
	Withdrawn Outcome = "withdrawn"
	// Unsent: the entry took it back before anything was sent.
	Unsent Outcome = "taken back before it was sent"
)

// ran tells whether a send with this outcome may have run.
func (o Outcome) ran() bool {
	return o.sent() && o != Declined && o != Misdirected
}

// sent tells whether anything of a send with this outcome reached its upstream.
func (o Outcome) sent() bool { return o != NotSent && o != Unsent }

// Arrived says that a caller's request was read.
type Arrived struct {
	ID   uint64
	Host string
	Path string
	Key  string
	// Model is the model that the request asks for; empty when it names none.
	Model string
	// Budget is how long the caller will wait from its head on; 0 when it does not say.
	Budget time.Duration
	// Reading is how long the reading of its body took since the head was read.
	Reading time.Duration
	// Size is the length of the body in bytes.
	Size int64
	// Prompt is the length of the prompt in tokens, and Answer that of the longest answer; 0 when it is not known.
	Prompt, Answer int
	// Fingerprint names what is asked and by whom, whatever the request's id; 0 when it is not known.
	Fingerprint uint64
}

// Began says that the first event of an answer came: the prompt has been read.
type Began struct {
	ID uint64
	// Version is the version of the weights on which the upstream began; 0 when it does not say.
	Version int64
}

// SendEnded says how a send ended.
type SendEnded struct {
	ID      uint64
	Outcome Outcome
	// Partial is set when a part of the answer was passed on, and Quiet is how long ago the last of it was.
	Partial bool
	Quiet   time.Duration
}

// TimedOut says that a request's time is over.
type TimedOut struct {
	ID uint64
	// Partial is set when a part of an answer was passed on.
	Partial bool
	// Unsent is set when nothing of the present send had been sent.
	Unsent bool
}

// CallerGone says that the caller closed its connection.
type CallerGone struct{ ID uint64 }

// LoadTold is what the agent beside an engine says of it.
type LoadTold struct {
	// Address is the engine's.
	Address string
	// Born is when the engine started; see catalog.Upstream.
	Born int64
	// Occupied counts the requests that it works on or has queued.
	Occupied int
	// Closing is set while the engine is about to load weights, or loads them.
	Closing bool
	// Versions are the versions that it holds whole, by model.
	Versions map[string]int64
	// RateLimit is the limit that the engine names to its agent, in requests a second from all entries together; nil for none.
	RateLimit *float64
	// Leaving is set when the engine tells its agent that it shuts down.
	Leaving bool
	// ColdLeft is how much longer the engine is cold, as it tells its agent; 0 when it does not say.
	ColdLeft time.Duration
	// Slowdown is how many times as long as its service says the engine takes; 0 when it does not say.
	Slowdown float64
	// Entries is how many entries listen to this agent, and Near how many of them are in its data centre.
	Entries int
	Near    int
}

// StopAsked says that a graceful shutdown began.
type StopAsked struct{}

// Event marks the type as an event.
func (Arrived) Event() {}

// Event marks the type as an event.
func (Began) Event() {}

// Event marks the type as an event.
func (SendEnded) Event() {}

// Event marks the type as an event.
func (TimedOut) Event() {}

// Event marks the type as an event.
func (CallerGone) Event() {}

// Event marks the type as an event.
func (LoadTold) Event() {}

// Event marks the type as an event.
func (StopAsked) Event() {}

// Admitted tells the shell when a request's time is over, and on which terms it runs.
type Admitted struct {
	ID    uint64
	Route *catalog.Route
	By    time.Time
}

// Send has the shell send a request to an upstream.
type Send struct {
	ID uint64
	// Number counts the sends of the request from 1.
	Number   int
	Upstream *catalog.Upstream
	// Account is the client account's name, empty when the caller has none.
	Account string
	// Homes are the regions in which the request may be.
	Homes    residency.Bound
	Priority int
	// Version is the version of weights that the upstream must hold; 0 for any.
	Version int64
	By      time.Time
	// Patience is how long nothing may come before the send counts as silent; 0 for as long as the request has.
	Patience time.Duration
	// GapPatience is the same between two events of a stream.
	GapPatience time.Duration
	// Resume is set when the answer goes on that another upstream began.
	Resume bool
	// CameBack is set when the caller was refused before, as far as can be told.
	CameBack bool
}

// Refuse ends a request without an upstream's answer.
type Refuse struct {
	ID   uint64
	Code code.Code
	Ran  code.Ran
	// Why says it in words, with what decided it.
	Why string
	// RetryAfter is when to come back; 0 for no such word.
	RetryAfter time.Duration
	// CameBack is set when the caller was refused before, as far as can be told.
	CameBack bool
}

// Deliver has the shell pass on the failure that an upstream answered with.
type Deliver struct{ ID uint64 }

// Abort ends an answer of which a part was passed on, so that it can't be taken for whole.
type Abort struct {
	ID  uint64
	Why string
}

// Effect marks the type as an effect.
func (Admitted) Effect() {}

// Effect marks the type as an effect.
func (Send) Effect() {}

// Effect marks the type as an effect.
func (Refuse) Effect() {}

// Effect marks the type as an effect.
func (Deliver) Effect() {}

// Effect marks the type as an effect.
func (Abort) Effect() {}

// request is one caller's request in flight.
type request struct {
	id uint64
	// host, path and key are what its caller sent, by which the manifest says its route and account.
	host, path, key string
	// manifest is the one by which route, service and account were looked up last; see follow.
	manifest *catalog.Manifest
	route    *catalog.Route
	service  string
	account  *catalog.Account
	// bound is where it may be, as manifest says.
	bound residency.Bound
	// named is the model that its caller named, and model the one that it is for: empty at a plain service.
	named, model string
	// fingerprint names what is asked; see package quarantine.
	fingerprint uint64
	by          time.Time
	// arrived is when its head was read.
	arrived  time.Time
	queuedBy time.Time
	// back is set when its caller was refused before, as far as can be told, so that its answer can only be late.
	back bool
	// at is the upstream that works on it; zero while none does.
	at catalog.Life
	// sentAt is when it was sent there.
	sentAt time.Time
	// prompt is the length of the prompt in tokens, and reading is set while the upstream has not answered yet.
	prompt  int
	reading bool
	// tokens is what it may take of an engine's memory: its prompt and the longest answer.
	tokens int
	// blind is set when nobody tells of the load of the engine that it is with, and keptWaiting when its first event came late there.
	blind, keptWaiting bool
	// version is the version that the present send insists on; 0 for none.
	version int64
	// sends counts all sends, runs those that may have run.
	sends int
	runs  int
	// partial is set once a part of an answer was passed on, the last of it at heardAt; until then this is when the request arrived.
	partial bool
	heardAt time.Time
	tried   map[catalog.Life]bool
}

// State is what an entry knows of its requests and of the upstreams' load.
type State struct {
	Self    Self
	Catalog *catalog.State

	// Crashes is what is known of requests that bring upstreams down; the shell tells it to other processes.
	Crashes *quarantine.Table

	requests map[uint64]*request
	loads    map[catalog.Life]*load
	targets  targets
	budgets  map[string]*budget
	limits   limits
	// broke are the upstreams at which requests broke in the last moments, by fingerprint, the oldest first.
	broke map[uint64][]breakAt
	// waiting are the requests that wait for room, by service, the oldest first.
	waiting map[string][]uint64
	// waited is when a request last began or went on to wait, by service.
	waited map[string]time.Time
	// greeted are the engines whose agents are greeted; nil before the first greeting.
	greeted map[string]bool
	// blindAgain is when requests may be sent to engines of which nobody tells, and blindFor how long that was put off last.
	blindAgain time.Time
	blindFor   time.Duration
	// blindWaiting counts the requests that wait for their first event there.
	blindWaiting int
	// nearShare and farShare are which part of the agents of this data centre and of others is greeted.
	nearShare, farShare float64
	// entries is how many entries share the budgets of repeats and the limits of upstreams, as the last agent counts them, and entryPeak as any
	// of them did of late.
	entries   int
	entryPeak peak
	stopping  bool
	// overdue are the loads with overdue requests as of the last tick, and forgot is when forget last looked.
	overdue []*load
	forgot  time.Time
}

// NewState returns a state without requests.
func NewState(self Self, c *catalog.State) *State {
	if self.Policy == (Policy{}) {
		self.Policy = DefaultPolicy()
	}
	return &State{
		Self: self, Catalog: c, requests: map[uint64]*request{}, loads: map[catalog.Life]*load{},
		budgets: map[string]*budget{}, limits: limits{}, Crashes: quarantine.NewTable(), broke: map[uint64][]breakAt{}, waiting: map[string][]uint64{}, waited: map[string]time.Time{},
	}
}

// Reduce handles one input.
func (s *State) Reduce(in step.Input) []step.Effect {
	switch ev := in.Event.(type) {
	case Arrived:
		return s.arrived(in, ev)
	case Began:
		return s.hasBegun(in, ev)
	case SendEnded:
		return s.sendEnded(in, ev)
	case TimedOut:
		return s.timedOut(in, ev)
	case CallerGone:
		return s.callerGone(in, ev.ID)
	case LoadTold:
		return s.loadTold(in, ev)
	case CrashesTold:
		return s.crashesTold(in, ev)
	case Noticed:
		return s.noticed(in, ev)
	case StopAsked:
		s.stopping = true
	case step.Tick:
		s.forget(in.Now)
		s.countOverdue(in.Now)
		s.limits.forget(in.Now)
		effects := append(s.forgetBreaks(in.Now), s.withdrawUnbegun(in)...)
		return append(effects, s.serveWaiting(in)...)
	}
	return nil
}

// Open counts the requests in flight.
func (s *State) Open() int { return len(s.requests) }
