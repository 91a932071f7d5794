package entry

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	// monitorInterval is the time between two calls of the monitor. Calls that take at least slowCallThreshold are
	// recorded.
	monitorInterval   = 100 * time.Millisecond
	slowCallThreshold = 250 * time.Millisecond
)

// slowCall is a call that took at least slowCallThreshold.
type slowCall struct {
	end  time.Time
	took time.Duration
}

// latencyMonitor measures how long a trivial call over a new connection takes in this process. Entries treat an agent as
// silent if its first byte takes longer than 1 s, and agents treat an engine as silent if it does not answer within 2 s.
// If a trivial call takes as long, tests that expect no lost requests fail. The measurements are printed for
// each failed test. The scheduling delay of a single goroutine is no substitute: it was at most 0.26 s while calls
// failed after 1 s, because a call waits for about a dozen goroutines in turn.
type latencyMonitor struct {
	once      sync.Once
	mu        sync.Mutex
	slowCalls []slowCall
}

var callLatency latencyMonitor

func (m *latencyMonitor) monitor() {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		start := time.Now()
		if resp, err := client.Get(server.URL); err == nil {
			_ = resp.Body.Close()
		}
		if took := time.Since(start); took >= slowCallThreshold {
			m.mu.Lock()
			m.slowCalls = append(m.slowCalls, slowCall{end: time.Now(), took: took})
			m.mu.Unlock()
		}
		time.Sleep(monitorInterval)
	}
}

// since returns the number of slow calls that ended after t, and the longest duration among them.
func (m *latencyMonitor) since(t time.Time) (n int, longest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.slowCalls {
		if c.end.After(t) {
			n, longest = n+1, max(longest, c.took)
		}
	}
	return n, longest
}

// reportOnFailure logs the slow calls during a test if the test fails.
func (m *latencyMonitor) reportOnFailure(t testing.TB) {
	m.once.Do(func() { go m.monitor() })
	start := time.Now()
	t.Cleanup(func() {
		if t.Failed() {
			n, longest := m.since(start)
			t.Logf("trivial calls of at least %v in this process: %d in %v, the longest %v", slowCallThreshold, n, time.Since(start), longest)
		}
	})
}
