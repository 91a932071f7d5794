package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/node"
)

const (
	// lingerFor is how long an answer waits for a resume after its connection broke.
	lingerFor = 5 * time.Second
	// defaultRunTime bounds a run whose entry names no deadline.
	defaultRunTime = 10 * time.Minute
	// defaultMarkTimeout bounds the telling of entries that a request is suspect.
	defaultMarkTimeout = 500 * time.Millisecond
	// copySize is the most that is read from an upstream at once, in bytes.
	copySize = 32 << 10
)

// execution is one run on an upstream.
type execution struct {
	start  run.Start
	env    frame.Envelope
	out    *output
	ctx    context.Context
	cancel context.CancelCauseFunc
	// heard is when the upstream last sent a byte, in nanoseconds of wall-clock time; 0 before the first.
	heard atomic.Int64

	mu     sync.Mutex
	linger *time.Timer
	// withheld is set when the engine's weights changed under the run.
	withheld atomic.Bool
}

func message(env frame.Envelope) run.Message {
	return run.Message{
		ID:          run.ID{Request: env.Request, Attempt: env.Attempt},
		Incarnation: env.Incarnation, Entry: env.Entry, Sequence: env.Sequence,
	}
}

// open reads the envelope of a call and answers its head and a beat at once, so that the entry knows that the
// connection works, whatever the upstream does.
func open(w http.ResponseWriter, r *http.Request) (frame.Envelope, bool) {
	env, err := frame.ParseEnvelope(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return env, false
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Content-Type", frame.ContentType)
	return env, beat(w)
}

func beat(w http.ResponseWriter) bool {
	if frame.Write(w, frame.TypeBeat, nil) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// handleRun takes a request from an entry, starts it if the core permits, and passes its answer on.
func (a *Agent) handleRun(w http.ResponseWriter, r *http.Request) {
	env, ok := open(w, r)
	if !ok {
		return
	}
	defer node.DrainBody(w, r)
	body, err := readBody(w, r)
	if err != nil {
		return // The entry has gone, or its connection failed, before the request was whole: nothing starts.
	}
	defer body.release()
	if !a.caughtUp(r.Context(), env) {
		a.writeFail(w, env, &failure{code: code.NotReady, ran: code.NotRun})
		return
	}
	switch d := a.awaitDecision(w, r, env).(type) {
	case run.Start:
		x := a.execute(d, env, r, body)
		reader, _ := x.out.attach(0)
		a.relay(w, r, x, reader, true)
	case run.Join:
		a.join(w, r, env, d.ID)
	case run.Refuse:
		// An entry may ask before it has heard of a crash: the refusal tells it, so that it does not ask the next agent.
		a.writeFail(w, env, &failure{code: d.Code, ran: d.Ran, mark: a.mark(env.Fingerprint)})
	}
}

// mark returns what is held of a fingerprint; nil when it is no suspect.
func (a *Agent) mark(fingerprint string) (held *record.Record) {
	a.Loop.View(func(s *core.State) {
		if mark, ok := s.Mark(fingerprint); ok {
			held = &mark
		}
	})
	return held
}

// awaitDecision asks the core, with beats while a suspect waits to run alone. It returns nil when the entry has
// gone meanwhile; the try is fenced then.
func (a *Agent) awaitDecision(w http.ResponseWriter, r *http.Request, env frame.Envelope) step.Effect {
	call, ch, done := a.Calls.Open()
	defer done()
	if env.Mark != nil {
		a.Loop.Step(record.Received{Records: []record.Record{*env.Mark}})
	}
	a.Loop.Step(run.Asked{
		Call: call, Message: message(env), Upstream: env.Upstream,
		Fingerprint: env.Fingerprint, Alone: env.Alone, Digest: env.Digest,
	})
	beats := time.NewTicker(frame.BeatInterval)
	defer beats.Stop()
	for {
		select {
		case d := <-ch:
			return d
		case <-beats.C:
			if beat(w) {
				continue
			}
		case <-r.Context().Done():
		}
		a.fence(env)
		a.handBack(ch)
		return nil
	}
}

// handBack ends a run that the core had started when its entry was found gone: nothing of it reached the upstream.
func (a *Agent) handBack(decision <-chan step.Effect) {
	select {
	case d := <-decision:
		if start, started := d.(run.Start); started {
			a.Loop.Step(run.Finished{ID: start.ID, Ran: code.NotRun})
		}
	default:
	}
}

// join gives a second copy of a message the answer of the run that the first one started.
func (a *Agent) join(w http.ResponseWriter, r *http.Request, env frame.Envelope, id run.ID) {
	found, known := a.runs.Load(id)
	if !known {
		a.writeFail(w, env, &failure{code: code.StreamBroken, ran: code.Unknown})
		return
	}
	x := found.(*execution)
	reader, ok := x.out.attach(env.Offset)
	if !ok {
		a.writeFail(w, env, &failure{code: code.StreamBroken, ran: code.DidRun})
		return
	}
	a.relay(w, r, x, reader, env.Offset == 0)
}

// handleResume continues an answer over a new connection. A try that is not known here is fenced, so that the entry
// learns in one call whether to wait or to send it elsewhere.
func (a *Agent) handleResume(w http.ResponseWriter, r *http.Request) {
	env, ok := open(w, r)
	if !ok {
		return
	}
	id := message(env).ID
	if _, known := a.runs.Load(id); known && env.Incarnation == a.life {
		a.join(w, r, env, id)
		return
	}
	a.writeFail(w, env, &failure{code: code.AttemptFenced, ran: a.fence(env)})
}

// handleFence gives up on a try: if it has not started it never will, and if it runs it is cancelled.
func (a *Agent) handleFence(w http.ResponseWriter, r *http.Request) {
	env, ok := open(w, r)
	if !ok {
		return
	}
	a.writeFail(w, env, &failure{code: code.AttemptFenced, ran: a.fence(env)})
}

// fence keeps a try from starting and cancels it when it runs. It returns what is true of the try.
func (a *Agent) fence(env frame.Envelope) code.Ran {
	d := a.Decide(func(call uint64) step.Event { return run.Fenced{Call: call, Message: message(env)} })
	answer := d.(run.FenceAnswer)
	if answer.Running {
		a.cancelRun(answer.ID)
	}
	return answer.Ran
}

func (a *Agent) cancelRun(id run.ID) {
	if found, known := a.runs.Load(id); known {
		found.(*execution).cancel(errGivenUp)
	}
}

// execute begins the run; the answer goes to the execution's output.
func (a *Agent) execute(start run.Start, env frame.Envelope, r *http.Request, body *body) *execution {
	limit := defaultRunTime
	if env.DeadlineMS > 0 {
		limit = time.Duration(env.DeadlineMS) * time.Millisecond
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	x := &execution{start: start, env: env, out: newOutput(), ctx: ctx, cancel: cancel}
	a.runs.Store(start.ID, x)
	stop := time.AfterFunc(limit, func() { cancel(errDeadline) })
	go func() {
		defer stop.Stop()
		a.drive(x, r, body)
	}()
	return x
}

// drive runs the request on the upstream to its end.
func (a *Agent) drive(x *execution, r *http.Request, body *body) {
	go a.watch(x)
	f := a.contained(func() *failure { return a.callUpstream(x, r, body) })
	x.cancel(nil)
	if x.withheld.Load() {
		f = &failure{code: code.WeightsChanged, ran: code.DidRun}
	}
	done := run.Finished{ID: x.start.ID, Ran: code.DidRun, Whole: f == nil}
	if f != nil {
		done.Ran = f.ran
		a.noteFailure(x, f)
	}
	x.out.end(f)
	a.Loop.Step(done)
	time.AfterFunc(lingerFor, func() { a.runs.Delete(x.start.ID) })
}

// noteFailure tells the core of a crash, so that the request is marked before the entry hears of it.
func (a *Agent) noteFailure(x *execution, f *failure) {
	logevent.Warn(a.Log, logevent.AttemptFailed).Str("request", x.env.Request).Str("upstream", x.start.Upstream).
		Int("code", int(f.code)).Str("ran", string(f.ran)).Bool("crashed", f.crashed).Msg("attempt failed")
	if !f.crashed {
		return
	}
	a.Loop.Step(run.Crashed{ID: x.start.ID})
	a.doubt(x.start)
	var listeners []string
	a.Loop.View(func(s *core.State) { listeners = s.MarkListeners() })
	if f.mark = a.mark(x.env.Fingerprint); f.mark != nil {
		// The caller may go to another entry as soon as it hears of the failure: the entries hear of it first.
		ctx, cancel := context.WithTimeout(context.Background(), a.config.MarkTimeout)
		defer cancel()
		a.Deliver(ctx, listeners, []record.Record{*f.mark})
	}
	logevent.Warn(a.Log, logevent.RequestSuspect).Str("request", x.env.Request).Str("fingerprint", x.env.Fingerprint).
		Str("upstream", x.start.Upstream).Msg("request suspect")
}

// relay writes the answer to one connection, with beats in its silences. When the connection breaks, the run goes
// on for lingerFor, so that the entry can resume.
func (a *Agent) relay(w http.ResponseWriter, r *http.Request, x *execution, reader int, withHead bool) {
	x.stopLinger()
	if !a.relayFrames(w, r, x, reader, withHead) {
		x.startLinger()
	}
}

func (x *execution) startLinger() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.linger != nil {
		x.linger.Stop()
	}
	x.linger = time.AfterFunc(lingerFor, func() { x.cancel(errGivenUp) })
}

func (x *execution) stopLinger() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.linger != nil {
		x.linger.Stop()
	}
}

// relayFrames reports whether the run needs this connection no longer: it ended, or another took over.
func (a *Agent) relayFrames(w http.ResponseWriter, r *http.Request, x *execution, reader int, withHead bool) bool {
	beats := time.NewTicker(frame.BeatInterval)
	defer beats.Stop()
	control := http.NewResponseController(w)
	for {
		s := x.out.next(reader, copySize)
		if s.replaced {
			return true
		}
		_ = control.SetWriteDeadline(time.Now().Add(frame.SilenceLimit))
		if a.writeSnapshot(w, x, s, &withHead) != nil || control.Flush() != nil {
			return false
		}
		if s.ended {
			_ = control.SetWriteDeadline(time.Time{})
			return true
		}
		if len(s.data) > 0 {
			continue
		}
		select {
		case <-s.changed:
		case <-r.Context().Done():
			return false
		case <-beats.C:
			if !beat(w) {
				return false
			}
		}
	}
}

// writeSnapshot writes what a reader saw: the head once, data, and the end.
func (a *Agent) writeSnapshot(w http.ResponseWriter, x *execution, s snapshot, withHead *bool) error {
	id := x.start.ID
	if *withHead && s.status != 0 {
		*withHead = false
		head := frame.Head{Request: id.Request, Attempt: id.Attempt, Status: s.status, Header: s.header, Load: a.report(x, false)}
		if err := frame.WriteJSON(w, frame.TypeHead, head); err != nil {
			return err
		}
	}
	if len(s.data) > 0 {
		if err := frame.Write(w, frame.TypeData, s.data); err != nil {
			return err
		}
	}
	if !s.ended {
		return nil
	}
	if s.fail != nil {
		return frame.WriteJSON(w, frame.TypeFail, failFrame(id, s.fail, a.report(x, true)))
	}
	return frame.WriteJSON(w, frame.TypeEnd, frame.End{Request: id.Request, Attempt: id.Attempt, Bytes: s.total, Sum: s.sum, Load: a.report(x, true)})
}

func failFrame(id run.ID, f *failure, load *routing.Report) frame.Fail {
	return frame.Fail{Request: id.Request, Attempt: id.Attempt, Code: f.code, Ran: f.ran, Crashed: f.crashed, Mark: f.mark, Load: load}
}

func (a *Agent) writeFail(w http.ResponseWriter, env frame.Envelope, f *failure) {
	_ = frame.WriteJSON(w, frame.TypeFail, failFrame(message(env).ID, f, a.reportOn(env.Upstream, env.Cache)))
}

// failure says why an answer ended without being whole.
type failure struct {
	code code.Code
	ran  code.Ran
	// crashed says that the upstream crashed under the run; mark is then what is held of the fingerprint.
	crashed bool
	mark    *record.Record
}
