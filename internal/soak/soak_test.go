// Package soak_test runs the real programs as separate processes against a stand-in of the users' platform, injects faults
// from outside them by a seed, and checks while it runs what callers and upstreams see.
//
//	SOAK_SEEDS=1,2,3 SOAK_SECONDS=30 go test -run TestSoak ./internal/soak
//
// With SOAK_LOGS the processes' logs are kept in that folder, for samphireweir explain.
package soak_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/cli"
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
var ciSeeds = []uint64{1, 45}

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) == "" {
		os.Exit(m.Run())
	}
	commander := subcommands.NewCommander(flag.CommandLine, "samphireweir")
	cli.Register(commander)
	flag.Parse()
	os.Exit(int(commander.Execute(context.Background())))
}

// process is one process of the product. As on the platform it is started again when it has ended.
type process struct {
	t        *testing.T
	role     string
	settings string

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the process has ended; ending is set while that is meant.
	done   chan struct{}
	ending bool
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.launch()
}

// launch starts the process. It is called with the lock held.
func (p *process) launch() {
	p.cmd = exec.Command(os.Args[0], p.role, "-boot", p.settings)
	p.cmd.Env = append(os.Environ(), asProcess+"=1")
	if dir := os.Getenv(logsVariable); dir != "" {
		log, err := os.OpenFile(filepath.Join(dir, filepath.Base(p.settings)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		require.NoError(p.t, err)
		defer func() { _ = log.Close() }() // The process has its own.
		p.cmd.Stdout = log
	}
	require.NoError(p.t, p.cmd.Start())
	p.done = make(chan struct{})
	go p.wait(p.cmd, p.done)
}

// wait starts the process again when a signal to reload ended it, which happens in the first moments of a process, before the program
// runs. An end of any other kind is a fault.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(done)
	status, known := cmd.ProcessState.Sys().(syscall.WaitStatus)
	switch {
	case p.ending:
	case known && status.Signaled() && status.Signal() == syscall.SIGHUP:
		p.launch()
	default:
		p.t.Errorf("%s ended by itself: %v", p.role, err)
	}
}

func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(s) // One that has just ended needs no signal.
}

