package experiment_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/experiment"
)

// maxLoggedRequests limits how many failed requests have their log lines printed.
const maxLoggedRequests = 8

// processLogs collects the logs of a fleet's processes. If its test fails, it prints the lines about the failed requests and all
// warnings.
type processLogs struct {
	t     *testing.T
	mu    sync.Mutex
	lines [][]byte
	// failed are the requests whose lines are printed.
	failed []experiment.Result
}

// logsByTest holds the logs of each running test.
var logsByTest sync.Map

func newLogOf(t *testing.T) *processLogs {
	l := &processLogs{t: t}
	logsByTest.Store(t, l)
	t.Cleanup(func() {
		logsByTest.Delete(t)
		if t.Failed() {
			l.print()
		}
	})
	return l
}

// Write stores one log line.
func (l *processLogs) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, bytes.Clone(line))
	return len(line), nil
}

// logFailed has the log lines of incomplete requests printed if the test fails. Refusals before a run are left out if refusalsAllowed is
// set.
func logFailed(t *testing.T, results []experiment.Result, refusalsAllowed bool) []experiment.Result {
	t.Helper()
	found, _ := logsByTest.Load(t)
	l := found.(*processLogs)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results {
		refused := r.RetryAfter != "" && !r.Cut && r.Ran == code.NotRun
		if !r.Complete && !(refused && refusalsAllowed) && len(l.failed) < maxLoggedRequests {
			l.failed = append(l.failed, r)
		}
	}
	return results
}

// logRunTwice has the log lines of requests that ran more than once printed if the test fails.
func logRunTwice(t *testing.T, f *experiment.Fleet, results []experiment.Result) {
	t.Helper()
	runsByID, err := f.EngineRuns()
	require.NoError(t, err)
	found, _ := logsByTest.Load(t)
	l := found.(*processLogs)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range results {
		if runsByID[r.ID] > 1 && len(l.failed) < maxLoggedRequests {
			l.failed = append(l.failed, r)
		}
	}
}

// print prints the failed requests with their log lines, and all warnings.
func (l *processLogs) print() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.failed {
		l.t.Logf("failed: %+v", r)
	}
	for _, line := range l.lines {
		if l.concernsFailed(line) || bytes.Contains(line, []byte(`"level":"warn"`)) {
			l.t.Logf("%s", bytes.TrimSpace(line))
		}
	}
}

func (l *processLogs) concernsFailed(line []byte) bool {
	for _, r := range l.failed {
		if r.ID != "" && bytes.Contains(line, []byte(r.ID)) {
			return true
		}
	}
	return false
}
