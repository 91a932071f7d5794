package intake

import "time"

const (
	// MaxBodyGap is the maximum wait for the next bytes of a body.
	MaxBodyGap = 30 * time.Second
	// RateGrace is the total time spent waiting for a body during which no minimum rate applies.
	RateGrace = 30 * time.Second
	// MinBytesPerSecond is the minimum average rate of a body after RateGrace, in bytes per second.
	MinBytesPerSecond = 256
)

// BodyRate measures the arrival of one request body. It prevents a caller from holding a request open by sending single
// bytes at long intervals. It doesn't limit the total duration of a body that keeps arriving, or of an answer. Only the time
// spent waiting for the caller counts, so that the caller isn't penalized for an upstream that reads the body slowly.
type BodyRate struct {
	// Waited is the time spent waiting for bytes of the body.
	Waited time.Duration
	// Bytes is the number of bytes received.
	Bytes int64
}

// Timeout returns the timeout for the next bytes. A value of 0 or less means that the body is too slow.
func (p BodyRate) Timeout() time.Duration {
	allowed := RateGrace + time.Duration(p.Bytes)*time.Second/MinBytesPerSecond
	return min(MaxBodyGap, allowed-p.Waited)
}

// TooSlow reports whether the body has fallen below its minimum rate.
func (p BodyRate) TooSlow() bool { return p.Timeout() <= 0 }
