package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// yieldInterval is the time between two changes of the share.
	yieldInterval = 500 * time.Millisecond
	// minShare is the share of the link that transfers keep when live requests get slower.
	minShare = 0.3
	// minPressureRatio is the ratio of recent to baseline first-byte times above which the share
	// shrinks.
	minPressureRatio = 2
	// minRise is the minimum increase of first-byte times that counts as pressure, so that noise in
	// short times has no effect.
	minRise = 5 * time.Millisecond
	// The share is multiplied by shrinkFactor when it shrinks; growStep is added when it grows.
	shrinkFactor = 0.85
	growStep     = 0.2
	// trialSteps is how often the share shrinks before it must have helped. It has helped when the
	// pressure is at most improvementRatio times its peak. If shrinking did not help, something
	// other than the transfers delays live requests, and the full share is used for fullShareHold.
	trialSteps       = 4
	improvementRatio = 0.9
	fullShareHold    = 30 * time.Second
	// recentWeight is the weight of a sample in the mean of recent times. baselineFallWeight and
	// baselineRiseWeight are its weights in the baseline when it is below or above the baseline.
	recentWeight       = 0.2
	baselineFallWeight = 0.1
	baselineRiseWeight = 0.002
)

// Yield computes the share of the link that transfers may use. The share shrinks when live requests
// on this host take longer than usual to their first byte, as long as shrinking helps.
type Yield struct {
	// Share is above 0 and at most 1.
	Share     float64
	upstreams map[string]*firstByteTimes
	next      time.Time
	// shrinkSteps counts the steps since the pressure began; peakPressure is the maximum since
	// then.
	shrinkSteps  int
	peakPressure float64
	// fullShareUntil is until when the full share is used, because shrinking did not help.
	fullShareUntil time.Time
	// disabled keeps the share at 1.
	disabled bool
}

// firstByteTimes are running means of an upstream's first-byte times, in nanoseconds.
type firstByteTimes struct {
	recent, baseline float64
	// fresh is set if there was a sample since the last check for pressure.
	fresh bool
}

func newYield() Yield { return Yield{Share: 1, upstreams: map[string]*firstByteTimes{}} }

func (y *Yield) addSample(_ step.Input, ev FirstByte) []step.Effect {
	took := float64(ev.Latency)
	f := y.upstreams[ev.Upstream]
	if f == nil {
		f = &firstByteTimes{recent: took, baseline: took}
		y.upstreams[ev.Upstream] = f
	}
	f.fresh = true
	f.recent += (took - f.recent) * recentWeight
	if took < f.baseline {
		f.baseline += (took - f.baseline) * baselineFallWeight
	} else {
		f.baseline += (took - f.baseline) * baselineRiseWeight
	}
	return nil
}

// tick shrinks the share while an upstream is under pressure. It lets the share grow again when
// none is, and restores it when shrinking did not help.
func (y *Yield) tick(in step.Input) []step.Effect {
	if y.disabled || in.Now.Before(y.next) {
		return nil
	}
	y.next = in.Now.Add(yieldInterval)
	share := y.nextShare(in.Now, y.maxPressure())
	if share == y.Share {
		return nil
	}
	y.Share = share
	return []step.Effect{SetShare{Share: share}}
}

// nextShare returns the share to use under the given pressure; 0 means no pressure.
func (y *Yield) nextShare(now time.Time, pressure float64) float64 {
	if pressure == 0 {
		y.shrinkSteps = 0
		return min(y.Share+growStep, 1)
	}
	if now.Before(y.fullShareUntil) {
		return 1
	}
	if y.shrinkSteps == 0 {
		y.peakPressure = 0
	}
	y.peakPressure = max(y.peakPressure, pressure)
	y.shrinkSteps++
	if y.shrinkSteps > trialSteps && pressure > y.peakPressure*improvementRatio {
		y.shrinkSteps = 0
		y.fullShareUntil = now.Add(fullShareHold)
		return 1
	}
	return max(y.Share*shrinkFactor, minShare)
}

// maxPressure returns the highest ratio of recent to baseline first-byte times that counts as
// pressure; 0 if there is none.
func (y *Yield) maxPressure() float64 {
	highest := 0.0
	for _, f := range y.upstreams {
		if f.fresh && f.recent > f.baseline*minPressureRatio && f.recent > f.baseline+float64(minRise) {
			highest = max(highest, f.recent/f.baseline)
		}
		f.fresh = false
	}
	return highest
}
