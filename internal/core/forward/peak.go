package forward

import "time"

// peakKept is how long at least a count holds after smaller ones are heard: an agent that has just started has heard of few entries, and of all
// within a second.
const peakKept = 2 * time.Second

// peak is the largest of some counts that were heard in the last moments. Its zero value is 0.
type peak struct {
	// most is the largest since a moment, and before the largest of the time before that.
	most, before int
	since        time.Time
}

// note takes a count.
func (p *peak) note(now time.Time, n int) {
	if now.Sub(p.since) >= peakKept {
		p.before, p.most, p.since = p.most, 0, now
	}
	p.most = max(p.most, n)
}

// value is the largest count of the last moments.
func (p *peak) value() int { return max(p.most, p.before) }
