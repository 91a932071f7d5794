package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// endlessHosts is the number of hosts of each kind, endlessSeconds the duration of the run in CI, in seconds.
	endlessHosts   = 2
	endlessSeconds = 8
	// endlessCallers is the number of requests at a time to the service whose upstream answers without an end: the most connections that an
	// upstream of the platform takes.
	endlessCallers = 110
	// soundCallers is the number of requests at a time to the other service.
	soundCallers = 4
	// maxEndlessTime is the longest time for which an upstream answers without an end.
	maxEndlessTime = 2 * time.Second
	// soundShare is the least share of requests to the other service that are served.
	soundShare = 0.99
)

// endlessSeeds run in CI: a first seed, and each seed that ever failed, with the cause of the failure.
var endlessSeeds = []uint64{1}

// endlessForms are the forms of answers without an end, of plain upstreams and of engines.
var endlessForms = []standin.Fault{
	standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInformation, standin.EndlessBody, standin.EndlessChunks,
	standin.EndlessChunkExtension, standin.EndlessTrailer, standin.EndlessLine, standin.EndlessEvent, standin.EndlessComments,
}

// peakMemory returns the greatest resident memory that the process has had, in bytes.
func (p *process) peakMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err)
	_, text, found := strings.Cut(string(raw), "VmHWM:")
	require.True(p.t, found)
	kilobytes, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
	require.NoError(p.t, err)
	return kilobytes << 10
}

// endlessRound has the upstreams of one service, one or all of them, answer without an end for a while. Callers of it all get an answer, and
// those of the other service are served.
func (s *soak) endlessRound(i *injector) {
	paths := []string{"/again/1", "/stream/1"}
	plain := i.random.IntN(2) == 0
	if !plain {
		paths[0], paths[1] = paths[1], paths[0]
	}
	form, all := pick(i, endlessForms), i.random.IntN(2) == 0
	var changed []*standin.Upstream
	for _, u := range s.upstreams {
		if (u.Weights == nil) == plain && (all || len(changed) == 0) {
			changed = append(changed, u)
			u.SetEndless(form)
		}
	}
	end := time.Now().Add(time.Duration(i.random.Int64N(int64(maxEndlessTime))))
	var sent, answered, sound, served atomic.Int64
	var callers sync.WaitGroup
	ask := func(path string, count int, took func(standin.Reply)) {
		for n := range count {
			c := &standin.Caller{Address: s.hosts[n%len(s.hosts)].CallersListen, Name: fmt.Sprintf("%s-%d-%d", s.t.Name(), time.Now().UnixNano(), n), KeepAlive: n%2 == 0}
			callers.Go(func() {
				for first := true; first || time.Now().Before(end); first = false {
					took(s.call(c, standin.Request{Path: path}))
				}
			})
		}
	}
	ask(paths[0], endlessCallers, func(r standin.Reply) {
		sent.Add(1)
		if r.Err == nil {
			answered.Add(1)
		}
	})
	ask(paths[1], soundCallers, func(r standin.Reply) {
		sound.Add(1)
		if r.Status == http.StatusOK && r.Err == nil {
			served.Add(1)
			return
		}
		s.t.Logf("%s not served: %d %v %.200s", paths[1], r.Status, r.Err, r.Body)
	})
	callers.Wait()
	for _, u := range changed {
		u.SetEndless("")
	}
	s.t.Logf("%s from %d upstreams of %s: %d of %d requests answered; %d of %d sound ones served", form, len(changed), paths[0], answered.Load(), sent.Load(), served.Load(), sound.Load())
	if answered.Load() < sent.Load() {
		s.t.Errorf("%s: %d callers without an answer", form, sent.Load()-answered.Load())
	}
	if float64(served.Load()) < soundShare*float64(sound.Load()) {
		s.t.Errorf("%s: %d of %d sound requests served", form, served.Load(), sound.Load())
	}
}

// awaitServed waits until all entries serve requests to both services, three in a row.
func (s *soak) awaitServed() {
	for i, host := range s.hosts {
		c := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-wait-%d-%d", s.t.Name(), i, time.Now().UnixNano())}
		for _, path := range []string{"/again/1", "/stream/1"} {
			inARow := 0
			require.Eventually(s.t, func() bool {
				if inARow++; s.call(c, standin.Request{Path: path}).Status != http.StatusOK {
					inARow = 0
				}
				return inARow == 3
			}, recoveryTimeout, 50*time.Millisecond, "%s is served again", path)
		}
	}
}

// TestSoakAnswersWithoutEnd guards against entries that run out of memory, callers without an answer, and sound requests that are not served
// beside upstreams that send without an end.
func TestSoakAnswersWithoutEnd(t *testing.T) {
	hosts, seconds := intFromEnv(t, hostsVariable, endlessHosts), intFromEnv(t, secondsVariable, endlessSeconds)
	for _, seed := range seedsToRun(t, endlessSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := &soak{t: t, fleet: standin.NewFleet(t), version: 1, directEngines: true}
			s.fleet.Slots = endlessCallers
			s.fleet.WriteManifest()
			startSoak(t, hosts, s)
			injector := s.newInjector(seed, seed, 0, 0)
			for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
				s.awaitServed() // Upstreams that answered without an end are avoided for some seconds after it.
				s.endlessRound(injector)
			}
			for i, entry := range s.entries {
				peak := entry.peakMemory()
				t.Logf("entry %d: %d MB at its peak, of %d MB", i, peak>>20, s.hosts[i].MemoryBytes>>20)
				require.Less(t, peak, s.hosts[i].MemoryBytes)
				require.Equal(t, 1, entry.instances())
			}
			s.verify()
		})
	}
}
