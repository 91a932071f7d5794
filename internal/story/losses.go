package story

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
)

// Loss is a reason for which requests were not answered in time, and how many it took.
type Loss struct {
	Reason   string
	Requests int
}

// Losses are the requests of the logs by what became of them. A caller that comes back counts as another request.
type Losses struct {
	// Ended counts the requests that ended at an entry, InTime those whose first byte came within their objective.
	Ended, InTime int
	// Losses are ordered by the requests that they took, the most first.
	Losses []Loss
}

// The reasons.
const (
	refusedFirst   = "refused: no room"
	refusedAgain   = "refused again after coming back: no room"
	refusedNone    = "refused: no upstream with the weights, or all are avoided"
	refusedStart   = "refused: the entry is starting or stopping"
	refusedCaller  = "refused: the caller's own doing (key, route, size)"
	failedUnknown  = "failed: it may have run"
	lateBack       = "late: it came back after a refusal"
	lateWait       = "late: it waited for room for over a tenth of its objective"
	lateAgain      = "late: it was sent more than once"
	lateUpstream   = "late: at its upstream"
	latePause      = "late: its upstream paused between two events"
	lateCaller     = "late: its caller took an event slowly"
	cutPause       = "cut midway: its upstream went silent"
	failedUpstream = "failed by the upstream"
	cutMidway      = "cut midway"
	callerGone     = "its caller left"
)

// Losses sorts the requests of the logs by what became of them.
func (l *Log) Losses() Losses {
	last := map[string]Line{}
	var out Losses
	reasons := map[string]int{}
	for _, line := range l.Lines {
		switch line.Event {
		case logevent.RequestSent:
			last[line.Request] = line
		case logevent.RequestRefused:
			out.Ended++
			reasons[refusalReason(line)]++
		case logevent.RequestEnded:
			out.Ended++
			if reason := endReason(line, last[line.Request]); reason != "" {
				reasons[reason]++
			} else {
				out.InTime++
			}
		}
	}
	for reason, n := range reasons {
		out.Losses = append(out.Losses, Loss{Reason: reason, Requests: n})
	}
	sort.Slice(out.Losses, func(i, j int) bool {
		a, b := out.Losses[i], out.Losses[j]
		return a.Requests > b.Requests || a.Requests == b.Requests && a.Reason < b.Reason
	})
	return out
}

func refusalReason(line Line) string {
	switch c := code.Code(line.Code); {
	case c == code.NotReady || c == code.Stopping:
		return refusedStart
	case c == code.NoUpstream:
		return refusedNone
	case c == code.Overloaded && line.CameBack:
		return refusedAgain
	case c == code.Overloaded:
		return refusedFirst
	case line.Ran == string(code.NotRun):
		return refusedCaller
	}
	return failedUnknown
}

// endReason returns why a request that ended was not answered in time, empty when it was. sent is the line of its last send.
func endReason(line, sent Line) string {
	switch {
	case line.Outcome == "caller gone":
		return callerGone
	case line.Outcome == "failed by the upstream":
		return failedUpstream
	case line.Outcome != "answered" && line.paused():
		return cutPause
	case line.Outcome != "answered":
		return cutMidway
	case line.GapObjectiveMS > 0 && line.CallerPauseMS > line.GapObjectiveMS:
		return lateCaller
	case line.paused():
		return latePause
	case line.ObjectiveMS <= 0 || line.FirstMS <= line.ObjectiveMS && !sent.CameBack:
		return ""
	case sent.CameBack:
		return lateBack
	case sent.Sends > 1:
		return lateAgain
	case sent.WaitedMS > line.ObjectiveMS/10:
		return lateWait
	}
	return lateUpstream
}

// paused tells whether the request's upstream paused for longer than a stream that is in time may.
func (l Line) paused() bool { return l.GapObjectiveMS > 0 && l.UpstreamPauseMS > l.GapObjectiveMS }

// Print writes the losses as a table.
func (l Losses) Print(w io.Writer) error {
	var out strings.Builder
	share := func(n int) float64 { return 100 * float64(n) / float64(max(1, l.Ended)) }
	fmt.Fprintf(&out, "%7d requests ended\n%7d %5.1f%%  answered in time\n", l.Ended, l.InTime, share(l.InTime))
	for _, loss := range l.Losses {
		fmt.Fprintf(&out, "%7d %5.1f%%  %s\n", loss.Requests, share(loss.Requests), loss.Reason)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
