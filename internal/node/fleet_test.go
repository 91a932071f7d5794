package node_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
	hostlist "samphireweir.example/samphireweir/internal/standin/hostlist"
	standin "samphireweir.example/samphireweir/internal/standin/objectapi"
)

const limit = 20 * time.Second

// site runs a few real processes against stand-ins for the platform.
type site struct {
	t       *testing.T
	objects *httptest.Server
	// objectAPI is the handler of objects.
	objectAPI *standin.Server
	hosts     *httptest.Server
	procs     []*node.Process
	stops     []context.CancelFunc
	// secret is unique to this fleet. The kernel may reuse a port for a process of another test's fleet, and with a common
	// secret the two fleets would merge.
	secret string
}

func newSite(t *testing.T, n int) *site {
	objectAPI := standin.NewServer(standin.Config{History: 1000})
	s := &site{
		t: t, secret: rand.Text(), objectAPI: objectAPI, objects: httptest.NewServer(objectAPI),
		hosts: httptest.NewServer(hostlist.NewServer(0)),
	}
	t.Cleanup(func() {
		for _, stop := range s.stops {
			stop()
		}
		s.objects.CloseClientConnections()
		s.objects.Close()
		s.hosts.Close()
	})
	for i := range n {
		s.add(i)
	}
	return s
}

func (s *site) add(i int) *node.Process {
	role, place := member.Agent, fmt.Sprintf("place-%d", i%2)
	var ups []rollout.Upstream
	if i < 2 {
		role = member.Entry
	} else {
		ups = []rollout.Upstream{{Upstream: member.Upstream{Name: "p1", Team: "karrakin", Service: "portal", Kind: setting.Plain}}}
	}
	p := s.newProcess(fmt.Sprintf("host-%d", i), place, role, ups, zerolog.Nop())
	s.list(p.Address(), role, place)
	s.run(p)
	s.procs = append(s.procs, p)
	return p
}

// newProcess returns a process that does not run yet.
func (s *site) newProcess(name, place string, role member.Role, ups []rollout.Upstream, log zerolog.Logger) *node.Process {
	p, err := node.NewProcess(node.Config{
		Name: name, Place: place, Region: "west", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		ObjectAPI: s.objects.URL, HostList: s.hosts.URL, Config: keys.Config{Secret: s.secret}, Role: role,
	}, log, ups)
	require.NoError(s.t, err)
	p.Loop.SetExecutor(func(e step.Effect) { p.Execute(e) })
	return p
}

// run runs a process until the site ends or its stop function is called.
func (s *site) run(p *node.Process) {
	ctx, stop := context.WithCancel(context.Background())
	p.Run(ctx, nil)
	s.stops = append(s.stops, func() {
		stop()
		closing, done := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer done()
		p.Close(closing)
	})
}

// list adds a process to the host list.
func (s *site) list(address string, role member.Role, place string) {
	body, err := json.Marshal(hostlist.Host{Address: address, Role: string(role), Place: place, Region: "west", State: "live"})
	require.NoError(s.t, err)
	req, err := http.NewRequest(http.MethodPut, s.hosts.URL+"/admin/hosts", bytes.NewReader(body))
	require.NoError(s.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	_ = resp.Body.Close()
}

func (s *site) stop(i int) { s.stops[i]() }

func (s *site) faults(patch string) {
	resp, err := http.Post(s.objects.URL+"/admin/faults", "application/json", bytes.NewBufferString(patch))
	require.NoError(s.t, err)
	_ = resp.Body.Close()
}

func (s *site) apply(replicas int) operator.Applied {
	e := &operator.Editor{Objects: objectapi.NewClient(s.objects.URL, http.DefaultClient), Author: "ann"}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	state, err := e.Read(ctx, "karrakin", "portal")
	require.NoError(s.t, err)
	target := &setting.Setting{Kind: setting.Plain, Places: map[string]int{"place-0": replicas}}
	applied, err := e.Apply(ctx, "karrakin", "portal", target, state.Version)
	require.NoError(s.t, err)
	return applied
}

func ready(p *node.Process) bool {
	ok := false
	p.Loop.View(func(s *core.State) { ok = s.Ready })
	return ok
}

func (s *site) fleet(i int) *operator.FleetClient {
	return &operator.FleetClient{Base: "http://" + s.procs[i].OperatorsAddress(), HTTP: http.DefaultClient}
}

func (s *site) awaitReady(procs ...*node.Process) {
	s.t.Helper()
	for _, p := range procs {
		require.Eventually(s.t, func() bool { return ready(p) }, limit, 20*time.Millisecond)
	}
}

func (s *site) awaitEverywhere(a operator.Applied) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_, err := s.fleet(0).Wait(ctx, a.Key, a.Revision, func(fleet.InForce) {})
	require.NoError(s.t, err)
}

