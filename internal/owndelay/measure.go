package owndelay

import (
	"math"
	"runtime"
	"runtime/metrics"
	"syscall"
	"time"
)

// schedulerLatencies is the runtime's histogram of the times that goroutines waited between ready and running, in seconds, since the start
// of the process. The runtime samples one in eight of these times.
const schedulerLatencies = "/sched/latencies:seconds"

// waitPercentile is the percentile of these times that counts as the delay of a second. The slowest hundredth is left out, since a few
// long waits of goroutines that nobody waits for are no delay of requests.
const waitPercentile = 0.99

// Reading is what the operating system and the runtime counted for this process until a time.
type Reading struct {
	At time.Time
	// ProcessorTime is the processor time that this process has used, in user and kernel mode.
	ProcessorTime time.Duration
	// Processors is how many processors this process may use at the same time.
	Processors int
	// Waits counts the times between ready and running by bucket, and WaitBounds are the bounds of the buckets in seconds, one more than
	// there are buckets.
	Waits      []uint64
	WaitBounds []float64
}

// Second is the measurement of one second; it is longer if the process was late.
type Second struct {
	Start, End time.Time
	// Delay is how late this process was: the lateness of its timer or the waits of its goroutines, whichever is larger.
	Delay time.Duration
	// OwnShare is the share of the processor time available to this process that it used itself, from 0 to 1.
	OwnShare float64
}

// measure returns the measurement of the time between two readings, in which the timer was late by up to timerLate.
func measure(before, after Reading, timerLate time.Duration) Second {
	waits := percentile(after.WaitBounds, before.Waits, after.Waits, waitPercentile)
	s := Second{Start: before.At, End: after.At, Delay: max(0, timerLate, waits)}
	if available := after.At.Sub(before.At) * time.Duration(after.Processors); available > 0 {
		s.OwnShare = min(1, max(0, float64(after.ProcessorTime-before.ProcessorTime)/float64(available)))
	}
	return s
}

// percentile returns a lower bound of a percentile of the durations that were counted between two readings of a histogram: the lower bound
// of its bucket. It returns 0 if none was counted, or if the readings don't have the same buckets.
func percentile(bounds []float64, before, after []uint64, p float64) time.Duration {
	if len(before) != len(after) || len(bounds) != len(after)+1 {
		return 0
	}
	total := uint64(0)
	for i := range after {
		total += after[i] - before[i]
	}
	rank, seen := uint64(math.Ceil(p*float64(total))), uint64(0)
	for i := range after {
		seen += after[i] - before[i]
		if total > 0 && seen >= rank {
			return time.Duration(max(0, bounds[i]) * float64(time.Second))
		}
	}
	return 0
}

// reader takes readings of this process. It reuses the memory of the histogram.
type reader struct{ samples []metrics.Sample }

func newReader() *reader { return &reader{samples: []metrics.Sample{{Name: schedulerLatencies}}} }

// read returns the current reading. Its processor time is 0 if the operating system does not report it, and its waits are empty if the
// runtime does not.
func (r *reader) read() Reading {
	reading := Reading{At: time.Now(), Processors: runtime.GOMAXPROCS(0)}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		reading.ProcessorTime = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	metrics.Read(r.samples)
	if r.samples[0].Value.Kind() == metrics.KindFloat64Histogram {
		h := r.samples[0].Value.Float64Histogram()
		reading.Waits, reading.WaitBounds = append([]uint64(nil), h.Counts...), h.Buckets
	}
	return reading
}
