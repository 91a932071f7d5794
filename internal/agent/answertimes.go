package agent

import (
	"sync"
	"time"
)

const (
	// openAtMost bounds how long a question to a silent upstream stays open, however slow its answers were.
	openAtMost = 6 * time.Second
	// openFactor is how many times as long as the slowest answer of late a question stays open.
	openFactor = 3
	// slowKept is how long a slow answer counts.
	slowKept = 30 * time.Second
)

// answerTimes decide how long questions to upstreams stay open, by how long answers took of late: where the way is slow, or this host is, an answer that
// takes as long again is no sign of death. Its zero value waits for openFor.
type answerTimes struct {
	mu      sync.Mutex
	slowest time.Duration
	at      time.Time
}

// note takes the time that an answer took.
func (p *answerTimes) note(now time.Time, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took >= p.slowest || now.Sub(p.at) > slowKept {
		p.slowest, p.at = took, now
	}
}

// wait is how long a question that is asked now stays open.
func (p *answerTimes) wait(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.at) > slowKept {
		return openFor
	}
	return min(openAtMost, max(openFor, openFactor*p.slowest))
}
