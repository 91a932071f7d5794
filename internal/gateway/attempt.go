package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/platform"
)

// maxBufferedResponse is the size limit, in bytes, of a response that is buffered completely before it is passed on.
const maxBufferedResponse = 16 << 20

// errUpstreamTimeout ends an attempt whose upstream was silent for the attempt's timeout.
var errUpstreamTimeout = errors.New("timed out waiting for data from the upstream")

// errNoStream ends an attempt whose upstream answers with something else than the rest of a stream.
var errNoStream = errors.New("the upstream did not resume the stream")

// errWithdrawn ends an attempt that its upstream has not started and must not start any more; see forward.Withdraw.
var errWithdrawn = errors.New("withdrawn before the upstream started it: the request is quarantined, the engine's version is about to expire, or the engine takes far longer than predicted")

// errReplaced ends an attempt because another one of the same request went on first.
var errReplaced = errors.New("another attempt went on first")

// attempt is one attempt to have an upstream run a request. It runs in a goroutine of its own, which reads the upstream's answer and puts
// it into the queue. The exchange takes it from there and passes it on.
type attempt struct {
	x        *exchange
	decision forward.Send
	queue    *answerQueue
	// heard is when the upstream was last heard, by any attempt.
	heard *heardTime
	// report reports an event to the reducers.
	report func(step.Event)
	// sent is set if bytes may have reached the upstream. It is known once the response's head has arrived or the attempt has failed.
	sent bool
	// unframed is set once the head of an unframed answer has arrived.
	unframed bool
	// instance is what a check at the end of the attempt found of the upstream's instance; empty if there was none.
	instance instanceState
	cancel   context.CancelCauseFunc
	// silence reports that the upstream is silent, and cancels the attempt when it is to be given up.
	silence *silence.Watch
	// stalled is set while the upstream is reported as silent.
	stalled atomic.Bool
	// createdAt is when the attempt was created. version is the version of the weights on which the upstream reports that it started the
	// request; see markStarted.
	createdAt time.Time
	version   int64
	// eventCount is the number of events read, and lastReadAt when the last one was.
	eventCount int
	lastReadAt time.Time
	// stage is stagePending until the upstream has started the request or the attempt is withdrawn, whichever comes first.
	stage atomic.Int32
	// done is closed when the attempt has ended.
	done chan struct{}
	// replaced is set once another attempt went on first, and failed if an event is not the one that was due. Only the exchange uses them.
	replaced bool
	failed   error
}

// Stages of an attempt.
const (
	stagePending int32 = iota
	stageStarted
	stageWithdrawn
)

// startAttempt starts an attempt, beside others that are open.
func (x *exchange) startAttempt(e forward.Send) {
	if e.Replaces > 0 && !x.replaceUnsent(e.Replaces) {
		x.gateway.step(forward.AttemptEnded{ID: x.id, Attempt: e.Attempt, Outcome: forward.Unsent, Partial: x.headerSent})
		return
	}
	if x.headerSent && !e.Resume { // Another attempt went on after this one was decided.
		e.Resume, e.GiveUpAfter = true, 0
	}
	x.recordSend(e)
	a, ctx := x.newAttempt(e)
	x.addAttempt(a)
	lastEventID := x.lastEventID
	x.running.Go(func() { a.run(ctx, lastEventID) })
}

// recordSend logs and counts the sending of an attempt.
func (x *exchange) recordSend(e forward.Send) {
	isHedge := e.Replaces == 0 && len(x.openAttempts()) > 0
	// The log field entry_revision is the store revision of the upstream's registration, sends is Send.Attempt, and came_back is
	// Send.Returning.
	line := logevent.Info(x.gateway.log, logevent.RequestSent).Str("request", x.call.CallerAttemptID).Str("route", x.routeName()).Str("upstream", e.Upstream.ID).
		Int64("entry_revision", e.Upstream.Revision.Number).Int("sends", e.Attempt).Bool("resume", e.Resume).Bool("hedge", isHedge).
		Int64("version", e.Version).Stringer("homes", e.Homes).Bool("came_back", e.Returning).Dur("waited_ms", time.Since(x.arrivedAt))
	if e.Retry.Cause != "" {
		addBudget(line.Str("retry_cause", string(e.Retry.Cause)).Bool("counted", e.Retry.Counted), e.Retry.Budget)
	}
	line.Msg("request sent")
	x.gateway.countRetry(e.Retry)
	x.gateway.metrics.Attempts.Add(1, x.routeName(), "", strconv.Itoa(e.Attempt))
}

