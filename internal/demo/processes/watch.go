package processes

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// startEvent is the event number of the log line that contains the addresses on which a process listens.
const startEvent = 1001

// Addresses holds the addresses (IP:PORT) on which a process of the product listens.
type Addresses struct {
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// startLine is the log line of a process that has started to listen.
type startLine struct {
	Event int `json:"event"`
	Addresses
}

func parseStartLine(line []byte) (startLine, bool) {
	var start startLine
	if err := json.Unmarshal(line, &start); err != nil {
		return startLine{}, false
	}
	return start, start.Event == startEvent
}

func isStartLine(line []byte) bool {
	_, ok := parseStartLine(line)
	return ok
}

func isListeningLine(line []byte) bool {
	return strings.HasPrefix(string(line), listeningPrefix)
}

// lineWatcher writes the output of a child process to a file and reports the first line that matches. Only one goroutine,
// that of package exec, writes to it; it is closed after that goroutine has ended.
type lineWatcher struct {
	file    *os.File
	matches func(line []byte) bool
	found   chan string // receives the first line that matches; has a buffer of one
	matched bool
	pending []byte // output that does not end a line yet
}

func newLineWatcher(path string, matches func([]byte) bool) (*lineWatcher, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "creating a log file")
	}
	return &lineWatcher{file: file, matches: matches, found: make(chan string, 1)}, nil
}

// Write writes the data to the file and checks its lines until one has matched.
func (w *lineWatcher) Write(data []byte) (int, error) {
	if !w.matched {
		w.scan(data)
	}
	return w.file.Write(data)
}

func (w *lineWatcher) scan(data []byte) {
	w.pending = append(w.pending, data...)
	for {
		line, rest, complete := bytes.Cut(w.pending, []byte("\n"))
		if !complete {
			return
		}
		w.pending = rest
		if w.matches(line) {
			w.found <- string(line)
			w.matched = true
			w.pending = nil
			return
		}
	}
}

func (w *lineWatcher) close() {
	_ = w.file.Close()
}
