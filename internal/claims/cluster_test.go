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

// cluster is a platform, a plain service and several processes that claim keys.
type cluster struct {
	t        *testing.T
	platform *httptest.Server
	// objectAPI is the handler of platform.
	objectAPI *objectapi.Server
	plain     *httptest.Server

	mu    sync.Mutex
	nodes []*node
}

func newCluster(t *testing.T, entries int) *cluster {
	objectAPI := objectapi.NewServer(objectapi.Config{History: 1000})
	cl := &cluster{
		t:         t,
		objectAPI: objectAPI,
		platform:  httptest.NewServer(objectAPI),
		plain:     httptest.NewServer(plain.NewServer([]string{"p1"}, time.Millisecond)),
	}
	t.Cleanup(cl.platform.Close)
	t.Cleanup(cl.plain.Close)
	for range entries {
		cl.startNode()
	}
	return cl
}

// node is one process with a claims service. It can be paused, as by SIGSTOP, and killed.
type node struct {
	*claims.Service
	cluster *cluster
	address string
	server  *httptest.Server
	pool    *control.Pool

	mu     sync.Mutex
	paused chan struct{}
	killed bool
	// calls counts the calls to other processes.
	calls map[string]int
	// hook is called before each call to the platform is sent and after its response has arrived. Its error becomes the
	// result of the call.
	hook func(stage callStage, r *http.Request) error
}

// callStage is the point in a call to the platform at which a hook is called.
type callStage int

const (
	beforeCall callStage = iota
	afterCall
)

// sharedTransport reuses connections, so that the tests do not exhaust the machine's ports.
var sharedTransport = &http.Transport{MaxIdleConnsPerHost: 64}

var errKilled = errors.New("process was killed")

func testTiming() claims.Timing {
	return claims.Timing{
		ClaimTimeout: 600 * time.Millisecond, OwnerTimeout: 250 * time.Millisecond, ForwardTimeout: 300 * time.Millisecond,
		SettleTimeout: 20 * time.Second, SettleAttemptTimeout: 200 * time.Millisecond, SettleRetryInterval: 20 * time.Millisecond, PlatformTimeout: 200 * time.Millisecond,
	}
}

func testConfig() claim.Config {
	return claim.Config{CommitInterval: 4 * time.Millisecond, SettleDelay: 8 * time.Millisecond, SealBytes: 8 << 10}
}

func (cl *cluster) startNode() *node {
	n := &node{cluster: cl, calls: map[string]int{}}
	handlers := control.Handlers{}
	inner := control.NewServer(handlers)
	n.server = httptest.NewServer(inner)
	cl.t.Cleanup(n.server.CloseClientConnections)
	n.address = strings.TrimPrefix(n.server.URL, "http://")
	n.pool = control.NewPool(n.address, "secret", (&net.Dialer{Timeout: time.Second}).DialContext)
	n.Service = claims.New(claims.Config{
		Self: n.address, Objects: objects.NewClient(cl.platform.URL, &http.Client{Transport: n}), Peers: n,
		Log: zerolog.Nop(), Claims: testConfig(), Timing: testTiming(),
	})
	n.AddHandlers(handlers)
	for method, h := range handlers {
		handlers[method] = func(ctx context.Context, from string, params json.RawMessage) (any, error) {
			if err := n.waitWhilePaused(); err != nil {
				return nil, err
			}
			answer, err := h(ctx, from, params)
			return answer, errors.WithMessage(firstError(n.waitWhilePaused(), err), "handle")
		}
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.nodes = append(cl.nodes, n)
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

// Entries returns all processes that were not killed. It includes paused ones, which the others can't detect.
func (n *node) Entries() []string {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var addresses []string
	for _, other := range n.cluster.nodes {
		if !other.isKilled() {
			addresses = append(addresses, other.address)
		}
	}
	return addresses
}

// Call calls another process and counts the call.
func (n *node) Call(ctx context.Context, address, method string, params, answer any) error {
	if err := n.waitWhilePaused(); err != nil {
		return err
	}
	n.mu.Lock()
	n.calls[address]++
	n.mu.Unlock()
	err := n.pool.Call(ctx, address, method, params, answer)
	return firstError(n.waitWhilePaused(), err)
}

func (n *node) callsTo(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[address]
}

// RoundTrip sends a call to the platform and calls the hook before and after it.
func (n *node) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := n.runHook(beforeCall, r); err != nil {
		return nil, err
	}
	resp, err := sharedTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := n.runHook(afterCall, r); err != nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// runHook calls the hook, then waits while the process is paused.
func (n *node) runHook(s callStage, r *http.Request) error {
	n.mu.Lock()
	hook := n.hook
	n.mu.Unlock()
	if hook != nil {
		if err := hook(s, r); err != nil {
			return err
		}
	}
	return n.waitWhilePaused()
}

func (n *node) setHook(h func(callStage, *http.Request) error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hook = h
}

// waitWhilePaused waits while the process is paused, and fails if it was killed.
func (n *node) waitWhilePaused() error {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	if n.isKilled() {
		return errKilled
	}
	return nil
}

func (n *node) isKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
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

// kill ends the process. Calls that it has already sent may still take effect.
func (n *node) kill() {
	n.mu.Lock()
	n.killed = true
	n.mu.Unlock()
	n.resume()
	n.server.CloseClientConnections()
}

// setFaults sets the faults that the platform injects.
func (cl *cluster) setFaults(json string) {
	resp, err := http.Post(cl.platform.URL+"/admin/faults", "application/json", strings.NewReader(json))
	require.NoError(cl.t, err)
	require.NoError(cl.t, resp.Body.Close())
	require.Equal(cl.t, http.StatusOK, resp.StatusCode)
}

// runCall sends a call to the plain service, as an agent does.
func (cl *cluster) runCall(key, request string) {
	r, err := http.NewRequest(http.MethodPost, cl.plain.URL+"/p1/book", strings.NewReader("{}"))
	if err != nil {
		return
	}
	r.Header.Set("Idempotency-Key", key)
	r.Header.Set("Request-Id", request)
	resp, err := (&http.Client{Transport: sharedTransport}).Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// runCounts returns how often the call of each key ran, by the plain service's own log.
func (cl *cluster) runCounts() map[string]int {
	resp, err := http.Get(cl.plain.URL + "/admin/log")
	require.NoError(cl.t, err)
	defer func() { _ = resp.Body.Close() }()
	counts := map[string]int{}
	lines := json.NewDecoder(resp.Body)
	for {
		var line plain.RunEntry
		err := lines.Decode(&line)
		if err == io.EOF {
			return counts
		}
		require.NoError(cl.t, err)
		counts[line.IdempotencyKey]++
	}
}

// newClaim returns a claim of a key by a request.
func newClaim(key, request string) claim.Claim {
	return claim.Claim{
		Key: claim.HashKey("team", "service", key), RequestID: request, Fingerprint: 7, KeyTime: claim.KeyTimestamp(key), RunTimeoutMS: 3000,
	}
}

// settlement returns a settlement of a claim. If the call ran, the stored response's body is the request id.
func settlement(c claim.Claim, s claim.Status) claim.Settlement {
	t := claim.Settlement{Key: c.Key, RequestID: c.RequestID, KeyTime: c.KeyTime, Status: s}
	if s == claim.Ran {
		t.Answer = &claim.StoredResponse{Status: http.StatusOK, Body: []byte(c.RequestID)}
	}
	return t
}
