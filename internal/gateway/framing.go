package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/connend"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// The errors of an answer without a length or chunks whose connection ended, and which is not proved to be complete.
var (
	errNoAnswer     = errors.New("the upstream's connection ended before the first event")
	errCrashedAtEnd = errors.New("the instance that sent the answer has ended, and its connection with it")
	errUnconfirmed  = errors.New("the instance that sent the answer did not confirm that it still runs")
)

// isUnframed reports whether a response has neither a length nor chunks, so that the end of its connection is the end of its body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// confirmEnd checks the end of a response's body. The orderly end of an unframed one says nothing by itself: the kernel ends the connections of
// a process that has ended in the same way. The instance that sent the answer proves that it had not, by an answer to a later probe. started
// reports whether any of the answer was received, in this attempt or an earlier one.
func (a *attempt) confirmEnd(ctx context.Context, resp *http.Response, started bool) error {
	switch {
	case !isUnframed(resp):
		return nil
	case !started:
		return errNoAnswer
	}
	a.instance = a.x.gateway.checkInstance(ctx, a.decision.Upstream, endCheckTimeout)
	switch a.instance {
	case instanceAlive:
		return nil
	case instanceEnded:
		return errCrashedAtEnd
	}
	return errUnconfirmed
}

// recordUnframedEnd logs and counts how the connection of an unframed answer ended, and what showed that. It does nothing for other answers and
// while the connection has not ended.
func (a *attempt) recordUnframedEnd(outcome forward.Outcome) {
	end := a.silence.End()
	if !a.unframed || end == (connend.End{}) {
		return
	}
	logevent.Info(a.x.gateway.log, logevent.UnframedAnswerEnded).Str("request", a.x.call.CallerAttemptID).Str("upstream", a.decision.Upstream.ID).
		Int("sends", a.decision.Attempt).Str("outcome", string(outcome)).Str("end", string(end.How)).Str("shown_by", string(end.Evidence)).Str("instance", string(a.instance)).
		Uint64("bytes", end.BytesRead).Msg("unframed answer ended")
	a.x.gateway.metrics.UnframedAnswers.Add(1, string(outcome), string(end.How), string(end.Evidence))
}
