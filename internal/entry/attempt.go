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
	// fenceTimeout bounds the asking whether a try that was given up on had started.
	fenceTimeout = 2 * time.Second
	// settleSlack is how long after the caller's deadline the entry waits for the agent's word on it.
	settleSlack = 300 * time.Millisecond
	// maxRejoins bounds how often a try whose connection failed before its answer is asked for again. A call that
	// can't run twice is worth more of it than one that can go elsewhere.
	maxRejoins     = 1
	maxRejoinsOnce = 3
	// rejoinWait is the wait before the second asking; it doubles.
	rejoinWait = 100 * time.Millisecond
)

// progress is what became of a connection to an agent.
type progress int

const (
	// going: there is more to come.
	going progress = iota
	// settled: the core was told, and says what comes next.
	settled
	// over: the whole answer was passed on, or its caller has gone.
	over
	// cut: the connection failed; the core was not told.
	cut
)

// attempt sends the request to an upstream and passes its answer on. It reports whether the request is over.
func (e *Entry) attempt(c *call, eff request.Send) bool {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.until.Add(settleSlack))
	defer cancel()
	periodic.Sleep(ctx, eff.Wait)
	reader, ok := c.body.reader()
	if !ok {
		e.attemptFailed(c, eff.Try, &frame.Fail{Code: code.RetriesExhausted, Ran: code.NotRun})
		return false
	}
	header := frame.EndToEnd(c.r.Header)
	if own := c.r.Header.Get("Authorization"); own != "" {
		header.Set(frame.AuthorizationHeader, own)
	}
	header.Set(frame.MethodHeader, c.r.Method)
	env := e.envelope(c, eff.Try)
	env.Target = c.target
	env.Cache = eff.Cache
	c.answer.matched = false
	if eff.Continue {
		c.answer.restart()
		env.ResumeTokens = c.answer.offset(c.r)
	}
	length := c.r.ContentLength
	if c.body.whole {
		length = int64(len(c.body.kept))
	}
	s, err := e.open(ctx, agentCall{
		address: eff.Target.Address, path: frame.RunPath, env: env, header: header, body: reader, length: length,
	})
	return e.follow(ctx, c, eff.Try, s, err)
}

// follow passes an answer on, and asks for it over new connections while nothing of it is here.
func (e *Entry) follow(ctx context.Context, c *call, t request.Try, s *stream, err error) bool {
	for rejoins := 0; ; rejoins++ {
		if err == nil {
			var p progress
			p, err = e.passOn(c, s, t)
			s.close()
			if p != cut {
				return p == over
			}
		}
		if c.r.Context().Err() != nil {
			e.giveUp(c, t)
			return true
		}
		if errors.Is(err, errNotConnected) && rejoins == 0 {
			e.Loop.Step(member.DialFailed{Address: t.Target.Address})
			e.attemptFailed(c, t, &frame.Fail{Code: code.UpstreamSilent, Ran: code.NotRun})
			return false
		}
		logevent.Warn(e.Log, logevent.AttemptFailed).Str("request", c.id).Str("upstream", t.Target.Upstream.Name).Err(err).Msg("attempt failed")
		if ctx.Err() != nil {
			e.attemptFailed(c, t, &frame.Fail{Code: code.DeadlinePassed, Ran: e.fence(c, t)})
			return false
		}
		if rejoins == rejoinsOf(t) {
			e.giveUp(c, t)
			e.Loop.Step(member.DialFailed{Address: t.Target.Address})
			e.attemptFailed(c, t, &frame.Fail{Code: code.UpstreamSilent, Ran: code.Unknown})
			return false
		}
		if rejoins == 0 {
			e.agents.CloseIdleConnections()
		} else {
			periodic.Sleep(ctx, rejoinWait<<(rejoins-1))
		}
		s, err = e.rejoin(ctx, c, t)
	}
}

func rejoinsOf(t request.Try) int {
	if t.AtMostOnce {
		return maxRejoinsOnce
	}
	return maxRejoins
}

