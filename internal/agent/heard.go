package agent

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// minEngineSilence is the least time without a byte from an engine that counts as a silence. Its state is read each 500 ms, so a shorter time
	// may have passed without anything to answer.
	minEngineSilence = 750 * time.Millisecond
	// maxEngineSilences is how many silences of an engine are remembered.
	maxEngineSilences = 8
)

// interval is a time from start to end.
type interval struct{ start, end time.Time }

// overlap returns how much of the interval lies in other.
func (i interval) overlap(other interval) time.Duration {
	start, end := i.start, i.end
	if other.start.After(start) {
		start = other.start
	}
	if other.end.Before(end) {
		end = other.end
	}
	return max(0, end.Sub(start))
}

// heardLog records when an engine was heard, by whatever connection, to tell an engine that was silent as a whole from one that answers a request
// slowly. The zero value is an engine that was never heard.
type heardLog struct {
	mu   sync.Mutex
	last time.Time
	// silences are the latest silences, the oldest first.
	silences []interval
}

// record records that the engine was heard at now.
func (h *heardLog) record(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.last.IsZero() && now.Sub(h.last) >= minEngineSilence {
		h.silences = append(h.silences, interval{h.last, now})
		h.silences = h.silences[max(0, len(h.silences)-maxEngineSilences):]
	}
	if now.After(h.last) {
		h.last = now
	}
}

// silentWithin returns for how long of an interval the engine was silent.
func (h *heardLog) silentWithin(i interval) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := time.Duration(0)
	for _, silence := range h.silences {
		total += silence.overlap(i)
	}
	return total
}

// heard returns the log of one of the host's upstreams.
func (a *Agent) heard(upstream string) *heardLog {
	found, ok := a.heardLogs.Load(upstream)
	if !ok {
		found, _ = a.heardLogs.LoadOrStore(upstream, &heardLog{})
	}
	return found.(*heardLog)
}

// readEngineState reads the state of an engine.
func (a *Agent) readEngineState(ctx context.Context, upstream, url string) (engine.State, error) {
	state, err := a.engines.State(ctx, url)
	if err == nil {
		a.heard(upstream).record(time.Now())
	}
	return state, err
}

// wasSilent reports whether the run's engine was silent as a whole while the run waited for the first byte: the silence, and the work that is
// left from it, say nothing about the engine's speed afterwards. It is false for a plain service, which has no state to read.
func (a *Agent) wasSilent(x *execution) bool {
	took := x.firstByte.took()
	if took == 0 || x.start.Kind != setting.Engine {
		return false
	}
	readAt := processStart.Add(time.Duration(x.firstByte.readAt.Load()))
	return a.heard(x.start.Upstream).silentWithin(interval{readAt.Add(-took), readAt}) > 0
}
