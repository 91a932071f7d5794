package weights

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
)

// minOwnDelay is by how much a tick must be late for this process to count as delayed. It is longer than the usual delays of a busy process
// and shorter than every time after which other hosts count as silent.
const minOwnDelay = 150 * time.Millisecond

// noticeOwnDelay takes the time for which this process did not run out of the waits for other hosts: what they sent meanwhile lies unread.
// Otherwise a process that was suspended would fetch the same chunks a second time, and take over what other hosts fetch from the origin.
func (s *State) noticeOwnDelay(in step.Input) {
	delay := in.Now.Sub(s.tickedAt) - step.TickInterval
	_, tick := in.Event.(step.Tick)
	late := !s.tickedAt.IsZero() && delay >= minOwnDelay
	if tick || late {
		s.tickedAt = in.Now
	}
	if !late {
		return
	}
	for _, b := range s.Bursts {
		b.postponeTimeouts(delay)
	}
}

// postponeTimeouts postpones the timeouts for other hosts.
func (b *Burst) postponeTimeouts(d time.Duration) {
	for _, f := range b.inFlight {
		f.startedAt = f.startedAt.Add(d)
	}
	b.timing.lastProgress = b.timing.lastProgress.Add(d)
	b.timing.lastChunk = b.timing.lastChunk.Add(d)
	postpone(&b.firstOriginChunkAt, d)
	for j := range b.partActiveAt {
		postpone(&b.partActiveAt[j], d)
	}
	for i := range b.chunks {
		postpone(&b.chunks[i].farSince, d)
		postpone(&b.chunks[i].stalledAt, d)
	}
}

// postpone postpones a time unless it is zero.
func postpone(t *time.Time, d time.Duration) {
	if !t.IsZero() {
		*t = t.Add(d)
	}
}
