// Package story reads the logs of several processes and tells from them what became of one request, how one belief spread, and
// what the failed requests failed of. It needs nothing but the log lines.
package story

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

// maxLine bounds a line in bytes; a process writes none that is longer.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time   `json:"time"`
	Event   logevent.ID `json:"event"`
	Level   string      `json:"level"`
	Message string      `json:"message"`
	// Process is the role and Name the host.
	Process string `json:"process"`
	Name    string `json:"name"`
	// Request is the id that the caller gave.
	Request string `json:"request"`
	// Dropped is how many lines the process dropped before this one.
	Dropped int64 `json:"dropped"`
	// What, Of, Value and Revision are a belief.
	What     string `json:"what"`
	Of       string `json:"of"`
	Value    string `json:"value"`
	Revision int64  `json:"revision"`
	// Model, Version and Phase are a version's on its way to an engine.
	Model   string `json:"model"`
	Version int64  `json:"version"`
	Phase   string `json:"phase"`
	// Upstream is an upstream's id, and Sends counts the sends of a request.
	Upstream string `json:"upstream"`
	Sends    int    `json:"sends"`
	Outcome  string `json:"outcome"`
	Code     int    `json:"code"`
	Ran      string `json:"ran"`
	Why      string `json:"why"`
	Error    string `json:"error"`
	// CameBack is set when the caller was refused before.
	CameBack bool `json:"came_back"`
	// ObjectiveMS, FirstMS and WaitedMS are a request's latency objective, the time to its first byte and its wait for room.
	ObjectiveMS float64 `json:"objective_ms"`
	FirstMS     float64 `json:"first_ms"`
	// GapObjectiveMS bounds the pauses of a stream that is in time; UpstreamPauseMS and CallerPauseMS are the longest at its upstream and in a write to
	// its caller.
	GapObjectiveMS  float64 `json:"gap_objective_ms"`
	UpstreamPauseMS float64 `json:"upstream_pause_ms"`
	CallerPauseMS   float64 `json:"caller_pause_ms"`
	WaitedMS        float64 `json:"waited_ms"`
	// Kind is a kind of object in the store.
	Kind string `json:"kind"`
	// Raw is the line as it was written.
	Raw json.RawMessage `json:"-"`
	// order keeps lines with the same time as they were read.
	order int
}

// Log is what was read, ordered by time.
type Log struct {
	Lines []Line
	// Bad counts lines that could not be read.
	Bad int
	// Dropped counts lines that processes say they dropped.
	Dropped int64
}

// Read reads logs. A line may have something before its JSON, as collectors write it. One that can't be read is counted. The error is
// that of a reader.
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
		return a.order < b.order
	})
	return l, nil
}

func (l *Log) read(r io.Reader) error {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		l.add(in.Bytes())
	}
	return errors.Wrap(in.Err(), "read a log")
}

func (l *Log) add(raw []byte) {
	text := bytes.TrimSpace(raw)
	if len(text) == 0 {
		return
	}
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		l.Bad++
		return
	}
	line := Line{Raw: bytes.Clone(text[begin:]), order: len(l.Lines)}
	if err := json.Unmarshal(line.Raw, &line); err != nil {
		l.Bad++
		return
	}
	l.Dropped += line.Dropped
	l.Lines = append(l.Lines, line)
}
