package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/platform"
)

// maxEffects is the capacity of a request's effect channel. A request has one forward.Accepted, one effect for each attempt and
// one for its end.
const maxEffects = 8

const (
	// memoryFullRetryAfter is the Retry-After delay of a refusal for lack of memory. Within that time, requests whose callers do not
	// read are evicted.
	memoryFullRetryAfter = time.Second
	// writeChunkBytes is how many bytes of a buffered response are written at a time, so that the reservation records progress while the
	// caller reads.
	writeChunkBytes = 64 << 10
)

// exchange is one caller's request in progress, from its head until the end of the response.
type exchange struct {
	gateway *Gateway
	id      uint64
	call    platform.CallerRequest
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	// reservation accounts for the memory of the request body and of the part of the response that the caller has not read yet.
	reservation *membudget.Reservation
	// arrivedAt is when the request's head was read.
	arrivedAt time.Time
	// fingerprint identifies the request's content and its caller; see the function fingerprint.
	fingerprint uint64
	effects     chan step.Effect

	// accepted holds the deadline and the route of the request, once the reducer has accepted it.
	accepted forward.Accepted
	// ctx ends when the caller leaves or the request's deadline passes.
	ctx    context.Context
	cancel context.CancelFunc
	// headerSent is set once the response header was written, which is at firstByteAt. The last write to the caller ended at lastWriteAt.
	headerSent  bool
	firstByteAt time.Time
	lastWriteAt time.Time
	// mu guards open, the attempts that have not ended.
	mu   sync.Mutex
	open []*attempt
	// answered gets a token when something was added to the queue of an attempt, and running counts the goroutines of attempts.
	answered chan struct{}
	running  sync.WaitGroup
	// timedOut is set once the deadline was reported to the reducer.
	timedOut bool
	// sentAtDeadline is set if an attempt that the deadline ended may have reached an upstream; see handleDone.
	sentAtDeadline bool
	// startedVersion is the version of the weights on which an upstream last started the request; 0 if none started it or that upstream
	// does not report a version.
	startedVersion int64
	// lastEventID is the id of the last event that was passed on.
	lastEventID string
	timing      streamTiming
	// end is how the request ended, and endReported is set once an incomplete answer was reported.
	end         end
	endReported atomic.Bool
	// upstreamFailure is the upstream's own failure, kept in case it has to be passed on.
	upstreamFailure *response
}

// response is a complete response of an upstream.
type response struct {
	status int
	header http.Header
	body   []byte
}

// newExchange returns the exchange of a request whose head was read at arrivedAt and whose body is still to be read.
func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request, arrivedAt time.Time) *exchange {
	call := platform.ReadCallerRequest(r)
	return &exchange{
		gateway: g, id: g.nextID.Add(1), call: call, w: w, r: r, reservation: g.openReservation(w, call.APIKey),
		arrivedAt: arrivedAt, effects: make(chan step.Effect, maxEffects), answered: make(chan struct{}, 1), ctx: r.Context(), cancel: func() {},
	}
}

// readBody reads the body of the request. It reports whether processing continues.
func (x *exchange) readBody() bool {
	body, err := boundedread.All(accountedBody(x.r.Body, x.reservation), maxBodyBytes)
	switch {
	case errors.Is(err, membudget.ErrFull):
		x.refuseUnread(forward.Refuse{ID: x.id, Code: code.MemoryFull, Ran: code.NotRun, Reason: err.Error(), RetryAfter: memoryFullRetryAfter})
		return false
	case errors.Is(err, boundedread.ErrTooLarge):
		x.refuseUnread(forward.Refuse{ID: x.id, Code: code.BodyTooLarge, Ran: code.NotRun, Reason: err.Error()})
		return false
	case err != nil:
		// Nothing was sent to an upstream, and the caller's connection is unusable.
		x.endIncomplete(bodyUnread, err.Error())
		x.logIfEvicted()
		panic(http.ErrAbortHandler)
	}
	x.reservation.CallerDone()
	x.body = body
	return true
}

// refuseUnread refuses a request whose body is not read to its end. Its connection can't be reused.
func (x *exchange) refuseUnread(e forward.Refuse) {
	x.w.Header().Set("Connection", "close")
	lingerOnClose(x.r)
	x.refuse(e)
}