// newAttempt returns an attempt, and the context that ends it.
func (x *exchange) newAttempt(e forward.Send) (*attempt, context.Context) {
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{
		x: x, decision: e, cancel: cancel, createdAt: time.Now(), heard: x.gateway.heard.open(e.Upstream.Instance()), report: x.gateway.step,
		queue: newAnswerQueue(x.answered), done: make(chan struct{}),
	}
	a.silence = silence.NewWatch(e.GiveUpAfter, func() { cancel(errUpstreamTimeout) })
	a.silence.Notify(e.FirstEventTimeout, a.reportStalled)
	a.silence.NotifyConnecting(connectTimeout(e), a.reportUnconnected, a.reportConnected)
	a.silence.OnLateRead(x.gateway.ownDelay.LateRead)
	return a, ctx
}

// connectTimeout returns how long an attempt may take to connect, so that its caller gets an answer before it leaves.
func connectTimeout(e forward.Send) time.Duration {
	if e.GiveUpAfter > 0 {
		return min(upstreamConnectTimeout, e.GiveUpAfter)
	}
	return upstreamConnectTimeout
}

// replaceUnsent cancels an attempt of which nothing was sent. It reports false if something may have been: also if the attempt has ended, since
// the reducer decides by its outcome what follows.
func (x *exchange) replaceUnsent(number int) bool {
	for _, a := range x.openAttempts() {
		if a.decision.Attempt == number && a.silence.ForbidSend() {
			a.replaced = true
			a.cancel(errReplaced)
			return true
		}
	}
	return false
}

// run makes the attempt and ends its queue with the outcome.
func (a *attempt) run(ctx context.Context, lastEventID string) {
	defer close(a.done)
	defer a.x.gateway.heard.close(a.decision.Upstream.Instance(), a.heard)
	defer a.cancel(nil)
	defer a.recoverPanic()
	answer, outcome, err := a.do(ctx, lastEventID)
	a.recordUnframedEnd(outcome)
	if outcome == forward.Broken && ctx.Err() == nil && a.instance == "" { // The reducer decides on the next attempt by it.
		a.instance = a.x.gateway.checkInstance(ctx, a.decision.Upstream, brokenCheckTimeout)
	}
	a.queue.close(attemptEnd{outcome: outcome, err: err, answer: answer, instance: a.instance})
}

// recoverPanic ends an attempt that panicked. The HTTP server recovers panics only in its own goroutines; without this, a panic would end
// the process and with it all requests.
func (a *attempt) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	a.x.gateway.metrics.Panics.Add(1, "attempt")
	logevent.Warn(a.x.gateway.log, logevent.PanicRecovered).Str("where", "attempt").Interface("cause", cause).Str("stack", string(debug.Stack())).Msg("panic recovered")
	a.sent = true // As far as is known.
	a.queue.close(attemptEnd{outcome: forward.Broken, err: errors.Errorf("panic: %v", cause)})
}

// reportStalled reports to the reducer that the upstream is silent.
func (a *attempt) reportStalled() {
	a.stalled.Store(true)
	ev := forward.Stalled{ID: a.x.id, Attempt: a.decision.Attempt, Partial: a.decision.Resume || a.eventCount > 0, HeardAt: a.heard.last()}
	if a.eventCount > 0 {
		ev.SinceLastPart = time.Since(a.lastReadAt)
	}
	a.report(ev)
}

