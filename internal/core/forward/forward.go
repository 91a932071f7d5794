// Package forward is the reducer of the entry on the users' platform, for requests that are forwarded to registered upstreams. It
// decides which upstream a request is sent to, how long it may wait for capacity, whether it may be retried, and which answer its
// caller gets at the end. The package is pure: see package step.
//
// Package gateway is the shell of this reducer. Packages hostagent and core/install are the agent's side on the same platform. The
// first product's path is separate: package entry with core/request and core/routing.
//
// Three rules take precedence over all others. A request that may run only once is never retried after an attempt that may have
// run. A caller gets the answer "not run" only if no attempt can have run. A request that can't be served is answered at once.
package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

// Self holds what an entry knows about itself and its configuration.
type Self struct {
	// Name is the host's name. It determines the ranking of the heartbeat targets (topRanked) and the offset of the cold pacer
	// (setColdPacer), so that both differ between entries.
	Name       string
	DataCentre string
	Region     string
	// Regions maps data centres to regions.
	Regions map[string]string
	Retries hostconfig.RetryBudget
	// VersionLifetime is how long requests may still start on an older version after a newer one was activated.
	VersionLifetime time.Duration
	// UnevenEngines is the host setting uneven-engines; see package speed.
	UnevenEngines bool
	// MaxHeldBytes limits the bodies of the requests that wait for the end of an outage; defaultMaxHeldBytes if it is 0.
	MaxHeldBytes int64
	// Policy is DefaultPolicy unless it is set.
	Policy Policy
}

// Outcome is how an attempt to send a request to an upstream ended.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered: the upstream's complete answer was passed on, or is available.
	Answered Outcome = "answered"
	// ServerFailed: the upstream answered with an error of its own; it ran the request.
	ServerFailed Outcome = "failed by the upstream"
	// NotSent: the connection was refused, so nothing reached the upstream.
	NotSent Outcome = "not sent"
	// Declined: the upstream says that it did not run the request.
	Declined Outcome = "declined"
	// Unconnected: no connection was made in time, so nothing reached the upstream. It may be silent, or its host unreachable.
	Unconnected Outcome = "not connected"
	// Misdirected: another upstream has the address, or this one holds another version of the weights than the attempt required. The
	// request did not run.
	Misdirected Outcome = "misdirected"
	// Broken: the connection ended, or carried something other than the answer; the request may have run.
	Broken Outcome = "broken"
	// Silent: nothing was received within the timeout; the request may have run.
	Silent Outcome = "silent"
	// Withdrawn: the entry ended the attempt itself, and the request may have run. There are three causes: the reducer withdrew the
	// request before its answer began (see Withdraw), the caller is gone, or the deadline passed.
	Withdrawn Outcome = "withdrawn"
	// Unsent: the entry withdrew the request before anything was sent.
	Unsent Outcome = "taken back before it was sent"
)

// ran reports whether an attempt with this outcome may have run.
func (o Outcome) ran() bool {
	return o.sent() && o != Declined && o != Misdirected
}

// sent reports whether any part of an attempt with this outcome may have reached its upstream.
func (o Outcome) sent() bool { return o != NotSent && o != Unconnected && o != Unsent }

// Arrived is the event that a caller's request was read.
type Arrived struct {
	ID   uint64
	Host string
	Path string
	Key  string
	// Model is the model that the request asks for; empty if it names none.
	Model string
	// Budget is how long the caller waits for its answer, measured from the request's head; 0 if it does not say.
	Budget time.Duration
	// BodyReadTime is how long reading the body took after the head was read.
	BodyReadTime time.Duration
	// Size is the length of the body in bytes.
	Size int64
	// PromptTokens is the length of the prompt in tokens, and MaxAnswerTokens the maximum length of the answer; 0 if unknown.
	PromptTokens, MaxAnswerTokens int
	// Fingerprint identifies the request's content and its caller, independent of the request's ID; 0 if unknown. It differs from
	// the fingerprint of the first product's path (package entry), which is independent of the caller.
	Fingerprint uint64
	// SharedParts are the parts of the prompt that other requests may share.
	SharedParts []attribution.Part
}

