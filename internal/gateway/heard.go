package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// heardTimes records when something of an answer was last read from the upstreams that attempts are open at. The reducer learns of heads, first
// events and ends; an upstream that writes long streams is heard far more often.
type heardTimes struct {
	mu        sync.Mutex
	upstreams map[catalog.Instance]*heardTime
}

// heardTime is when an upstream was last heard.
type heardTime struct {
	// users counts the attempts that use it. heardTimes.mu guards it.
	users int
	// at is the time in nanoseconds since 1970; 0 if the upstream was not heard yet.
	at atomic.Int64
}

// open returns the entry of an upstream for one attempt. The attempt passes it to close at its end.
func (h *heardTimes) open(upstream catalog.Instance) *heardTime {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.upstreams[upstream]
	if t == nil {
		t = &heardTime{}
		h.upstreams[upstream] = t
	}
	t.users++
	return t
}

// close forgets an upstream without attempts.
func (h *heardTimes) close(upstream catalog.Instance, t *heardTime) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t.users--
	if t.users == 0 {
		delete(h.upstreams, upstream)
	}
}

// record records that the upstream was heard.
func (t *heardTime) record(at time.Time) { t.at.Store(at.UnixNano()) }

// last returns when the upstream was last heard; zero if it was not.
func (t *heardTime) last() time.Time {
	if at := t.at.Load(); at != 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}