// reportUnconnected reports to the reducer that there is no connection to the upstream yet.
func (a *attempt) reportUnconnected() {
	a.report(forward.Stalled{ID: a.x.id, Attempt: a.decision.Attempt, Unsent: true})
}

// progressed records that the upstream sent an event. What follows may take until the gap timeout before the upstream counts as silent again.
func (a *attempt) progressed() {
	a.silence.Progress(0)
	a.silence.Notify(a.decision.GapTimeout, a.reportStalled)
	if a.stalled.CompareAndSwap(true, false) {
		ev := forward.Progressed{ID: a.x.id, Attempt: a.decision.Attempt}
		if a.eventCount > 0 {
			ev.Pause = time.Since(a.lastReadAt)
		}
		a.report(ev)
	}
}

// reportConnected reports to the reducer that there is a connection to the upstream after all.
func (a *attempt) reportConnected() {
	a.report(forward.Progressed{ID: a.x.id, Attempt: a.decision.Attempt})
}

// stringers returns a list as the type that the log takes.
func stringers[T fmt.Stringer](list []T) []fmt.Stringer {
	out := make([]fmt.Stringer, len(list))
	for i, v := range list {
		out[i] = v
	}
	return out
}

// do sends the request and reads the response. It returns the answer if it was buffered, the attempt's outcome, and an error unless that is
// forward.Answered.
func (a *attempt) do(ctx context.Context, lastEventID string) (*response, forward.Outcome, error) {
	defer a.silence.Stop()
	ctx = silence.WithWatch(ctx, a.silence)
	req, err := platform.NewUpstreamRequest(ctx, a.x.r, a.x.body, a.decision, lastEventID)
	if err != nil {
		return nil, forward.NotSent, err
	}
	resp, err := a.x.gateway.upstreamTransport.RoundTrip(req)
	if err != nil {
		a.sent = a.silence.Abandon()
		return nil, a.outcomeOf(ctx, err), err
	}
	a.sent = true
	defer func() { _ = resp.Body.Close() }()
	head := platform.ReadResponseHead(resp, a.x.call.CallerAttemptID)
	a.version, a.unframed = head.Version, isUnframed(resp)
	a.report(forward.AnswerHeadReceived{Upstream: a.decision.Upstream.Instance(), Sent: a.createdAt, Outcome: head.Outcome, Notice: head.Notice})
	var answer *response
	switch {
	case head.Outcome == forward.ServerFailed:
		return a.readFailure(ctx, resp, head)
	case head.Outcome != forward.Answered:
		return nil, head.Outcome, errors.New(head.Problem)
	case a.isStream(resp):
		err = a.readStream(ctx, resp, head.Header)
	case a.decision.Resume:
		err = errNoStream
	default:
		answer, err = a.readBuffered(ctx, resp, head.Header)
	}
	if err != nil {
		return nil, a.outcomeOf(ctx, err), err
	}
	return answer, forward.Answered, nil
}

// outcomeOf classifies an attempt that ended with an error.
func (a *attempt) outcomeOf(ctx context.Context, err error) forward.Outcome {
	cause := context.Cause(ctx)
	isWithdrawn := errors.Is(cause, errWithdrawn) || errors.Is(cause, errReplaced) || errors.Is(err, errWithdrawn)
	switch {
	case isWithdrawn && !a.sent:
		return forward.Unsent
	case isWithdrawn:
		return forward.Withdrawn
	case !a.sent && errors.Is(err, silence.ErrNoConnection):
		return forward.Unconnected
	case !a.sent:
		return forward.NotSent
	case errors.Is(cause, errUpstreamTimeout), errors.Is(err, errUpstreamTimeout):
		return forward.Silent
	}
	return forward.Broken
}

// markStarted records that the upstream started the request: a stream starts with its first event, any other response with its
// head. It reports whether the response may be passed on, which is false for an attempt that was withdrawn first.
func (a *attempt) markStarted() bool {
	if !a.stage.CompareAndSwap(stagePending, stageStarted) {
		return a.stage.Load() == stageStarted
	}
	a.x.gateway.metrics.UpstreamFirstByte.Observe(time.Since(a.createdAt), a.x.routeName(), "", "")
	a.report(forward.Started{ID: a.x.id, Attempt: a.decision.Attempt, Version: a.version})
	return true
}