// TestChangeIsInForceAndCountedOnRealProcesses guards against a wrong count of the processes that use a change of a
// setting. An unreachable process on the host list is counted as unresponsive.
func TestChangeIsInForceAndCountedOnRealProcesses(t *testing.T) {
	s := newSite(t, 8)
	s.awaitReady(s.procs...)
	require.Eventually(t, func() bool { return s.procs[0].CountInForce(context.Background(), "x", 0).Processes == 8 }, limit, 50*time.Millisecond)
	s.awaitEverywhere(s.apply(1))
	s.awaitEverywhere(s.apply(2))
	s.list("127.0.0.1:1", member.Agent, "place-0")
	a := s.apply(3)
	require.Eventually(t, func() bool {
		f := s.procs[1].CountInForce(context.Background(), a.Key, a.Revision)
		return f.Processes == 9 && f.Current == 8 && f.UnresponsiveCount == 1 && f.Unresponsive[0] == "127.0.0.1:1"
	}, limit, 50*time.Millisecond)
}

// TestStatusAndPreviewOfRealProcesses guards against a status or preview that misses a shortage of replicas in a data
// centre.
func TestStatusAndPreviewOfRealProcesses(t *testing.T) {
	s := newSite(t, 6)
	s.awaitReady(s.procs...)
	s.awaitEverywhere(s.apply(2))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	require.Eventually(t, func() bool {
		st, err := s.fleet(0).Status(ctx)
		return err == nil && st.Hosts.Live == 6 && len(st.Services) == 1 && len(st.Services[0].Places) == 2 &&
			st.Services[0].Places[0].Serving == 2 && len(st.Problems) == 0
	}, limit, 50*time.Millisecond)
	p, err := s.fleet(0).Preview(ctx, setting.Key("karrakin", "portal"), &setting.Setting{Kind: setting.Plain, Places: map[string]int{"place-0": 1, "place-1": 5}})
	require.NoError(t, err)
	require.Len(t, p.Drop, 1)
	require.Equal(t, []fleet.Shortage{{Place: "place-1", Requested: 5, Have: 2}}, p.Shortages)
	s.awaitEverywhere(s.apply(4))
	require.Eventually(t, func() bool {
		st, err := s.fleet(0).Status(ctx)
		return err == nil && len(st.Problems) == 1
	}, limit, 50*time.Millisecond, "too few replicas in a place is reported as a problem")
}

// TestProcessesReplacedDuringPlatformOutageBecomeReady guards against new processes that need the platform to become
// ready: they are started during an outage of the object API and must get the setting from their peers.
func TestProcessesReplacedDuringPlatformOutageBecomeReady(t *testing.T) {
	s := newSite(t, 6)
	s.awaitReady(s.procs...)
	last := s.apply(2)
	s.awaitEverywhere(last)
	s.faults(`{"outage":true}`)
	for _, i := range []int{0, 2, 4} {
		s.stop(i)
	}
	replacements := []*node.Process{s.add(0), s.add(2), s.add(4)}
	s.awaitReady(replacements...)
	for _, p := range replacements {
		require.Equal(t, last.Revision, p.Revision(last.Key))
	}
}

// TestProcessesRecoverFromHangingPlatform guards against calls that wait forever: the platform answers no call for 1 s,
// open watches included, and a later change must still come into force.
func TestProcessesRecoverFromHangingPlatform(t *testing.T) {
	s := newSite(t, 4)
	s.awaitReady(s.procs...)
	s.awaitEverywhere(s.apply(1))
	s.faults(`{"hang":true}`)
	time.Sleep(time.Second)
	s.faults(`{"hang":false}`)
	s.awaitEverywhere(s.apply(2))
}

// TestProcessThatIsBehindCatchesUp guards against a process that serves requests on an older revision than their entry
// has: CatchUp must report failure when no peer has the revision or the peer can't be reached.
func TestProcessThatIsBehindCatchesUp(t *testing.T) {
	s := newSite(t, 3)
	s.awaitReady(s.procs...)
	a := s.apply(1)
	s.awaitEverywhere(a)
	ctx := context.Background()
	require.True(t, s.procs[2].CatchUp(ctx, s.procs[0].Address(), a.Key, a.Revision))
	require.False(t, s.procs[2].CatchUp(ctx, s.procs[0].Address(), a.Key, a.Revision+1000), "no process has that revision")
	require.False(t, s.procs[2].CatchUp(ctx, "127.0.0.1:1", a.Key, a.Revision+1000))
}