// Started is the event that the first event of an answer was received: the upstream has processed the prompt.
type Started struct {
	ID uint64
	// Attempt is the number of the attempt; see Send.
	Attempt int
	// Version is the version of the weights on which the upstream started the request; 0 if it does not say.
	Version int64
}

// AttemptEnded is the event that an attempt ended.
type AttemptEnded struct {
	ID uint64
	// Attempt is the number of the attempt; see Send.
	Attempt int
	Outcome Outcome
	// Partial is set if part of the answer was passed on to the caller, and SinceLastPart is the time since the last part.
	Partial       bool
	SinceLastPart time.Duration
	// MaxGap is the longest gap between two events of a complete stream from a single attempt; 0 if it is unknown.
	MaxGap time.Duration
	// UpstreamAlive is set if the upstream's instance answered after the attempt ended, so that it did not crash with it.
	UpstreamAlive bool
}

// TimedOut is the event that a request's deadline has passed.
type TimedOut struct {
	ID uint64
	// Partial is set if part of an answer was passed on to the caller.
	Partial bool
	// Unsent is set if nothing of the open attempts had been sent.
	Unsent bool
}

// CallerGone is the event that the caller closed its connection.
type CallerGone struct{ ID uint64 }

// LoadReported is the event that a load report was received from the agent on an engine's host.
type LoadReported struct {
	// Address is the engine's address.
	Address string
	// StartedAt is the engine's start time; see catalog.Upstream.
	StartedAt int64
	// RequestCount is the number of requests that the engine has running or queued.
	RequestCount int
	// NotAccepting is set while the engine loads weights, or is about to, and does not accept requests.
	NotAccepting bool
	// Versions are the versions that the engine holds completely, by model.
	Versions map[string]int64
	// RateLimit is the limit that the engine reported to its agent, in requests per second from all entries together; nil for none.
	RateLimit *float64
	// Leaving is set if the engine reported to its agent that it is leaving; see upstreamView.leaving.
	Leaving bool
	// ColdRemaining is how much longer the engine is cold, as it reported to its agent; 0 if it does not say.
	ColdRemaining time.Duration
	// Slowdown is the engine's processing time relative to what its service declares, as a factor; 0 if it does not say.
	Slowdown float64
	// ReadyIn is the time until the agent expects the engine to accept requests, and ReadyVersion the version of weights that the engine
	// will then hold. ReadyIn is 0 if that time is unknown or the engine accepts requests now.
	ReadyIn      time.Duration
	ReadyVersion int64
	// Entries is the number of entries that this agent reports to, and NearEntries the number of these in its data centre.
	Entries     int
	NearEntries int
}

// ShutdownStarted is the event that a graceful shutdown began.
type ShutdownStarted struct{}

// Event marks the type as an event.
func (Arrived) Event() {}

// Event marks the type as an event.
func (Started) Event() {}

// Event marks the type as an event.
func (AttemptEnded) Event() {}

// Event marks the type as an event.
func (TimedOut) Event() {}

// Event marks the type as an event.
func (CallerGone) Event() {}

// Event marks the type as an event.
func (LoadReported) Event() {}

// Event marks the type as an event.
func (ShutdownStarted) Event() {}

// Accepted informs the shell that a request passed the checks on arrival, and of its deadline and the route whose terms apply to it. It
// comes before the effects that send or refuse the request. A request that must wait for capacity has no further effect yet. A request
// that fails the checks gets only a Refuse.
type Accepted struct {
	ID       uint64
	Route    *catalog.Route
	Deadline time.Time
	// Account is the name of the client account, empty if the caller has none, and Priority the priority that applies to the request.
	Account  string
	Priority int
}

