// Package request is the entry's reducer for callers' requests, from receipt to end. For each fault in each phase, it
// sets one result code and reports whether the request ran: not run, did run or unknown. The package is pure: see
// package step.
//
// The package belongs to the first product's path: internal/entry with core/request and core/routing, then internal/agent
// with core/run, and core/rollout for loading. On the users' platform, gateway with core/forward and hostagent with
// core/install do the same.
package request

import (
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

const (
	// MaxExecutedAttempts is the maximum number of attempts of one request that may have run. It bounds how often upstreams
	// may execute one request.
	MaxExecutedAttempts = 3
	// MaxTotalAttempts is the maximum number of attempts of one request, including those that did not run. Attempts that
	// find an upstream full or reserved after an earlier attempt may have run are not counted; only the deadline ends
	// them.
	MaxTotalAttempts = 8
	// MaxResumes is the maximum number of new connections for the rest of an answer without a byte of progress. Those to an agent that is silent
	// and that nothing can replace are not counted.
	MaxResumes = 4
	// MaxContinuableResumes applies instead of MaxResumes to an answer that another upstream can continue.
	MaxContinuableResumes = 2
	// InitialResumeDelay is the delay before the second new connection. It doubles with each further one. The first new
	// connection is made at once.
	InitialResumeDelay = 100 * time.Millisecond
	// InitialRetryDelay is the delay before the first retry on upstreams that did not cause the failures of their earlier
	// attempts. It doubles with each further retry of this kind.
	InitialRetryDelay = 50 * time.Millisecond
	// MaxRetryDelay is the upper bound of that delay. It is also the delay of each further attempt once MaxTotalAttempts
	// attempts have found an upstream full or reserved after an earlier attempt may have run.
	MaxRetryDelay = 3200 * time.Millisecond
	// retryDelayDoublings is the number of doublings from InitialRetryDelay to MaxRetryDelay.
	retryDelayDoublings = 6
	// DefaultRetryAfter is the Retry-After delay of a refusal whose cause may be gone after a short time.
	DefaultRetryAfter = time.Second
)

// Phase is the phase of a request.
type Phase int

// The phases of a request. The event Received precedes them, and the event Ended follows them. A request is first Queued, and may be
// admitted at once. It returns to Admitted after an attempt, and to Queued when it is requeued.
const (
	// Admitted means that no attempt is in flight. A request is in this phase after Queued, and between two attempts. Admitted is also
	// the zero value, which a request has before it is queued.
	Admitted Phase = iota
	// Queued means that the request waits for capacity at this entry; see package admission.
	Queued
	// Claiming means that the claim of an at-most-once call is being recorded.
	Claiming
	// Sent means that an attempt is in flight and no byte of its answer was passed on.
	Sent
	// Answering means that the answer is being passed on to the caller.
	Answering
	// Resuming means that the connection broke during the answer and that the rest is requested from the same run.
	Resuming
	// Continuing means that the run was lost and that another upstream generates the rest of the answer.
	Continuing
	// Settled means that the request was refused or its answer aborted. Only the event Ended follows.
	Settled
)

// Request is one caller's request.
type Request struct {
	ID       string
	Team     string
	Service  string
	Deadline time.Time
	// Key is TEAM/SERVICE/ and the caller's idempotency key. For an at-most-once call without a caller's key, the
	// request's ID takes its place; any other request without one has just TEAM/SERVICE/. Only at-most-once calls use
	// the key.
	Key        string
	AtMostOnce bool
	Phase      Phase
	// Fingerprint identifies the content of the request, independent of its caller. On the users' platform, the
	// fingerprint of package core/forward includes the caller.
	Fingerprint string
	// Attempt is the number of the latest attempt, from 1; 0 before the first.
	Attempt int
	// Resumes counts the new connections since the last byte of progress.
	Resumes int
	// Ran reports whether the request ran, considering all attempts so far.
	Ran code.Ran
	// executed counts the attempts that may have run.
	executed int
	// declinesAfterRun counts the attempts that found an upstream full or reserved after an earlier one may have run.
	declinesAfterRun int
	// lastCode is the result code of the last failed attempt.
	lastCode code.Code
	upstream member.Candidate
	sentAt   time.Time
	terms    Terms
	// failedOtherwise is set once an attempt failed for another reason than a full or reserved upstream.
	failedOtherwise bool
	// sequence is the sequence number of the current attempt at this entry.
	sequence uint64
	// requeuedAt is when the request was first requeued; zero if it never was.
	requeuedAt time.Time
	// tried holds the upstreams that were tried, by routing.Key.
	tried map[string]bool
	// retryable holds the upstreams among tried that did not cause the failure of their attempt. They are tried again when
	// no other upstream is left.
	retryable []string
	// retryRounds counts how often only retryable upstreams were left. delay is the delay of the next attempt.
	retryRounds int
	delay       time.Duration
	// replayable reports whether the body can be sent again.
	replayable bool
	// continuable reports whether another upstream can generate the rest of the answer. digest is the answer's version.
	continuable bool
	digest      string
}

// State holds the requests at this entry, by ID, from receipt to end.
type State struct {
	Requests map[string]*Request
	// Routing chooses upstreams.
	Routing *routing.State
	// Fleet shares the fleet-wide limits of client accounts between entries.
	Fleet *admission.Fleet
	// gates and budgets are keyed by service.
	gates   map[string]*admission.Gate
	budgets map[string]*admission.Budget
	// sequence counts the attempts of all requests at this entry.
	sequence uint64
	// settled counts the requests in the phase Settled.
	settled int
	// ownWork limits the requests in flight while this process is late by its own work.
	ownWork selflimit.Limit
	// stopping is set when a graceful shutdown has started.
	stopping bool
}

// NewState returns a state without requests.
func NewState() *State {
	return &State{
		Requests: map[string]*Request{},
		Routing:  routing.NewState(routing.Self{}), Fleet: admission.NewFleet(""),
		gates: map[string]*admission.Gate{}, budgets: map[string]*admission.Budget{},
	}
}

// Received is the event that the entry has read the head of a caller's request and buffered the start of its body. It is
// the first event of each request that the entry did not refuse by itself.
type Received struct {
	ID       string
	Team     string
	Service  string
	Deadline time.Time
	// Key is as in Request.
	Key        string
	AtMostOnce bool
	// Replayable reports whether the entire body is buffered, so that it can be sent again.
	Replayable bool
	// Fingerprint is as in Request.
	Fingerprint string
	Terms       Terms
}

// ClaimOutcome is the outcome of claiming the idempotency key of an at-most-once call.
type ClaimOutcome int

// The outcomes of a claim. ClaimNotRecorded and ClaimMaybeRecorded lead to the same answer, because the call did not run in either
// case. They differ in what a resend with the same key may find: nothing, or perhaps the key of this call. At present, the
// entry reports only ClaimGranted and ClaimRefused, and ClaimRefused carries the reason.
const (
	// ClaimGranted means that the key was new and is recorded. The call may run once.
	ClaimGranted ClaimOutcome = iota
	// ClaimHeld means that the key was claimed before.
	ClaimHeld
	// ClaimNotRecorded means that certainly nothing was recorded.
	ClaimNotRecorded
	// ClaimMaybeRecorded means that this claim may have recorded the key.
	ClaimMaybeRecorded
	// ClaimRefused means that the caller is answered with the fields Code, Ran and RetryAfter of ClaimSettled.
	ClaimRefused
)

// ClaimSettled is the event that a claim ended.
type ClaimSettled struct {
	ID         string
	Outcome    ClaimOutcome
	Code       code.Code
	Ran        code.Ran
	RetryAfter time.Duration
}

// AttemptFailed is the event that an attempt failed before any of its answer was passed on.
type AttemptFailed struct {
	ID      string
	Attempt int
	Code    code.Code
	Ran     code.Ran
	// Unreachable reports whether connecting to the host failed, or the host stopped responding. Nothing sets or reads it
	// at present: the entry reports such a host with the event member.CallFailed.
	Unreachable bool
	// Report is the agent's load report on the upstream; nil if none was received.
	Report *routing.Report
}

// AnswerStarted is the event that the head of an answer was received, from the first run or from one that continues the
// answer. A run that is resumed before any of its body was received sends its head again.
type AnswerStarted struct {
	ID      string
	Attempt int
	// Continuable reports whether each part of the answer depends only on the request and the version identified by
	// Digest. Another upstream with that version can then continue the answer.
	Continuable bool
	Digest      string
	// CannotServe reports whether the upstream answered that it can't serve.
	CannotServe bool
	// Report is the agent's load report on the upstream; nil if none was received.
	Report *routing.Report
}

// AnswerProgressed is the event that the first data of a resumed answer was received.
type AnswerProgressed struct {
	ID      string
	Attempt int
}

// AnswerInterrupted is the event that the connection broke during the answer.
type AnswerInterrupted struct {
	ID      string
	Attempt int
	// Silent reports whether the agent was silent. Otherwise the connection broke or was refused.
	Silent bool
}

// AnswerFailed is the event that an answer has started and can't be completed by its run: the run was lost, or its answer
// is invalid.
type AnswerFailed struct {
	ID      string
	Attempt int
	Code    code.Code
	Ran     code.Ran
	// Final reports whether no other upstream may continue the answer.
	Final bool
}

// Ended is the event that the request has ended at this entry, for whatever reason.
type Ended struct {
	ID string
	// Report is the agent's load report on the upstream at the end of the answer; nil if none was received.
	Report *routing.Report
}

// StopRequested is the event that a graceful shutdown has started.
type StopRequested struct{}

// Event marks the type as an event.
func (Received) Event() {}

// Event marks the type as an event.
func (ClaimSettled) Event() {}

// Event marks the type as an event.
func (AttemptFailed) Event() {}

// Event marks the type as an event.
func (AnswerStarted) Event() {}

// Event marks the type as an event.
func (AnswerProgressed) Event() {}

// Event marks the type as an event.
func (AnswerInterrupted) Event() {}

// Event marks the type as an event.
func (AnswerFailed) Event() {}

// Event marks the type as an event.
func (Ended) Event() {}

// Event marks the type as an event.
func (StopRequested) Event() {}

// Addressed is an effect for one request. The shell, which carries out the effects, passes it to the goroutine that
// serves the request.
type Addressed interface {
	step.Effect
	// RequestID returns the ID of the request that the effect is for.
	RequestID() string
}

// Claim is the effect that claims the idempotency key of an at-most-once call before it runs.
type Claim struct {
	ID  string
	Key string
}

// Attempt is one attempt of a request.
type Attempt struct {
	ID     string
	Number int
	// Target is the upstream that the attempt uses.
	Target member.Candidate
	// Sequence is the number of the attempt among all attempts of this instance of the entry.
	Sequence uint64
	// Exclusive requires that no other request runs on the upstream at the same time.
	Exclusive bool
	// AtMostOnce requires that the call does not run twice.
	AtMostOnce bool
	// Delay is the delay before the request is sent.
	Delay time.Duration
	// Digest identifies the only version that may generate the answer; empty for any.
	Digest string
	// Cache identifies the last change of the upstream's prefix cache that this entry has received.
	Cache routing.CachePosition
}

// Send is the effect that sends the request to an upstream through the agent on its host.
type Send struct {
	Attempt
	// Continue reports whether the upstream continues an answer of which the caller already has a part.
	Continue bool
}

// Resume is the effect that requests the rest of the answer from the agent of the current attempt, after the field Delay
// of this type. The Delay of Attempt is not used.
type Resume struct {
	Attempt
	Delay time.Duration
	// Irreplaceable reports whether the agent is silent and no other upstream can continue the answer.
	Irreplaceable bool
}

// Refuse is the effect that answers the caller with a result code.
type Refuse struct {
	ID         string
	Code       code.Code
	Ran        code.Ran
	RetryAfter time.Duration
}

// NewRefusal returns a refusal whose caller may send the request again after the delay; 0 stands for no known delay. If the request
// was not run and may succeed later, the delay is then DefaultRetryAfter, so that no such caller is left without a time to return at. The
// same holds for code.StillRunning, whose run status is that of the key's earlier call.
func NewRefusal(id string, c code.Code, ran code.Ran, after time.Duration) Refuse {
	mayReturn := ran == code.NotRun || c == code.StillRunning
	if after <= 0 && mayReturn && c.RetriedLater() {
		after = DefaultRetryAfter
	}
	return Refuse{ID: id, Code: c, Ran: ran, RetryAfter: after}
}

// Abort is the effect that ends an answer that has started and can't be completed, so that the caller detects that it
// is incomplete.
type Abort struct {
	ID   string
	Code code.Code
	Ran  code.Ran
}

// Effect marks the type as an effect.
func (Claim) Effect() {}

// Effect marks the type as an effect.
func (Send) Effect() {}

// Effect marks the type as an effect.
func (Resume) Effect() {}

// Effect marks the type as an effect.
func (Refuse) Effect() {}

// Effect marks the type as an effect.
func (Abort) Effect() {}

// RequestID returns the ID of the request that the effect is for.
func (e Claim) RequestID() string { return e.ID }

// RequestID returns the ID of the request that the effect is for.
func (e Send) RequestID() string { return e.ID }

// RequestID returns the ID of the request that the effect is for.
func (e Resume) RequestID() string { return e.ID }

// RequestID returns the ID of the request that the effect is for.
func (e Refuse) RequestID() string { return e.ID }

// RequestID returns the ID of the request that the effect is for.
func (e Abort) RequestID() string { return e.ID }

// SuspectStatuses returns the status of a request's fingerprint: whether the request is suspected of crashing upstreams
// or quarantined for it.
type SuspectStatuses interface {
	// Status returns the current status.
	Status(now time.Time, fingerprint string) suspect.Status
	// Remaining returns how long the status lasts from now.
	Remaining(now time.Time, fingerprint string) time.Duration
}

// Directory returns the upstreams that can take requests of a service.
type Directory interface {
	// Candidates returns the upstreams. It returns a new slice after each change; a slice that it has returned does not
	// change.
	Candidates(now time.Time, team, service string) []member.Candidate
}