// abortEvicted ends a request whose reservation was evicted because its caller made no progress for too long.
func (x *exchange) abortEvicted() {
	x.gateway.step(forward.CallerGone{ID: x.id})
	x.recordEnd("slow caller ended", membudget.ErrEvicted.Error())
	x.endIncomplete(slowCaller, "")
	x.logIfEvicted()
	panic(http.ErrAbortHandler)
}

// logIfEvicted logs that the request was ended to free memory for others.
func (x *exchange) logIfEvicted() {
	if x.reservation.Evicted() {
		logevent.Warn(x.gateway.log, logevent.SlowCallerDisconnected).Str("request", x.call.CallerAttemptID).Str("route", x.routeName()).Bool("answering", x.headerSent).
			Int64("held", x.gateway.memory.Used()).Dur("took_ms", time.Since(x.arrivedAt)).Msg("slow caller disconnected")
	}
}

// run carries out the reducer's decisions on the request until the request ends.
func (x *exchange) run() {
	defer x.endAttempts()
	x.fingerprint = fingerprint(x.r, x.call.APIKey, x.body)
	if x.call.MalformedParts {
		x.gateway.logMalformedParts(x.call.CallerAttemptID)
	}
	x.gateway.step(forward.Arrived{
		ID: x.id, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Key: x.call.APIKey, Model: x.call.Model, PromptTokens: x.call.PromptTokens, MaxAnswerTokens: x.call.MaxAnswerTokens,
		Budget: x.call.TimeLeft, BodyReadTime: time.Since(x.arrivedAt), Size: int64(len(x.body)), Fingerprint: x.fingerprint,
		SharedParts: x.call.SharedParts,
	})
	for {
		select {
		case e := <-x.effects:
			if x.execute(e) {
				return
			}
		case <-x.answered:
			if x.takeAnswers() {
				return
			}
		case <-x.ctx.Done():
			if x.handleDone() {
				return
			}
		}
	}
}

