// Package membudget limits the bytes that a process holds for its callers: request bodies, and responses that callers have not read
// yet. Each request has a Reservation. When the budget is exhausted, the reservation whose caller has kept the process waiting for the
// longest time is evicted, since that caller costs the others most. A request that waits for its upstream is not evicted: its caller can
// do nothing about that, and the upstream may run it.
//
// A part of the budget is kept for responses. Without it, requests that wait for their responses could hold all memory, so that no
// response could be read. A response that waits for memory may be dropped for others: what was read of it is released then, and its
// caller gets another answer.
package membudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ownerDivisor limits the reservations of one owner to half of the budget, so that no owner can exhaust it alone.
	ownerDivisor = 2
	// responseDivisor keeps an eighth of the budget, and of each owner's share, for responses.
	responseDivisor = 8
	// largeDivisor is the part of the budget from which a response counts as large. Large responses grow within three quarters of the budget
	// only, so that others and new requests find memory beside them at any time.
	largeDivisor = 32
	// minStall is how long a reservation must have made no progress before it can be evicted.
	minStall = 500 * time.Millisecond
	// largeRatio is how many times as large as another reservation a response that waits for memory must be to be dropped for it at once.
	largeRatio = 8
)

// ErrFull means that the budget is exhausted and no reservation can be evicted.
var ErrFull = errors.New("memory budget for callers' requests is exhausted")

// ErrEvicted means that the reservation was evicted to free memory for others.
var ErrEvicted = errors.New("evicted to free memory: it made no progress for the longest time")

// ErrDropped means that what was read of the response was released for other responses, because it waited for memory.
var ErrDropped = errors.New("the response was dropped to free memory for others")

// Budget is a memory budget shared by all requests of a process. It is safe for concurrent use.
type Budget struct {
	limit int64
	now   func() time.Time

	mu           sync.Mutex
	used         int64
	owners       map[string]int64
	reservations map[*Reservation]struct{}
}

// New returns a budget of limit bytes. now returns the current time of a monotonic clock.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, owners: map[string]int64{}, reservations: map[*Reservation]struct{}{}}
}

// Used returns the number of bytes reserved.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is the memory held for one request.
type Reservation struct {
	budget *Budget
	owner  string
	evict  func()
	// The budget's lock guards the fields below. size is in bytes, and response is its part for the response. dropped is set until the
	// reader of the response learns of it.
	size, response   int64
	evicted, dropped bool
	// caller is the wait for the caller, which sends its body or reads the response, and memory that of a response for memory.
	caller, memory wait
}

// wait is a wait for progress.
type wait struct {
	active bool
	since  time.Time
}

// Open returns an empty reservation for a request of an owner, which sends its body; owner is any key that distinguishes callers. If the
// reservation is evicted to free memory for others, since its caller makes no progress, evict is called once. It runs with the budget's lock held and must not block.
func (b *Budget) Open(owner string, evict func()) *Reservation {
	r := &Reservation{budget: b, owner: owner, evict: evict, caller: wait{active: true, since: b.now()}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[r] = struct{}{}
	return r
}

// GrowBody reserves n more bytes for the request's body. As long as they don't fit into the part of the budget for bodies, it evicts
// reservations whose callers have stalled, or drops far larger responses that wait for memory, and returns ErrFull if there is none. If the owner's share is exhausted, only reservations of
// the same owner are evicted.
func (r *Reservation) GrowBody(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return r.grow(int64(n), b.limit-b.limit/responseDivisor, func(eligible func(*Reservation) bool) bool {
		return b.evictSlowestCaller(eligible) || b.dropLarger(r.size+int64(n), eligible)
	})
}

// Grow reserves n more bytes for the response. It is like GrowBody, but may use the whole budget. If no caller has stalled, another response
// that waits for memory is dropped: a far larger one at once, so that responses without an end don't hold up the others, or else the one
// that has waited for the longest time, as otherwise responses of which each was read in part could wait for each other for ever. It returns
// ErrDropped once if this response was dropped.
func (r *Reservation) Grow(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.dropped {
		r.dropped = false
		return ErrDropped
	}
	err := r.grow(int64(n), b.responseLimit(r), func(eligible func(*Reservation) bool) bool {
		return b.evictSlowestCaller(eligible) || b.dropLarger(r.response+int64(n), eligible) || b.dropSlowest(eligible)
	})
	switch {
	case err == nil:
		r.response += int64(n)
		r.memory.active = false
	case !errors.Is(err, ErrFull):
		r.memory.active = false
	case !r.memory.active:
		r.memory = wait{active: true, since: b.now()}
	}
	return err
}

// responseLimit returns the part of the budget within which a response may grow. The caller holds the lock.
func (b *Budget) responseLimit(r *Reservation) int64 {
	if r.response > b.limit/largeDivisor {
		return b.limit / 4 * 3
	}
	return b.limit
}

// grow reserves n more bytes if all reservations together then stay within limit. The caller holds the lock. evict evicts one eligible
// reservation and reports whether there was one.
func (r *Reservation) grow(n, limit int64, evict func(eligible func(*Reservation) bool) bool) error {
	b := r.budget
	for {
		switch {
		case r.evicted:
			return ErrEvicted
		case b.owners[r.owner]+n > limit/ownerDivisor:
			if !evict(func(other *Reservation) bool { return other != r && other.owner == r.owner }) {
				return ErrFull
			}
		case b.used+n > limit:
			if !evict(func(other *Reservation) bool { return other != r }) {
				return ErrFull
			}
		default:
			r.add(n)
			return nil
		}
	}
}

// AwaitCaller records that the process waits for the caller from now on. It is called too when the caller has made progress.
func (r *Reservation) AwaitCaller() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.caller = wait{active: true, since: r.budget.now()}
}

