package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/agent"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/internal/standin/engine"
	"samphireweir.example/samphireweir/internal/standin/hostlist"
	"samphireweir.example/samphireweir/internal/standin/objectapi"
	"samphireweir.example/samphireweir/internal/standin/plain"
	"samphireweir.example/samphireweir/internal/standin/weights"
)

const (
	// engineStep is the time that an engine takes for a token, and the interval at which a frozen proxy checks its state.
	engineStep = 5 * time.Millisecond
	// testStalledAfter is the StalledAfter of the agents unless a test sets another. It is short to keep the tests fast.
	// Of the faults that the tests apply, only a silent connection takes this long to be detected.
	testStalledAfter = 6 * time.Second
	// eventuallyTimeout bounds the wait for a condition.
	eventuallyTimeout = 30 * time.Second
	// testDeadline is the deadline of requests without a Deadline-Ms header.
	testDeadline = 16 * time.Second
)

// testFleet is a set of entries and agents in one process, with simulated upstreams and platform servers and a fault
// proxy on each hop.
type testFleet struct {
	t testing.TB
	// plainUpstream, if set, is the address of the only plain service. The connections then bypass the proxies.
	plainUpstream string
	// stalledAfter is the agents' StalledAfter. The default is testStalledAfter.
	stalledAfter time.Duration
	ctx          context.Context
	cancel       context.CancelFunc
	running      sync.WaitGroup
	// secret is unique to this fleet. Without it, an address that the kernel reassigns to a process of another fleet
	// could join the two fleets.
	secret        string
	objectAPI     string
	hostList      string
	origin        string
	weightsDigest string
	engineServer  string
	plainServer   string
	entries       []*Entry
	// entryLog is what the entries have logged.
	entryLog lockedBuffer
	agents   []*agent.Agent
	// agentProxies are the proxies from the first entry to the agents; engineProxies and plainProxies are those from
	// the agents to their upstreams.
	agentProxies  []*faultProxy
	engineProxies []*faultProxy
	plainProxies  []*faultProxy
}

// lockedBuffer is a buffer that several goroutines may use at once.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// addressCount is the number of loopback addresses that uniqueAddress returned.
var addressCount atomic.Uint32

// uniqueAddress returns a loopback address that nothing else listens on, with port 0. With a single address, the
// ports would run out when many tests on the machine have just closed connections from it.
func uniqueAddress() string {
	n := addressCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:0", 100+n>>16&31, n>>8&255, n&255)
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", uniqueAddress())
	require.NoError(t, err)
	return l
}

func serve(t testing.TB, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	_ = s.Listener.Close()
	s.Listener = listen(t)
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		go s.Close()
	})
	return s.URL
}

// newTestFleet starts a fleet.
func newTestFleet(t testing.TB, entries, agents int) *testFleet {
	t.Helper()
	return startTestFleet(&testFleet{t: t}, entries, agents)
}

// newTestFleetForUpstream starts an entry and an agent in front of one plain service, for measurements.
func newTestFleetForUpstream(t testing.TB, upstream string) *testFleet {
	t.Helper()
	return startTestFleet(&testFleet{t: t, plainUpstream: upstream}, 1, 1)
}

