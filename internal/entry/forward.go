package entry

import (
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/frame"
)

// forwardAnswer forwards an agent's frames to the caller until the answer ends or the connection fails.
func (e *Entry) forwardAnswer(c *call, s *stream, attempt request.Attempt) (progress, error) {
	for {
		kind, payload, err := s.next()
		if err != nil {
			return e.handleDisconnect(c, attempt, err)
		}
		c.agentSilence = 0
		if kind == frame.TypeData && !c.answer.headMatched {
			return e.handleDisconnect(c, attempt, errors.New("reading the answer: data frame before the head frame"))
		}
		var p progress
		switch kind {
		case frame.TypeHeartbeat:
			p, err = e.handleHeartbeat(c, attempt)
		case frame.TypeSilent:
			p, err = e.handleSilence(c, attempt, payload)
		case frame.TypeHead:
			p, err = e.handleHead(c, attempt, payload)
		case frame.TypeData:
			p, err = e.handleData(c, attempt, payload)
		case frame.TypeEnd:
			return e.handleEnd(c, attempt, payload)
		case frame.TypeFail:
			return e.handleFailure(c, attempt, kind, payload)
		}
		if p != progressOpen {
			return p, err
		}
	}
}

// handleHeartbeat sends a comment if the caller's event stream has been silent for too long.
func (e *Entry) handleHeartbeat(c *call, attempt request.Attempt) (progress, error) {
	if c.writeKeepalive() != nil {
		e.cancelAttempt(c, attempt)
		return progressDone, nil
	}
	return progressOpen, nil
}

// handleHead checks that the head of the answer belongs to this attempt and forwards it.
func (e *Entry) handleHead(c *call, attempt request.Attempt, payload []byte) (progress, error) {
	var h frame.Head
	if json.Unmarshal(payload, &h) != nil || h.Request != c.id || h.Attempt != attempt.Number {
		return e.handleDisconnect(c, attempt, errors.New("reading the answer's head: malformed, or of another request or attempt"))
	}
	if c.answer.started && c.answer.receivedBytes == 0 && !c.answer.matchesHead(h) {
		return e.failMismatch(c, attempt)
	}
	if !c.answer.started {
		c.writeHead(h)
	}
	c.answer.headMatched = true
	e.Loop.Step(request.AnswerStarted{
		ID: c.id, Attempt: attempt.Number, Continuable: c.answer.continuable(), Digest: c.answer.header.Get(engine.HeaderDigest),
		CannotServe: cannotServe(h.Status), Report: h.Load,
	})
	return progressOpen, nil
}

// cannotServe reports whether a status means that the upstream can't serve any request at present.
func cannotServe(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// failMismatch reports an answer that differs from what was already forwarded of it.
func (e *Entry) failMismatch(c *call, attempt request.Attempt) (progress, error) {
	e.Loop.Step(request.AnswerFailed{ID: c.id, Attempt: attempt.Number, Code: code.AnswerMismatch, Ran: code.DidRun, Final: true})
	return progressReported, nil
}

// handleData forwards a part of the answer's body.
func (e *Entry) handleData(c *call, attempt request.Attempt, payload []byte) (progress, error) {
	if c.answer.resuming {
		c.answer.resuming = false
		e.Loop.Step(request.AnswerProgressed{ID: c.id, Attempt: attempt.Number})
	}
	ready := c.answer.receive(payload)
	if len(ready) == 0 {
		return progressOpen, nil
	}
	if c.write(ready) != nil {
		e.cancelAttempt(c, attempt)
		return progressDone, nil // The caller disconnected.
	}
	return progressOpen, nil
}

// handleEnd compares the length and checksum of the complete answer with what was received, then forwards what is
// still buffered.
func (e *Entry) handleEnd(c *call, attempt request.Attempt, payload []byte) (progress, error) {
	var end frame.End
	if json.Unmarshal(payload, &end) != nil || end.Request != c.id || end.Attempt != attempt.Number {
		return e.handleDisconnect(c, attempt, errors.New("reading the answer's end: malformed, or of another request or attempt"))
	}
	c.loadReport = end.Load
	a := &c.answer
	if !a.started || end.Bytes != a.receivedBytes || end.Sum != a.checksum.Sum64() {
		if !a.started || end.Bytes > a.receivedBytes {
			return e.handleDisconnect(c, attempt, errors.Errorf("reading the answer: it has %d bytes, received %d", end.Bytes, a.receivedBytes))
		}
		return e.failMismatch(c, attempt)
	}
	if len(a.buffered) > 0 {
		if c.write(a.buffered) != nil {
			return progressDone, nil
		}
	}
	c.claim.markComplete()
	return progressDone, nil
}

// handleDisconnect handles a connection that ended before the answer did. If the head of the run's answer was not received
// yet, or no data since a resume, it returns progressDisconnected: the caller of forwardAnswer decides what comes next.
func (e *Entry) handleDisconnect(c *call, attempt request.Attempt, cause error) (progress, error) {
	if !c.answer.headMatched || c.answer.resuming {
		return progressDisconnected, cause
	}
	c.agentSilence += silenceOf(cause)
	if c.r.Context().Err() != nil {
		e.cancelAttempt(c, attempt)
		return progressDone, nil
	}
	e.Loop.Step(request.AnswerInterrupted{ID: c.id, Attempt: attempt.Number, Silent: silenceOf(cause) > 0})
	return progressReported, nil
}

// handleFailure handles an agent's report that the answer does not exist or ends here.
func (e *Entry) handleFailure(c *call, attempt request.Attempt, kind frame.Type, payload []byte) (progress, error) {
	f, ok := c.parseFailure(attempt, kind, payload)
	if !ok {
		return e.handleDisconnect(c, attempt, errors.New("reading the agent's failure: malformed, or of another request or attempt"))
	}
	e.reportFailure(c, attempt, f)
	return progressReported, nil
}