// Send has the shell make one attempt: send a request to an upstream.
type Send struct {
	ID uint64
	// Attempt counts the attempts of the request from 1.
	Attempt  int
	Upstream *catalog.Upstream
	// Account is the name of the client account; empty if the caller has none.
	Account string
	// Homes are the regions in which the request may be.
	Homes    residency.Bound
	Priority int
	// Version is the version of weights that the upstream must hold; 0 for any.
	Version  int64
	Deadline time.Time
	// FirstEventTimeout is the timeout for the first event or answer, and GapTimeout the one between two events of a stream. The shell
	// reports the attempt as Stalled after that, and goes on with it.
	FirstEventTimeout, GapTimeout time.Duration
	// GiveUpAfter is the silence without a first event that ends the attempt as Silent; 0 for the request's deadline.
	GiveUpAfter time.Duration
	// Resume is set if part of an answer was passed on in an earlier attempt. Another upstream, the one of this attempt, must
	// then continue that answer. Package core/request calls this to continue, and uses to resume for the rest of the same run. On the
	// users' platform, the manifest and the log call it to resume.
	Resume bool
	// Returning is set if the caller was probably refused before; see callerTimeouts.
	Returning bool
	// Replaces is the number of an open attempt that has no connection yet and is ended by this one; 0 for none. If something of it may have
	// been sent, this attempt is not made, and ends as Unsent.
	Replaces int
	// Retry describes an attempt after the first one.
	Retry Retry
	// Moved is set if the plan across data centres named the upstream's data centre for this first attempt, instead of this entry's own.
	Moved bool
}

// Refuse ends a request without an upstream's answer.
type Refuse struct {
	ID   uint64
	Code code.Code
	Ran  code.Ran
	// Reason is the reason in words for the log, with the values that the decision was based on.
	Reason string
	// RetryAfter is the delay after which the caller may retry; 0 for none.
	RetryAfter time.Duration
	// Returning is set if the caller was probably refused before.
	Returning bool
}

// Deliver has the shell pass on the error that an upstream answered with.
type Deliver struct{ ID uint64 }

// Abort ends an answer that was partly passed on, in a way that the caller can't mistake for a complete answer.
type Abort struct {
	ID     uint64
	Reason string
}

// Effect marks the type as an effect.
func (Accepted) Effect() {}

// Effect marks the type as an effect.
func (Send) Effect() {}

// Effect marks the type as an effect.
func (Refuse) Effect() {}

// Effect marks the type as an effect.
func (Deliver) Effect() {}

// Effect marks the type as an effect.
func (Abort) Effect() {}

// request is a request in flight.
type request struct {
	id uint64
	// host, path and key are as the caller sent them. The manifest maps them to a route and a client account.
	host, path, key string
	// manifest is the one in which route, service and account were last looked up; see applyManifest.
	manifest *catalog.Manifest
	route    *catalog.Route
	service  string
	account  *catalog.ClientAccount
	// priority is the account's or else the route's.
	priority int
	// homes are the regions in which the request may be, according to manifest.
	homes residency.Bound
	// requestedModel is the model that the caller named, and model the one that applies; model is empty for a plain service.
	requestedModel, model string
	// fingerprint identifies the request's content and caller; see Arrived and package quarantine.
	fingerprint uint64
	// parts are the shared parts of the prompt. trial is set if the request is sent although one of them is quarantined.
	parts    []attribution.Part
	trial    bool
	deadline time.Time
	// arrived is when the request's head was read.
	arrived       time.Time
	queueDeadline time.Time
	// queue is the queue in which the request waits, nil if it does not, and queuedUnder the manifest by which it was put there.
	queue       *schedule.Queue
	queuedUnder *catalog.Manifest
	// returning is set if the caller was probably refused before. Its answer is then late in any case, measured from its first try.
	returning bool
	// placement is the newest attempt, and beside the one before it if that is still open: its upstream is silent, and the first of the two
	// that goes on is taken. beside is nil otherwise.
	placement
	beside *placement
	// hedgeCheckedAt is when another upstream was last looked for beside one that stalls.
	hedgeCheckedAt time.Time
	// failed is set if an upstream failed the request while another attempt was open.
	failed bool
	// prompt is the length of the prompt in tokens.
	prompt int
	// tokens is how many tokens of an engine's memory the request may take: its prompt and the maximum answer.
	tokens int
	// attempts counts all attempts, and possibleRuns those that may have run.
	attempts     int
	possibleRuns int
	// retry describes the next attempt, once that was decided. reservedRetry is the budget that counts it as waiting, nil if none does.
	retry         Retry
	reservedRetry *retryBudget
	// partial is set once part of an answer was passed on. progressAt is when the last part was; before that, when the request
	// arrived.
	partial    bool
	progressAt time.Time
	tried      map[catalog.Instance]bool
	// moveTo is the data centre that the plan across data centres names for the request; empty for this entry's own. balanceDraw is the
	// random number by which it was chosen; 0 before the first choice.
	moveTo      string
	balanceDraw uint64
	// hold is the request's wait for the end of an outage.
	hold hold
}

