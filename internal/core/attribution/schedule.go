package attribution

import "time"

const (
	// repeatInterval and maxRepeats are how often, and how many times, a report is sent again after a change: datagrams get lost.
	repeatInterval = 900 * time.Millisecond
	maxRepeats     = 3
	// refreshInterval is the time between two reports without a change, for processes that have started or were cut off. Reports to a
	// hundred processes each second would take more than all other messages.
	refreshInterval = 20 * time.Second
)

// Schedule decides when a process is sent a report again. The zero value has sent nothing.
type Schedule struct {
	// changes is the count of changes at the last report, sentAt its time, and repeats how often it was repeated.
	changes uint64
	sentAt  time.Time
	repeats int
}

// Changed reports whether there were changes since the last report.
func (s *Schedule) Changed(changes uint64) bool { return changes != s.changes }

// Due reports whether a report is to be sent now, and takes it as sent. changes counts the changes so far.
func (s *Schedule) Due(now time.Time, changes uint64) bool {
	elapsed := now.Sub(s.sentAt)
	switch {
	case s.Changed(changes):
		s.changes, s.repeats = changes, 0
	case s.repeats < maxRepeats && elapsed >= repeatInterval:
		s.repeats++
	case elapsed < refreshInterval:
		return false
	}
	s.sentAt = now
	return true
}
