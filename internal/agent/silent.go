package agent

import (
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/frame"
)

// silentUpstream is a report that the upstream of a run is silent.
type silentUpstream struct {
	// silence is how long the upstream had sent nothing; cause is why the run ends if the entry gives it up.
	silence time.Duration
	cause   error
}

// foundSilent handles an upstream that has been silent for a limit. It reports the silence to the entry, which gives the run up only if another
// upstream can take its place: the upstream may go on. The run of an entry that takes no such reports is given up.
func (x *execution) foundSilent(silence time.Duration, cause error) {
	if !x.env.ReportSilence {
		x.giveUp(silence, cause)
		return
	}
	x.mu.Lock()
	x.silent = &silentUpstream{silence: silence, cause: cause}
	x.mu.Unlock()
	x.out.reportSilence()
}

// giveUp cancels a run whose upstream was silent, after a last look at the run's connection has found nothing.
func (x *execution) giveUp(silence time.Duration, cause error) {
	if _, attached := x.watch.Silence(); attached {
		x.watch.GiveUp(silence, func() { x.cancel(cause) })
		return
	}
	x.cancel(cause)
}

// handleGiveUp gives up a run whose silent upstream was reported to the entry. The failure is reported on the connection of the answer.
func (a *Agent) handleGiveUp(w http.ResponseWriter, r *http.Request) {
	env, ok := acceptCall(w, r)
	if !ok || env.Incarnation != a.selfIncarnation {
		return
	}
	found, known := a.executions.Load(message(env).ID)
	if !known {
		return
	}
	x := found.(*execution)
	x.mu.Lock()
	silent := x.silent
	x.mu.Unlock()
	if silent != nil {
		x.giveUp(silent.silence, silent.cause)
	}
}

// silentFrame returns the report of the silence of the run's upstream.
func (x *execution) silentFrame() frame.Silent {
	id := x.start.ID
	return frame.Silent{Request: id.Request, Attempt: id.Attempt, Ran: x.ranSoFar()}
}

// ranSoFar returns the run status if the run ended now without a byte of a response: not run while it has no connection to its upstream.
func (x *execution) ranSoFar() code.Ran {
	_, attached := x.watch.Silence()
	if !attached && x.lastActivity.Load() == 0 {
		return code.NotRun
	}
	return code.Unknown
}