// State is what an entry knows about its requests and about the state of the upstreams.
type State struct {
	Self    Self
	Catalog *catalog.State

	// Crashes is what is known about requests that crash upstreams, and Parts about parts of prompts that do. The shell reports both to
	// other processes.
	Crashes *quarantine.Table
	Parts   *attribution.Table
	// QuarantinedRequests are the quarantines of requests as a whole, by fingerprint, which last while the requests come. Crashes decides on them.
	QuarantinedRequests *attribution.Table

	requests       map[uint64]*request
	loadStates     map[catalog.Instance]*loadState
	views          viewCache
	retryBudgets   map[string]*retryBudget
	callerTimeouts callerTimeouts
	// breaks are the recent broken attempts by the request's fingerprint, the oldest first.
	breaks map[uint64][]breakRecord
	// crashReports are the changes about crashes to report to the shell with the next tick, and crashCounts the crashes that are reported a
	// little later.
	crashReports []step.Effect
	crashCounts  map[catalog.Instance]*crashCount
	// queues are the requests that wait for capacity, by service, and pass is the present pass over one of them; nil for none.
	queues map[string]*schedule.Queue
	pass   *pass
	// lastQueuedAt is when a request of the service last had to wait. Each tick gives the requests that still wait their turn, so it is
	// recent as long as one waits.
	lastQueuedAt map[string]time.Time
	// outlooks are what this entry expects of the engines of a service, and forecastChanges the changes to report with the next tick.
	outlooks        map[outlookKey]*outlook
	forecastChanges []step.Effect
	// heldCount and heldBytes count the requests that wait for the end of an outage, and their bodies.
	heldCount int
	heldBytes int64
	// heartbeatTargets are the IDs of the engines whose agents get heartbeats from this entry; nil before the first call of
	// ChooseHeartbeatTargets.
	heartbeatTargets map[string]bool
	// unreportedPauseEnd is the end of the pause for engines without a load report, and unreportedPause the length of the last pause.
	unreportedPauseEnd time.Time
	unreportedPause    time.Duration
	// unreportedWaiting counts the requests that wait for their first event at such engines.
	unreportedWaiting int
	// nearFraction and farFraction are the fractions of the agents in this data centre and in others that get heartbeats from one
	// entry.
	nearFraction, farFraction float64
	// estimatedEntries is the number of entries that share the retry budgets and the upstreams' rate limits, estimated from the
	// last load report. recentEntries is the maximum of the recent estimates, and budgetShare keeps them for longer.
	estimatedEntries int
	recentEntries    recentMax[int]
	budgetShare      budgetShare
	// pauses are the pauses of engines in the middle of answers; see longestPause.
	pauses recentMax[time.Duration]
	// balance is the plan across data centres and its inputs.
	balance balanceState
	// ownWork limits the requests in flight while this process is late by its own work.
	ownWork selflimit.Limit
	// stopping is set once this process is shutting down.
	stopping bool
	// overdue are the states of the upstreams that had overdue requests at the last tick, and forgotAt is when forget last ran.
	overdue  []*loadState
	forgotAt time.Time
	// uneven is what is known about the speed of engines; nil unless Self.UnevenEngines is set.
	uneven *unevenEngines
}