func startTestFleet(fleet *testFleet, entries, agents int) *testFleet {
	t := fleet.t
	callLatency.reportOnFailure(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	fleet.ctx = ctx
	fleet.cancel = cancel
	if fleet.stalledAfter == 0 {
		fleet.stalledAfter = testStalledAfter
	}
	fleet.secret = rand.Text()
	fleet.objectAPI = serve(t, objectapi.NewServer(objectapi.Config{}))
	fleet.hostList = serve(t, hostlist.NewServer(0))
	origin, err := weights.NewServer(weights.Config{Content: weights.ContentConfig{Size: 4096, ChunkSize: 1024, Seed: 1, SharedFraction: 0.5}})
	require.NoError(t, err)
	fleet.origin = serve(t, origin)
	var names, services []string
	for i := range agents {
		names = append(names, fmt.Sprintf("e%d", i))
		services = append(services, fmt.Sprintf("p%d", i))
	}
	config := engine.Config{Step: engineStep, Batch: 32, CacheEntries: 16, PrefillUSPerChar: 0}
	fleet.engineServer = serve(t, engine.NewServer(ctx, names, config))
	fleet.plainServer = serve(t, plain.NewServer(services, 2*time.Millisecond))
	fleet.putSettings(agents)
	for i := range agents {
		fleet.engineProxies = append(fleet.engineProxies, newFaultProxy(t, trimScheme(fleet.engineServer)))
		fleet.plainProxies = append(fleet.plainProxies, newFaultProxy(t, trimScheme(fleet.plainServer)))
		fleet.startAgent(i)
	}
	for i := range entries {
		fleet.startEntry(i)
	}
	fleet.runProcesses()
	return fleet
}

func trimScheme(url string) string { return strings.TrimPrefix(url, "http://") }

func (f *testFleet) putSettings(agents int) {
	manifest := f.get(f.origin + "/v1/weights/risk/none/v1/manifest")
	sum := sha256.Sum256(manifest)
	f.weightsDigest = hex.EncodeToString(sum[:])
	f.put("/v1/objects/settings/karrakin/summary", fmt.Sprintf(
		`{"kind":"engine","model":"risk","version":"v1","digest":%q,"places":{"perth-a":%d},"max_unavailable":%d}`, f.weightsDigest, agents, agents))
	f.put("/v1/objects/settings/karrakin/portal", `{"kind":"plain","non_idempotent":["POST","GET /book"]}`)
}

func (f *testFleet) put(path, value string) {
	req, err := http.NewRequest(http.MethodPut, f.objectAPI+path, strings.NewReader(value))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Equal(f.t, http.StatusOK, resp.StatusCode)
}

func (f *testFleet) get(url string) []byte {
	resp, err := http.Get(url)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(f.t, err)
	return data
}

func (f *testFleet) nodeConfig(name string, role member.Role) node.Config {
	return node.Config{
		Name: name, Place: "perth-a", Region: "west", PeersListen: uniqueAddress(), OperatorsListen: uniqueAddress(),
		ObjectAPI: f.objectAPI, HostList: f.hostList, Config: keys.Config{Secret: f.secret}, Role: role,
	}
}

func (f *testFleet) newAgent(i int) *agent.Agent {
	a, err := agent.New(agent.Config{
		Config: f.nodeConfig(fmt.Sprintf("host-%d", i), member.Agent), Origin: f.origin, ChunkMemory: 1 << 20, StalledAfter: f.stalledAfter, MarkTimeout: eventuallyTimeout,
		Upstreams: fmt.Sprintf("karrakin/summary=engine@http://%s/e%d,karrakin/portal=plain@http://%s/p%d",
			f.engineProxies[i].address(), i, f.plainAddress(i), i),
	}, zerolog.Nop())
	require.NoError(f.t, err)
	return a
}

func (f *testFleet) plainAddress(i int) string {
	if f.plainUpstream != "" {
		return f.plainUpstream
	}
	return f.plainProxies[i].address()
}

func (f *testFleet) startAgent(i int) {
	a := f.newAgent(i)
	f.agents = append(f.agents, a)
	f.agentProxies = append(f.agentProxies, newFaultProxy(f.t, a.Address()))
	f.addToHostList(a.Address(), "agent")
}

func (f *testFleet) startEntry(i int) {
	e, err := New(Config{
		Config: f.nodeConfig(fmt.Sprintf("entry-%d", i), member.Entry), CallersListen: uniqueAddress(),
		DefaultDeadline: testDeadline, MaxBodyBytes: 1 << 20, Routing: string(routing.Affinity),
		Claims: claim.Config{Retention: claim.DefaultRetention, UntimedRetention: claim.DefaultUntimedRetention},
	}, zerolog.New(&f.entryLog).With().Timestamp().Logger())
	require.NoError(f.t, err)
	for _, c := range []*http.Client{e.agentClient, e.unpooledAgentClient} {
		c.Transport.(*http.Transport).DialContext = f.dialAgent
	}
	f.entries = append(f.entries, e)
	f.addToHostList(e.Address(), "entry")
}

// dialAgent dials an agent through its proxy.
func (f *testFleet) dialAgent(ctx context.Context, network, address string) (net.Conn, error) {
	for i, a := range f.agents {
		if f.plainUpstream == "" && a.Address() == address {
			address = f.agentProxies[i].address()
		}
	}
	return silence.Dialer(&net.Dialer{}, control.DialTimeout)(ctx, network, address)
}

func (f *testFleet) addToHostList(address, role string) {
	body, err := json.Marshal(hostlist.Host{Address: address, Role: role, Place: "perth-a", Region: "west", State: "live"})
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, f.hostList+"/admin/hosts", bytes.NewReader(body))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	_ = resp.Body.Close()
}

func (f *testFleet) runProcesses() {
	// Registered last and therefore run first: the processes of a finished fleet must not call ports that the kernel
	// reassigns to another fleet.
	f.t.Cleanup(func() {
		f.cancel()
		f.running.Wait()
	})
	for _, a := range f.agents {
		f.running.Go(func() { a.Run(f.ctx, 0) })
	}
	for _, e := range f.entries {
		f.running.Go(func() { e.Run(f.ctx, 0) })
	}
	f.eventually("every upstream is a candidate at every entry", func() bool {
		for _, e := range f.entries {
			if f.candidateCount(e, "summary") < len(f.agents) || f.candidateCount(e, "portal") < len(f.agents) {
				return false
			}
		}
		return true
	})
}

func (f *testFleet) candidateCount(e *Entry, service string) int {
	n := 0
	e.Loop.View(func(s *core.State) {
		if s.Ready {
			n = len(s.Members.Candidates(time.Now(), "karrakin", service))
		}
	})
	return n
}

func (f *testFleet) eventually(what string, done func() bool) {
	f.t.Helper()
	require.Eventually(f.t, done, eventuallyTimeout, 10*time.Millisecond, what)
}

// afterDelay calls action after d, unless the test has ended by then.
func (f *testFleet) afterDelay(d time.Duration, action func()) {
	timer := time.AfterFunc(d, action)
	f.t.Cleanup(func() { timer.Stop() })
}

// setFaults configures faults of the simulated servers at base.
func (f *testFleet) setFaults(base, faults string) {
	resp, err := http.Post(base+"/admin/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		return // The test has ended.
	}
	_ = resp.Body.Close()
}

// engineRuns returns the runs in the engines' log by request id.
func (f *testFleet) engineRuns() map[string][]engine.RunEntry {
	runs := map[string][]engine.RunEntry{}
	for line := range bytes.Lines(f.get(f.engineServer + "/admin/log")) {
		var e engine.RunEntry
		require.NoError(f.t, json.Unmarshal(line, &e))
		if e.Kind == "run" {
			runs[e.RequestID] = append(runs[e.RequestID], e)
		}
	}
	return runs
}

// plainRuns returns the runs in the plain services' log by request id.
func (f *testFleet) plainRuns() map[string][]plain.RunEntry {
	runs := map[string][]plain.RunEntry{}
	for line := range bytes.Lines(f.get(f.plainServer + "/admin/log")) {
		var e plain.RunEntry
		require.NoError(f.t, json.Unmarshal(line, &e))
		runs[e.RequestID] = append(runs[e.RequestID], e)
	}
	return runs
}
