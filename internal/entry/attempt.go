package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// fenceTimeout bounds a fence call. It prevents an attempt from starting, or cancels it if it runs, and reads whether
	// it ran. This has nothing to do with the fencing number of core/incarnation, which an agent sends with its orders to
	// engines.
	fenceTimeout = 2 * time.Second
	// deadlineGrace is how long after the caller's deadline the entry waits for the agent's report on the attempt.
	deadlineGrace = 300 * time.Millisecond
	// maxReconnects bounds how often the entry reconnects for an attempt whose agent was silent, or could not be reached, before its answer.
	maxReconnects = 1
	// maxSafeReconnects applies instead to a connection that broke, because a reconnect starts nothing and takes little time, and to
	// at-most-once calls, because they can't be sent to another upstream.
	maxSafeReconnects = 3
	// initialReconnectDelay is the delay before the second reconnect; it doubles for each further one. The first is
	// made at once.
	initialReconnectDelay = 100 * time.Millisecond
)

// progress is the state of an answer that is being forwarded.
type progress int

const (
	// progressOpen means that more frames are expected.
	progressOpen progress = iota
	// progressReported means that the outcome was reported to the core, which decides what comes next.
	progressReported
	// progressDone means that the complete answer was forwarded, or that its caller disconnected. The request is
	// finished.
	progressDone
	// progressDisconnected means that the connection failed and that this was not reported to the core.
	progressDisconnected
)

// runAttempt sends the request to an upstream and forwards the answer. It reports whether the request is finished.
func (e *Entry) runAttempt(c *call, eff request.Send) bool {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	periodic.Sleep(ctx, eff.Delay)
	reader, ok := c.body.reader()
	if !ok {
		e.reportFailure(c, eff.Attempt, &frame.Fail{Code: code.RetriesExhausted, Ran: code.NotRun})
		return false
	}
	header := frame.EndToEnd(c.r.Header)
	if own := c.r.Header.Get("Authorization"); own != "" {
		header.Set(frame.AuthorizationHeader, own)
	}
	header.Set(frame.MethodHeader, c.r.Method)
	env := e.envelope(c, eff.Attempt)
	env.Target = c.requestTarget
	env.CachePosition = eff.Cache
	env.ReportSilence = true
	c.answer.headMatched = false
	c.agentSilence = 0
	if eff.Continue {
		c.answer.startRun()
		env.ResumeTokens = c.answer.nextToken(c.r)
	}
	length := c.r.ContentLength
	if c.body.complete {
		length = int64(len(c.body.buffered))
	}
	s, err := e.openStream(ctx, agentCall{
		address: eff.Target.Address, path: frame.RunPath, env: env, header: header, body: reader, contentLength: length,
		headTimeout: e.firstHeadTimeout(c, eff.Attempt, time.Now()), unpooled: !c.body.complete,
	})
	return e.receiveAnswer(ctx, c, eff.Attempt, s, err)
}

// receiveAnswer forwards an answer. It reconnects, up to a limit, as long as nothing of the answer was received. To a silent agent that nothing
// can replace, it reconnects until the deadline. It reports whether the request is finished.
func (e *Entry) receiveAnswer(ctx context.Context, c *call, attempt request.Attempt, s *stream, err error) bool {
	for reconnects := 0; ; reconnects++ {
		if err == nil {
			var p progress
			p, err = e.forwardAnswer(c, s, attempt)
			s.close()
			if p != progressDisconnected {
				return p == progressDone
			}
		}
		if c.r.Context().Err() != nil {
			e.cancelAttempt(c, attempt)
			return true
		}
		if errors.Is(err, errNotConnected) && reconnects == 0 {
			e.headTimes.forget(attempt.Target.Address)
			e.Loop.Step(member.CallFailed{Address: attempt.Target.Address})
			e.reportFailure(c, attempt, &frame.Fail{Code: code.UpstreamSilent, Ran: code.NotRun})
			return false
		}
		logevent.Warn(e.Log, logevent.AttemptFailed).Str("request", c.id).Str("upstream", attempt.Target.Upstream.Name).Err(err).Msg("attempt failed")
		if ctx.Err() != nil {
			e.reportFailure(c, attempt, &frame.Fail{Code: code.DeadlinePassed, Ran: e.fence(c, attempt)})
			return false
		}
		exhausted := reconnects >= maxReconnectsAfter(err, attempt)
		c.irreplaceable = exhausted && e.awaitsSilentAgent(c, attempt, err)
		if c.irreplaceable {
			reconnects-- // This one is not counted, so that a connection that breaks later can be replaced.
		} else if exhausted {
			e.cancelAttempt(c, attempt)
			e.Loop.Step(member.CallFailed{Address: attempt.Target.Address})
			e.reportFailure(c, attempt, &frame.Fail{Code: code.UpstreamSilent, Ran: code.Unknown})
			return false
		}
		c.agentSilence += silenceOf(err)
		if reconnects == 0 {
			e.agentClient.CloseIdleConnections()
		} else {
			periodic.Sleep(ctx, initialReconnectDelay<<(reconnects-1))
		}
		s, err = e.reconnect(ctx, c, attempt)
	}
}

// maxReconnectsAfter returns the maximum number of reconnects for an attempt whose last connection failed with err.
func maxReconnectsAfter(err error, attempt request.Attempt) int {
	broke := silenceOf(err) == 0 && !errors.Is(err, errNotConnected)
	if attempt.AtMostOnce || broke {
		return maxSafeReconnects
	}
	return maxReconnects
}

