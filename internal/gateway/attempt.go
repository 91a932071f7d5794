package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/platform"
)

// maxBufferedResponse is the size limit, in bytes, of a response that is buffered completely before it is passed on.
const maxBufferedResponse = 16 << 20

// errUpstreamTimeout ends an attempt whose upstream was silent for the attempt's timeout.
var errUpstreamTimeout = errors.New("timed out waiting for data from the upstream")

// errWithdrawn ends an attempt that its upstream has not started and must not start any more; see forward.Withdraw.
var errWithdrawn = errors.New("withdrawn before the upstream started it: the request is quarantined, the engine's version is about to expire, or the engine takes far longer than predicted")

// attempt is one attempt to have an upstream run a request.
type attempt struct {
	x        *exchange
	decision forward.Send
	// sent is set if bytes may have reached the upstream. It is known once the response's head has arrived or the attempt has failed.
	sent   bool
	cancel context.CancelCauseFunc
	// silence cancels the attempt when its upstream was silent for the timeout in force.
	silence *silence.Watch
	// createdAt is when the attempt was created. version is the version of the weights on which the upstream reports that it started the
	// request; see markStarted.
	createdAt time.Time
	version   int64
	// stage is stagePending until the upstream has started the request or the attempt is withdrawn, whichever comes first.
	stage atomic.Int32
}

// Stages of an attempt.
const (
	stagePending int32 = iota
	stageStarted
	stageWithdrawn
)

// runAttempt makes one attempt and reports its outcome to the reducer. It returns true if the request ended with the attempt.
func (x *exchange) runAttempt(e forward.Send) bool {
	if !time.Now().Before(e.Deadline) {
		return false // The request's deadline passed before the attempt was made; run reports that to the reducer.
	}
	// The log field entry_revision is the store revision of the upstream's registration, sends is Send.Attempt, and came_back is
	// Send.Returning.
	logevent.Info(x.gateway.log, logevent.RequestSent).Str("request", x.call.CallerAttemptID).Str("route", x.routeName()).Str("upstream", e.Upstream.ID).
		Int64("entry_revision", e.Upstream.Revision.Number).Int("sends", e.Attempt).Bool("resume", e.Resume).
		Int64("version", e.Version).Stringer("homes", e.Homes).Bool("came_back", e.Returning).Dur("waited_ms", time.Since(x.arrivedAt)).Msg("request sent")
	x.gateway.metrics.Attempts.Add(1, x.routeName(), "", strconv.Itoa(e.Attempt))
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{x: x, decision: e, cancel: cancel, createdAt: time.Now()}
	a.silence = silence.NewWatch(e.FirstEventTimeout, func() { cancel(errUpstreamTimeout) })
	a.silence.OnLateRead(x.gateway.ownDelay.LateRead)
	defer cancel(nil)
	x.current.Store(a)
	defer x.current.Store(nil)
	outcome, err := a.do(ctx)
	if outcome != forward.Answered && x.reservation.Evicted() {
		x.abortEvicted()
	}
	if outcome != forward.Answered && x.ctx.Err() != nil {
		// The caller left or the deadline passed; run reports to the reducer which.
		x.unsent = !a.sent
		return false
	}
	if err != nil {
		// The log field sends is Send.Attempt.
		logevent.Warn(x.gateway.log, logevent.AttemptFailed).Str("request", x.call.CallerAttemptID).Str("upstream", e.Upstream.ID).Int("sends", e.Attempt).
			Str("outcome", string(outcome)).Uint64("fingerprint", x.fingerprint).Str("last_event", x.lastEventID).Bool("answering", a.sent).
			Stringers("parts", stringers(x.call.SharedParts)).Err(err).Msg("attempt failed")
		x.gateway.metrics.AttemptsFailed.Add(1, string(outcome))
	}
	if outcome == forward.Broken && !errors.Is(err, errCrashedAtEnd) { // That error is the result of such a check.
		x.gateway.checkDown(ctx, e.Upstream) // The reducer decides on the next attempt by it.
	}
	x.reportAttemptEnd(outcome)
	if outcome == forward.Answered {
		x.recordEnd("answered", "")
		x.end.complete = true
		return true
	}
	return false
}

// stringers returns a list as the type that the log takes.
func stringers[T fmt.Stringer](list []T) []fmt.Stringer {
	out := make([]fmt.Stringer, len(list))
	for i, v := range list {
		out[i] = v
	}
	return out
}

// do sends the request and passes the response on. It returns the attempt's outcome, and an error unless that is forward.Answered.
func (a *attempt) do(ctx context.Context) (forward.Outcome, error) {
	defer a.silence.Stop()
	ctx = silence.WithWatch(ctx, a.silence)
	req, err := platform.NewUpstreamRequest(ctx, a.x.r, a.x.body, a.decision, a.x.lastEventID)
	if err != nil {
		return forward.NotSent, err
	}
	resp, err := a.x.gateway.upstreamTransport.RoundTrip(req)
	if err != nil {
		a.sent = a.silence.Abandon()
		return a.outcomeOf(ctx, err), err
	}
	a.sent = true
	defer func() { _ = resp.Body.Close() }()
	head := platform.ReadResponseHead(resp, a.x.call.CallerAttemptID)
	a.version = head.Version
	a.x.gateway.step(forward.AnswerHeadReceived{Upstream: a.decision.Upstream.Instance(), Sent: a.createdAt, Outcome: head.Outcome, Notice: head.Notice})
	switch {
	case head.Outcome == forward.ServerFailed:
		return a.readFailure(ctx, resp, head)
	case head.Outcome != forward.Answered:
		return head.Outcome, errors.New(head.Problem)
	case a.isStream(resp):
		err = a.copyStream(ctx, resp, head.Header)
	default:
		err = a.copyBuffered(ctx, resp, head.Header)
	}
	if err != nil {
		return a.outcomeOf(ctx, err), err
	}
	return forward.Answered, nil
}

