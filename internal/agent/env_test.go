package agent

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/incarnation"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/slot"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/standin/engine"
	"samphireweir.example/samphireweir/internal/standin/hostlist"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
	"samphireweir.example/samphireweir/internal/standin/weights"
)

const (
	testTeam    = "karrakin"
	testService = "summary-model"
	// waitTimeout is how long a test waits for a condition, and waitInterval the time between two checks of it.
	waitTimeout  = 30 * time.Second
	waitInterval = 10 * time.Millisecond
)

// testTiming returns short intervals and timeouts, so that leases expire and polls happen within a test.
func testTiming() rollout.Timing {
	return rollout.Timing{
		Poll: 20 * time.Millisecond, MaxPoll: 100 * time.Millisecond, RetryDelay: 20 * time.Millisecond,
		MaxRetryDelay: 100 * time.Millisecond, OrderTimeout: 300 * time.Millisecond, DrainWarning: 200 * time.Millisecond,
		Incarnation: incarnation.Timing{Lease: 600 * time.Millisecond, OrderDrain: 100 * time.Millisecond, MinRetryDelay: 20 * time.Millisecond},
		Slots:       slot.Timing{Expiry: 900 * time.Millisecond, PollInterval: 20 * time.Millisecond, TurnTimeout: 300 * time.Millisecond},
	}
}

// testEnv runs the platform, the origin and the engines as stand-ins in the test's process; its agents are real ones.
type testEnv struct {
	t       testing.TB
	objects *httptest.Server
	hosts   *httptest.Server
	origin  *httptest.Server
	engines *httptest.Server
	setting setting.Setting
	// secret is different in each environment. The kernel may give an agent an address that another environment used
	// before; the secret keeps the two from joining.
	secret string
}

// fencings are the two ways in which engines treat fencing numbers.
var fencings = []setting.Fencing{setting.FencingChecked, setting.FencingIgnored}

// forEachFencing runs a test with engines that check fencing numbers and with engines that ignore them.
func forEachFencing(t *testing.T, test func(t *testing.T, f setting.Fencing)) {
	t.Parallel()
	for _, f := range fencings {
		t.Run(string(f), func(t *testing.T) { test(t, f) })
	}
}

func newTestEnv(t *testing.T, f setting.Fencing, engines ...string) *testEnv {
	t.Parallel()
	return buildTestEnv(t, f, engines...)
}

func buildTestEnv(t testing.TB, f setting.Fencing, engines ...string) *testEnv {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	origin, err := weights.NewServer(weights.Config{Content: weights.ContentConfig{Size: 2 << 20, ChunkSize: 256 << 10, Seed: 7}})
	require.NoError(t, err)
	b := &testEnv{
		t:       t,
		secret:  rand.Text(),
		objects: serveTest(t, objectapi.NewServer(objectapi.Config{History: 10000})),
		hosts:   serveTest(t, hostlist.NewServer(0)),
		origin:  serveTest(t, origin),
		engines: serveTest(t, engine.NewServer(ctx, engines, engine.Config{
			Step: 2 * time.Millisecond, Batch: 32, CacheEntries: 16, IgnoreFencing: f == setting.FencingIgnored,
		})),
	}
	b.setting = setting.Setting{
		Kind: setting.Engine, Model: "risk", Adapter: "none", Places: map[string]int{"perth-a": 100},
		MaxUnavailable: 1, Fencing: f, Role: setting.RoleBoth,
	}
	return b
}

