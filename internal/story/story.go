package story

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/logevent"
)

// leftOut are the fields of a line that its short form has elsewhere, or that every line has.
var leftOut = map[string]bool{"time": true, "event": true, "level": true, "message": true, "process": true, "name": true, "request": true}

// short is a line for a reader: time, host, event and its fields.
func (l Line) short() string {
	var fields map[string]any
	if err := json.Unmarshal(l.Raw, &fields); err != nil {
		return string(l.Raw) + "\n" // It was read before, so that this does not happen; the raw line says as much.
	}
	var parts []string
	for _, name := range sortedKeys(fields) {
		if !leftOut[name] && fields[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return fmt.Sprintf("  %s %-6s %-18s %d %s  %s\n", l.Time.Format("15:04:05.000"), l.Process, l.Name, l.Event, l.Message, strings.Join(parts, " "))
}

// Failures returns the ids of the requests that failed or were refused, in the order of their last lines.
func (l *Log) Failures() []string {
	var ids []string
	for _, line := range l.Lines {
		failed := line.Event == logevent.RequestRefused ||
			line.Event == logevent.RequestEnded && line.Outcome != "answered" && line.Outcome != "caller gone"
		if failed && line.Request != "" {
			ids = append(ids, line.Request)
		}
	}
	return ids
}

// Sample draws up to n of the failed requests by a seed, so that the same logs give the same ones.
func (l *Log) Sample(n int, seed uint64) []string {
	ids := l.Failures()
	r := rand.New(rand.NewPCG(seed, 0))
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// Belief is how one belief went through the processes.
type Belief struct {
	Lines []Line
	// Silent are the processes of the logs that have no line on it.
	Silent []string
}

// Belief returns the lines on a belief: a topic as in the field what, and the upstream or model it is of, or empty for all of the topic.
func (l *Log) Belief(topic, of string) Belief {
	var b Belief
	silent := map[string]bool{}
	for _, line := range l.Lines {
		if line.Name != "" {
			silent[line.Process+" "+line.Name] = true
		}
	}
	for _, line := range l.Lines {
		if line.Event == logevent.BeliefChanged && line.What == topic && (of == "" || line.Of == of) {
			b.Lines = append(b.Lines, line)
			delete(silent, line.Process+" "+line.Name)
		}
	}
	b.Silent = sortedKeys(silent)
	return b
}

// Print writes the story of a belief.
func (b Belief) Print(w io.Writer) error {
	var out strings.Builder
	for _, line := range b.Lines {
		out.WriteString(line.short())
	}
	for _, who := range b.Silent {
		fmt.Fprintf(&out, "missing: no line of %s\n", who)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
