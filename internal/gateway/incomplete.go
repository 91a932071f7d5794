package gateway

import (
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
)

// incompleteCause is why a request ended without a complete answer: its caller got neither an upstream's whole answer nor a refusal.
type incompleteCause string

// The causes. A new one needs a line in the catalogue of package logevent.
const (
	// handlerFailed is the cause of a request whose handler ended without saying why, which is a bug.
	handlerFailed incompleteCause = "handler failed"
	callerLeft    incompleteCause = "caller left"
	bodyUnread    incompleteCause = "body not read"
	slowCaller    incompleteCause = "slow caller"
	writeFailed   incompleteCause = "write to caller failed"
	answerAborted incompleteCause = "answer aborted"
	processEnded  incompleteCause = "process ended"
)

// end is how a request ended. The zero value is the end of a handler that failed.
type end struct {
	// complete is set if the caller got a whole answer or a refusal.
	complete bool
	// cause and why are set if not. why may be empty.
	cause incompleteCause
	why   string
}

// endIncomplete records that the request ends without a complete answer.
func (x *exchange) endIncomplete(cause incompleteCause, why string) {
	x.end = end{cause: cause, why: why}
}

// reportIncomplete logs and counts a request that ended without a complete answer.
func (x *exchange) reportIncomplete(e end) {
	if e.complete || !x.endReported.CompareAndSwap(false, true) {
		return
	}
	if e.cause == "" {
		e.cause = handlerFailed
	}
	logevent.Warn(x.gateway.log, logevent.AnswerIncomplete).Str("request", x.call.CallerAttemptID).Str("route", x.routeName()).
		Str("cause", string(e.cause)).Str("why", e.why).Bool("answering", x.headerSent).Str("last_event", x.lastEventID).
		Dur("took_ms", time.Since(x.arrivedAt)).Msg("answer incomplete")
	x.gateway.metrics.AnswersIncomplete.Add(1, string(e.cause))
}

// reportOpen reports the requests that are still open as the process ends. Their handlers, which end with their connections, report nothing more.
func (g *Gateway) reportOpen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, x := range g.exchanges {
		if !x.endReported.CompareAndSwap(false, true) {
			continue
		}
		logevent.Warn(g.log, logevent.AnswerIncomplete).Str("request", x.call.CallerAttemptID).Str("cause", string(processEnded)).
			Dur("took_ms", time.Since(x.arrivedAt)).Msg("answer incomplete")
		g.metrics.AnswersIncomplete.Add(1, string(processEnded))
	}
}
