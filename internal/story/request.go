package story

import (
	"fmt"
	"io"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
)

// lookBack is how long before the end of a request lines of its entry and its upstreams can have decided it: longer than an
// upstream is avoided after failures, and than a version may be late.
const lookBack = 10 * time.Second

// Verdict is what became of one request.
type Verdict struct {
	Request string
	// Outcome says how it ended, empty when no line says so.
	Outcome string
	// Cause says of what, in words, empty when the logs don't show it.
	Cause string
	// Entry is the host that took it.
	Entry string
	// Missing are the lines that should be there and are not.
	Missing []string
	// Lines are its own lines, and Around those of others that decided it.
	Lines  []Line
	Around []Line
}

// Failed tells whether the caller did not get an upstream's whole answer.
func (v Verdict) Failed() bool { return v.Outcome != "answered" && v.Outcome != "caller gone" }

// Explain tells what became of a request. ok is false when no line names it.
func (l *Log) Explain(id string) (v Verdict, ok bool) {
	v.Request = id
	for _, line := range l.Lines {
		if line.Request == id {
			v.Lines = append(v.Lines, line)
		}
	}
	if len(v.Lines) == 0 {
		return v, false
	}
	last := v.Lines[len(v.Lines)-1]
	v.Entry = last.Name
	v.missing(last)
	switch last.Event {
	case logevent.RequestRefused:
		v.Outcome = fmt.Sprintf("refused with code %d (%s), ran: %s", last.Code, code.Code(last.Code).Describe().Name, last.Ran)
		v.Cause = last.Why
	case logevent.RequestEnded:
		v.Outcome, v.Cause = last.Outcome, last.Why
	}
	if v.Cause == "" {
		v.Cause = v.lastFailure()
	}
	l.around(&v, last)
	return v, true
}

// lastFailure is how the last send failed, for a request whose end says no more.
func (v *Verdict) lastFailure() string {
	cause := ""
	for _, line := range v.Lines {
		if line.Event == logevent.AttemptFailed {
			cause = fmt.Sprintf("send %d to %s: %s: %s", line.Sends, line.Upstream, line.Outcome, line.Error)
		}
	}
	return cause
}

// byUpstreams tells whether a refusal with a code came of the state of the upstreams, and not of what was asked.
func byUpstreams(c int) bool {
	switch code.Code(c) {
	case code.NoUpstream, code.Overloaded, code.RetriesExhausted, code.DeadlinePassed, code.HeldBack:
		return true
	}
	return false
}

// missing notes what is not there of a request whose last line is known.
func (v *Verdict) missing(last Line) {
	sent := 0
	for _, line := range v.Lines {
		if line.Event == logevent.RequestSent {
			sent++
		}
	}
	if last.Event != logevent.RequestRefused && last.Event != logevent.RequestEnded {
		v.Missing = append(v.Missing, "its end: the process was killed, or the line was dropped")
	}
	if last.Event == logevent.RequestEnded && sent == 0 {
		v.Missing = append(v.Missing, "a send: the line was dropped")
	}
	for _, line := range v.Lines {
		if line.Event == logevent.AttemptFailed && line.Sends > sent {
			v.Missing = append(v.Missing, fmt.Sprintf("send %d: the line was dropped", line.Sends))
		}
	}
}

// around finds the lines of others that decided a request: failures and changes of the upstreams that it met, what its entry believed and
// could reach, and starts of hosts.
func (l *Log) around(v *Verdict, last Line) {
	met := map[string]bool{}
	for _, line := range v.Lines {
		if line.Upstream != "" {
			met[line.Upstream] = true
		}
	}
	refused := last.Event == logevent.RequestRefused
	upstreams := refused && byUpstreams(last.Code)
	failures := map[string]int{}
	for _, line := range l.Lines {
		if line.Request == v.Request || line.Time.Before(last.Time.Add(-lookBack)) || line.Time.After(last.Time) {
			continue
		}
		switch line.Event {
		case logevent.PlatformLost, logevent.PlatformBack, logevent.StopAsked, logevent.Ready:
			if line.Name == v.Entry {
				v.Around = append(v.Around, line)
			}
		case logevent.BeliefChanged:
			if line.Name == v.Entry && (met[line.Of] || upstreams || refused && line.What == "manifest") {
				v.Around = append(v.Around, line)
			}
		case logevent.AttemptFailed:
			if line.Name == v.Entry && (met[line.Upstream] || upstreams) {
				failures[line.Upstream+": "+line.Outcome]++
			}
		case logevent.Listening:
			if line.Process == "agent" && upstreams {
				failures["agents that started"]++
			}
		}
	}
	v.addCounts(failures)
}

func (v *Verdict) addCounts(failures map[string]int) {
	var parts []string
	for _, what := range sortedKeys(failures) {
		parts = append(parts, fmt.Sprintf("%s (%d)", what, failures[what]))
	}
	if len(parts) > 0 && v.Cause != "" {
		v.Cause += fmt.Sprintf("; in the %v before: %s", lookBack, strings.Join(parts, ", "))
	}
}

// Print writes the story of a request.
func (v Verdict) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n\n", v.Request, v.Entry)
	for _, line := range v.Lines {
		b.WriteString(line.short())
	}
	if len(v.Around) > 0 {
		b.WriteString("\nwhat its entry learned in the time before:\n")
		for _, line := range v.Around {
			b.WriteString(line.short())
		}
	}
	b.WriteString("\n")
	for _, m := range v.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "outcome: %s\ncause: %s\n", orUnknown(v.Outcome), orUnknown(v.Cause))
	_, err := io.WriteString(w, b.String())
	return err
}

func orUnknown(s string) string {
	if s == "" {
		return "not in these logs"
	}
	return s
}