// reconnect requests the answer of the same attempt over a new connection. An agent that does not know the attempt prevents
// it from starting.
func (e *Entry) reconnect(ctx context.Context, c *call, attempt request.Attempt) (*stream, error) {
	env := e.envelope(c, attempt)
	env.Offset = c.answer.receivedBytes
	return e.openStream(ctx, agentCall{
		address: attempt.Target.Address, path: frame.ResumePath, env: env, header: http.Header{}, unpooled: true,
		headTimeout: e.reconnectTimeout(c, attempt, time.Now()),
	})
}

// envelope returns the envelope that describes an attempt to its agent.
func (e *Entry) envelope(c *call, attempt request.Attempt) frame.Envelope {
	env := frame.Envelope{
		Request: c.id, Attempt: attempt.Number, Upstream: attempt.Target.Upstream.Name,
		Incarnation: attempt.Target.Incarnation, Entry: e.instance, Sequence: attempt.Sequence,
		Fingerprint: c.fingerprint, Exclusive: attempt.Exclusive, Digest: attempt.Digest, AtMostOnce: attempt.AtMostOnce,
		DeadlineMS: max(1, time.Until(c.deadline).Milliseconds()),
		Revision:   e.Revision(setting.Key(attempt.Target.Upstream.Team, attempt.Target.Upstream.Service)), From: e.Address(),
	}
	if attempt.Exclusive {
		e.Loop.View(func(s *core.State) {
			if mark, ok := s.Mark(c.fingerprint); ok {
				env.CrashRecord = &mark
			}
		})
	}
	return env
}

// cancelAttempt calls fence in the background, after the caller disconnected or the agent did not answer.
func (e *Entry) cancelAttempt(c *call, attempt request.Attempt) {
	go e.fence(c, attempt)
}

// fence has the agent prevent an attempt from starting, or cancel it if it runs. It returns whether the attempt ran.
func (e *Entry) fence(c *call, attempt request.Attempt) code.Ran {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	s, err := e.openStream(ctx, agentCall{
		address: attempt.Target.Address, path: frame.FencePath, env: e.envelope(c, attempt), header: http.Header{}, unpooled: true,
		headTimeout: fenceTimeout,
	})
	if err != nil {
		return code.Unknown
	}
	defer s.close()
	for {
		kind, payload, err := s.next()
		if err != nil {
			return code.Unknown
		}
		if kind == frame.TypeHeartbeat {
			continue
		}
		f, ok := c.parseFailure(attempt, kind, payload)
		if !ok {
			return code.Unknown
		}
		return f.Ran
	}
}

// parseFailure decodes a failure frame. ok is false if it is malformed or belongs to another request or attempt.
func (c *call) parseFailure(attempt request.Attempt, kind frame.Type, payload []byte) (*frame.Fail, bool) {
	f := &frame.Fail{}
	if kind != frame.TypeFail || json.Unmarshal(payload, f) != nil {
		return nil, false
	}
	return f, f.Request == c.id && f.Attempt == attempt.Number
}

// reportFailure reports a failed attempt to the core, with what the agent sent about it.
func (e *Entry) reportFailure(c *call, attempt request.Attempt, f *frame.Fail) {
	if f.CrashRecord != nil {
		e.Loop.Step(record.Received{From: attempt.Target.Address, Records: []record.Record{*f.CrashRecord}})
	}
	if f.Code == code.AgentRestarted {
		// Send nothing to the former instance's address until the new instance is known.
		e.Loop.Step(member.CallFailed{Address: attempt.Target.Address})
	}
	if c.answer.started {
		e.Loop.Step(request.AnswerFailed{ID: c.id, Attempt: attempt.Number, Code: f.Code, Ran: f.Ran, Final: c.answer.partialEventForwarded})
		return
	}
	e.Loop.Step(request.AttemptFailed{ID: c.id, Attempt: attempt.Number, Code: f.Code, Ran: f.Ran, Report: f.Load})
}

// resumeAnswer resumes an answer over a new connection to the same run, from the byte at which it was interrupted. It
// reports whether the request is finished.
func (e *Entry) resumeAnswer(c *call, eff request.Resume) bool {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline.Add(deadlineGrace))
	defer cancel()
	periodic.Sleep(ctx, eff.Delay)
	if c.r.Context().Err() != nil {
		e.cancelAttempt(c, eff.Attempt)
		return true
	}
	c.answer.resuming = true
	c.irreplaceable = eff.Irreplaceable
	s, err := e.reconnect(ctx, c, eff.Attempt)
	if err != nil {
		c.agentSilence += silenceOf(err)
		e.Loop.Step(request.AnswerInterrupted{ID: c.id, Attempt: eff.Number, Silent: silenceOf(err) > 0})
		return false
	}
	defer s.close()
	logevent.Info(e.Log, logevent.StreamResumed).Str("request", c.id).Int64("offset", c.answer.receivedBytes).Msg("stream resumed")
	p, err := e.forwardAnswer(c, s, eff.Attempt)
	if p == progressDisconnected {
		e.Loop.Step(request.AnswerInterrupted{ID: c.id, Attempt: eff.Number, Silent: silenceOf(err) > 0})
	}
	return p == progressDone
}
