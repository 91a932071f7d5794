package story

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
)

// Step is one step on the way of a version to the engines: when hosts took it, in time after Installs.Begin, the earliest first.
type Step struct {
	Name  string
	Times []time.Duration
}

// Installs is how a version came to the engines.
type Installs struct {
	Model   string
	Version int64
	// Begin is when the first host heard of it, or started if it heard of the version before it had started.
	Begin time.Time
	// Hosts counts the hosts that heard of it. Each counts from its last start on.
	Hosts int
	Steps []Step
}

// The steps of a version before its install begins.
const (
	stepStarted  = "its agent listens"
	stepManifest = "it knows the manifest"
)

// Installs tells how a version of a model came to the engines, from the logs of the agents. The hosts' clocks may differ.
func (l *Log) Installs(model string, version int64) Installs {
	out := Installs{Model: model, Version: version}
	hosts := map[string]map[string]time.Time{}
	for _, line := range l.Lines {
		if line.Process != "agent" {
			continue
		}
		if line.Event == logevent.Listening {
			hosts[line.Name] = map[string]time.Time{stepStarted: line.Time}
			continue
		}
		name := stepOf(line, model, version)
		if name == "" {
			continue
		}
		if hosts[line.Name] == nil {
			hosts[line.Name] = map[string]time.Time{}
		}
		if _, taken := hosts[line.Name][name]; !taken {
			hosts[line.Name][name] = line.Time
		}
	}
	out.add(hosts)
	return out
}

// stepOf names the step that a line tells of, empty for none.
func stepOf(line Line, model string, version int64) string {
	switch {
	case line.Event == logevent.BeliefChanged && line.What == "manifest":
		return stepManifest
	case line.Event == logevent.InstallMoved && line.Model == model && line.Version == version:
		return fmt.Sprintf("%s (%s)", line.Phase, line.Why)
	}
	return ""
}

// add gathers the steps of the hosts that heard of the version.
func (i *Installs) add(hosts map[string]map[string]time.Time) {
	times := map[string][]time.Time{}
	for _, steps := range hosts {
		heard := time.Time{}
		for name, at := range steps {
			if name != stepStarted && name != stepManifest && (heard.IsZero() || at.Before(heard)) {
				heard = at
			}
		}
		if heard.IsZero() {
			continue
		}
		i.Hosts++
		i.begin(heard)
		for name, at := range steps {
			times[name] = append(times[name], at)
		}
	}
	i.order(times)
}

func (i *Installs) begin(heard time.Time) {
	if i.Begin.IsZero() || heard.Before(i.Begin) {
		i.Begin = heard
	}
}

// order sorts the steps by when the middle host took them.
func (i *Installs) order(times map[string][]time.Time) {
	for name, list := range times {
		step := Step{Name: name}
		for _, at := range list {
			step.Times = append(step.Times, at.Sub(i.Begin))
		}
		slices.Sort(step.Times)
		i.Steps = append(i.Steps, step)
	}
	sort.Slice(i.Steps, func(a, b int) bool {
		x, y := i.Steps[a], i.Steps[b]
		mx, my := x.Times[len(x.Times)/2], y.Times[len(y.Times)/2]
		return mx < my || mx == my && x.Name < y.Name
	})
}

// Print writes the steps as a table.
func (i Installs) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d of %s came to %d hosts; seconds after the first of them heard of it, at %s\n",
		i.Version, i.Model, i.Hosts, i.Begin.Format(time.RFC3339Nano))
	fmt.Fprintf(&out, "%6s %8s %8s %8s  %s\n", "hosts", "first", "middle", "last", "step")
	for _, s := range i.Steps {
		n := len(s.Times)
		fmt.Fprintf(&out, "%6d %8.2f %8.2f %8.2f  %s\n", n, s.Times[0].Seconds(), s.Times[n/2].Seconds(), s.Times[n-1].Seconds(), s.Name)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
