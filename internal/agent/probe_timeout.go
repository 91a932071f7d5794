package agent

import (
	"sync"
	"time"
)

const (
	// maxProbeTimeout is the maximum time that a probe waits, whatever the recent response times were.
	maxProbeTimeout = 6 * time.Second
	// probeTimeoutFactor is the ratio of the probe timeout to the slowest recent response time.
	probeTimeoutFactor = 3
	// slowProbeRetention is how long the slowest response time is remembered.
	slowProbeRetention = 30 * time.Second
)

// probeTimes derives the timeout of liveness probes from recent response times. On a slow network or a busy host, a
// response that takes about as long as the one before is no sign that the upstream is dead. The zero value uses
// minProbeTimeout.
type probeTimes struct {
	mu      sync.Mutex
	slowest time.Duration
	// at is when slowest was recorded.
	at time.Time
}

// record adds the response time of a probe that was answered.
func (p *probeTimes) record(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took >= p.slowest || now.Sub(p.at) > slowProbeRetention {
		p.slowest, p.at = took, now
	}
}

// timeout returns how long a probe that is sent now waits for a response.
func (p *probeTimes) timeout(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) > slowProbeRetention {
		return minProbeTimeout
	}
	return min(maxProbeTimeout, max(minProbeTimeout, probeTimeoutFactor*p.slowest))
}
