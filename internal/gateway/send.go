package gateway

import (
	"context"
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
	"samphireweir.example/samphireweir/platform"
)

// maxWhole bounds, in bytes, an answer that is read whole before it is passed on.
const maxWhole = 16 << 20

// errSilent ends a send in which nothing came for too long.
var errSilent = errors.New("nothing came from the upstream in time")

// errWithdrawn ends a send whose engine has not begun it while its version is about to be out of use.
var errWithdrawn = errors.New("taken back before it began: the time of the engine's version is nearly over")

// attempt is one send of a request.
type attempt struct {
	x    *exchange
	send forward.Send
	// connected is set once bytes may have reached the upstream.
	connected atomic.Bool
	cancel    context.CancelCauseFunc
	patience  *time.Timer
	// made is when it was made, and version the one on which the upstream says it began; see begin.
	made    time.Time
	version int64
	// stage is unbegun until the upstream has begun or the send is withdrawn, whichever comes first.
	stage atomic.Int32
}

// The stages of an attempt.
const (
	unbegun int32 = iota
	begun
	withdrawn
)

// send makes one send and tells the reducer how it ended. It reports whether the request ended with it.
func (x *exchange) send(e forward.Send) bool {
	if !time.Now().Before(e.By) {
		return false // The decision is older than the request's time: run tells the reducer that this is over.
	}
	logevent.Info(x.gateway.log, logevent.RequestSent).Str("request", x.call.ID).Str("route", x.routeName()).Str("upstream", e.Upstream.ID).
		Int64("entry_revision", e.Upstream.Revision).Int("sends", e.Number).Bool("resume", e.Resume).
		Int64("version", e.Version).Stringer("homes", e.Homes).Bool("came_back", e.CameBack).Dur("waited_ms", time.Since(x.arrived)).Msg("request sent")
	x.gateway.metrics.Attempts.Add(1, x.routeName(), "", strconv.Itoa(e.Number))
	ctx, cancel := context.WithCancelCause(x.ctx)
	a := &attempt{x: x, send: e, cancel: cancel, made: time.Now()}
	defer cancel(nil)
	x.current.Store(a)
	defer x.current.Store(nil)
	outcome, err := a.make(ctx)
	if outcome != forward.Answered && x.holder.Evicted() {
		x.endSlow()
	}
	if outcome != forward.Answered && x.ctx.Err() != nil {
		// The caller left, or the time is over: run tells the reducer which.
		x.unsent = !a.connected.Load()
		return false
	}
	if err != nil {
		logevent.Warn(x.gateway.log, logevent.AttemptFailed).Str("request", x.call.ID).Str("upstream", e.Upstream.ID).Int("sends", e.Number).
			Str("outcome", string(outcome)).Uint64("fingerprint", x.fingerprint).Str("last_event", x.lastEvent).Err(err).Msg("attempt failed")
		x.gateway.metrics.AttemptsFailed.Add(1, string(outcome))
	}
	x.tell(outcome)
	if outcome == forward.Answered {
		x.ended("answered", "")
		return true
	}
	return false
}

func (a *attempt) make(ctx context.Context) (forward.Outcome, error) {
	a.startPatience()
	defer a.stopPatience()
	ctx = platform.Connected(ctx, func() { a.connected.Store(true) })
	req, err := platform.NewUpstreamRequest(ctx, a.x.r, a.x.body, a.send, a.x.lastEvent)
	if err != nil {
		return forward.NotSent, err
	}
	resp, err := a.x.gateway.upstreams.RoundTrip(req)
	if err != nil {
		return a.failed(ctx, err), err
	}
	defer func() { _ = resp.Body.Close() }()
	reading := platform.ReadHead(resp, a.x.call.ID)
	a.version = reading.Version
	a.x.gateway.step(forward.Noticed{Upstream: a.send.Upstream.Life(), Sent: a.made, Outcome: reading.Outcome, Notice: reading.Notice})
	switch {
	case reading.Outcome == forward.ServerFailed:
		return a.keepFailure(ctx, resp, reading)
	case reading.Outcome != forward.Answered:
		return reading.Outcome, errors.New(reading.Problem)
	case a.isStream(resp):
		err = a.copyEvents(ctx, resp, reading.Header)
	default:
		err = a.copyWhole(ctx, resp, reading.Header)
	}
	if err != nil {
		return a.failed(ctx, err), err
	}
	return forward.Answered, nil
}

// failed tells what is known of a send that ended with an error.
func (a *attempt) failed(ctx context.Context, err error) forward.Outcome {
	isWithdrawn := errors.Is(context.Cause(ctx), errWithdrawn) || errors.Is(err, errWithdrawn)
	switch {
	case isWithdrawn && !a.connected.Load():
		return forward.Unsent
	case isWithdrawn:
		return forward.Withdrawn
	case !a.connected.Load():
		return forward.NotSent
	case errors.Is(context.Cause(ctx), errSilent), errors.Is(err, errSilent):
		return forward.Silent
	}
	return forward.Broken
}

