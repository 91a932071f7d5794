package faults

import (
	"fmt"
	"slices"
	"time"

	"samphireweir.example/samphireweir/internal/demo/count"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

// Result codes of the at-most-once guarantee that a resent request may get.
const (
	codeAlreadyRun     = 3002
	codeOutcomeUnknown = 3003
	codeStillRunning   = 3006
)

// Window is the period that belongs to one injection of faults.
type Window struct {
	Name string
	// Begin is the start of the injection, End the end of the fault, and Until the end of the time to recover.
	Begin, End, Until time.Time
	// NotInForce counts the entries and engines that did not apply an accepted setting in time.
	NotInForce int
	// Accepted and InForce are the times at which the setting that was applied meanwhile was accepted and came into force at all entries; zero if
	// that did not happen.
	Accepted, InForce time.Time
	// Died holds the names of the processes that ended unexpectedly.
	Died []string
}

// Downtime is a period in which an entry could not answer its callers.
type Downtime struct {
	Entry    int
	From, To time.Time
	// Abrupt is set when the entry was killed or frozen, so that the requests in flight at it are cut too.
	Abrupt bool
}

// excuses reports whether the downtime explains that a request got no answer.
func (d Downtime) excuses(r ledger.Record) bool {
	if r.Entry != d.Entry || (!d.To.IsZero() && r.Start.After(d.To)) {
		return false
	}
	if d.Abrupt {
		return r.Start.Add(r.Took).After(d.From)
	}
	return r.Start.After(d.From)
}

// Evidence is all data by which a run is judged.
type Evidence struct {
	Records   []ledger.Record
	Plain     []standinclient.PlainLine
	Engines   []standinclient.EngineLine
	Contents  map[string]string // SHA-256 of the content by digest
	Windows   []Window
	Downtimes []Downtime
	Hosts     []layout.Host
	// AnswerLimit is the callers' deadline plus their grace period.
	AnswerLimit time.Duration
}

// Row holds the results for one kind of fault.
type Row struct {
	Fault    string         `json:"fault"`
	Injected int            `json:"injected"`
	Requests int            `json:"requests"`
	Complete int            `json:"complete"`
	Refused  map[string]int `json:"refused"` // by result code and run status
	// Cut counts the requests without an answer whose entry was killed, frozen or down.
	Cut int `json:"cut"`
	// Lost counts the requests without a final answer. Unanswered counts those of them that reached the callers' limit.
	Lost       int `json:"lost"`
	Unanswered int `json:"unanswered"`
	// Truncated counts the answers that ended properly but were not complete.
	Truncated    int      `json:"truncated_cleanly"`
	Doubled      int      `json:"doubled"`
	FalseNotRun  int      `json:"false_not_run"`
	Mixed        int      `json:"mixed"`
	Crossed      int      `json:"crossed"`
	NotRecovered []string `json:"not_recovered"`
	NotInForce   int      `json:"not_in_force"`
	Died         []string `json:"died"`
	// NormalSeconds is the longest time from the end of a fault until the fleet worked as before. ErrorSeconds is the longest time from the start of
	// a fault until the last request that was not completed. InForceSeconds is the longest time from the acceptance of a setting until it was in
	// force at all entries.
	NormalSeconds  float64 `json:"normal_s"`
	ErrorSeconds   float64 `json:"errors_for_s"`
	InForceSeconds float64 `json:"in_force_s"`
	EngineCrashes  int     `json:"engine_crashes"`
}

// Judge returns a row for each kind of fault, in the order of their first injection.
func Judge(e Evidence) []Row {
	var names []string
	for _, w := range e.Windows {
		if !slices.Contains(names, w.Name) {
			names = append(names, w.Name)
		}
	}
	rows := make([]Row, 0, len(names))
	for _, name := range names {
		row := Row{Fault: name, Refused: map[string]int{}, NotRecovered: []string{}, Died: []string{}}
		for _, w := range e.Windows {
			if w.Name == name {
				e.during(w).addTo(&row)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// windowEvidence is the part of the evidence that belongs to one window.
type windowEvidence struct {
	Evidence
	all    Evidence
	window Window
}

func (w Window) contains(t time.Time) bool { return !t.Before(w.Begin) && t.Before(w.Until) }

func (w Window) containsMS(ms int64) bool { return w.contains(time.UnixMilli(ms)) }

// during returns the part of the evidence that belongs to a window. The runs of an idempotency key count in the window in which the key was first sent.
func (e Evidence) during(w Window) windowEvidence {
	s := windowEvidence{Evidence: e, all: e, window: w}
	s.Records, s.Engines, s.Plain = nil, nil, nil
	keys := map[string]bool{}
	for _, r := range e.Records {
		if w.contains(r.Start) {
			s.Records = append(s.Records, r)
			keys[r.Key] = true
		}
	}
	for _, r := range e.Records {
		if r.Key != "" && r.Start.Before(w.Begin) {
			delete(keys, r.Key)
		}
	}
	for _, line := range e.Engines {
		if w.containsMS(line.StartMS) {
			s.Engines = append(s.Engines, line)
		}
	}
	for _, line := range e.Plain {
		if keys[line.IdempotencyKey] || (line.IdempotencyKey == "" && w.containsMS(line.StartMS)) {
			s.Plain = append(s.Plain, line)
		}
	}
	return s
}

func (s windowEvidence) addTo(row *Row) {
	row.Injected++
	for _, r := range s.Records {
		s.countRecord(row, r)
	}
	row.Doubled += len(count.DuplicateKeys(s.Plain))
	row.FalseNotRun += s.falseNotRun()
	row.Mixed += count.RunsAcrossVersions(s.Engines) + count.LoadsWithWrongContent(s.Engines, s.Contents)
	row.NotRecovered = append(row.NotRecovered, s.notServing()...)
	row.NotInForce += s.window.NotInForce
	row.Died = append(row.Died, s.window.Died...)
	row.EngineCrashes += s.crashes()
	s.addTimes(row)
}

func (s windowEvidence) countRecord(row *Row, r ledger.Record) {
	row.Requests++
	switch r.Outcome {
	case ledger.Complete:
		row.Complete++
	case ledger.Refused:
		row.Refused[fmt.Sprintf("%d %s", r.Code, r.Ran)]++
	case ledger.Incorrect:
		if r.Crossed {
			row.Crossed++
		} else {
			row.Mixed++
		}
	case ledger.Lost:
		s.countLost(row, r)
	}
}

func (s windowEvidence) countLost(row *Row, r ledger.Record) {
	excused := slices.ContainsFunc(s.Downtimes, func(d Downtime) bool { return d.excuses(r) })
	switch {
	case r.CleanEnd:
		row.Truncated++
	case excused:
		row.Cut++
	default:
		row.Lost++
		if r.Took >= s.AnswerLimit {
			row.Unanswered++
		}
	}
}

// falseNotRun counts the refusals of this window that reported "not run" although a log of any time contains the run.
func (s windowEvidence) falseNotRun() int {
	wrong := 0
	for _, r := range count.FalseNotRun(s.all.Records, s.all.Plain, s.all.Engines) {
		if s.window.contains(r.Start) {
			wrong++
		}
	}
	return wrong
}

// notServing returns the names of the upstreams that completed no request started after the end of the fault.
func (s windowEvidence) notServing() []string {
	served := s.served()
	var names []string
	for _, name := range s.upstreams() {
		if _, yes := served[name]; !yes {
			names = append(names, name)
		}
	}
	return names
}

func (s windowEvidence) upstreams() []string {
	return append(layout.EngineNames(s.Hosts), layout.PlainNames(s.Hosts)...)
}

// served returns, by upstream, the time from the end of the fault to the start of the first request that it completed.
func (s windowEvidence) served() map[string]time.Duration {
	first := map[string]time.Duration{}
	observe := func(name, outcome string, startMS int64) {
		after := time.UnixMilli(startMS).Sub(s.window.End)
		known, seen := first[name]
		if outcome != standinclient.OutcomeDone || after < 0 || !s.window.containsMS(startMS) || (seen && known <= after) {
			return
		}
		first[name] = after
	}
	for _, line := range s.Engines {
		if line.IsRun() {
			observe(line.Engine, line.Outcome, line.StartMS)
		}
	}
	for _, line := range s.Plain {
		observe(line.Service, line.Outcome, line.StartMS)
	}
	return first
}

func (s windowEvidence) crashes() int {
	seen := map[string]bool{}
	for _, line := range s.Engines {
		if line.IsRun() && line.Outcome == standinclient.OutcomeCrashed {
			seen[fmt.Sprint(line.Engine, line.EndMS)] = true
		}
	}
	return len(seen)
}

func (s windowEvidence) addTimes(row *Row) {
	normal := time.Duration(0)
	for _, after := range s.served() {
		normal = max(normal, after)
	}
	attempts := map[string]int{}
	for _, r := range s.Records {
		attempts[r.Key]++
	}
	for _, r := range s.Records {
		if !isDisturbance(r, attempts[r.Key] > 1) {
			continue
		}
		normal = max(normal, r.Start.Sub(s.window.End))
		row.ErrorSeconds = max(row.ErrorSeconds, r.Start.Sub(s.window.Begin).Seconds())
	}
	row.NormalSeconds = max(row.NormalSeconds, normal.Seconds())
	if !s.window.InForce.IsZero() {
		row.InForceSeconds = max(row.InForceSeconds, s.window.InForce.Sub(s.window.Accepted).Seconds())
	}
}

// isDisturbance reports whether the outcome of a request shows that the fleet did not work as usual.
func isDisturbance(r ledger.Record, resent bool) bool {
	if r.Outcome == ledger.Complete || r.Kind == ledger.Poison {
		return false
	}
	return !resent || !slices.Contains([]int{codeAlreadyRun, codeOutcomeUnknown, codeStillRunning}, r.Code)
}

// Broken describes the guarantees that a row shows to be broken.
func (r Row) Broken() []string {
	var broken []string
	for _, c := range []struct {
		name  string
		count int
	}{
		{"lost", r.Lost}, {"truncated cleanly", r.Truncated}, {"doubled", r.Doubled}, {"false not-run", r.FalseNotRun},
		{"mixed", r.Mixed}, {"crossed", r.Crossed}, {"not recovered", len(r.NotRecovered)},
		{"not in force", r.NotInForce}, {"ended by themselves", len(r.Died)},
	} {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s: %s: %d", r.Fault, c.name, c.count))
		}
	}
	return broken
}
