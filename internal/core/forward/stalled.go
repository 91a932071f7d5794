package forward

import "time"

func (l *loadState) noteStalled(now time.Time) { l.stalledAt = now }
func (l *loadState) noteHeard(time.Time)       { l.stalledAt = time.Time{} }
func (l *loadState) silent(time.Time) bool     { return !l.stalledAt.IsZero() }
