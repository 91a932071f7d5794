package gateway

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// countRetry counts an attempt after the first one, by its cause and by whether the retry budget counted it.
func (g *Gateway) countRetry(r forward.Retry) {
	if r.Cause != "" {
		g.metrics.Retries.Add(1, string(r.Cause), strconv.FormatBool(r.Counted))
	}
}

// recordDeniedRetry counts and logs that the retry budget did not allow a retry.
func (g *Gateway) recordDeniedRetry(e forward.RetryDenied) {
	g.metrics.RetriesDenied.Add(1, string(e.Cause))
	leftOut, ok := g.deniedRetryLog.next(time.Now())
	if !ok {
		return
	}
	line := logevent.Warn(g.log, logevent.RetryDenied).Str("service", e.Service).Str("cause", string(e.Cause)).Int("left_out", leftOut)
	if x := g.exchanges[e.ID]; x != nil {
		line.Str("request", x.call.CallerAttemptID)
	}
	addBudget(line, e.Budget).Msg("retry denied")
}

// addBudget adds the state of the retry budget to a log line.
func addBudget(line *zerolog.Event, u forward.BudgetUsage) *zerolog.Event {
	return line.Int("budget_used", u.Retries).Float64("budget_allowed", u.Allowed).Int("entries", u.Entries)
}
