package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/platform"
)

// maxEffects bounds the effects that wait for one request; each send has one, and the end another.
const maxEffects = 8

const (
	// memoryFullAway is when to come back after a refusal for want of memory: callers that don't read are ended sooner.
	memoryFullAway = time.Second
	// deliverPart is how many bytes of a whole answer are passed on at a time, so that it shows that its caller reads.
	deliverPart = 64 << 10
)

// exchange is one caller's request on its way, from its head read to the end of the answer.
type exchange struct {
	gateway *Gateway
	id      uint64
	call    platform.Call
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	// holder accounts for the memory of the body and of what the caller has not taken of its answer.
	holder *membudget.Reservation
	// arrived is when the request's head was read.
	arrived time.Time
	// fingerprint names what is asked and by whom; see package quarantine.
	fingerprint uint64
	effects     chan step.Effect

	// terms are set once the request was admitted.
	terms forward.Admitted
	// ctx ends when the caller leaves or the request's time is over.
	ctx    context.Context
	cancel context.CancelFunc
	// begun is set once the head of an answer was passed on, at beganAt; the last of it was passed on at passedAt.
	begun    bool
	beganAt  time.Time
	passedAt time.Time
	// current is the send that is being made; nil between two sends.
	current atomic.Pointer[attempt]
	// unsent is set as long as nothing is known to have reached an upstream since the reducer was told of the last send's end.
	unsent bool
	// version is the version of the weights on which the last send began; 0 when it did not begin or its upstream does not say.
	version int64
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
	pauses    pauses
	// failure is the upstream's own failure, kept in case it is to be passed on.
	failure *answer
}

// answer is an upstream's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// newExchange returns the exchange of a request whose head was read at a moment, and whose body is still to be read.
func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request, head time.Time) *exchange {
	call := platform.ReadCall(r)
	return &exchange{
		gateway: g, id: g.nextID.Add(1), call: call, w: w, r: r, holder: g.openHolder(w, call.Key),
		arrived: head, effects: make(chan step.Effect, maxEffects), ctx: r.Context(), cancel: func() {}, unsent: true,
	}
}

