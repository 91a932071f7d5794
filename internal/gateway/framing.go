package gateway

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/connend"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// errNoAnswer and errCrashedAtEnd are the errors of an answer without a length or chunks whose connection ended although it was not
// complete.
var (
	errNoAnswer     = errors.New("the upstream's connection ended before the first event")
	errCrashedAtEnd = errors.New("the upstream is down, and its connection ended without an end of the answer")
)

// isUnframed reports whether a response has neither a length nor chunks, so that the end of its connection is the end of its body.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// confirmEnd checks the end of a response's body. The end of an unframed one says nothing by itself: the upstream's process may have
// ended. started reports whether any of the answer was received, in this attempt or an earlier one.
func (a *attempt) confirmEnd(ctx context.Context, resp *http.Response, started bool) error {
	switch {
	case !isUnframed(resp):
		return nil
	case !started:
		return errNoAnswer
	case a.x.gateway.checkDown(ctx, a.decision.Upstream):
		return errCrashedAtEnd
	}
	return nil
}

// recordUnframedEnd logs and counts how the connection of an unframed answer ended, and what showed that. It does nothing for other answers and
// while the connection has not ended.
func (a *attempt) recordUnframedEnd(outcome forward.Outcome) {
	end := a.silence.End()
	if !a.unframed || end == (connend.End{}) {
		return
	}
	logevent.Info(a.x.gateway.log, logevent.UnframedAnswerEnded).Str("request", a.x.call.CallerAttemptID).Str("upstream", a.decision.Upstream.ID).
		Int("sends", a.decision.Attempt).Str("outcome", string(outcome)).Str("end", string(end.How)).Str("shown_by", string(end.Evidence)).
		Uint64("bytes", end.BytesRead).Msg("unframed answer ended")
	a.x.gateway.metrics.UnframedAnswers.Add(1, string(outcome), string(end.How), string(end.Evidence))
}
