package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/frame"
)

// handleSilence reports a silent upstream to the core, which gives up the attempt if another upstream can take its place. Meanwhile the
// connection stays open: the upstream may go on.
func (e *Entry) handleSilence(c *call, attempt request.Attempt, payload []byte) (progress, error) {
	var s frame.Silent
	if json.Unmarshal(payload, &s) != nil || s.Request != c.id || s.Attempt != attempt.Number {
		return e.handleDisconnect(c, attempt, errors.New("reading a report of silence: malformed, or of another request or attempt"))
	}
	if e.replaceable(c, attempt, s.Ran) {
		go e.giveUp(attempt)
	}
	return e.handleHeartbeat(c, attempt)
}

// replaceable reports whether the core gives up an attempt whose upstream or agent is silent, because another upstream can take its place. ran
// is the run status if the attempt ended now.
func (e *Entry) replaceable(c *call, attempt request.Attempt, ran code.Ran) bool {
	if c.answer.partialEventForwarded {
		return false // No other upstream can continue the answer.
	}
	e.Loop.Step(request.UpstreamSilent{ID: c.id, Attempt: attempt.Number, Ran: ran})
	// The effects of a step have been dispatched when it returns, and during an attempt the core has no other effect for the request.
	select {
	case eff := <-c.effects:
		_, givenUp := eff.(request.GiveUp)
		return givenUp
	default:
		return false
	}
}

// giveUp has the agent end an attempt whose upstream is silent. The agent reports the failure on the connection of the answer, or that the
// upstream has gone on. If the call fails, the agent's next report of the silence causes another one.
func (e *Entry) giveUp(attempt request.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	s, err := e.openStream(ctx, agentCall{
		address: attempt.Target.Address, path: frame.GiveUpPath, header: http.Header{}, headTimeout: fenceTimeout, unpooled: true,
		env: frame.Envelope{
			Request: attempt.ID, Attempt: attempt.Number, Upstream: attempt.Target.Upstream.Name,
			Incarnation: attempt.Target.Incarnation, Entry: e.instance, Sequence: attempt.Sequence,
		},
	})
	if err == nil {
		s.close()
	}
}
