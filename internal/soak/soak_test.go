// Package soak_test runs the real programs as separate processes against a stand-in of the users' platform, injects faults
// from outside them by a seed, and checks while it runs what callers and upstreams see.
//
//	SOAK_SEEDS=1,2,3 SOAK_SECONDS=30 SOAK_HOSTS=2 go test -run TestSoak ./internal/soak
//
// With SOAK_LOGS the processes' logs are kept in that folder, for samphireweir explain.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/cli"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// asProcess makes the test's binary run as the product.
	asProcess = "SOAK_PROCESS"
	// seedsVariable and secondsVariable say what a longer soak plays.
	seedsVariable   = "SOAK_SEEDS"
	secondsVariable = "SOAK_SECONDS"
	// logsVariable is the folder in which the processes' logs are kept; empty for none.
	logsVariable = "SOAK_LOGS"
	// hostsVariable says how many entries, agents, engines and plain services there are of each.
	hostsVariable = "SOAK_HOSTS"
	usualHosts    = 2
	// ciSeconds is how long the short run lasts.
	ciSeconds = 6
	// callerPatience is how long a caller behind a proxy waits, a little longer than it says to the entry: its connection may have gone silent.
	callerPatience = 5 * time.Second
	// patience bounds the return to service after the last fault.
	patience = 60 * time.Second
)

// ciSeeds are played each time: a first one, and each that ever failed, with a line on the cause.
//
// 45: the first fault is a signal to reload, which ended an entry that had not asked for it yet.
// 992001: the stand-in's engines did not say when they started, so that all crashes of one counted as one: 60 went down under one request,
// in 7 lives of entries.
//
// 992026: engines that were back at once went down again before they were found to have been down, and counted as one: 14 in 4 lives of
// entries.
var ciSeeds = []uint64{1, 45, 992001, 992026}

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) == "" {
		os.Exit(m.Run())
	}
	commander := subcommands.NewCommander(flag.CommandLine, "samphireweir")
	cli.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// soak is one run.
type soak struct {
	t         *testing.T
	fleet     *standin.Fleet
	entries   []*process
	agents    []*process
	hosts     []hostconfig.Host
	upstreams []*standin.Upstream
	// operator is held by who writes to the store; version is the newest one, and allowed is set while the second key is in force.
	operator sync.Mutex
	version  int64
	allowed  bool
	// proxies stand before the store, one for each process, before each upstream, and before each entry.
	proxies []*proxy
	// before are those before the upstreams, in their order.
	before []*proxy
	notices
	// tenants are client accounts beside the usual one.
	tenants []map[string]any
	// places are the data centres of the hosts, in turn; none for one data centre.
	places []string
	// fronts are the addresses at which callers reach the entries.
	fronts []string

	mu sync.Mutex
	// storeAway are the times in which the store was out of reach for all.
	storeAway []span
	// once are the ids of requests that may run once, refused those that were said not to have run.
	once, refused []string
	answered      int
}

func newSoak(t *testing.T, hosts int) *soak {
	return startSoak(t, hosts, &soak{t: t, fleet: standin.NewFleet(t), version: 1})
}

// startSoak starts hosts of each kind in the data centres of s, one after the other.
func startSoak(t *testing.T, hosts int, s *soak) *soak {
	dir := t.TempDir()
	s.fleet.Through = s.through
	s.fleet.Name(1)
	s.allow(secondKey, true)
	for i := range hosts {
		if len(s.places) > 0 {
			s.fleet.Place = s.places[i%len(s.places)]
		}
		s.upstreams = append(s.upstreams, s.fleet.AddService(fmt.Sprintf("i-desk-%d", i)))
		s.before = append(s.before, s.last())
		ip := standin.NextIP()
		s.upstreams = append(s.upstreams, s.fleet.AddEngine(fmt.Sprintf("i-engine-%d", i), ip, 0))
		s.before = append(s.before, s.last())
		agent := s.fleet.Host(ip, true)
		agent.Engine, agent.Store = s.last().address(), s.through(agent.Store)
		s.agents = append(s.agents, &process{t: t, role: "platform-agent", settings: s.fleet.SettingsFile(dir, agent)})
		entry := s.fleet.Host(standin.NextIP(), false)
		entry.Store = s.through(entry.Store)
		s.fronts = append(s.fronts, s.through(entry.Callers))
		s.hosts = append(s.hosts, entry)
		s.entries = append(s.entries, &process{t: t, role: "platform-entry", settings: s.fleet.SettingsFile(dir, entry)})
	}
	for _, p := range append(s.agents, s.entries...) {
		p.start()
		t.Cleanup(p.stop)
	}
	return s
}

