// Package membudget limits the bytes that a process holds for its callers: request bodies, and responses that callers have not read
// yet. Each request has a Reservation. When the budget is exhausted, the reservation that has made no progress for the longest time is
// evicted, since its caller costs the others most.
package membudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ownerDivisor limits the reservations of one owner to half of the budget, so that no owner can exhaust it alone.
	ownerDivisor = 2
	// minStall is how long a reservation must have made no progress before it can be evicted.
	minStall = 500 * time.Millisecond
)

// ErrFull means that the budget is exhausted and no reservation can be evicted.
var ErrFull = errors.New("memory budget for callers' requests is exhausted")

// ErrEvicted means that the reservation was evicted to free memory for others.
var ErrEvicted = errors.New("evicted to free memory: its caller made no progress for the longest time")

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
	// size (in bytes), progressAt and evicted are guarded by the budget's lock. progressAt is when data last arrived for the request or
	// its caller last read some.
	size       int64
	progressAt time.Time
	evicted    bool
}

// Open returns an empty reservation for a request of an owner; owner is any key that distinguishes callers. If the reservation is
// evicted to free memory for others, evict is called once. It runs with the budget's lock held and must not block.
func (b *Budget) Open(owner string, evict func()) *Reservation {
	r := &Reservation{budget: b, owner: owner, evict: evict, progressAt: b.now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reservations[r] = struct{}{}
	return r
}

// Grow reserves n more bytes. As long as they don't fit, it evicts other reservations, and returns ErrFull if none is left to evict. If
// the owner's share is exhausted, only reservations of the same owner are evicted.
func (r *Reservation) Grow(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case r.evicted:
			return ErrEvicted
		case b.owners[r.owner]+int64(n) > b.limit/ownerDivisor:
			if !b.evictSlowest(func(other *Reservation) bool { return other != r && other.owner == r.owner }) {
				return ErrFull
			}
		case b.used+int64(n) > b.limit:
			if !b.evictSlowest(func(other *Reservation) bool { return other != r }) {
				return ErrFull
			}
		default:
			r.add(int64(n))
			return nil
		}
	}
}

// Progress records that data for the request arrived, from its caller or an upstream.
func (r *Reservation) Progress() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progressAt = r.budget.now()
}

// Shrink releases n bytes that the caller has read.
func (r *Reservation) Shrink(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progressAt = r.budget.now()
	if !r.evicted { // An evicted reservation has released everything.
		r.add(-int64(n))
	}
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

// evictSlowest evicts the eligible reservation that made no progress for the longest time, and reports whether there was one. The caller
// holds the lock.
func (b *Budget) evictSlowest(eligible func(*Reservation) bool) bool {
	var slowest *Reservation
	now := b.now()
	for r := range b.reservations {
		if r.size == 0 || now.Sub(r.progressAt) < minStall || !eligible(r) {
			continue
		}
		if slowest == nil || r.progressAt.Before(slowest.progressAt) {
			slowest = r
		}
	}
	if slowest == nil {
		return false
	}
	slowest.evicted = true
	slowest.release()
	slowest.evict()
	return true
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
	delete(r.budget.reservations, r)
}
