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
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// resumeWindow is how long a run continues without a connection, and how long its response is kept after its end, so
	// that the entry can resume it.
	resumeWindow = 5 * time.Second
	// defaultRunTimeout bounds a run for which the entry set no deadline.
	defaultRunTimeout = 10 * time.Minute
	// defaultMarkTimeout bounds the delivery of a suspect's mark to the entries.
	defaultMarkTimeout = 500 * time.Millisecond
	// startTimeout is how long a call waits for a run that the core has decided to start, and startPollInterval the time between two looks.
	startTimeout      = time.Second
	startPollInterval = 5 * time.Millisecond
	// readBufferSize is the maximum number of bytes that are read from an upstream, or sent in one frame, at once.
	readBufferSize = 32 << 10
)

// execution is the state of one run on an upstream.
type execution struct {
	start  run.Start
	env    frame.Envelope
	out    *output
	body   *body
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastActivity is when the upstream last sent a byte, in Unix nanoseconds; 0 before the first byte.
	lastActivity atomic.Int64
	// firstByte measures the upstream's time to the first byte, for the report with the response's head.
	firstByte firstByteTimer
	// watch counts the silence of the upstream on the run's connection, until the answer is complete.
	watch *silence.Watch
	// suppliedAt is the last value of body.suppliedAt that the monitor has taken into account.
	suppliedAt time.Time
	// confirmed is set when the answer is complete and valid, so that the run needs nothing more from its upstream.
	confirmed atomic.Bool

	mu sync.Mutex
	// relayConn controls the connection that relays the response, nil while there is none.
	relayConn *http.ResponseController
	// resumeTimer cancels the run if its connection broke and no other has replaced it within resumeWindow.
	resumeTimer *time.Timer
	// silent is the last report of the upstream's silence to the entry; nil before the first.
	silent *silentUpstream
	// weightsChanged is set when the engine's weights changed during the run.
	weightsChanged atomic.Bool
}

// message returns the part of an envelope that the core uses to identify a request and to detect duplicates.
func message(env frame.Envelope) run.Message {
	return run.Message{
		ID:          run.ID{Request: env.Request, Attempt: env.Attempt},
		Incarnation: env.Incarnation, Entry: env.Entry, Sequence: env.Sequence,
	}
}

