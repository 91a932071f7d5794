package gateway

import "time"

// streamTiming records the longest pauses of a stream.
type streamTiming struct {
	// eventCount is the number of events read.
	eventCount int
	lastReadAt time.Time
	// maxUpstreamGap is the longest time between reading two events; maxWrite is the longest that a write to the caller took.
	maxUpstreamGap, maxWrite time.Duration
}

// recordRead records that an event was read.
func (t *streamTiming) recordRead(at time.Time) {
	if t.eventCount > 0 {
		t.maxUpstreamGap = max(t.maxUpstreamGap, at.Sub(t.lastReadAt))
	}
	t.eventCount++
	t.lastReadAt = at
}

// recordWrite records how long a write to the caller took.
func (t *streamTiming) recordWrite(took time.Duration) { t.maxWrite = max(t.maxWrite, took) }
