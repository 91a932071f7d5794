package storefeed

import (
	"context"
	"sync"
	"time"
)

// Choice is where a process reads from at a moment. It is safe for concurrent use; its zero value is the store.
type Choice struct {
	mu      sync.Mutex
	address string
	// moved ends when the choice changes; nil until somebody needs it.
	moved  context.Context
	cancel context.CancelFunc
	// held is closed when lists need not wait for a choice any more; nil when they never did.
	held     chan struct{}
	released bool
}

// hold has lists wait until a process to read from is known or d is over.
func (c *Choice) hold(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = make(chan struct{})
	time.AfterFunc(d, c.release)
}

// release ends the wait of hold.
func (c *Choice) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

func (c *Choice) releaseLocked() {
	if c.held != nil && !c.released {
		c.released = true
		close(c.held)
	}
}

// await waits as long as lists are held.
func (c *Choice) await(ctx context.Context) {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held == nil {
		return
	}
	select {
	case <-held:
	case <-ctx.Done():
	}
}

// Address is the process to read from; empty for the store.
func (c *Choice) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// Set changes the choice. Lists that are under way are given up.
func (c *Choice) Set(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.address {
		return
	}
	c.address = address
	if c.cancel != nil {
		c.cancel()
		c.moved, c.cancel = nil, nil
	}
}

// begin returns the choice, a context that ends with ctx or when the choice changes, and what must be called in the end.
func (c *Choice) begin(ctx context.Context) (address string, during context.Context, done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved == nil {
		c.moved, c.cancel = context.WithCancel(context.Background())
	}
	during, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(c.moved, cancel)
	return c.address, during, func() {
		stop()
		cancel()
	}
}
