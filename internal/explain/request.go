package explain

import (
	"fmt"
	"io"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
)

// contextWindow is how long before the end of a request other lines can explain its outcome. It is longer than the backoff of an upstream
// after failures, and than the time that a version may be late.
const contextWindow = 10 * time.Second

// Explanation is the outcome of one request.
type Explanation struct {
	// Request is the request's id.
	Request string
	// Outcome says how the request ended; empty if no line says so.
	Outcome string
	// Cause is the reason for the outcome, in words; empty if the logs don't show it.
	Cause string
	// Entry is the host of the entry that received the request.
	Entry string
	// Missing describes the expected lines that the logs don't have.
	Missing []string
	// Lines are the lines of the request itself.
	Lines []Line
	// Related are other lines that can explain the outcome.
	Related []Line
	// Spells are the times during the request in which a process that logged a line of it was late itself.
	Spells []Spell
	// Refusal says why there was no capacity; nil unless the request was refused because of the state of the upstreams.
	Refusal *Refusal
}

// Failed reports whether the request ended without a complete answer from an upstream, unless its caller disconnected.
func (v Explanation) Failed() bool { return v.Outcome != "answered" && v.Outcome != "caller gone" }

// Explain returns the outcome of a request. ok is false if no line has its id.
func (l *Log) Explain(id string) (v Explanation, ok bool) {
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
	v.findMissing(last)
	switch last.Event {
	case logevent.RequestRefused:
		v.Outcome = fmt.Sprintf("refused with code %d (%s), ran: %s", last.Code, code.Code(last.Code).Describe().Name, last.Ran)
		v.Cause = last.Why
		if causedByUpstreams(last.Code) {
			v.Refusal = l.refusal(last)
		}
	case logevent.RequestEnded:
		v.Outcome, v.Cause = last.Outcome, last.Why
	}
	if v.Cause == "" {
		v.Cause = v.lastFailure()
	}
	l.findAround(&v, last)
	l.findPartQuarantine(&v, last)
	l.addSpells(&v, last)
	return v, true
}

// lastFailure returns how the last failed attempt failed; empty if none did. It is the cause of a request whose last line gives none.
func (v *Explanation) lastFailure() string {
	cause := ""
	for _, line := range v.Lines {
		if line.Event == logevent.AttemptFailed {
			cause = fmt.Sprintf("attempt %d at %s: %s: %s", line.Attempt, line.Upstream, line.Outcome, line.Error)
		}
	}
	return cause
}

// causedByUpstreams reports whether a refusal with code c depends on the state of the upstreams, and not on the request alone.
func causedByUpstreams(c int) bool {
	switch code.Code(c) {
	case code.NoUpstream, code.Overloaded, code.RetriesExhausted, code.DeadlinePassed, code.RequestQuarantined:
		return true
	}
	return false
}

// findMissing adds the expected lines that are missing; last is the request's last line.
func (v *Explanation) findMissing(last Line) {
	attempts := 0
	for _, line := range v.Lines {
		if line.Event == logevent.RequestSent {
			attempts++
		}
	}
	if last.Event != logevent.RequestRefused && last.Event != logevent.RequestEnded {
		v.Missing = append(v.Missing, "the end of the request: the process was killed, or the line was dropped")
	}
	if last.Event == logevent.RequestEnded && attempts == 0 {
		v.Missing = append(v.Missing, "an attempt: the line was dropped")
	}
	for _, line := range v.Lines {
		if line.Event == logevent.AttemptFailed && line.Attempt > attempts {
			v.Missing = append(v.Missing, fmt.Sprintf("attempt %d: the line was dropped", line.Attempt))
		}
	}
}

// findAround adds the other lines that can explain the outcome: failures and changes of the upstreams to which the request was sent, the
// state that its entry knew, the platform's availability there, and starts of hosts.
func (l *Log) findAround(v *Explanation, last Line) {
	tried := map[string]bool{} // The upstreams to which the request was sent.
	for _, line := range v.Lines {
		if line.Upstream != "" {
			tried[line.Upstream] = true
		}
	}
	refused := last.Event == logevent.RequestRefused
	allUpstreams := refused && causedByUpstreams(last.Code)
	failures := map[string]int{}
	for _, line := range l.Lines {
		if line.Request == v.Request || line.Time.Before(last.Time.Add(-contextWindow)) || line.Time.After(last.Time) {
			continue
		}
		switch line.Event {
		case logevent.PlatformLost, logevent.PlatformRecovered, logevent.StoreRestored, logevent.ManifestIgnored, logevent.ShutdownStarted, logevent.Ready:
			if line.Name == v.Entry {
				v.Related = append(v.Related, line)
			}
		case logevent.StateChanged:
			if line.Name == v.Entry && (tried[line.Subject] || allUpstreams || refused && line.Topic == "manifest") {
				v.Related = append(v.Related, line)
			}
		case logevent.AttemptFailed:
			if line.Name == v.Entry && (tried[line.Upstream] || allUpstreams) {
				failures[line.Upstream+": "+line.Outcome]++
			}
		case logevent.Listening:
			if line.Process == "agent" && allUpstreams {
				failures["agents that started"]++
			}
		}
	}
	v.addCounts(failures)
}

// addCounts appends the numbers of failures in the context window to the cause.
func (v *Explanation) addCounts(failures map[string]int) {
	var parts []string
	for _, what := range sortedKeys(failures) {
		parts = append(parts, fmt.Sprintf("%s (%d)", what, failures[what]))
	}
	if len(parts) > 0 && v.Cause != "" {
		v.Cause += fmt.Sprintf("; in the %v before: %s", contextWindow, strings.Join(parts, ", "))
	}
}

// Print writes the request's lines, the lines around it, the spells and its outcome to w. It returns the error of w.
func (v Explanation) Print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at %s\n\n", v.Request, v.Entry)
	for _, line := range v.Lines {
		b.WriteString(line.short())
	}
	if len(v.Related) > 0 {
		b.WriteString("\nevents at its entry in the time before:\n")
		for _, line := range v.Related {
			b.WriteString(line.short())
		}
	}
	if len(v.Spells) > 0 {
		b.WriteString("\nprocesses that were late themselves during the request:\n")
		for _, s := range v.Spells {
			fmt.Fprintf(&b, "  %s\n", s.text())
		}
	}
	if v.Refusal != nil {
		v.Refusal.print(&b)
	}
	b.WriteString("\n")
	for _, m := range v.Missing {
		fmt.Fprintf(&b, "missing: %s\n", m)
	}
	fmt.Fprintf(&b, "outcome: %s\ncause: %s\n", orUnknown(v.Outcome), orUnknown(v.Cause))
	_, err := io.WriteString(w, b.String())
	return err
}

// orUnknown returns s, or a text that says that the logs don't show it.
func orUnknown(s string) string {
	if s == "" {
		return "not in these logs"
	}
	return s
}
