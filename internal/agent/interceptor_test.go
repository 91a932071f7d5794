package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// interceptor delays, drops or duplicates the first load order that an agent sends to its engines, as networks and
// pauses of processes do.
type interceptor struct {
	// handle sends the first load order in place of the transport.
	handle func(g *interceptedTransport, r *http.Request) (*http.Response, error)
	// reached is closed when the order has arrived, opened when it may proceed, and passed when it has ended.
	reached, opened, passed chan struct{}

	once     sync.Once
	open     sync.Once
	disarmed atomic.Bool
}

func newInterceptor(t testing.TB, handle func(*interceptedTransport, *http.Request) (*http.Response, error)) *interceptor {
	g := &interceptor{handle: handle, reached: make(chan struct{}), opened: make(chan struct{}), passed: make(chan struct{})}
	t.Cleanup(g.release)
	return g
}

// install adds the interceptor to the order transports of an agent.
func (g *interceptor) install(a *Agent) {
	next := a.newOrderTransport
	a.newOrderTransport = func(permit func() error) http.RoundTripper {
		return &interceptedTransport{interceptor: g, next: next(permit)}
	}
}

// disarm makes load orders pass unchanged until arm is called.
func (g *interceptor) disarm() { g.disarmed.Store(true) }

func (g *interceptor) arm() { g.disarmed.Store(false) }

// release lets a delayed order proceed.
func (g *interceptor) release() { g.open.Do(func() { close(g.opened) }) }

// interceptedTransport is the transport of one order behind an interceptor.
type interceptedTransport struct {
	*interceptor
	next http.RoundTripper
}

// RoundTrip sends a call; the first load order is sent by handle.
func (g *interceptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	first := false
	if strings.HasSuffix(r.URL.Path, "/orders/load") && !g.disarmed.Load() {
		g.once.Do(func() { first = true })
	}
	if !first {
		return g.next.RoundTrip(r)
	}
	defer close(g.passed)
	return g.handle(g, r)
}

// wait reports that the order has arrived and blocks until release is called.
func (g *interceptor) wait() {
	close(g.reached)
	<-g.opened
}

// delayBeforeSend delays an order before the agent checks that its first byte may be sent.
func delayBeforeSend(g *interceptedTransport, r *http.Request) (*http.Response, error) {
	g.wait()
	return g.next.RoundTrip(r.WithContext(context.WithoutCancel(r.Context())))
}

// delayAfterChecks delays an order after the agent has checked its last byte, so that the agent can't abort it any more.
func delayAfterChecks(g *interceptedTransport, r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	g.wait()
	late := r.Clone(context.WithoutCancel(r.Context()))
	late.Body = io.NopCloser(bytes.NewReader(body))
	return http.DefaultTransport.RoundTrip(late)
}

// delayMidBody delays the body of an order after pauseAfterBytes.
func delayMidBody(g *interceptedTransport, r *http.Request) (*http.Response, error) {
	r.Body = &pausingBody{ctx: r.Context(), body: r.Body, interceptor: g.interceptor}
	return g.next.RoundTrip(r)
}

// dropOrder drops an order: the engine never receives it, and the agent gets no response.
func dropOrder(g *interceptedTransport, r *http.Request) (*http.Response, error) {
	close(g.reached)
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// duplicateOrder sends an order at once, and a copy of it after release was called.
func duplicateOrder(g *interceptedTransport, r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	first := r.Clone(r.Context())
	first.Body = io.NopCloser(bytes.NewReader(body))
	resp, err := g.next.RoundTrip(first)
	copied := r.Clone(context.WithoutCancel(r.Context()))
	copied.Body = io.NopCloser(bytes.NewReader(body))
	go func() {
		g.wait()
		if again, err := http.DefaultTransport.RoundTrip(copied); err == nil {
			_ = again.Body.Close()
		}
	}()
	return resp, err
}

// pausingBody is a request body that pauses once after pauseAfterBytes.
type pausingBody struct {
	ctx         context.Context
	body        io.ReadCloser
	interceptor *interceptor
	read        int
	paused      bool
}

// pauseAfterBytes is how many bytes are read before the pause; the engine has started to load by then.
const pauseAfterBytes = 512 << 10

// Read reads from the body; it pauses first if pauseAfterBytes have been read.
func (h *pausingBody) Read(p []byte) (int, error) {
	if h.read >= pauseAfterBytes && !h.paused {
		h.paused = true
		close(h.interceptor.reached)
		select {
		case <-h.interceptor.opened:
		case <-h.ctx.Done():
			return 0, h.ctx.Err()
		}
	}
	n, err := h.body.Read(p)
	h.read += n
	return n, err
}

// Close closes the wrapped body.
func (h *pausingBody) Close() error { return h.body.Close() }
