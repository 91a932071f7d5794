package experiment

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slowReadiness holds the readiness check of the second entry, once the check has found the first one not ready: until the second one shuts
// down, or for replacedFor after the first one was replaced. It records in noEntry that a check ended with no entry ready.
type slowReadiness struct {
	http.RoundTripper
	f           *Fleet
	balancer    *Balancer
	first       *EntryProcess
	second      *EntryProcess
	replacedFor time.Duration

	mu         sync.Mutex
	firstReady bool
	noEntry    bool
}

func (s *slowReadiness) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path != "/ready" {
		return s.RoundTripper.RoundTrip(r)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noEntry = s.noEntry || s.balancer != nil && len(s.balancer.addresses()) == 0
	isSecond := r.URL.Host == s.second.OperatorsAddress()
	if isSecond && !s.firstReady {
		s.hold()
	}
	resp, err := s.RoundTripper.RoundTrip(r)
	if !isSecond {
		s.firstReady = err == nil && resp.StatusCode == http.StatusOK
	}
	return resp, err
}

// watch records from now on when b has no entry.
func (s *slowReadiness) watch(b *Balancer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer = b
}

func (s *slowReadiness) hold() {
	var replacedAt time.Time
	for !s.second.ShuttingDown() && (replacedAt.IsZero() || time.Since(replacedAt) < s.replacedFor) {
		if replacedAt.IsZero() && s.f.entries()[0] != s.first && s.f.ready() {
			replacedAt = time.Now()
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRollingRestartLeavesTheBalancerAnEntry guards against a rolling restart that stops the second entry while the balancer, whose check takes
// long, has not yet found that the first one is ready again: it then has no entry to send callers to.
func TestRollingRestartLeavesTheBalancerAnEntry(t *testing.T) {
	t.Parallel()
	f, err := Start(Config{Entries: 2, Agents: 1, EnginesPerAgent: 1, Settle: time.Second, Unlimited: true})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	entries := f.entries()
	checks := &slowReadiness{
		RoundTripper: f.client.Transport, f: f, first: entries[0], second: entries[1], replacedFor: time.Second, firstReady: true,
	}
	b := startBalancer(f, &http.Client{Transport: checks})
	defer b.Close()
	checks.watch(b)
	require.NoError(t, f.RollingRestart(b))
	checks.mu.Lock()
	defer checks.mu.Unlock()
	require.False(t, checks.noEntry, "a check of the balancer ended with no entry ready")
}