// acceptCall parses the envelope of a call. It sends the response headers and a heartbeat at once, so that the entry
// knows that the connection works while the upstream has not responded. It reports false if the call has ended.
func acceptCall(w http.ResponseWriter, r *http.Request) (frame.Envelope, bool) {
	env, err := frame.ParseEnvelope(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return env, false
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Content-Type", frame.ContentType)
	return env, writeHeartbeat(w)
}

// writeHeartbeat sends a heartbeat frame and reports whether the connection accepted it.
func writeHeartbeat(w http.ResponseWriter) bool {
	if frame.Write(w, frame.TypeHeartbeat, nil) != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// handleRun receives a request from an entry, starts it if the core allows that, and relays its response.
func (a *Agent) handleRun(w http.ResponseWriter, r *http.Request) {
	env, ok := acceptCall(w, r)
	if !ok {
		return
	}
	defer node.DrainBody(w, r)
	body, err := readBody(w, r)
	if err != nil {
		return // The connection from the entry ended before the request was complete; nothing is started.
	}
	defer body.release()
	if !a.ensureRevision(r.Context(), env) {
		a.writeFail(w, env, &failure{code: code.NotReady, ran: code.NotRun})
		return
	}
	switch d := a.awaitDecision(w, r, env).(type) {
	case run.Start:
		x := a.startExecution(d, env, r, body)
		reader, _ := x.out.attach(0)
		a.relay(w, r, x, reader, true)
	case run.Join:
		a.join(w, r, env)
	case run.Refuse:
		// The entry may not have received the mark of a suspect request yet. The refusal carries the mark, so that the
		// entry does not send the request to the next agent.
		a.writeFail(w, env, &failure{code: d.Code, ran: d.Ran, mark: a.suspectMark(env.Fingerprint)})
	}
}

// suspectMark returns the record that marks a fingerprint as suspect, or nil if it is not suspect.
func (a *Agent) suspectMark(fingerprint string) (mark *record.Record) {
	a.Loop.View(func(s *core.State) {
		if found, ok := s.Mark(fingerprint); ok {
			mark = &found
		}
	})
	return mark
}

// awaitDecision asks the core whether the request may start and returns its decision. It sends heartbeats while a suspect
// request waits until it can run alone on its upstream. If the connection from the entry ends meanwhile, awaitDecision
// fences the attempt and returns nil.
func (a *Agent) awaitDecision(w http.ResponseWriter, r *http.Request, env frame.Envelope) step.Effect {
	call, ch, done := a.Calls.Open()
	defer done()
	if env.CrashRecord != nil {
		a.Loop.Step(record.Received{Records: []record.Record{*env.CrashRecord}})
	}
	a.Loop.Step(run.StartRequested{
		Call: call, Message: message(env), Upstream: env.Upstream,
		Fingerprint: env.Fingerprint, Exclusive: env.Exclusive, Digest: env.Digest,
	})
	heartbeats := time.NewTicker(frame.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		select {
		case d := <-ch:
			return d
		case <-heartbeats.C:
			if writeHeartbeat(w) {
				continue
			}
		case <-r.Context().Done():
		}
		a.fence(env)
		a.discardStart(ch)
		return nil
	}
}

// discardStart reports a run as not executed if the core had started it before the entry's disconnect was noticed.
// Nothing of it was sent to the upstream. Without the report the core would count it as running forever.
func (a *Agent) discardStart(decision <-chan step.Effect) {
	select {
	case d := <-decision:
		if start, started := d.(run.Start); started {
			a.Loop.Step(run.Finished{ID: start.ID, Ran: code.NotRun})
		}
	default:
	}
}

// join relays the response of a run that has already started. The call is a second copy of the run's message.
func (a *Agent) join(w http.ResponseWriter, r *http.Request, env frame.Envelope) {
	x, ran := a.executionOrFence(r.Context(), env)
	if x == nil {
		a.writeFail(w, env, &failure{code: code.StreamBroken, ran: ran})
		return
	}
	a.relayFrom(w, r, env, x)
}

// relayFrom relays the response of a run from the offset in env.
func (a *Agent) relayFrom(w http.ResponseWriter, r *http.Request, env frame.Envelope, x *execution) {
	reader, ok := x.out.attach(env.Offset)
	if !ok {
		a.writeFail(w, env, &failure{code: code.StreamBroken, ran: code.DidRun})
		return
	}
	a.relay(w, r, x, reader, env.Offset == 0)
}

// executionOrFence returns the run of an attempt. If there is none, it fences the attempt and returns whether it was executed. A run that the core
// has just decided to start is awaited until the shell has started or discarded it, which follows at once: after a pause of this process, a run's
// first message and the call that resumes it are read at the same time.
func (a *Agent) executionOrFence(ctx context.Context, env frame.Envelope) (*execution, code.Ran) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		answer := a.requestFence(env)
		if found, known := a.executions.Load(answer.ID); known && env.Incarnation == a.selfIncarnation {
			return found.(*execution), ""
		}
		if !answer.Running || ctx.Err() != nil {
			return nil, answer.Ran
		}
		periodic.Sleep(ctx, startPollInterval)
	}
}

// handleResume resumes a response over a new connection. It fences an attempt that is not known here, so that the entry
// learns with one call whether to wait or to send the request to another upstream.
func (a *Agent) handleResume(w http.ResponseWriter, r *http.Request) {
	env, ok := acceptCall(w, r)
	if !ok {
		return
	}
	x, ran := a.executionOrFence(r.Context(), env)
	if x == nil {
		a.writeFail(w, env, &failure{code: code.AttemptFenced, ran: ran})
		return
	}
	a.relayFrom(w, r, env, x)
}

// handleFence fences an attempt: it is cancelled if it runs, and it can't start afterwards.
func (a *Agent) handleFence(w http.ResponseWriter, r *http.Request) {
	env, ok := acceptCall(w, r)
	if !ok {
		return
	}
	a.writeFail(w, env, &failure{code: code.AttemptFenced, ran: a.fence(env)})
}

// fence prevents an attempt from starting and cancels it if it runs. It returns whether the attempt was executed.
func (a *Agent) fence(env frame.Envelope) code.Ran {
	answer := a.requestFence(env)
	if answer.Running {
		a.cancelRun(answer.ID)
	}
	return answer.Ran
}

