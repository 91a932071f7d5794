package owndelay

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/selflimit"
)

// secondsOnTime is how many seconds on time in a row end a spell. A process that is late every other second has one spell, not many.
const secondsOnTime = 3

// spell is a time in which this process is late, from the first late second to the last. The zero value stands for no spell.
type spell struct {
	// from is the start of the first late second and until the end of the last one.
	from, until time.Time
	// maxDelay is the largest delay of a second of the spell.
	maxDelay time.Duration
	// lateTime is the length of the late seconds together, and ownTime the part of the processor time in them that was this process's own.
	lateTime, ownTime time.Duration
	// onTime counts the seconds on time since the last late one.
	onTime int
}

// change is what a second changed about the spell.
type change int

const (
	unchanged change = iota
	started
	ended
)

// running reports whether the process is in a spell.
func (s *spell) running() bool { return !s.from.IsZero() }

// add adds a second. A spell that has ended keeps its values, for the log; the caller then resets it.
func (s *spell) add(sec Second) change {
	if sec.Delay >= selflimit.LateDelay {
		before := s.running()
		s.addLate(sec)
		if !before {
			return started
		}
		return unchanged
	}
	if !s.running() {
		return unchanged
	}
	s.onTime++
	if s.onTime < secondsOnTime {
		return unchanged
	}
	return ended
}

func (s *spell) addLate(sec Second) {
	if !s.running() {
		*s = spell{from: sec.Start}
	}
	s.until, s.onTime = sec.End, 0
	s.maxDelay = max(s.maxDelay, sec.Delay)
	length := sec.End.Sub(sec.Start)
	s.lateTime += length
	s.ownTime += time.Duration(sec.OwnShare * float64(length))
}

// ownShare returns the share of the processor time that was this process's own in the late seconds together.
func (s *spell) ownShare() float64 {
	if s.lateTime <= 0 {
		return 0
	}
	return float64(s.ownTime) / float64(s.lateTime)
}