// begin notes that the upstream began: a stream begins with its first event, any other answer with its head. It reports whether the
// answer may be passed on, which a send that was withdrawn before may not.
func (a *attempt) begin() bool {
	if !a.stage.CompareAndSwap(unbegun, begun) {
		return a.stage.Load() == begun
	}
	a.x.version = a.version
	a.x.gateway.metrics.UpstreamFirstByte.Observe(time.Since(a.made), a.x.routeName(), "", "")
	a.x.gateway.step(forward.Began{ID: a.x.id, Version: a.version})
	return true
}

// withdraw ends the present send if it is the one that is meant and its answer has not begun.
func (x *exchange) withdraw(e forward.Withdraw) {
	if a := x.current.Load(); a != nil && a.send.Number == e.Number && a.stage.CompareAndSwap(unbegun, withdrawn) {
		a.cancel(errWithdrawn)
	}
}

func (a *attempt) startPatience() {
	if a.send.Patience > 0 {
		a.patience = time.AfterFunc(a.send.Patience, func() { a.cancel(errSilent) })
	}
}

func (a *attempt) stopPatience() {
	if a.patience != nil {
		a.patience.Stop()
	}
}

// progress starts the patience for the next event.
func (a *attempt) progress() {
	if a.patience != nil {
		a.patience.Reset(a.send.GapPatience)
	}
}

func (a *attempt) isStream(resp *http.Response) bool {
	return a.x.terms.Route.Kind == catalog.Streaming && resp.StatusCode == http.StatusOK &&
		strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// keepFailure reads the upstream's own failure whole, so that it can be passed on if no other upstream is asked.
func (a *attempt) keepFailure(ctx context.Context, resp *http.Response, reading platform.Reading) (forward.Outcome, error) {
	body, err := a.readWhole(ctx, resp)
	if err != nil {
		return a.failed(ctx, err), errors.Wrap(err, "read the upstream's failure")
	}
	a.x.failure = &answer{status: resp.StatusCode, header: reading.Header, body: body}
	return forward.ServerFailed, errors.New(reading.Problem)
}

// copyWhole reads an answer whole before any of it is passed on, so that one that breaks can still be replaced.
func (a *attempt) copyWhole(ctx context.Context, resp *http.Response, header http.Header) error {
	if !a.begin() {
		return errWithdrawn
	}
	body, err := a.readWhole(ctx, resp)
	if err != nil {
		return errors.Wrap(err, "read the upstream's answer")
	}
	a.stopPatience()
	if a.x.r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.x.deliver(&answer{status: resp.StatusCode, header: header, body: body})
	return nil
}

func (a *attempt) readWhole(ctx context.Context, resp *http.Response) ([]byte, error) {
	return io.ReadAll(heldAnswer(ctx, io.LimitReader(resp.Body, maxWhole), a.x.holder))
}

// copyEvents passes on the events of a stream as they come, each whole.
func (a *attempt) copyEvents(ctx context.Context, resp *http.Response, header http.Header) error {
	events := newEventQueue()
	go a.readEvents(ctx, resp.Body, events)
	out := http.NewResponseController(a.x.w)
	for {
		e, err := events.next()
		if errors.Is(err, io.EOF) {
			a.x.head(resp.StatusCode, header)
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read the stream")
		}
		if !a.begin() {
			return errWithdrawn
		}
		if err := a.x.follows(e); err != nil {
			return err
		}
		a.x.pauses.read(e.at)
		header.Del("Content-Length") // The rest of the stream may come from another upstream.
		a.x.head(resp.StatusCode, header)
		writing := time.Now()
		if _, err := a.x.w.Write(e.raw); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
		if err := out.Flush(); err != nil {
			return errors.Wrap(err, "write to the caller")
		}
		a.x.holder.Shrink(len(e.raw))
		a.x.passedAt = time.Now()
		a.x.pauses.wrote(a.x.passedAt.Sub(writing))
		if e.id != "" {
			a.x.lastEvent = e.id
		}
	}
}

// follows checks that an event goes on where the answer stands: a stream that skips or repeats an event is broken.
func (x *exchange) follows(e event) error {
	if x.lastEvent == "" || e.id == "" {
		return nil
	}
	last, errLast := strconv.ParseInt(x.lastEvent, 10, 64)
	id, errID := strconv.ParseInt(e.id, 10, 64)
	if errLast != nil || errID != nil || id != last+1 {
		return errors.Errorf("event %q does not follow event %q", e.id, x.lastEvent)
	}
	return nil
}
