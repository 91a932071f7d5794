package gateway

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// addAttempt adds an attempt to the open ones.
func (x *exchange) addAttempt(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open = append(x.open, a)
}

// removeAttempt takes an attempt off the open ones.
func (x *exchange) removeAttempt(a *attempt) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.open = slices.DeleteFunc(x.open, func(other *attempt) bool { return other == a })
}

// openAttempts returns the attempts that have not ended, the oldest first. There are two while the upstream of the older one is silent.
func (x *exchange) openAttempts() []*attempt {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.open)
}

// takeAnswers passes on what the open attempts have received, and reports to the reducer the attempts that have ended. It returns true if the
// request ended.
func (x *exchange) takeAnswers() bool {
	for _, a := range x.openAttempts() {
		for {
			e, found, end := a.queue.pop()
			if found {
				x.takeEvent(a, e)
				continue
			}
			if end != nil && x.attemptEnded(a, *end) {
				return true
			}
			break
		}
	}
	return false
}

// takeEvent passes on an event of an attempt, unless the attempt was replaced. Only an attempt that goes on with the right event replaces others.
func (x *exchange) takeEvent(a *attempt, e event) {
	if a.replaced || a.failed != nil {
		x.reservation.Shrink(len(e.raw))
		return
	}
	if err := x.checkEventOrder(e); err != nil {
		a.failed = err
		a.cancel(err)
		x.reservation.Shrink(len(e.raw))
		return
	}
	x.replaceOthers(a)
	x.passOn(a, e)
}

// replaceOthers cancels the attempts beside the one that went on first.
func (x *exchange) replaceOthers(first *attempt) {
	for _, a := range x.openAttempts() {
		if a != first && !a.replaced {
			a.replaced = true
			a.cancel(errReplaced)
			x.countHedge(first.decision.Attempt > a.decision.Attempt)
		}
	}
}

// countHedge counts a request of whose two attempts one went on first.
func (x *exchange) countHedge(secondWon bool) {
	won := "first"
	if secondWon {
		won = "second"
	}
	x.gateway.metrics.Hedges.Add(1, won)
}

// passOn writes an event to the caller.
func (x *exchange) passOn(a *attempt, e event) {
	x.startedVersion = a.version
	x.timing.recordRead(e.readAt)
	status, header := a.queue.head()
	x.writeHeader(status, header)
	writeStart := time.Now()
	x.reservation.AwaitCaller()
	if _, err := x.w.Write(e.raw); err != nil {
		x.callerUnreachable(err)
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		x.callerUnreachable(err)
	}
	x.reservation.CallerDone()
	x.reservation.Shrink(len(e.raw))
	x.lastWriteAt = time.Now()
	x.timing.recordWrite(x.lastWriteAt.Sub(writeStart))
	if e.id != "" {
		x.lastEventID = e.id
	}
}

// callerUnreachable ends a request whose caller can't be written to. The upstream is sound.
func (x *exchange) callerUnreachable(err error) {
	if x.reservation.Evicted() {
		x.abortEvicted()
	}
	x.gateway.step(forward.CallerGone{ID: x.id})
	x.recordEnd("caller gone", err.Error())
	x.endIncomplete(writeFailed, err.Error())
	panic(http.ErrAbortHandler)
}

// checkEventOrder returns an error if ev does not directly follow the last event passed on: a stream that skips or repeats an event is
// broken.
func (x *exchange) checkEventOrder(ev event) error {
	if x.lastEventID == "" || ev.id == "" {
		return nil
	}
	last, errLast := strconv.ParseInt(x.lastEventID, 10, 64)
	id, errID := strconv.ParseInt(ev.id, 10, 64)
	if errLast != nil || errID != nil || id != last+1 {
		return errors.Errorf("event %q does not follow event %q", ev.id, x.lastEventID)
	}
	return nil
}

// attemptEnded handles the end of an attempt and reports it to the reducer. It returns true if the request ended with it.
func (x *exchange) attemptEnded(a *attempt, end attemptEnd) bool {
	x.removeAttempt(a)
	if a.failed != nil {
		end = attemptEnd{outcome: forward.Broken, err: a.failed}
	}
	if a.replaced {
		end = attemptEnd{outcome: a.replacedOutcome(), err: errReplaced}
	}
	if end.outcome != forward.Answered && x.reservation.Evicted() {
		x.abortEvicted()
	}
	if x.timedOut || end.outcome != forward.Answered && x.ctx.Err() != nil {
		x.sentAtDeadline = x.sentAtDeadline || a.sent
		return false // The caller left or the deadline passed; run reports to the reducer which.
	}
	x.logAttemptEnd(a, end)
	switch {
	case end.outcome == forward.ServerFailed:
		x.upstreamFailure = end.answer
	case end.outcome == forward.Answered:
		return x.deliver(a, end.answer)
	}
	x.reportAttemptEnd(a, end)
	return false
}

// replacedOutcome returns the outcome of an attempt that another one replaced. It says nothing of the upstream.
func (a *attempt) replacedOutcome() forward.Outcome {
	if a.sent {
		return forward.Withdrawn
	}
	return forward.Unsent
}

// deliver ends the request with the complete answer of an attempt; answer is nil for a stream, whose events were passed on.
func (x *exchange) deliver(a *attempt, answer *response) bool {
	x.replaceOthers(a)
	x.startedVersion = a.version
	if answer != nil {
		x.writeResponse(answer)
	} else {
		x.writeHeader(a.queue.head())
	}
	x.reportAttemptEnd(a, attemptEnd{outcome: forward.Answered})
	x.recordEnd("answered", "")
	x.end.complete = true
	return true
}

func (x *exchange) logAttemptEnd(a *attempt, end attemptEnd) {
	if end.err == nil || a.replaced {
		return
	}
	// The log field sends is Send.Attempt.
	logevent.Warn(x.gateway.log, logevent.AttemptFailed).Str("request", x.call.CallerAttemptID).Str("upstream", a.decision.Upstream.ID).Int("sends", a.decision.Attempt).
		Str("outcome", string(end.outcome)).Uint64("fingerprint", x.fingerprint).Str("last_event", x.lastEventID).Bool("answering", a.sent).
		Stringers("parts", stringers(x.call.SharedParts)).Err(end.err).Msg("attempt failed")
	x.gateway.metrics.AttemptsFailed.Add(1, string(end.outcome))
}

// reportAttemptEnd reports the end of an attempt to the reducer.
func (x *exchange) reportAttemptEnd(a *attempt, end attemptEnd) {
	ev := forward.AttemptEnded{ID: x.id, Attempt: a.decision.Attempt, Outcome: end.outcome, Partial: x.headerSent, UpstreamAlive: end.instance == instanceAlive}
	if x.headerSent {
		ev.SinceLastPart = time.Since(x.lastWriteAt)
	}
	if end.outcome == forward.Answered && a.decision.Attempt == 1 {
		ev.MaxGap = x.timing.maxUpstreamGap
	}
	x.gateway.step(ev)
}
