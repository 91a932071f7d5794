package explain

import (
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/logevent"
)

// Step is one step of the installation of a version on the engines.
type Step struct {
	// Name is the phase of the installation and the reason for it, or a step before the installation.
	Name string
	// Times are the times at which hosts reached the step, after Installs.StartedAt, sorted. They are negative before it.
	Times []time.Duration
}

// Installs describes how a version of a model was installed on the engines.
type Installs struct {
	Model   string
	Version int64
	// StartedAt is the earliest time at which a host logged a phase of the version's installation.
	StartedAt time.Time
	// Hosts is the number of hosts that logged a phase of the installation. Only lines after a host's last start count.
	Hosts int
	// Steps are sorted by the median of their times.
	Steps []Step
}

// Steps before the installation of a version starts.
const (
	stepStarted  = "agent started"
	stepManifest = "manifest received"
)

// Installs returns how a version of a model was installed, from the logs of the agents. Times are those of the hosts' clocks, which may
// differ from each other.
func (l *Log) Installs(model string, version int64) Installs {
	out := Installs{Model: model, Version: version}
	hosts := map[string]map[string]time.Time{} // When a step was first reached, by host and step.
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
		if _, ok := hosts[line.Name][name]; !ok {
			hosts[line.Name][name] = line.Time
		}
	}
	out.add(hosts)
	return out
}

// stepOf returns the name of the step that a line reports, or an empty string if it reports none.
func stepOf(line Line, model string, version int64) string {
	switch {
	case line.Event == logevent.StateChanged && line.Topic == "manifest":
		return stepManifest
	case line.Event == logevent.InstallPhaseChanged && line.Model == model && line.Version == version:
		return fmt.Sprintf("%s (%s)", line.Phase, line.Why)
	}
	return ""
}

// add collects the steps of the hosts that logged a phase of the installation.
func (i *Installs) add(hosts map[string]map[string]time.Time) {
	times := map[string][]time.Time{}
	for _, steps := range hosts {
		installStart := time.Time{}
		for name, at := range steps {
			if name != stepStarted && name != stepManifest && (installStart.IsZero() || at.Before(installStart)) {
				installStart = at
			}
		}
		if installStart.IsZero() {
			continue
		}
		i.Hosts++
		i.startAt(installStart)
		for name, at := range steps {
			times[name] = append(times[name], at)
		}
	}
	i.setSteps(times)
}

// startAt moves StartedAt to t if t is earlier.
func (i *Installs) startAt(t time.Time) {
	if i.StartedAt.IsZero() || t.Before(i.StartedAt) {
		i.StartedAt = t
	}
}

// setSteps fills in Steps from the times of each step, sorted by their median.
func (i *Installs) setSteps(times map[string][]time.Time) {
	for name, list := range times {
		step := Step{Name: name}
		for _, at := range list {
			step.Times = append(step.Times, at.Sub(i.StartedAt))
		}
		slices.Sort(step.Times)
		i.Steps = append(i.Steps, step)
	}
	sort.Slice(i.Steps, func(a, b int) bool {
		x, y := i.Steps[a], i.Steps[b]
		medianX, medianY := x.Times[len(x.Times)/2], y.Times[len(y.Times)/2]
		return medianX < medianY || medianX == medianY && x.Name < y.Name
	})
}

// Print writes the steps as a table to w, with times in seconds. It returns the error of w.
func (i Installs) Print(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "version %d of %s on %d hosts; seconds after the first of them started its installation, at %s\n",
		i.Version, i.Model, i.Hosts, i.StartedAt.Format(time.RFC3339Nano))
	fmt.Fprintf(&out, "%6s %8s %8s %8s  %s\n", "hosts", "first", "middle", "last", "step")
	for _, s := range i.Steps {
		n := len(s.Times)
		fmt.Fprintf(&out, "%6d %8.2f %8.2f %8.2f  %s\n", n, s.Times[0].Seconds(), s.Times[n/2].Seconds(), s.Times[n-1].Seconds(), s.Name)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
