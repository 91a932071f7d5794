package intake

import "time"

const (
	// Silence is the maximum wait for the next bytes of a body.
	Silence = 30 * time.Second
	// Grace is the total time spent waiting for a body during which no minimum rate applies.
	Grace = 30 * time.Second
	// MinRate is the minimum average rate of a body after Grace, in bytes per second.
	MinRate = 256
)

// Pace measures the arrival of one request body. It prevents a caller from holding a request open by sending single bytes
// at long intervals. It doesn't limit the total duration of a body that keeps arriving, or of an answer. Only the time
// spent waiting for the caller counts, so that the caller isn't penalized for an upstream that reads the body slowly.
type Pace struct {
	// Waited is the time spent waiting for bytes of the body.
	Waited time.Duration
	// Bytes is the number of bytes received.
	Bytes int64
}

// Patience returns the timeout for the next bytes. A value of 0 or less means that the body is too slow.
func (p Pace) Patience() time.Duration {
	allowed := Grace + time.Duration(p.Bytes)*time.Second/MinRate
	return min(Silence, allowed-p.Waited)
}

// TooSlow reports whether the body has fallen below its minimum rate.
func (p Pace) TooSlow() bool { return p.Patience() <= 0 }