func serveTest(t testing.TB, h http.Handler) *httptest.Server {
	s := httptest.NewServer(h)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// digest returns the digest of a version of the model.
func (b *testEnv) digest(version string) string { return manifest.Digest(b.manifest(version)) }

func (b *testEnv) manifest(version string) []byte {
	resp, err := http.Get(b.origin.URL + "/v1/weights/risk/" + b.setting.Adapter + "/" + version + "/manifest")
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return raw
}

// apply writes the service's setting with the given version and returns the digest of the version.
func (b *testEnv) apply(version string) string {
	b.setting.Version = version
	b.setting.Digest = b.digest(version)
	value, err := json.Marshal(b.setting)
	require.NoError(b.t, err)
	b.call(http.MethodPut, b.objects.URL+"/v1/objects/"+setting.Key(testTeam, testService), string(value))
	return b.setting.Digest
}

// call sends an HTTP request to a stand-in and returns the response body. A status of 400 or more fails the test.
func (b *testEnv) call(method, url, body string) []byte {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	require.NoError(b.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(b.t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	require.Less(b.t, resp.StatusCode, 400, "%s %s: %s", method, url, raw)
	return raw
}

// setFaults switches faults of a stand-in on or off.
func (b *testEnv) setFaults(s *httptest.Server, faults string) {
	b.call(http.MethodPost, s.URL+"/admin/faults", faults)
}

// testAgent is an agent that serves until stop is called.
type testAgent struct {
	*Agent
	b      *testEnv
	cancel context.CancelFunc
	done   chan struct{}
}

// agent starts an agent. The functions in change modify it before it runs.
func (b *testEnv) agent(host string, engines []string, change ...func(*Agent)) *testAgent {
	var upstreams []string
	for _, e := range engines {
		upstreams = append(upstreams, fmt.Sprintf("%s/%s=engine@%s/%s", testTeam, testService, b.engines.URL, e))
	}
	c := Config{
		Config: node.Config{
			Name: host, Place: "perth-a", Region: "west", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
			ObjectAPI: b.objects.URL, HostList: b.hosts.URL, Config: keys.Config{Secret: b.secret},
		},
		Origin: b.origin.URL, Upstreams: strings.Join(upstreams, ","), ChunkMemory: 64 << 20, Orders: testTiming(),
	}
	require.NoError(b.t, c.Check())
	a, err := New(c, zerolog.Nop())
	require.NoError(b.t, err)
	for _, f := range change {
		f(a)
	}
	b.addToHostList(a.Address())
	ctx, cancel := context.WithCancel(context.Background())
	r := &testAgent{Agent: a, b: b, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		a.Run(ctx, 10*time.Millisecond)
	}()
	b.t.Cleanup(r.stop)
	return r
}

func (b *testEnv) addToHostList(address string) {
	b.call(http.MethodPut, b.hosts.URL+"/admin/hosts",
		fmt.Sprintf(`{"address":%q,"role":"agent","place":"perth-a","region":"west","state":"live"}`, address))
}

// stop shuts the agent down gracefully.
func (r *testAgent) stop() {
	r.cancel()
	<-r.done
}

// pause blocks the agent's core, as if the process were paused. The returned function unblocks it.
func (r *testAgent) pause() (resume func()) {
	blocked := make(chan struct{})
	release := make(chan struct{})
	go r.Loop.View(func(*core.State) {
		close(blocked)
		<-release
	})
	<-blocked
	var once atomic.Bool
	resume = func() {
		if once.CompareAndSwap(false, true) {
			close(release)
		}
	}
	r.b.t.Cleanup(resume)
	return resume
}

// upstream returns the agent's state of an engine.
func (r *testAgent) upstream(name string) rollout.Upstream {
	var u rollout.Upstream
	r.Loop.View(func(s *core.State) { u = *s.Rollout.Upstreams[name] })
	return u
}

// incarnationNumber returns the number of the agent's incarnation, or 0 if it has none.
func (r *testAgent) incarnationNumber() uint64 {
	var n uint64
	r.Loop.View(func(s *core.State) {
		if s.Rollout.Incarnation != nil {
			n = s.Rollout.Incarnation.Number
		}
	})
	return n
}

// awaitServing waits until the agent serves a version from an engine, and returns its state of the engine.
func (r *testAgent) awaitServing(name, digest string) rollout.Upstream {
	r.b.t.Helper()
	r.b.await(func() bool {
		u := r.upstream(name)
		return u.Phase == member.Serving && u.Digest == digest
	}, "%s serves %.8s", name, digest)
	return r.upstream(name)
}

// await waits until condition holds; the test fails after waitTimeout with the description of the condition.
func (b *testEnv) await(condition func() bool, format string, args ...any) {
	b.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(b.t, "timed out waiting until "+fmt.Sprintf(format, args...))
		}
		time.Sleep(waitInterval)
	}
}

// state reads the state of an engine from the engine itself.
func (b *testEnv) state(name string) engine.State {
	var s engine.State
	require.NoError(b.t, json.Unmarshal(b.call(http.MethodGet, b.engines.URL+"/"+name+"/state", ""), &s))
	return s
}

// loads returns the load orders in the log of the engine stand-in.
func (b *testEnv) loads() []engine.LoadEntry {
	var list []engine.LoadEntry
	b.eachLogLine(func(kind string, line []byte) {
		if kind != "load" {
			return
		}
		var e engine.LoadEntry
		require.NoError(b.t, json.Unmarshal(line, &e))
		list = append(list, e)
	})
	return list
}

// eachLogLine calls f with each line of the log of the engine stand-in.
func (b *testEnv) eachLogLine(f func(kind string, line []byte)) {
	lines := bufio.NewScanner(bytes.NewReader(b.call(http.MethodGet, b.engines.URL+"/admin/log", "")))
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var k struct {
			Kind string `json:"kind"`
		}
		require.NoError(b.t, json.Unmarshal(lines.Bytes(), &k))
		f(k.Kind, lines.Bytes())
	}
}

// checkEngineLog checks the log of the engine stand-in. Each load that took effect had the complete content of its
// version and a generation of its own. On engines that check fencing numbers, the accepted numbers never decrease. No
// completed run saw a change of weights.
func (b *testEnv) checkEngineLog(versions ...string) {
	content := map[string]string{}
	for _, v := range versions {
		m, err := manifest.Parse(b.manifest(v))
		require.NoError(b.t, err)
		content[b.digest(v)] = m.SHA256
	}
	highest := map[string]int64{}
	generations := map[string]bool{}
	loads := b.loads()
	slices.SortStableFunc(loads, func(x, y engine.LoadEntry) int { return cmp.Compare(x.StartMS, y.StartMS) })
	for _, e := range loads {
		if e.Outcome == "refused" {
			continue
		}
		if b.setting.Fencing == setting.FencingChecked {
			require.GreaterOrEqual(b.t, e.FencingNumber, highest[e.Engine], "fencing numbers of %s", e.Engine)
			highest[e.Engine] = e.FencingNumber
		}
		if e.Outcome != "done" {
			continue
		}
		require.Equal(b.t, content[e.Digest], e.ContentSHA256, "content of %.8s", e.Digest)
		key := fmt.Sprint(e.Engine, e.Generation)
		require.False(b.t, generations[key], "generation %d of %s was used twice", e.Generation, e.Engine)
		generations[key] = true
	}
	b.eachLogLine(func(kind string, line []byte) {
		if kind != "run" {
			return
		}
		var e engine.RunEntry
		require.NoError(b.t, json.Unmarshal(line, &e))
		if e.Outcome == "done" {
			require.Equal(b.t, e.DigestStart, e.DigestEnd, "run %s", e.RequestID)
		}
	})
}

// completedLoads returns the number of loads of an engine that took effect.
func (b *testEnv) completedLoads(name string) int {
	n := 0
	for _, e := range b.loads() {
		if e.Engine == name && e.Outcome == "done" {
			n++
		}
	}
	return n
}
