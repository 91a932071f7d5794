// Package admission decides how much work is admitted. It holds four parts:
//   - an adaptive concurrency limit per upstream, at the agent, which sees all of the upstream's work
//   - fair shares between client accounts and a short queue, at the entry, which knows the client accounts
//   - fleet-wide limits of client accounts, shared between entries
//   - the retry budget of a service
//
// The package is pure: see package step. It belongs to the first product's path: internal/entry with core/request and
// core/routing, then internal/agent with core/run, and core/rollout for loading. On the users' platform, gateway with
// core/forward and hostagent with core/install do the same.
package admission

import (
	"math"
	"time"
)

const (
	// InitialLimit is the concurrency limit of a new upstream, in requests. Until the first decrease, the limit doubles
	// with each report of an engine that has no request waiting. A higher initial limit would fill the engine's own
	// queue, which does not distinguish client accounts.
	InitialLimit = 16
	// MinLimit and MaxLimit bound the adaptive limit, in requests.
	MinLimit = 4
	MaxLimit = 1024
	// LatencyTolerance is the ratio of the recent first-byte time to its baseline above which the limit decreases.
	LatencyTolerance = 2.5
	// LatencySlack is added to the tolerated first-byte time. It keeps noise from decreasing the limit of a very
	// fast service.
	LatencySlack = 5 * time.Millisecond
	// DecreaseFactor is the factor by which a decrease multiplies the limit.
	DecreaseFactor = 0.9
	// MinQueueDecreaseFactor is the lowest factor by which a single report of an engine's queue multiplies the limit.
	MinQueueDecreaseFactor = 0.5
	// MinDecreaseInterval is the minimum time between two decreases. It lets the first one take effect.
	MinDecreaseInterval = 250 * time.Millisecond
	// IncreaseStep is how much the limit grows, in requests, over as many answers as the limit allows requests at once.
	IncreaseStep = 4
	// EngineQueueShare is how many requests may wait at an engine, as a share of its batch. This short queue keeps the
	// engine busy.
	EngineQueueShare = 0.25
	// QueueReportMaxAge is how long after an engine's report on its batch the limit follows such reports instead of
	// first-byte times.
	QueueReportMaxAge = 3 * time.Second
	// MinEngineQueue is the minimum number of requests that may wait at an engine.
	MinEngineQueue = 2

	// recentWeight and baselineWeight are the weights of a new sample in the moving averages of the first-byte time.
	recentWeight   = 0.1
	baselineWeight = 0.02
)

// Limiter adapts the concurrency limit of one upstream.
type Limiter struct {
	limit float64
	// running counts the requests in flight at the upstream.
	running int
	// baseline is the average first-byte time, in nanoseconds, while the upstream is at most half busy. recent is the
	// average of all recent first-byte times, in nanoseconds.
	baseline     float64
	recent       float64
	lastDecrease time.Time
	// batch is the highest recent number of requests that the engine ran at once. It decays with each report.
	batch float64
	// decreased is set by the first decrease. From then on, the limit no longer doubles.
	decreased bool
	// queueReportAt is when the engine last reported its batch; zero if it never did.
	queueReportAt time.Time
}

// NewLimiter returns a limiter with a limit of InitialLimit.
func NewLimiter() *Limiter { return &Limiter{limit: InitialLimit} }

// Limit returns the maximum number of requests in flight.
func (l *Limiter) Limit() int { return int(l.limit) }

// Running returns the number of requests in flight.
func (l *Limiter) Running() int { return l.running }

// Add counts a request that starts.
func (l *Limiter) Add() { l.running++ }

// Finish counts a request that ends.
func (l *Limiter) Finish() { l.running = max(0, l.running-1) }

// FirstByte adapts the limit to the time that an upstream took for the first byte of an answer. It changes the limit only
// if the upstream has no recent queue report: an engine with a full batch answers later than an idle one, and its limit
// must not decrease for that reason.
func (l *Limiter) FirstByte(now time.Time, took time.Duration) {
	t := float64(took)
	l.recent = movingAverage(l.recent, t, recentWeight)
	if l.baseline == 0 || l.running <= l.Limit()/2 || l.limit <= MinLimit {
		// At the minimum limit no request waits, so a longer time is due to the work itself.
		l.baseline = movingAverage(l.baseline, t, baselineWeight)
	}
	if !l.queueReportAt.IsZero() && now.Sub(l.queueReportAt) < QueueReportMaxAge {
		return
	}
	if l.recent > LatencyTolerance*l.baseline+float64(LatencySlack) {
		l.decrease(now, l.limit*DecreaseFactor)
		return
	}
	if l.nearLimit() {
		l.limit = math.Min(MaxLimit, l.limit+IncreaseStep/l.limit)
	}
}

// QueueReport adapts the limit to an engine's own report on its batch, which arrives with a delay. It bounds the limit by
// the number of requests that the engine runs at once, plus a short queue.
func (l *Limiter) QueueReport(now time.Time, running, waiting int) {
	l.batch = math.Max(float64(running), l.batch*DecreaseFactor)
	maxQueue := math.Max(MinEngineQueue, EngineQueueShare*l.batch)
	l.queueReportAt = now
	switch {
	case float64(waiting) > maxQueue:
		// A report from just before a batch is filled shows few running and many waiting requests. A single report
		// therefore at most halves the limit.
		l.decrease(now, math.Max(l.batch+maxQueue, l.limit*MinQueueDecreaseFactor))
	case waiting == 0 && l.nearLimit():
		// The report is delayed, so once the limit has decreased it grows in small steps.
		l.limit = math.Min(MaxLimit, l.limit+l.queueIncrease())
	}
}

// queueIncrease returns by how much a report of an empty engine queue increases the limit.
func (l *Limiter) queueIncrease() float64 {
	if !l.decreased {
		return l.limit
	}
	return math.Max(1, (1-DecreaseFactor)*l.limit)
}

// nearLimit reports whether so many requests are in flight that a higher limit would admit more.
func (l *Limiter) nearLimit() bool { return float64(l.running) >= l.limit*DecreaseFactor }

func (l *Limiter) decrease(now time.Time, to float64) {
	if now.Sub(l.lastDecrease) < MinDecreaseInterval || to >= l.limit {
		return
	}
	l.lastDecrease = now
	l.decreased = true
	l.limit = math.Max(MinLimit, to)
}

// movingAverage returns the exponentially weighted moving average after a sample. The first sample sets the average.
func movingAverage(average, sample, weight float64) float64 {
	if average == 0 {
		return sample
	}
	return average + weight*(sample-average)
}
