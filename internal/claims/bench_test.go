package claims_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/claim"
	objects "samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
	"samphireweir.example/samphireweir/internal/standin/plain"
)

// bench is a platform, a plain service and several processes that make claims.
type bench struct {
	t        *testing.T
	platform *httptest.Server
	plain    *httptest.Server

	mu    sync.Mutex
	nodes []*node
}

func newBench(t *testing.T, entries int) *bench {
	b := &bench{
		t:        t,
		platform: httptest.NewServer(objectapi.NewServer(objectapi.Config{History: 1000})),
		plain:    httptest.NewServer(plain.NewServer([]string{"p1"}, time.Millisecond)),
	}
	t.Cleanup(b.platform.Close)
	t.Cleanup(b.plain.Close)
	for range entries {
		b.start()
	}
	return b
}

// node is one process with a service of claims. It can be paused, as by SIGSTOP, and killed.
type node struct {
	*claims.Service
	b       *bench
	address string
	server  *httptest.Server
	pool    *control.Pool

	mu     sync.Mutex
	paused chan struct{}
	dead   bool
	// calls counts the calls to other processes.
	calls map[string]int
	// hook may act on a call to the platform, before it is sent and after its answer came.
	hook func(stage stage, r *http.Request) error
}

// stage is a moment of a call to the platform.
type stage int

const (
	beforeCall stage = iota
	afterCall
)

// keptConnections keeps connections for reuse, so that a test does not use up the machine's ports.
var keptConnections = &http.Transport{MaxIdleConnsPerHost: 64}

var errDead = errors.New("process is dead")

func testTiming() claims.Timing {
	return claims.Timing{
		Claim: 600 * time.Millisecond, Owner: 250 * time.Millisecond, Forward: 300 * time.Millisecond,
		Settle: 20 * time.Second, SettleTry: 200 * time.Millisecond, SettleRetry: 20 * time.Millisecond, Platform: 200 * time.Millisecond,
	}
}

func testBounds() claim.Config {
	return claim.Config{CommitInterval: 4 * time.Millisecond, SettleDelay: 8 * time.Millisecond, SealBytes: 8 << 10}
}

func (b *bench) start() *node {
	n := &node{b: b, calls: map[string]int{}}
	handlers := control.Handlers{}
	inner := control.NewServer(handlers)
	n.server = httptest.NewServer(inner)
	b.t.Cleanup(n.server.CloseClientConnections)
	n.address = strings.TrimPrefix(n.server.URL, "http://")
	n.pool = control.NewPool(n.address, "secret", (&net.Dialer{Timeout: time.Second}).DialContext)
	n.Service = claims.New(claims.Config{
		Self: n.address, Objects: objects.NewClient(b.platform.URL, &http.Client{Transport: n}), Peers: n,
		Log: zerolog.Nop(), Claims: testBounds(), Timing: testTiming(),
	})
	n.AddHandlers(handlers)
	for method, h := range handlers {
		handlers[method] = func(ctx context.Context, from string, params json.RawMessage) (any, error) {
			if err := n.alive(); err != nil {
				return nil, err
			}
			answer, err := h(ctx, from, params)
			return answer, errors.WithMessage(firstError(n.alive(), err), "handle")
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = append(b.nodes, n)
	return n
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Entries returns all processes that live, or are paused: nobody knows that.
func (n *node) Entries() []string {
	n.b.mu.Lock()
	defer n.b.mu.Unlock()
	var addresses []string
	for _, other := range n.b.nodes {
		if !other.isDead() {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

// Call calls another process.
func (n *node) Call(ctx context.Context, address, method string, params, answer any) error {
	if err := n.alive(); err != nil {
		return err
	}
	n.mu.Lock()
	n.calls[address]++
	n.mu.Unlock()
	err := n.pool.Call(ctx, address, method, params, answer)
	return firstError(n.alive(), err)
}

func (n *node) callsTo(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[address]
}

// RoundTrip carries a call to the platform.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := n.act(beforeCall, r); err != nil {
		return nil, err
	}
	resp, err := keptConnections.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := n.act(afterCall, r); err != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

func (n *node) act(s stage, r *http.Request) error {
	n.mu.Lock()
	hook := n.hook
	n.mu.Unlock()
	if hook != nil {
		if err := hook(s, r); err != nil {
			return err
		}
	}
	return n.alive()
}

func (n *node) setHook(h func(stage, *http.Request) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hook = h
}

// alive waits while the process is paused, and fails when it is dead.
func (n *node) alive() error {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if n.isDead() {
		return errDead
	}
	return nil
}

func (n *node) isDead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead
}

// pause stops the process until resume is called.
func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

// kill ends the process for good; what it has sent may still take effect.
func (n *node) kill() {
	n.mu.Lock()
	n.dead = true
	n.mu.Unlock()
	n.resume()
	n.server.CloseClientConnections()
}

// faults sets faults of the platform.
func (b *bench) faults(json string) {
	resp, err := http.Post(b.platform.URL+"/admin/faults", "application/json", strings.NewReader(json))
	require.NoError(b.t, err)
	require.NoError(b.t, resp.Body.Close())
	require.Equal(b.t, http.StatusOK, resp.StatusCode)
}

// call runs a call on the plain service, as an agent would.
func (b *bench) call(key, request string) {
	r, err := http.NewRequest(http.MethodPost, b.plain.URL+"/p1/book", strings.NewReader("{}"))
	if err != nil {
		return
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Request-Id", request)
	resp, err := (&http.Client{Transport: keptConnections}).Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// runs counts the runs of each key in the plain service's own log.
func (b *bench) runs() map[string]int {
	resp, err := http.Get(b.plain.URL + "/admin/log")
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	counts := map[string]int{}
	lines := json.NewDecoder(resp.Body)
	for {
		var line plain.RunEntry
		err := lines.Decode(&line)
		if err == io.EOF {
			return counts
		}
		require.NoError(b.t, err)
		counts[line.IdempotencyKey]++
	}
}

// newClaim returns a claim of a key by a request.
func newClaim(key, request string) claim.Claim {
	return claim.Claim{
		Key: claim.HashKey("team", "service", key), Request: request, Fingerprint: 7, KeyTime: claim.Time(key), RunFor: 3000,
	}
}

// settlement settles a claim.
func settlement(c claim.Claim, s claim.Status) claim.Settlement {
	t := claim.Settlement{Key: c.Key, Request: c.Request, KeyTime: c.KeyTime, Status: s}
	if s == claim.Ran {
		t.Answer = &claim.Answer{Status: http.StatusOK, Body: []byte(c.Request)}
	}
	return t
}