// outcomeOf classifies an attempt that ended with an error.
func (a *attempt) outcomeOf(ctx context.Context, err error) forward.Outcome {
	isWithdrawn := errors.Is(context.Cause(ctx), errWithdrawn) || errors.Is(err, errWithdrawn)
	switch {
	case isWithdrawn && !a.sent:
		return forward.Unsent
	case isWithdrawn:
		return forward.Withdrawn
	case !a.sent:
		return forward.NotSent
	case errors.Is(context.Cause(ctx), errUpstreamTimeout), errors.Is(err, errUpstreamTimeout):
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
	a.x.startedVersion = a.version
	a.x.gateway.metrics.UpstreamFirstByte.Observe(time.Since(a.createdAt), a.x.routeName(), "", "")
	a.x.gateway.step(forward.Started{ID: a.x.id, Version: a.version})
	return true
}

// withdraw cancels the current attempt if its number is e.Attempt and its upstream has not started it.
func (x *exchange) withdraw(e forward.Withdraw) {
	if a := x.current.Load(); a != nil && a.decision.Attempt == e.Attempt && a.stage.CompareAndSwap(stagePending, stageWithdrawn) {
		a.cancel(errWithdrawn)
	}
}

func (a *attempt) isStream(resp *http.Response) bool {
	return a.x.accepted.Route.Kind == catalog.Streaming && resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// readFailure buffers an upstream's own failure, so that it can be passed on if no other upstream is tried.
func (a *attempt) readFailure(ctx context.Context, resp *http.Response, head platform.ResponseHead) (forward.Outcome, error) {
	body, err := a.readAll(ctx, resp)
	if err != nil {
		return a.outcomeOf(ctx, err), errors.Wrap(err, "reading the upstream's error response")
	}
	a.x.upstreamFailure = &response{status: resp.StatusCode, header: head.Header, body: body}
	return forward.ServerFailed, errors.New(head.Problem)
}

// copyBuffered reads a complete response before it passes any of it on, so that another attempt can replace one that breaks off.
func (a *attempt) copyBuffered(ctx context.Context, resp *http.Response, header http.Header) error {
	if !a.markStarted() {
		return errWithdrawn
	}
	body, err := a.readAll(ctx, resp)
	if err != nil {
		return errors.Wrap(err, "reading the upstream's response")
	}
	a.silence.Stop()
	if err := a.confirmEnd(ctx, resp, true); err != nil {
		return err
	}
	if a.x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.x.writeResponse(&response{status: resp.StatusCode, header: header, body: body})
	return nil
}

func (a *attempt) readAll(ctx context.Context, resp *http.Response) ([]byte, error) {
	return io.ReadAll(accountedResponse(ctx, io.LimitReader(resp.Body, maxBufferedResponse), a.x.reservation))
}

// copyStream passes on the events of a stream as they arrive, each one complete.
func (a *attempt) copyStream(ctx context.Context, resp *http.Response, header http.Header) error {
	events := newEventQueue()
	go a.readEvents(ctx, resp.Body, events)
	callerConn := http.NewResponseController(a.x.w)
	for {
		ev, err := events.pop()
		if errors.Is(err, io.EOF) {
			if err := a.confirmEnd(ctx, resp, a.x.headerSent); err != nil {
				return err
			}
			a.x.writeHeader(resp.StatusCode, header)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "reading the upstream's stream")
		}
		if !a.markStarted() {
			return errWithdrawn
		}
		if err := a.x.checkEventOrder(ev); err != nil {
			return err
		}
		a.x.timing.recordRead(ev.readAt)
		header.Del("Content-Length") // The rest of the stream may come from another upstream.
		a.x.writeHeader(resp.StatusCode, header)
		writeStart := time.Now()
		if _, err := a.x.w.Write(ev.raw); err != nil {
			return errors.Wrap(err, "writing to the caller")
		}
		if err := callerConn.Flush(); err != nil {
			return errors.Wrap(err, "writing to the caller")
		}
		a.x.reservation.Shrink(len(ev.raw))
		a.x.lastWriteAt = time.Now()
		a.x.timing.recordWrite(a.x.lastWriteAt.Sub(writeStart))
		if ev.id != "" {
			a.x.lastEventID = ev.id
		}
	}
}

// checkEventOrder returns an error if ev does not directly follow the last event passed on: a stream that skips or repeats an event is
// broken.
func (x *exchange) checkEventOrder(ev event) error {
	if x.lastEventID == "" || ev.id == "" {
		return nil
	}
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	id, errID := strconv.ParseInt(ev.id, 10, 64)
	if errLast != nil || errID != nil || id != last+1 {
		return errors.Errorf("event %q does not follow event %q", ev.id, x.lastEventID)
	}
	return nil
}
