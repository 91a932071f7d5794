// Package explain reads the logs of several processes. From the log lines alone it explains the outcome of a request, how a change of
// the known state spread, how a version was installed, and why requests were not answered in time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/logevent"
)

// maxLineBytes is the maximum length of a line; processes write no longer ones.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time   `json:"time"`
	Event   logevent.ID `json:"event"`
	Level   string      `json:"level"`
	Message string      `json:"message"`
	// Process is the role of the process, Name its host.
	Process string `json:"process"`
	Name    string `json:"name"`
	// Request is the request's id, as its caller gave it.
	Request string `json:"request"`
	// Dropped is the number of lines that the process dropped before this one.
	Dropped int64 `json:"dropped"`
	// Topic, Subject, Value and Revision describe a change of the known state: the topic, the upstream or model, the new value and the
	// store's revision.
	Topic    string `json:"what"`
	Subject  string `json:"of"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	// Model, Version and Phase describe the installation of a version on an engine.
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Phase   string `json:"phase"`
	// Upstream is an upstream's id, Attempt the number of the request's attempt.
	Upstream string `json:"upstream"`
	Attempt  int    `json:"sends"`
	Outcome  string `json:"outcome"`
	Code     int    `json:"code"`
	Ran      string `json:"ran"`
	Why      string `json:"why"`
	Error    string `json:"error"`
	// Route, Account and Priority are a request's route, client account and priority; Account is empty if the caller has none.
	Route    string `json:"route"`
	Account  string `json:"account"`
	Priority int    `json:"priority"`
	// DataCentre is the data centre of the process; only the line of its start has it.
	DataCentre string `json:"data_centre"`
	// Returning is set if the caller was probably refused before.
	Returning bool `json:"came_back"`
	// ObjectiveMS, FirstMS and WaitedMS are a request's latency objective, the time to its first byte and its wait for capacity, in
	// milliseconds.
	ObjectiveMS float64 `json:"objective_ms"`
	FirstMS     float64 `json:"first_ms"`
	// GapObjectiveMS is the latency objective for the time between two events of a stream. UpstreamPauseMS is the longest time between
	// two events from the upstream, CallerPauseMS the longest duration of a write to the caller. All are in milliseconds.
	GapObjectiveMS  float64 `json:"gap_objective_ms"`
	UpstreamPauseMS float64 `json:"upstream_pause_ms"`
	CallerPauseMS   float64 `json:"caller_pause_ms"`
	WaitedMS        float64 `json:"waited_ms"`
	// TookMS is how long an answered request took, HeldMS how long a refused one was held, in milliseconds.
	TookMS float64 `json:"took_ms"`
	HeldMS float64 `json:"held_ms"`
	// RetryAfterMS is the delay after which the caller of a refused request may return, in milliseconds.
	RetryAfterMS float64 `json:"retry_after_ms"`
	// LateFrom, LateUntil, DelayMS, MaxDelayMS and OwnShare describe a spell of a process that is late; see Spell.
	LateFrom   time.Time `json:"late_from"`
	LateUntil  time.Time `json:"late_until"`
	DelayMS    float64   `json:"delay_ms"`
	MaxDelayMS float64   `json:"max_delay_ms"`
	OwnShare   float64   `json:"own_share"`
	// Kind is the kind of an object in the store.
	Kind string `json:"kind"`
	// Part is a part of prompts, Change what changed about its quarantine, and Crashes how many crashes it was found to have caused.
	Part    string `json:"part"`
	Change  string `json:"change"`
	Crashes int    `json:"crashes"`
	// Raw is the JSON of the line as it was written.
	Raw json.RawMessage `json:"-"`
	// readOrder is the position in which the line was read; it orders lines with the same time.
	readOrder int
}

// Log holds the lines of all logs that were read.
type Log struct {
	// Lines are sorted by time.
	Lines []Line
	// Malformed is the number of malformed lines.
	Malformed int
	// Dropped is the number of lines that the processes report as dropped.
	Dropped int64
}

// Read reads logs. A line may have a prefix before its JSON, as log collectors add it. Malformed lines are counted. Read returns an error
// if a reader fails or a line is longer than 1 MiB.
func Read(readers ...io.Reader) (*Log, error) {
	l := &Log{}
	for _, r := range readers {
		if err := l.read(r); err != nil {
			return nil, err
		}
	}
	sort.SliceStable(l.Lines, func(i, j int) bool {
		a, b := l.Lines[i], l.Lines[j]
		if !a.Time.Equal(b.Time) {
			return a.Time.Before(b.Time)
		}
		return a.readOrder < b.readOrder
	})
	return l, nil
}

func (l *Log) read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		l.add(in.Bytes())
	}
	return errors.Wrap(in.Err(), "read log")
}

func (l *Log) add(raw []byte) {
	text := bytes.TrimSpace(raw)
	if len(text) == 0 {
		return
	}
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		l.Malformed++
		return
	}
	line := Line{Raw: bytes.Clone(text[begin:]), readOrder: len(l.Lines)}
	if err := json.Unmarshal(line.Raw, &line); err != nil {
		l.Malformed++
		return
	}
	l.Dropped += line.Dropped
	l.Lines = append(l.Lines, line)
}