// requestFence has the core prevent an attempt from starting. An attempt that runs goes on.
func (a *Agent) requestFence(env frame.Envelope) run.FenceAnswer {
	d := a.CallCore(func(call uint64) step.Event { return run.FenceRequested{Call: call, Message: message(env)} })
	return d.(run.FenceAnswer)
}

func (a *Agent) cancelRun(id run.ID) {
	if found, known := a.executions.Load(id); known {
		found.(*execution).cancel(errAbandoned)
	}
}

// startExecution starts a run in the background. Its response is written to the output of the execution.
func (a *Agent) startExecution(start run.Start, env frame.Envelope, r *http.Request, body *body) *execution {
	limit := defaultRunTimeout
	if env.DeadlineMS > 0 {
		limit = time.Duration(env.DeadlineMS) * time.Millisecond
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	x := &execution{start: start, env: env, out: newOutput(), body: body, ctx: ctx, cancel: cancel, watch: silence.NewCounter(silenceSlice)}
	a.executions.Store(start.ID, x)
	stop := time.AfterFunc(limit, func() { cancel(errDeadline) })
	go func() {
		defer stop.Stop()
		a.runExecution(x, r)
	}()
	return x
}

// runExecution sends the request to the upstream, reads its response to the end, and reports the outcome to the core.
func (a *Agent) runExecution(x *execution, r *http.Request) {
	go a.monitor(x)
	f := a.withPanicRecovery(func() *failure { return a.callUpstream(x, r) })
	x.cancel(nil)
	if x.weightsChanged.Load() {
		f = &failure{code: code.WeightsChanged, ran: code.DidRun}
	}
	done := run.Finished{ID: x.start.ID, Ran: code.DidRun, Complete: f == nil}
	if f != nil {
		done.Ran = f.ran
		a.reportFailure(x, f)
	}
	x.out.end(f)
	a.Loop.Step(done)
	time.AfterFunc(resumeWindow, func() { a.executions.Delete(x.start.ID) })
}

// reportFailure logs the failure of a run. If the upstream crashed, it reports the crash to the core, so that the request
// is marked as suspect before the entry receives the failure.
func (a *Agent) reportFailure(x *execution, f *failure) {
	logevent.Warn(a.Log, logevent.AttemptFailed).Str("request", x.env.Request).Str("upstream", x.start.Upstream).
		Int("code", int(f.code)).Str("ran", string(f.ran)).Bool("crashed", f.crashed).Msg("attempt failed")
	if !f.crashed {
		return
	}
	a.Loop.Step(run.Crashed{ID: x.start.ID})
	a.recheck(x.start)
	var listeners []string
	a.Loop.View(func(s *core.State) { listeners = s.MarkReceivers() })
	if f.mark = a.suspectMark(x.env.Fingerprint); f.mark != nil {
		// The caller may retry at another entry as soon as it receives the failure, so the entries receive the mark first.
		ctx, cancel := context.WithTimeout(context.Background(), a.config.MarkTimeout)
		defer cancel()
		a.Deliver(ctx, listeners, []record.Record{*f.mark})
	}
	logevent.Warn(a.Log, logevent.RequestSuspected).Str("request", x.env.Request).Str("fingerprint", x.env.Fingerprint).
		Str("upstream", x.start.Upstream).Msg("request suspect")
}

func failFrame(id run.ID, f *failure, load *routing.Report) frame.Fail {
	return frame.Fail{Request: id.Request, Attempt: id.Attempt, Code: f.code, Ran: f.ran, Crashed: f.crashed, CrashRecord: f.mark, Load: load}
}

func (a *Agent) writeFail(w http.ResponseWriter, env frame.Envelope, f *failure) {
	_ = frame.WriteJSON(w, frame.TypeFail, failFrame(message(env).ID, f, a.upstreamLoadReport(env.Upstream, env.CachePosition)))
}

// failure is the reason why a response is not complete, and whether the request was executed.
type failure struct {
	code code.Code
	ran  code.Ran
	// crashed is set when the upstream crashed during the run; mark is then the record that marks the request's
	// fingerprint as suspect.
	crashed bool
	mark    *record.Record
}