// NewState returns a state without requests.
func NewState(self Self, c *catalog.State) *State {
	if self.Policy == (Policy{}) {
		self.Policy = DefaultPolicy()
	}
	observer := attribution.Observer{ID: uint32(step.Score("attribution", self.Name)), Decides: true}
	if self.MaxHeldBytes <= 0 {
		self.MaxHeldBytes = defaultMaxHeldBytes
	}
	return &State{
		outlooks: map[outlookKey]*outlook{}, crashCounts: map[catalog.Instance]*crashCount{},
		Self: self, Catalog: c, requests: map[uint64]*request{}, loadStates: map[catalog.Instance]*loadState{},
		retryBudgets: map[string]*retryBudget{}, callerTimeouts: callerTimeouts{}, Crashes: quarantine.NewTable(),
		Parts: attribution.NewTable(observer), QuarantinedRequests: attribution.NewTable(observer),
		breaks: map[uint64][]breakRecord{}, queues: map[string]*schedule.Queue{}, lastQueuedAt: map[string]time.Time{},
		balance: newBalanceState(self),
		uneven:  newUnevenEngines(self),
	}
}

// Reduce handles one input and returns the effects for the shell to carry out.
func (s *State) Reduce(in step.Input) []step.Effect { return s.flushUneven(s.reduce(in)) }

func (s *State) reduce(in step.Input) []step.Effect {
	s.budgetShare.started(in.Now)
	switch ev := in.Event.(type) {
	case Arrived:
		return s.arrived(in, ev)
	case Started:
		return s.started(in, ev)
	case AttemptEnded:
		return s.attemptEnded(in, ev)
	case Stalled:
		return s.attemptStalled(in, ev)
	case Progressed:
		s.attemptProgressed(in, ev)
	case TimedOut:
		return s.timedOut(in, ev)
	case CallerGone:
		return s.callerGone(in, ev.ID)
	case LoadReported:
		return s.loadReported(in, ev)
	case DemandReported:
		return s.demandReported(in, ev)
	case CrashesReported:
		return s.crashesReported(in, ev)
	case PartsReported:
		return s.partsReported(in, ev)
	case QuarantinesRead:
		return s.partsChanged(in, s.Parts.MergeRecorded(in.Now, ev.List, ev.Starting))
	case UpstreamDown:
		return s.upstreamDown(in, ev)
	case AnswerHeadReceived:
		return s.answerHeadReceived(in, ev)
	case ShutdownStarted:
		s.stopping = true
		return s.refuseHeld(in)
	case selflimit.OwnDelay:
		s.ownWork.Measured(ev, len(s.requests))
	case step.Tick:
		s.forget(in.Now)
		s.countOverdue(in.Now)
		s.callerTimeouts.forget(in.Now)
		effects := append(s.expireCrashes(in.Now), s.partsChanged(in, s.Parts.Decide(in.Now))...)
		effects = append(effects, s.withdrawUnstarted(in)...)
		effects = append(effects, s.updateBalance(in.Now)...)
		effects = append(effects, s.withdrawLate(in)...)
		effects = append(effects, s.hedgeStalled(in)...)
		effects = append(effects, s.serveHeld(in, true)...) // Those that are more urgent than what waits in the queues.
		effects = append(effects, s.serveWaiting(in)...)
		effects = append(append(effects, s.serveHeld(in, false)...), s.forecastChanges...)
		s.forecastChanges = nil
		return effects
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (s *State) InFlight() int { return len(s.requests) }

// MaxInFlight returns the maximum number of requests in flight while this process is late by its own work; 0 for no maximum.
func (s *State) MaxInFlight() int { return s.ownWork.Max() }
