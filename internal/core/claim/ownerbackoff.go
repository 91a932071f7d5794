package claim

import "time"

// The min and max time for which an owner that did not answer is not called. The time doubles with each failure.
const (
	MinOwnerBackoff = 2 * time.Second
	MaxOwnerBackoff = 30 * time.Second
)

// OwnerBackoff keeps track of the owners that did not answer, so that not every claim waits for them. When the backoff
// of an owner has passed, a single claim calls it again.
type OwnerBackoff struct {
	owners map[string]*backoff // by address
}

// backoff is the state of an owner that did not answer.
type backoff struct {
	until time.Time
	delay time.Duration
}

// NewOwnerBackoff returns an OwnerBackoff by which every owner may be called.
func NewOwnerBackoff() *OwnerBackoff { return &OwnerBackoff{owners: map[string]*backoff{}} }

// RecordFailure records that the owner at address did not answer, and doubles its backoff.
func (s *OwnerBackoff) RecordFailure(now time.Time, address string) {
	o := s.owners[address]
	if o == nil {
		o = &backoff{delay: MinOwnerBackoff / 2}
		s.owners[address] = o
	}
	o.delay = min(2*o.delay, MaxOwnerBackoff)
	o.until = now.Add(o.delay)
}

// RecordSuccess records that the owner at address answered, and ends its backoff.
func (s *OwnerBackoff) RecordSuccess(address string) { delete(s.owners, address) }

// MayCall reports whether the owner at address may be called. After an owner's backoff, only one caller gets true. The others
// get false until that caller has recorded the result of its call, or until the time probe has passed.
func (s *OwnerBackoff) MayCall(now time.Time, address string, probe time.Duration) bool {
	o := s.owners[address]
	if o == nil {
		return true
	}
	if now.Before(o.until) {
		return false
	}
	o.until = now.Add(probe)
	return true
}