// through starts a proxy before an address, on the same host, and returns the proxy's address.
func (s *soak) through(address string) string {
	host, _, err := net.SplitHostPort(address)
	require.NoError(s.t, err)
	s.proxies = append(s.proxies, newProxy(s.t, net.JoinHostPort(host, "0"), address))
	return s.last().address()
}

func (s *soak) last() *proxy { return s.proxies[len(s.proxies)-1] }

// call sends one request and checks what can be told at once.
func (s *soak) call(c *standin.Caller, q standin.Request) standin.Reply {
	path, entry := q.Path, s.entryAt(c.Address)
	q.Header = marked(entry, time.Now())
	if path == homePath {
		q.Header.Set(homeHeader, "1")
	}
	ctx, cancel := context.WithCancel(context.Background())
	if slices.Contains(s.fronts, c.Address) {
		ctx, cancel = context.WithTimeout(ctx, callerPatience)
	}
	defer cancel()
	r := c.Do(ctx, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == "/once/1" {
		s.once = append(s.once, r.ID)
		if r.Err == nil && (r.Status == 503 || r.Status == 429) {
			s.refused = append(s.refused, r.ID)
		}
	}
	if r.Err != nil || r.Status != 200 {
		return r
	}
	s.answered++
	s.noteTold(entry, r)
	if r.Seal == "" {
		s.t.Errorf("%s: a success without an upstream's mark", r.ID)
	}
	if path == "/stream/1" {
		if r.Body != whole {
			s.t.Errorf("%s: a stream that looks whole and is not: %q", r.ID, r.Body)
		}
	} else if !strings.HasPrefix(r.Body, "answer to "+r.ID+" by ") {
		s.t.Errorf("%s: not its answer: %q", r.ID, r.Body)
	}
	return r
}

// whole is a whole stream of the stand-in.
var whole = func() string {
	var b strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}()

// secondKey is an API key that is taken away and given back.
const secondKey = "key-2"

// kinds are what callers ask for: each kind of route, one with a key that comes and goes, and one that brings down the engines that run it.
var kinds = []standin.Request{
	{Path: "/once/1"}, {Path: "/again/1"}, {Path: "/stream/1"}, {Path: "/again/2", Key: secondKey}, {Path: "/stream/1", Body: standin.CrashBody},
}

// crashPause is the time between two copies of a request that brings engines down.
const crashPause = 300 * time.Millisecond

func (s *soak) callers(stop <-chan struct{}, done *sync.WaitGroup) {
	// Those who come straight to an entry wait without a limit: an entry that never answers stops the soak.
	addresses := slices.Clone(s.fronts)
	for _, host := range s.hosts {
		addresses = append(addresses, host.Callers)
	}
	for i, address := range addresses {
		for k, q := range kinds {
			c := &standin.Caller{Address: address, Name: fmt.Sprintf("%s-%d-%d", s.t.Name(), i, k), Keep: i%2 == 0}
			pause := 5 * time.Millisecond
			if q.Body != "" {
				pause = crashPause
			}
			done.Add(1)
			go func() {
				defer done.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(pause):
						s.call(c, q)
					}
				}
			}()
		}
	}
}