// rejoin asks the agent for the same try over a new connection. An agent that does not know it fences it.
func (e *Entry) rejoin(ctx context.Context, c *call, t request.Try) (*stream, error) {
	env := e.envelope(c, t)
	env.Offset = c.answer.received
	return e.open(ctx, agentCall{address: t.Target.Address, path: frame.ResumePath, env: env, header: http.Header{}, fresh: true})
}

func (e *Entry) envelope(c *call, t request.Try) frame.Envelope {
	env := frame.Envelope{
		Request: c.id, Attempt: t.Attempt, Upstream: t.Target.Upstream.Name,
		Incarnation: t.Target.Incarnation, Entry: e.life, Sequence: t.Sequence,
		Fingerprint: c.fingerprint, Alone: t.Alone, Digest: t.Digest, Once: t.AtMostOnce,
		DeadlineMS: max(1, time.Until(c.until).Milliseconds()),
		Revision:   e.Revision(setting.Key(t.Target.Upstream.Team, t.Target.Upstream.Service)), From: e.Address(),
	}
	if t.Alone {
		e.Loop.View(func(s *core.State) {
			if mark, ok := s.Mark(c.fingerprint); ok {
				env.Mark = &mark
			}
		})
	}
	return env
}

// giveUp cancels a try whose caller has gone.
func (e *Entry) giveUp(c *call, t request.Try) {
	go e.fence(c, t)
}

// fence tells the agent that the try was given up on, and returns what is true of it.
func (e *Entry) fence(c *call, t request.Try) code.Ran {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	s, err := e.open(ctx, agentCall{
		address: t.Target.Address, path: frame.FencePath, env: e.envelope(c, t), header: http.Header{}, fresh: true,
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
		if kind == frame.TypeBeat {
			continue
		}
		f, ok := c.ownFail(t, kind, payload)
		if !ok {
			return code.Unknown
		}
		return f.Ran
	}
}

// ownFail reads a failure and checks that it is this try's.
func (c *call) ownFail(t request.Try, kind frame.Type, payload []byte) (*frame.Fail, bool) {
	f := &frame.Fail{}
	if kind != frame.TypeFail || json.Unmarshal(payload, f) != nil {
		return nil, false
	}
	return f, f.Request == c.id && f.Attempt == t.Attempt
}

func (e *Entry) attemptFailed(c *call, t request.Try, f *frame.Fail) {
	if f.Mark != nil {
		e.Loop.Step(record.Received{From: t.Target.Address, Records: []record.Record{*f.Mark}})
	}
	if f.Code == code.AgentRestarted {
		// Nothing goes to the old life's address until the new one is heard of.
		e.Loop.Step(member.DialFailed{Address: t.Target.Address})
	}
	if c.answer.started {
		e.Loop.Step(request.AnswerFailed{ID: c.id, Attempt: t.Attempt, Code: f.Code, Ran: f.Ran, Final: c.answer.broken})
		return
	}
	e.Loop.Step(request.AttemptFailed{ID: c.id, Attempt: t.Attempt, Code: f.Code, Ran: f.Ran, Report: f.Load})
}

// resume continues an answer over a new connection from the byte where it broke.
func (e *Entry) resume(c *call, eff request.Resume) bool {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.until.Add(settleSlack))
	defer cancel()
	periodic.Sleep(ctx, eff.Wait)
	if c.r.Context().Err() != nil {
		e.giveUp(c, eff.Try)
		return true
	}
	c.answer.resumed = true
	s, err := e.rejoin(ctx, c, eff.Try)
	if err != nil {
		e.Loop.Step(request.AnswerBroke{ID: c.id, Attempt: eff.Attempt})
		return false
	}
	defer s.close()
	logevent.Info(e.Log, logevent.StreamResumed).Str("request", c.id).Int64("offset", c.answer.received).Msg("stream resumed")
	p, _ := e.passOn(c, s, eff.Try)
	if p == cut {
		e.Loop.Step(request.AnswerBroke{ID: c.id, Attempt: eff.Attempt})
	}
	return p == over
}