// fingerprint returns a hash of a request's content and its caller: method, host, path with query, API key and body. Package quarantine
// identifies requests by it. It differs from the fingerprint of the first product's path (package entry), which is independent of the
// caller.
func fingerprint(r *http.Request, key string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(key), body} {
		_, _ = d.Write(part) // Writing to the hash never fails.
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// handleDone reports to the reducer, once, that the caller left or that the deadline passed. It returns true if the caller left; after
// the deadline, the request ends with the reducer's next effect.
func (x *exchange) handleDone() bool {
	if x.r.Context().Err() != nil {
		x.gateway.step(forward.CallerGone{ID: x.id})
		x.recordEnd("caller gone", "")
		x.endIncomplete(callerLeft, "")
		return true
	}
	for _, a := range x.openAttempts() {
		<-a.done
	}
	if x.takeAnswers() {
		return true // The answer was there in time.
	}
	x.ctx, x.timedOut = context.WithoutCancel(x.r.Context()), true
	x.gateway.step(forward.TimedOut{ID: x.id, Partial: x.headerSent, Unsent: !x.sentAtDeadline})
	return false
}

// endAttempts cancels the open attempts and waits for their goroutines.
func (x *exchange) endAttempts() {
	x.cancel()
	x.running.Wait()
}

// execute carries out one effect and reports whether it ended the request.
func (x *exchange) execute(e step.Effect) bool {
	switch e := e.(type) {
	case forward.Accepted:
		x.accepted = e
		x.ctx, x.cancel = context.WithDeadline(x.r.Context(), e.Deadline)
	case forward.Send:
		if x.takeAnswers() { // What was received before is passed on first, so that the attempt resumes after it.
			return true
		}
		if time.Now().Before(e.Deadline) { // Otherwise run reports to the reducer that the deadline passed.
			x.startAttempt(e)
		}
	case forward.Refuse:
		x.refuse(e)
		return true
	case forward.Deliver:
		x.writeResponse(x.upstreamFailure)
		x.recordEnd("failed by the upstream", "")
		x.end.complete = true
		return true
	case forward.Abort:
		x.recordEnd("aborted", e.Reason)
		x.endIncomplete(answerAborted, e.Reason)
		panic(http.ErrAbortHandler) // Closes the connection, so that the caller can't take the response for complete.
	}
	return false
}

// refusal is the body of a response that the entry itself gives.
type refusal struct {
	Code  int    `json:"code"`
	Error string `json:"error"`
	Ran   string `json:"ran"`
}

func (x *exchange) refuse(e forward.Refuse) {
	description := e.Code.Describe()
	platform.SetAttemptID(x.w.Header(), x.call.CallerAttemptID)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(x.w.Header(), e.RetryAfter)
	}
	body, err := json.Marshal(refusal{Code: int(e.Code), Error: description.Name, Ran: string(e.Ran)})
	if err != nil {
		body = nil // Can't happen for these field types; the status alone is sufficient.
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(description.Status)
	_, _ = x.w.Write(body) // A caller that left is detected by the request's context.
	x.end.complete = true
	// The log field came_back is Refuse.Returning.
	logevent.Warn(x.gateway.log, logevent.RequestRefused).Str("request", x.call.CallerAttemptID).Int("code", int(e.Code)).Str("ran", string(e.Ran)).
		Str("why", e.Reason).Bool("came_back", e.Returning).Dur("limit_ms", x.call.TimeLeft).Dur("retry_after_ms", e.RetryAfter).Dur("held_ms", time.Since(x.arrivedAt)).
		Str("route", x.routeName()).Str("account", x.accepted.Account).Int("priority", x.accepted.Priority).Msg("request refused")
	x.countRequest(strconv.Itoa(int(e.Code)))
	x.gateway.metrics.Refusals.Add(1, strconv.Itoa(int(e.Code)), string(e.Ran))
}

// writeResponse passes on a complete response.
func (x *exchange) writeResponse(resp *response) {
	x.writeHeader(resp.status, resp.header)
	x.reservation.AwaitCaller()
	defer x.reservation.CallerDone()
	for chunk := range slices.Chunk(resp.body, writeChunkBytes) {
		if _, err := x.w.Write(chunk); err != nil {
			x.endIncomplete(writeFailed, err.Error())
			x.logIfEvicted()
			panic(http.ErrAbortHandler)
		}
		x.reservation.Shrink(len(chunk))
	}
}

// writeHeader passes on the status and the headers of a response, once.
func (x *exchange) writeHeader(status int, header http.Header) {
	if x.headerSent {
		return
	}
	x.headerSent, x.firstByteAt = true, time.Now()
	x.lastWriteAt = x.firstByteAt
	out := x.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if header.Get("Content-Type") == "" {
		out["Content-Type"] = nil // Keeps net/http from detecting a content type.
	}
	if x.gateway.stopping.Load() {
		out.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	x.gateway.metrics.FirstByte.Observe(time.Since(x.arrivedAt), x.routeName(), "")
}

// recordEnd logs and counts the end of a request; why may be empty.
func (x *exchange) recordEnd(outcome, why string) {
	logevent.Info(x.gateway.log, logevent.RequestEnded).Str("request", x.call.CallerAttemptID).Str("route", x.routeName()).Str("account", x.accepted.Account).
		Int("priority", x.accepted.Priority).Str("outcome", outcome).Str("why", why).Dur("objective_ms", x.objective()).Dur("first_ms", x.timeToFirstByte()).
		Int("events", x.timing.eventCount).Dur("gap_objective_ms", x.gapObjective()).Dur("upstream_pause_ms", x.timing.maxUpstreamGap).Dur("caller_pause_ms", x.timing.maxWrite).
		Int64("version", x.startedVersion).Dur("took_ms", time.Since(x.arrivedAt)).Msg("request ended")
	x.countRequest(outcome)
	x.gateway.metrics.Total.Observe(time.Since(x.arrivedAt), x.routeName(), "")
}

// objective returns the latency objective of the request's route; 0 if no route was found.
func (x *exchange) objective() time.Duration {
	if x.accepted.Route == nil {
		return 0
	}
	return x.accepted.Route.Objective
}

// gapObjective returns the longest pause between two events of a stream that still meets the route's objective; 0 if the route sets none.
func (x *exchange) gapObjective() time.Duration {
	if x.accepted.Route == nil {
		return 0
	}
	return x.accepted.Route.GapObjective
}

// timeToFirstByte returns how long the caller waited for the first byte of an upstream's response; 0 if there was none.
func (x *exchange) timeToFirstByte() time.Duration {
	if !x.headerSent {
		return 0
	}
	return x.firstByteAt.Sub(x.arrivedAt)
}

func (x *exchange) countRequest(outcome string) {
	x.gateway.metrics.Requests.Add(1, x.routeName(), "", outcome)
}

func (x *exchange) routeName() string {
	if x.accepted.Route == nil {
		return ""
	}
	return x.accepted.Route.Name
}
