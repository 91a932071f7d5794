package explain

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
)

// Loss is a reason why requests were not answered in time.
type Loss struct {
	Reason string
	// Requests is the number of requests with this reason.
	Requests int
}

// Losses counts the requests of the logs by how they ended. A caller that returns after a refusal counts as another request.
type Losses struct {
	// Ended is the number of requests that ended at an entry, InTime the number of those that met their latency objectives.
	Ended, InTime int
	// ByReason are sorted by their number of requests, in descending order.
	ByReason []Loss
	// ByClass counts the accepted requests by priority, by client account and by the data centre of their entry.
	ByClass []ClassLosses
}

// Reasons why requests were not answered in time.
const (
	refusedCapacity   = "refused: no capacity"
	refusedReturned   = "refused: no capacity, caller had been refused before"
	refusedNoUpstream = "refused: no upstream with the weights, or all are avoided"
	refusedNotReady   = "refused: the entry is starting or stopping"
	refusedQuarantine = "refused: the request, or a part of its prompt, crashed upstreams"
	refusedInvalid    = "refused: invalid request (key, route, size)"
	failedUnknown     = "failed: unknown outcome, an upstream may have run it"
	lateReturned      = "late: caller had been refused before"
	lateWait          = "late: waited for capacity for over a tenth of its objective"
	lateRetried       = "late: more than one attempt"
	lateUpstream      = "late: at the upstream"
	lateUpstreamPause = "late: upstream paused between two events"
	lateCaller        = "late: slow write to the caller"
	abortedSilent     = "aborted midway: upstream stopped sending"
	failedUpstream    = "failed by the upstream"
	aborted           = "aborted midway"
	callerGone        = "caller disconnected"
)

// Losses counts the requests of the logs by how they ended.
func (l *Log) Losses() Losses {
	lastAttempt := map[string]Line{} // The last attempt of a request, by its id.
	var out Losses
	reasons := map[string]int{}
	for _, line := range l.Lines {
		switch line.Event {
		case logevent.RequestSent:
			lastAttempt[line.Request] = line
		case logevent.RequestRefused:
			out.Ended++
			reasons[refusalReason(line)]++
		case logevent.RequestEnded:
			out.Ended++
			if reason := endReason(line, lastAttempt[line.Request]); reason != "" {
				reasons[reason]++
			} else {
				out.InTime++
			}
		}
	}
	out.ByClass = l.lossesByClass()
	for reason, n := range reasons {
		out.ByReason = append(out.ByReason, Loss{Reason: reason, Requests: n})
	}
	sort.Slice(out.ByReason, func(i, j int) bool {
		a, b := out.ByReason[i], out.ByReason[j]
		return a.Requests > b.Requests || a.Requests == b.Requests && a.Reason < b.Reason
	})
	return out
}

// refusalReason returns the reason of a refused request.
func refusalReason(line Line) string {
	switch c := code.Code(line.Code); {
	case c == code.NotReady || c == code.Stopping:
		return refusedNotReady
	case c == code.NoUpstream:
		return refusedNoUpstream
	case c == code.Overloaded && line.Returning:
		return refusedReturned
	case c == code.Overloaded:
		return refusedCapacity
	case c == code.RequestQuarantined || c == code.PartQuarantined:
		return refusedQuarantine
	case line.Ran == string(code.NotRun):
		return refusedInvalid
	}
	return failedUnknown
}

// endReason returns the reason why a request was not answered in time, or an empty string if it was. line is the end of the request and
// attempt its last attempt.
func endReason(line, attempt Line) string {
	switch {
	case line.Outcome == "caller gone":
		return callerGone
	case line.Outcome == "failed by the upstream":
		return failedUpstream
	case line.Outcome != "answered" && line.paused():
		return abortedSilent
	case line.Outcome != "answered":
		return aborted
	case line.GapObjectiveMS > 0 && line.CallerPauseMS > line.GapObjectiveMS:
		return lateCaller
	case line.paused():
		return lateUpstreamPause
	case line.ObjectiveMS <= 0 || line.FirstMS <= line.ObjectiveMS && !attempt.Returning:
		return ""
	case attempt.Returning:
		return lateReturned
	case attempt.Attempt > 1:
		return lateRetried
	case attempt.WaitedMS > line.ObjectiveMS/10:
		return lateWait
	}
	return lateUpstream
}

// paused reports whether the upstream's longest pause between two events exceeds the gap objective.
func (l Line) paused() bool { return l.GapObjectiveMS > 0 && l.UpstreamPauseMS > l.GapObjectiveMS }

// Print writes the losses as a table to w. It returns the error of w.
func (l Losses) Print(w io.Writer) error {
	var out strings.Builder
	percent := func(n int) float64 { return 100 * float64(n) / float64(max(1, l.Ended)) }
	fmt.Fprintf(&out, "%7d requests ended\n%7d %5.1f%%  answered in time\n", l.Ended, l.InTime, percent(l.InTime))
	for _, loss := range l.ByReason {
		fmt.Fprintf(&out, "%7d %5.1f%%  %s\n", loss.Requests, percent(loss.Requests), loss.Reason)
	}
	l.printClasses(&out)
	_, err := io.WriteString(w, out.String())
	return err
}