// withdraw cancels an attempt unless its upstream has started it, or has been sent something of it and e spares such attempts.
func (x *exchange) withdraw(e forward.Withdraw) {
	for _, a := range x.openAttempts() {
		if a.decision.Attempt != e.Attempt || e.OnlyUnsent && !a.silence.ForbidSend() {
			continue
		}
		if a.stage.CompareAndSwap(stagePending, stageWithdrawn) {
			a.cancel(errWithdrawn)
		}
	}
}

func (a *attempt) isStream(resp *http.Response) bool {
	return a.x.accepted.Route.Kind == catalog.Streaming && resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readFailure buffers an upstream's own failure, so that it can be passed on if no other upstream is tried.
func (a *attempt) readFailure(ctx context.Context, resp *http.Response, head platform.ResponseHead) (*response, forward.Outcome, error) {
	body, err := a.readAll(ctx, resp)
	if err != nil {
		return nil, a.outcomeOf(ctx, err), errors.Wrap(err, "reading the upstream's error response")
	}
	a.silence.Stop()
	if err := a.confirmEnd(ctx, resp, true); err != nil {
		return nil, a.outcomeOf(ctx, err), err
	}
	return &response{status: resp.StatusCode, header: head.Header, body: body}, forward.ServerFailed, errors.New(head.Problem)
}

// readBuffered reads a complete response before any of it is passed on, so that another attempt can replace one that breaks off.
func (a *attempt) readBuffered(ctx context.Context, resp *http.Response, header http.Header) (*response, error) {
	if !a.markStarted() {
		return nil, errWithdrawn
	}
	body, err := a.readAll(ctx, resp)
	if err != nil {
		return nil, errors.Wrap(err, "reading the upstream's response")
	}
	a.silence.Stop()
	if err := a.confirmEnd(ctx, resp, true); err != nil {
		return nil, err
	}
	if a.x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	return &response{status: resp.StatusCode, header: header, body: body}, nil
}

// readAll reads a complete response. It returns an error for one that exceeds the limit, so that a part of it is never taken for the whole.
func (a *attempt) readAll(ctx context.Context, resp *http.Response) ([]byte, error) {
	reader := accountedResponse(ctx, resp.Body, a.x.reservation)
	body, err := boundedread.All(reader, maxBufferedResponse)
	if err != nil {
		a.x.reservation.Shrink(reader.reserved)
		return nil, err
	}
	return body, nil
}

// readStream reads a stream to its end as fast as it arrives, however slowly the caller reads. It stops when the attempt's context ends, since
// that ends the response body.
func (a *attempt) readStream(ctx context.Context, resp *http.Response, header http.Header) error {
	header.Del("Content-Length") // The rest of the stream may come from another upstream.
	a.queue.setHead(resp.StatusCode, header)
	if err := a.readEvents(ctx, resp.Body); !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "reading the upstream's stream")
	}
	return a.confirmEnd(ctx, resp, a.decision.Resume || a.eventCount > 0)
}

// readEvents reads the events of a stream until an error, which is io.EOF at its end.
func (a *attempt) readEvents(ctx context.Context, body io.Reader) error {
	defer a.silence.Stop()
	events := newEventReader(body, func(n int) error { return growWhenFree(ctx, a.x.reservation, n) })
	for {
		e, err := events.next()
		if err != nil {
			a.x.reservation.Shrink(len(e.raw))
			return err
		}
		if err := a.readEvent(e); err != nil {
			a.x.reservation.Shrink(len(e.raw))
			return err
		}
	}
}

// readEvent puts an event into the queue.
func (a *attempt) readEvent(e event) error {
	a.progressed()
	if !a.markStarted() {
		return errWithdrawn
	}
	a.eventCount++
	a.lastReadAt = e.readAt
	a.heard.record(e.readAt)
	a.queue.push(e)
	return nil
}