// settle checks what can be told only at the end: every request that may run once ran once at most, and none ran that was said not to
// have run; and all paths are served again.
func (s *soak) settle() {
	s.fleet.Faults.Next()
	for i, host := range s.hosts {
		c := &standin.Caller{Address: host.Callers, Name: fmt.Sprintf("%s-end-%d", s.t.Name(), i)}
		for _, q := range kinds[:3] {
			require.Eventually(s.t, func() bool { return s.call(c, q).Status == 200 }, patience, 50*time.Millisecond, "%s is served again", q.Path)
		}
	}
	s.settleKey()
	s.settleCrashes()
	s.settleNotices()
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := func(id string) int {
		n := 0
		for _, u := range s.upstreams {
			n += u.Runs(id)
		}
		return n
	}
	for _, id := range s.once {
		require.LessOrEqual(s.t, runs(id), 1, "%s ran twice", id)
	}
	for _, id := range s.refused {
		require.Zero(s.t, runs(id), "%s ran though it was said not to have run", id)
	}
	for _, u := range s.upstreams {
		if u.Weights != nil {
			spoilt, _ := u.Weights.Spoilt()
			require.Zero(s.t, spoilt, "an engine loaded pieces that were missing or wrong")
		}
	}
	s.t.Logf("%d answered, %d that may run once, %d refused of these, version %d", s.answered, len(s.once), len(s.refused), s.version)
	require.Positive(s.t, s.answered)
}

// settleKey takes the second key away for good: each entry hears of it, and none serves it again.
func (s *soak) settleKey() {
	s.operator.Lock()
	s.allow(secondKey, false)
	s.operator.Unlock()
	for i, host := range s.hosts {
		c := &standin.Caller{Address: host.Callers, Name: fmt.Sprintf("%s-key-%d", s.t.Name(), i)}
		q := standin.Request{Path: "/again/2", Key: secondKey}
		require.Eventually(s.t, func() bool { return s.call(c, q).Status == http.StatusUnauthorized }, patience, 50*time.Millisecond)
		for range 20 {
			require.Equal(s.t, http.StatusUnauthorized, s.call(c, q).Status)
		}
	}
}

// settleCrashes bounds the engines that the one request brought down: three for each life of an entry, which starts without knowing of any.
func (s *soak) settleCrashes() {
	crashes, lives := 0, 0
	for _, u := range s.engines() {
		crashes += u.BroughtDown()
	}
	for _, p := range s.entries {
		lives += p.lives()
	}
	require.LessOrEqual(s.t, crashes, quarantine.CrashesToHold*lives)
	s.t.Logf("%d engines brought down, %d lives of entries", crashes, lives)
}

// numberFrom reads a number from the environment.
func numberFrom(t *testing.T, variable string, usual int) int {
	text := os.Getenv(variable)
	if text == "" {
		return usual
	}
	n, err := strconv.Atoi(text)
	require.NoError(t, err)
	return n
}

// seedsOf are the seeds that are played: those of a list, or those that the environment names.
func seedsOf(t *testing.T, seeds []uint64) []uint64 {
	if list := os.Getenv(seedsVariable); list != "" {
		seeds = nil
		for _, text := range strings.Split(list, ",") {
			seed, err := strconv.ParseUint(text, 10, 64)
			require.NoError(t, err)
			seeds = append(seeds, seed)
		}
	}
	return seeds
}

func TestSoak(t *testing.T) {
	seconds, hosts := numberFrom(t, secondsVariable, ciSeconds), numberFrom(t, hostsVariable, usualHosts)
	for _, seed := range seedsOf(t, ciSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, hosts)
			stop := make(chan struct{})
			var done sync.WaitGroup
			s.callers(stop, &done)
			var strikers sync.WaitGroup
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			strikers.Go(func() { s.striker(seed, seed, 0, 16).until(end) })
			strikers.Go(func() { s.striker(seed, seed+1, 0, 21).until(end) })
			strikers.Go(func() { s.striker(seed, seed+2, 0, 0).sayUntil(end, 0, 1) })
			strikers.Wait()
			close(stop)
			done.Wait()
			s.settle()
		})
	}
}
