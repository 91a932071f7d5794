// Package membudget bounds, in bytes, what a process holds for its callers: bodies that were read, and answers that callers have not taken. Each
// request has a Holder. When there is no room for more, the holder that has made no progress for the longest is ended, since
// its caller is the one who costs the others most.
package membudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// ownerShare is the part of the budget that the requests of one owner may hold, as a divisor.
	ownerShare = 2
	// leastStall is how long a holder must have made no progress to be ended for another one.
	leastStall = 500 * time.Millisecond
)

// ErrFull says that there is no room, and nobody who could be ended for it.
var ErrFull = errors.New("the memory for callers' requests is full")

// ErrEnded says that the holder was ended to make room for others.
var ErrEnded = errors.New("ended to make room: its caller took nothing for the longest time")

// Budget is shared by all requests of a process. It is safe for concurrent use.
type Budget struct {
	limit int64
	now   func() time.Time

	mu      sync.Mutex
	used    int64
	owners  map[string]int64
	holders map[*Holder]struct{}
}

// New returns a budget of limit bytes. now is the steady clock.
func New(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, owners: map[string]int64{}, holders: map[*Holder]struct{}{}}
}

// Used is how many bytes are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder is what is held for one request.
type Holder struct {
	budget *Budget
	owner  string
	end    func()
	// held, moved and ended are guarded by the budget's lock; moved is when the caller last gave or took something.
	held  int64
	moved time.Time
	ended bool
}

// Open returns a holder for a request of an owner, which is whatever tells callers apart. end is called at most once, if the holder is ended to
// make room for others; it must not wait.
func (b *Budget) Open(owner string, end func()) *Holder {
	h := &Holder{budget: b, owner: owner, end: end, moved: b.now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[h] = struct{}{}
	return h
}

// Grow takes room for n bytes more. It ends others where that helps, and returns ErrFull where it does not.
func (h *Holder) Grow(n int) error {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		switch {
		case h.ended:
			return ErrEnded
		case b.owners[h.owner]+int64(n) > b.limit/ownerShare:
			if !b.endSlowest(func(o *Holder) bool { return o != h && o.owner == h.owner }) {
				return ErrFull
			}
		case b.used+int64(n) > b.limit:
			if !b.endSlowest(func(o *Holder) bool { return o != h }) {
				return ErrFull
			}
		default:
			h.add(int64(n))
			return nil
		}
	}
}

// Moved notes that the caller has given or taken something.
func (h *Holder) Moved() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moved = h.budget.now()
}

// Shrink gives back the room of n bytes that the caller has taken.
func (h *Holder) Shrink(n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.moved = h.budget.now()
	if !h.ended { // An ended holder has given back all.
		h.add(-int64(n))
	}
}

// Ended tells whether the holder was ended to make room for others.
func (h *Holder) Ended() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.ended
}

// Close gives back all room.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.release()
}

// endSlowest ends the holder that made no progress for the longest among some. It is called with the lock held.
func (b *Budget) endSlowest(among func(*Holder) bool) bool {
	var slowest *Holder
	now := b.now()
	for h := range b.holders {
		if h.held == 0 || now.Sub(h.moved) < leastStall || !among(h) {
			continue
		}
		if slowest == nil || h.moved.Before(slowest.moved) {
			slowest = h
		}
	}
	if slowest == nil {
		return false
	}
	slowest.ended = true
	slowest.release()
	slowest.end()
	return true
}

// add is called with the lock held.
func (h *Holder) add(n int64) {
	h.held += n
	h.budget.used += n
	h.budget.owners[h.owner] += n
	if h.budget.owners[h.owner] == 0 {
		delete(h.budget.owners, h.owner)
	}
}

// release is called with the lock held.
func (h *Holder) release() {
	h.add(-h.held)
	delete(h.budget.holders, h)
}