// end ends the process with a signal and starts it again.
func (p *process) end(s os.Signal) {
	<-p.endBy(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = false
	p.launch()
}

func (p *process) endBy(s os.Signal) (done chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	_ = p.cmd.Process.Signal(s) // One that has just ended needs no signal.
	return p.done
}

func (p *process) stop() {
	p.signal(syscall.SIGCONT)
	<-p.endBy(syscall.SIGKILL)
}

// soak is one run.
type soak struct {
	t         *testing.T
	random    *rand.Rand
	fleet     *standin.Fleet
	entries   []*process
	agents    []*process
	hosts     []hostconfig.Host
	upstreams []*standin.Upstream
	version   int64
	// proxies stand before the store, one for each process, before each upstream, and before each entry.
	proxies []*proxy
	// fronts are the addresses at which callers reach the entries.
	fronts []string

	mu sync.Mutex
	// once are the ids of requests that may run once, refused those that were said not to have run.
	once, refused []string
	answered      int
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, random: rand.New(rand.NewPCG(seed, seed)), fleet: standin.NewFleet(t), version: 1}
	dir := t.TempDir()
	s.fleet.Through = s.through
	s.fleet.Name(1)
	for i := range 2 {
		s.upstreams = append(s.upstreams, s.fleet.AddService(fmt.Sprintf("i-desk-%d", i)))
		ip := standin.NextIP()
		s.upstreams = append(s.upstreams, s.fleet.AddEngine(fmt.Sprintf("i-engine-%d", i), ip, 0))
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
func (s *soak) call(c *standin.Caller, path string) standin.Reply {
	ctx, cancel := context.WithCancel(context.Background())
	if slices.Contains(s.fronts, c.Address) {
		ctx, cancel = context.WithTimeout(ctx, callerPatience)
	}
	defer cancel()
	r := c.Do(ctx, standin.Request{Path: path})
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

var paths = []string{"/once/1", "/again/1", "/stream/1"}

func (s *soak) callers(stop <-chan struct{}, done *sync.WaitGroup) {
	// Those who come straight to an entry wait without a limit: an entry that never answers stops the soak.
	addresses := slices.Clone(s.fronts)
	for _, host := range s.hosts {
		addresses = append(addresses, host.Callers)
	}
	for i, address := range addresses {
		for k, path := range paths {
			c := &standin.Caller{Address: address, Name: fmt.Sprintf("%s-%d-%d", s.t.Name(), i, k)}
			done.Add(1)
			go func() {
				defer done.Done()
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						s.call(c, path)
					}
				}
			}()
		}
	}
}

func pick[T any](s *soak, list []T) T { return list[s.random.IntN(len(list))] }

// strike injects one fault and waits a little.
func (s *soak) strike() {
	switch s.random.IntN(16) {
	case 0:
		pick(s, s.entries).end(syscall.SIGKILL)
	case 1:
		pick(s, s.entries).end(syscall.SIGTERM)
	case 2:
		pick(s, s.agents).end(syscall.SIGKILL)
	case 3:
		s.freeze(pick(s, append(s.agents, s.entries...)))
	case 4:
		s.fleet.Store.SetDown(true)
		s.pause()
		s.fleet.Store.SetDown(false)
	case 5:
		s.fleet.Store.SetSilent(true)
		s.pause()
		s.fleet.Store.SetSilent(false)
	case 6:
		s.fleet.Store.Compact()
	case 7:
		if e := pick(s, s.upstreams); e.Weights != nil {
			e.Weights.Crash(s.random.IntN(2) == 0)
		}
	case 8:
		s.version++
		s.fleet.Name(s.version)
	case 9:
		s.fleet.Configure()
		pick(s, s.entries).signal(syscall.SIGHUP)
	case 10, 11, 12, 13, 14:
		s.harm(pick(s, s.proxies))
	default:
		faults := []standin.Fault{
			standin.Decline, standin.Misdirect, standin.Fail, standin.Lose, standin.Foreign, standin.BreakEvent, standin.Hang,
			standin.Unmarked, standin.Short,
		}
		var next []standin.Fault
		for range 20 {
			next = append(next, pick(s, faults), standin.Healthy)
		}
		s.fleet.Faults.Next(next...)
	}
	s.pause()
}

func (s *soak) pause() { time.Sleep(time.Duration(50+s.random.IntN(300)) * time.Millisecond) }

func (s *soak) freeze(p *process) {
	p.signal(syscall.SIGSTOP)
	s.pause()
	p.signal(syscall.SIGCONT)
}

// settle checks what can be told only at the end: every request that may run once ran once at most, and none ran that was said not to
// have run; and all paths are served again.
func (s *soak) settle() {
	s.fleet.Faults.Next()
	for i, host := range s.hosts {
		c := &standin.Caller{Address: host.Callers, Name: fmt.Sprintf("%s-end-%d", s.t.Name(), i)}
		for _, path := range paths {
			require.Eventually(s.t, func() bool { return s.call(c, path).Status == 200 }, patience, 50*time.Millisecond, "%s is served again", path)
		}
	}
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

func TestSoak(t *testing.T) {
	seeds, seconds := ciSeeds, ciSeconds
	if list := os.Getenv(seedsVariable); list != "" {
		seeds = nil
		for _, text := range strings.Split(list, ",") {
			seed, err := strconv.ParseUint(text, 10, 64)
			require.NoError(t, err)
			seeds = append(seeds, seed)
		}
	}
	if text := os.Getenv(secondsVariable); text != "" {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		seconds = n
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, seed)
			stop := make(chan struct{})
			var done sync.WaitGroup
			s.callers(stop, &done)
			for until := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(until); {
				s.strike()
			}
			close(stop)
			done.Wait()
			s.settle()
		})
	}
}
