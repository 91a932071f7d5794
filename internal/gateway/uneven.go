package gateway

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

// lineInterval is the minimum time between two log lines of one kind on uneven engines. While many engines change their speed, there may
// be hundreds a second.
const lineInterval = 100 * time.Millisecond

// lineRate bounds the rate of a log line. The gateway's lock guards it.
type lineRate struct {
	lastAt time.Time
	// leftOut counts the lines since the last one that was written.
	leftOut int
}

// next reports whether a line may be written now, and how many were left out before it.
func (l *lineRate) next(now time.Time) (leftOut int, ok bool) {
	if now.Sub(l.lastAt) < lineInterval {
		l.leftOut++
		return 0, false
	}
	leftOut = l.leftOut
	l.lastAt, l.leftOut = now, 0
	return leftOut, true
}

// logMalformedParts logs that the list of a request's parts can't be read.
func (g *Gateway) logMalformedParts(request string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if leftOut, ok := g.malformedPartsLog.next(time.Now()); ok {
		logevent.Warn(g.log, logevent.MalformedParts).Str("request", request).Int("left_out", leftOut).Msg("malformed prompt parts")
	}
}

// recordSecondAttempt counts a stage of a second attempt, and logs the decision for it.
func (g *Gateway) recordSecondAttempt(e forward.SecondAttempt) {
	g.metrics.SecondAttempts.Add(1, string(e.Stage))
	x := g.exchanges[e.ID]
	if e.Stage != forward.SecondSent || x == nil {
		return
	}
	leftOut, ok := g.secondAttemptLog.next(time.Now())
	if !ok {
		return
	}
	logevent.Info(g.log, logevent.SecondAttempt).Str("request", x.call.CallerAttemptID).Str("upstream", e.First).Str("second", e.Second).
		Dur("waited_ms", e.Waited).Dur("predicted_ms", e.Predicted).Dur("second_predicted_ms", e.SecondPredicted).
		Dur("observed_ago_ms", e.Age).Int("left_out", leftOut).Msg("second attempt")
}

// recordLimit counts and logs that an engine gets fewer requests than it has slots.
func (g *Gateway) recordLimit(e forward.LimitLowered) {
	g.metrics.LimitsLowered.Add(1)
	leftOut, ok := g.limitLog.next(time.Now())
	if !ok {
		return
	}
	logevent.Info(g.log, logevent.LimitLowered).Str("upstream", e.Upstream).Int("limit", e.Limit).Int("slots", e.Slots).
		Dur("predicted_ms", e.Predicted).Dur("objective_ms", e.Objective).Dur("observed_ago_ms", e.Age).Int("left_out", leftOut).Msg("concurrency limit lowered")
}
