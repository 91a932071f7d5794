package speed

import (
	"math"
	"time"
)

const (
	// bands is the number of ranges of running requests, bandWidth the width of each but the last, and bandSize the number of latest
	// observations that are kept of each. Without bands, the few observations of a nearly full engine would be replaced by the many
	// at lower loads.
	bands, bandWidth, bandSize = 4, 3, 5
	maxObservations            = bands * bandSize
	// priorWeight is the weight of the service's usual time, in observations of the engine itself. It is above 1, so that a single
	// observation never outweighs it, and well below 2, so that two recent ones do.
	priorWeight = 1.1
	// runningScale and pendingScale are the differences in running requests and in pending tokens at which an observation has half
	// its weight.
	runningScale, pendingScale = 2.0, 3000.0
	// maxAge is the age from which an observation is not used any more; its weight is then below 1/60.
	maxAge = 6 * halfLife
)

// observation is one time of an engine; at is in nanoseconds since 1970, 0 for none. deviation is the logarithm of the time relative to
// the service's usual time. An entry keeps two models of each engine in use, so the size matters.
type observation struct {
	at               int64
	running, pending int32
	deviation        float64
}

// Model predicts the times of one engine instance. Use NewModel.
type Model struct {
	service *Service
	// observations are the latest ones by band; next are the indexes of the oldest, which the next ones replace.
	observations [bands][bandSize]observation
	next         [bands]uint8
	lastAt       time.Time
}

// NewModel returns the model of an engine that is predicted like its service until it is observed.
func NewModel(service *Service) *Model { return &Model{service: service} }

// Observe adds the time that the engine took for the first event of a request, with the load when the request was sent: the running
// requests without it, and the pending prompt tokens with it. It teaches the service, too.
func (m *Model) Observe(now time.Time, running, pendingTokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	level := math.Log(took.Seconds() / nominal(pendingTokens))
	usual, known := m.service.level(running, pendingTokens)
	if !known {
		usual = level
	}
	band := min(max(running, 0)/bandWidth, bands-1)
	m.observations[band][m.next[band]] = observation{at: now.UnixNano(), running: int32(running), pending: int32(pendingTokens), deviation: level - usual}
	m.next[band] = (m.next[band] + 1) % bandSize
	m.lastAt = now
	m.service.observe(now, running, pendingTokens, level)
}

// Predict returns the time to the first event for a request with that many prompt tokens pending, itself included, at an engine that has
// that many running requests without it. It reports false if too little is known of the engine and its service.
func (m *Model) Predict(now time.Time, running, pendingTokens int) (time.Duration, bool) {
	usual, known := m.service.level(running, pendingTokens)
	if !known {
		return 0, false
	}
	return seconds(nominal(pendingTokens) * math.Exp(usual+m.deviation(now, running, pendingTokens))), true
}

// deviation returns the weighted median of the engine's deviations from its service: recent observations at a similar load weigh most,
// and the service's own level counts as priorWeight observations without a deviation.
func (m *Model) deviation(now time.Time, running, pendingTokens int) float64 {
	var values, weights [maxObservations + 1]float64
	weights[0] = priorWeight
	n, total := 1, priorWeight
	for i := range maxObservations {
		o := &m.observations[i/bandSize][i%bandSize]
		age := time.Duration(now.UnixNano() - o.at)
		if age > maxAge {
			continue
		}
		r, p := float64(running-int(o.running))/runningScale, float64(pendingTokens-int(o.pending))/pendingScale
		w := aged(age) / (1 + r*r*r*r + p*p)
		// Insertion into the values sorted so far: there are at most maxObservations.
		at := n
		for ; at > 0 && values[at-1] > o.deviation; at-- {
			values[at], weights[at] = values[at-1], weights[at-1]
		}
		values[at], weights[at] = o.deviation, w
		n, total = n+1, total+w
	}
	sum := 0.0
	for i := range n {
		if sum += weights[i]; sum > total/2 || i == n-1 {
			return values[i]
		}
	}
	return 0
}

// Age returns how long ago the engine was last observed.
func (m *Model) Age(now time.Time) time.Duration { return now.Sub(m.lastAt) }

// Expired reports whether no observation has any weight left.
func (m *Model) Expired(now time.Time) bool { return m.Age(now) > maxAge }

// limitEvidence is the number of recent observations of the engine itself without which no limit applies.
const limitEvidence = 3

// Limit returns how many requests the engine may run at once, at most slots, so that each is predicted to meet the objective. The
// prediction for one more request stands for the running ones, since an engine's requests all run at the same speed. No limit applies
// where too little is known, or where a request misses its objective even alone: fewer requests would then help nobody.
func (m *Model) Limit(now time.Time, slots int, objective time.Duration) int {
	if objective <= 0 || m.recent(now) < limitEvidence {
		return slots
	}
	meets := func(running int) bool {
		took, known := m.PredictUsual(now, running)
		return !known || took <= objective
	}
	if !meets(0) {
		return slots
	}
	limit := slots
	for limit > 1 && !meets(limit-1) {
		limit--
	}
	return limit
}

// PredictUsual is Predict for a request with as many prompt tokens pending as usual.
func (m *Model) PredictUsual(now time.Time, running int) (time.Duration, bool) {
	return m.Predict(now, running, m.usualPending())
}

// recent counts the observations that have lost at most half of their weight.
func (m *Model) recent(now time.Time) int {
	n := 0
	for i := range maxObservations {
		if time.Duration(now.UnixNano()-m.observations[i/bandSize][i%bandSize].at) <= halfLife {
			n++
		}
	}
	return n
}

// usualPending returns the mean number of pending tokens of the observations.
func (m *Model) usualPending() int {
	sum, n := 0, 0
	for i := range maxObservations {
		if o := &m.observations[i/bandSize][i%bandSize]; o.at != 0 {
			sum, n = sum+int(o.pending), n+1
		}
	}
	return sum / max(1, n)
}

// slowStart is the time in which the permitted concurrency of an engine that has just started rises to its slots. startShare is the part
// that is permitted at once. An engine that has just started is slow for some seconds.
const (
	slowStart  = 3 * time.Second
	startShare = 1.0 / 3
)

// StartLimit returns how many of its slots an engine may use that long after its start.
func StartLimit(sinceStart time.Duration, slots int) int {
	if sinceStart >= slowStart || sinceStart < 0 {
		return slots
	}
	share := startShare + (1-startShare)*float64(sinceStart)/float64(slowStart)
	return max(1, min(slots, int(share*float64(slots))))
}