// CallerDone records that the process does not wait for the caller any more.
func (r *Reservation) CallerDone() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.caller.active = false
}

// Shrink releases n bytes that the caller has read, or that are not passed on to it.
func (r *Reservation) Shrink(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.caller.since = r.budget.now()
	released := min(int64(n), r.response) // One that was evicted or dropped has released it before.
	r.response -= released
	r.add(-released)
}

// Evicted reports whether the reservation was evicted to free memory for others.
func (r *Reservation) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// Close releases the whole reservation.
func (r *Reservation) Close() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.release()
}

// evictSlowestCaller evicts the eligible reservation whose caller the process has waited for the longest time, and reports whether there
// was one. The caller holds the lock.
func (b *Budget) evictSlowestCaller(eligible func(*Reservation) bool) bool {
	slowest := b.slowest(eligible, func(r *Reservation) wait { return r.caller })
	if slowest == nil {
		return false
	}
	slowest.evicted = true
	slowest.release()
	slowest.evict()
	return true
}

// dropSlowest drops the eligible response that has waited for memory for the longest time, and reports whether there was one. The
// caller holds the lock.
func (b *Budget) dropSlowest(eligible func(*Reservation) bool) bool {
	slowest := b.slowest(eligible, func(r *Reservation) wait { return r.memory })
	if slowest == nil {
		return false
	}
	slowest.drop()
	return true
}

// dropLarger drops the largest eligible response that waits for memory if it is far larger than size bytes, and reports whether
// there was one. The caller holds the lock.
func (b *Budget) dropLarger(size int64, eligible func(*Reservation) bool) bool {
	var largest *Reservation
	for r := range b.reservations {
		if r.memory.active && r.response >= largeRatio*size && eligible(r) && (largest == nil || r.response > largest.response) {
			largest = r
		}
	}
	if largest == nil {
		return false
	}
	largest.drop()
	return true
}

// slowest returns the eligible reservation that has waited for the longest time, in the kind of wait that waitOf returns; nil if none has
// waited for minStall. The caller holds the lock.
func (b *Budget) slowest(eligible func(*Reservation) bool, waitOf func(*Reservation) wait) *Reservation {
	var slowest *Reservation
	now := b.now()
	for r := range b.reservations {
		w := waitOf(r)
		if r.size == 0 || !w.active || now.Sub(w.since) < minStall || !eligible(r) {
			continue
		}
		if slowest == nil || w.since.Before(waitOf(slowest).since) {
			slowest = r
		}
	}
	return slowest
}

// drop releases the response. The caller holds the lock.
func (r *Reservation) drop() {
	r.add(-r.response)
	r.response, r.dropped, r.memory.active = 0, true, false
}

// add changes the reserved size by n bytes. The caller holds the lock.
func (r *Reservation) add(n int64) {
	r.size += n
	r.budget.used += n
	r.budget.owners[r.owner] += n
	if r.budget.owners[r.owner] == 0 {
		delete(r.budget.owners, r.owner)
	}
}

// release frees the reservation. The caller holds the lock.
func (r *Reservation) release() {
	r.add(-r.size)
	r.response = 0
	delete(r.budget.reservations, r)
}
