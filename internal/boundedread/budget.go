package boundedread

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// MemoryDivisor is the part of a process's memory that its budget has: an eighth. Joining the parts of an answer and decoding it takes about as
	// much again.
	MemoryDivisor = 8
	// largeDivisor is the part of a budget beyond which an answer counts as large. Large answers grow within three quarters of the budget
	// only, so that small ones are read beside them.
	largeDivisor = 32
	// largeShare and largeShareOf are that share.
	largeShare, largeShareOf = 3, 4
)

// ErrFull is returned by a read of an answer for which the budget has no room.
var ErrFull = errors.New("the memory for answers is full")

// Budget limits the bytes that the answers of all calls of a process hold together, beside the limit of each call. It is safe for concurrent
// use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// grow takes n more bytes for an answer that holds held bytes, or returns ErrFull.
func (b *Budget) grow(held, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if held+n > b.limit/largeDivisor {
		limit = b.limit / largeShareOf * largeShare
	}
	if b.used+n > limit {
		return errors.Wrapf(ErrFull, "%d of %d bytes held", b.used, b.limit)
	}
	b.used += n
	return nil
}

// release gives back n bytes.
func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Transport returns a transport whose answers' bodies are counted from when they are read until they are closed. A read that finds no room
// returns ErrFull.
func (b *Budget) Transport(next http.RoundTripper) http.RoundTripper {
	return countingTransport{budget: b, next: next}
}

type countingTransport struct {
	budget *Budget
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t countingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &countedBody{ReadCloser: resp.Body, budget: t.budget}
	return resp, nil
}

// countedBody is a body whose bytes count in a budget until it is closed.
type countedBody struct {
	io.ReadCloser
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// Read reads from the body.
func (c *countedBody) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return n, err
	}
	if full := c.budget.grow(c.held, int64(n)); full != nil {
		return 0, full
	}
	c.held += int64(n)
	return n, err
}

// Close closes the body and releases what was read.
func (c *countedBody) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.budget.release(c.held)
	}
	c.mu.Unlock()
	return c.ReadCloser.Close()
}
