package owndelay

import "time"

// SetRead replaces the readings of this process.
func (m *Monitor) SetRead(read func() Reading) { m.read = read }

// Measure is the function measure.
func Measure(before, after Reading, timerLate time.Duration) Second {
	return measure(before, after, timerLate)
}

// Read returns a reading of this process.
func Read() Reading { return newReader().read() }
