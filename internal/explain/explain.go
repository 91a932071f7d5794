package explain

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"
	"strings"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/logevent"
)

// omittedFields are the fields that the short form of a line shows elsewhere or not at all, since every line has them.
var omittedFields = map[string]bool{"time": true, "event": true, "level": true, "message": true, "process": true, "name": true, "request": true}

// short formats a line for people: time, process, host, event and the remaining fields.
func (l Line) short() string {
	var fields map[string]any
	if err := json.Unmarshal(l.Raw, &fields); err != nil {
		return string(l.Raw) + "\n" // Not expected, since Read parsed the line already.
	}
	var parts []string
	for _, name := range sortedKeys(fields) {
		if !omittedFields[name] && fields[name] != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
		}
	}
	return fmt.Sprintf("  %s %-6s %-18s %d %s  %s\n", l.Time.Format("15:04:05.000"), l.Process, l.Name, l.Event, l.Message, strings.Join(parts, " "))
}

// Failures returns the ids of the requests that failed or were refused, in the order in which they ended.
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

// Sample returns up to n random ids of Failures. The same logs and seed give the same ids.
func (l *Log) Sample(n int, seed uint64) []string {
	ids := l.Failures()
	r := rand.New(rand.NewPCG(seed, 0))
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(n, len(ids))]
}

// StateChanges describes how a part of the known state changed at the processes.
type StateChanges struct {
	// Lines are the lines that report a change, that the store was restored, or that a manifest was ignored.
	Lines []Line
	// Unreported are the processes of the logs that reported no change, as role and host.
	Unreported []string
}

// StateChanges returns how the known state of a topic changed: manifest, upstreams, versions or source, as in the log field what. of is the
// upstream or model, or empty for all of the topic.
func (l *Log) StateChanges(topic, of string) StateChanges {
	var b StateChanges
	silent := map[string]bool{}
	for _, line := range l.Lines {
		if line.Name != "" {
			silent[line.Process+" "+line.Name] = true
		}
	}
	for _, line := range l.Lines {
		switch {
		case line.Event == logevent.StateChanged && line.Topic == topic && (of == "" || line.Subject == of):
			b.Lines = append(b.Lines, line)
			delete(silent, line.Process+" "+line.Name)
		case line.Event == logevent.StoreRestored, line.Event == logevent.ManifestIgnored && topic == string(catalog.ManifestTopic):
			b.Lines = append(b.Lines, line)
		}
	}
	b.Unreported = sortedKeys(silent)
	return b
}

// Print writes the changes and the unreported processes to w. It returns the error of w.
func (b StateChanges) Print(w io.Writer) error {
	var out strings.Builder
	for _, line := range b.Lines {
		out.WriteString(line.short())
	}
	for _, process := range b.Unreported {
		fmt.Fprintf(&out, "missing: no line of %s\n", process)
	}
	_, err := io.WriteString(w, out.String())
	return err
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