// readBody reads the body of the request. It reports whether the request goes on.
func (x *exchange) readBody() bool {
	body, err := io.ReadAll(heldBody(http.MaxBytesReader(x.w, x.r.Body, maxBody), x.holder))
	switch {
	case errors.Is(err, membudget.ErrFull):
		x.w.Header().Set("Connection", "close") // The rest of the body is not read.
		x.refuse(forward.Refuse{ID: x.id, Code: code.MemoryFull, Ran: code.NotRun, Why: err.Error(), RetryAfter: memoryFullAway})
		return false
	case err != nil:
		// Nothing was sent, and the caller's connection is of no use any more.
		x.logIfEnded()
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// endSlow ends a request whose caller took nothing for so long that its memory went to others.
func (x *exchange) endSlow() {
	x.gateway.step(forward.CallerGone{ID: x.id})
	x.ended("slow caller ended", membudget.ErrEvicted.Error())
	x.logIfEnded()
	panic(http.ErrAbortHandler)
}

// logIfEnded logs that the request was ended to make room for others.
func (x *exchange) logIfEnded() {
	if x.holder.Evicted() {
		logevent.Warn(x.gateway.log, logevent.SlowCallerEnded).Str("request", x.call.ID).Str("route", x.routeName()).Bool("answering", x.begun).
			Int64("held", x.gateway.memory.Used()).Dur("took_ms", time.Since(x.arrived)).Msg("slow caller ended")
	}
}

// run carries out the reducer's decisions on the request until it ended.
func (x *exchange) run() {
	defer func() { x.cancel() }()
	x.fingerprint = fingerprint(x.r, x.call.Key, x.body)
	x.gateway.step(forward.Arrived{
		ID: x.id, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Key: x.call.Key, Model: x.call.Model, Prompt: x.call.Prompt, Answer: x.call.Answer,
		Budget: x.call.Budget, Reading: time.Since(x.arrived), Size: int64(len(x.body)), Fingerprint: x.fingerprint,
	})
	for {
		select {
		case e := <-x.effects:
			if x.carry(e) {
				return
			}
		case <-x.ctx.Done():
			if x.over() {
				return
			}
		}
	}
}

// fingerprint names what is asked and by whom.
func fingerprint(r *http.Request, key string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.URL.RequestURI()), []byte(key), body} {
		_, _ = d.Write(part) // A hash takes every byte.
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// over tells the reducer that the caller left or that the time is over, once. It reports whether nobody waits any more.
func (x *exchange) over() bool {
	if x.r.Context().Err() != nil {
		x.gateway.step(forward.CallerGone{ID: x.id})
		x.ended("caller gone", "")
		return true
	}
	x.ctx = context.WithoutCancel(x.r.Context())
	x.gateway.step(forward.TimedOut{ID: x.id, Partial: x.begun, Unsent: x.unsent})
	return false
}

// carry carries out one effect and reports whether it ended the request.
func (x *exchange) carry(e step.Effect) bool {
	switch e := e.(type) {
	case forward.Admitted:
		x.terms = e
		x.ctx, x.cancel = context.WithDeadline(x.r.Context(), e.By)
	case forward.Send:
		return x.send(e)
	case forward.Refuse:
		x.refuse(e)
		return true
	case forward.Deliver:
		x.deliver(x.failure)
		x.ended("failed by the upstream", "")
		return true
	case forward.Abort:
		x.ended("aborted", e.Why)
		panic(http.ErrAbortHandler) // Cuts the connection, so that the answer can't be taken for whole.
	}
	return false
}

// refusal is the body of an answer of the product's own.
type refusal struct {
	Code  int    `json:"code"`
	Error string `json:"error"`
	Ran   string `json:"ran"`
}

func (x *exchange) refuse(e forward.Refuse) {
	entry := e.Code.Describe()
	platform.EchoID(x.w.Header(), x.call.ID)
	if e.RetryAfter > 0 {
		platform.SetRetryAfter(x.w.Header(), e.RetryAfter)
	}
	body, err := json.Marshal(refusal{Code: int(e.Code), Error: entry.Name, Ran: string(e.Ran)})
	if err != nil {
		body = nil // Plain fields always encode; the status says enough.
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(entry.Status)
	_, _ = x.w.Write(body) // A caller that left is noticed by its connection.
	logevent.Warn(x.gateway.log, logevent.RequestRefused).Str("request", x.call.ID).Int("code", int(e.Code)).Str("ran", string(e.Ran)).
		Str("why", e.Why).Bool("came_back", e.CameBack).Dur("limit_ms", x.call.Budget).Dur("retry_after_ms", e.RetryAfter).Dur("held_ms", time.Since(x.arrived)).Msg("request refused")
	x.count(strconv.Itoa(int(e.Code)))
	x.gateway.metrics.Refusals.Add(1, strconv.Itoa(int(e.Code)), string(e.Ran))
}

// deliver passes on a whole answer.
func (x *exchange) deliver(a *answer) {
	x.head(a.status, a.header)
	for part := range slices.Chunk(a.body, deliverPart) {
		if _, err := x.w.Write(part); err != nil {
			x.logIfEnded()
			panic(http.ErrAbortHandler)
		}
		x.holder.Shrink(len(part))
	}
}

// head passes on the status and the headers of an answer, once.
func (x *exchange) head(status int, header http.Header) {
	if x.begun {
		return
	}
	x.begun, x.beganAt = true, time.Now()
	x.passedAt = x.beganAt
	out := x.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if header.Get("Content-Type") == "" {
		out["Content-Type"] = nil // Keeps the library from guessing one.
	}
	if x.gateway.stopping.Load() {
		out.Set("Connection", "close")
	}
	x.w.WriteHeader(status)
	x.gateway.metrics.FirstByte.Observe(time.Since(x.arrived), x.routeName(), "")
}

// ended logs and counts the end of a request; why may be empty.
func (x *exchange) ended(how, why string) {
	logevent.Info(x.gateway.log, logevent.RequestEnded).Str("request", x.call.ID).Str("route", x.routeName()).Str("outcome", how).
		Str("why", why).Dur("objective_ms", x.objective()).Dur("first_ms", x.firstAfter()).
		Int("events", x.pauses.events).Dur("gap_objective_ms", x.gapObjective()).Dur("upstream_pause_ms", x.pauses.upstream).Dur("caller_pause_ms", x.pauses.caller).
		Int64("version", x.version).Dur("took_ms", time.Since(x.arrived)).Msg("request ended")
	x.count(how)
	x.gateway.metrics.Total.Observe(time.Since(x.arrived), x.routeName(), "")
}

// objective is the latency objective of the request's route; 0 when none was found.
func (x *exchange) objective() time.Duration {
	if x.terms.Route == nil {
		return 0
	}
	return x.terms.Route.Objective
}

// gapObjective is the longest pause between two events of a stream that is in time; 0 when the route does not say.
func (x *exchange) gapObjective() time.Duration {
	if x.terms.Route == nil {
		return 0
	}
	return x.terms.Route.GapObjective
}

// firstAfter is how long the caller waited for the first byte of an upstream's answer; 0 when none came.
func (x *exchange) firstAfter() time.Duration {
	if !x.begun {
		return 0
	}
	return x.beganAt.Sub(x.arrived)
}

func (x *exchange) count(outcome string) {
	x.gateway.metrics.Requests.Add(1, x.routeName(), "", outcome)
}

func (x *exchange) routeName() string {
	if x.terms.Route == nil {
		return ""
	}
	return x.terms.Route.Name
}

// tell reports the end of a send to the reducer.
func (x *exchange) tell(outcome forward.Outcome) {
	ended := forward.SendEnded{ID: x.id, Outcome: outcome, Partial: x.begun}
	if x.begun {
		ended.Quiet = time.Since(x.passedAt)
	}
	x.unsent = true
	x.gateway.step(ended)
}
