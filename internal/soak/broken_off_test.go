package soak_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// brokenOffSeconds is the duration of the run in CI, in seconds.
	brokenOffSeconds = 6
	// brokenOffCallers is the number of callers of each entry.
	brokenOffCallers = 4
	// maxReadAfter is the longest time after which an upstream that has answered reads the request's body.
	maxReadAfter = 300 * time.Millisecond
	// minEarlyEvery and maxEarlyEvery are the least and the greatest number of answers of which one is broken off.
	minEarlyEvery, maxEarlyEvery = 2, 6
	// failureInterval is the number of changes of early answers of which one makes them failures of the upstream's own.
	failureInterval = 4
)

// brokenOffSeeds run in CI: a first seed, and each seed that ever failed, with the cause of the failure.
var brokenOffSeeds = []uint64{1}

// earlyEnds are the ends of early answers.
var earlyEnds = []standin.EarlyEnd{standin.EarlyReset, standin.EarlyReset, standin.EarlyResetAfterEnd, standin.EarlyWhole}

// bodyLengths are the lengths of requests' bodies: one that arrives with its head, one that fills a part of an upstream's window, and one that it
// does not hold.
var bodyLengths = []int{100, 50_000, 1_000_000}

// breakOffUntil changes how upstreams end their early answers, until a time.
func (s *injector) breakOffUntil(end time.Time) {
	for n := 1; time.Now().Before(end); n++ {
		status := http.StatusOK
		if n%failureInterval == 0 {
			status = http.StatusInternalServerError
		}
		s.fleet.Early.Set(pick(s, earlyEnds), minEarlyEvery+s.random.IntN(maxEarlyEvery-minEarlyEvery+1), status, time.Duration(s.random.Int64N(int64(maxReadAfter))))
		s.pause()
	}
	s.fleet.Early.Stop()
}

// signalUntil signals entries until a time, in series: some are reloaded, stopped for a while, terminated or killed, at times while another
// one is.
func (s *injector) signalUntil(end time.Time) {
	var ended sync.WaitGroup
	for time.Now().Before(end) {
		p := pick(s, s.entries)
		switch s.random.IntN(4) {
		case 0:
			p.signal(syscall.SIGHUP)
		case 1:
			d := s.shortDuration()
			ended.Go(func() { p.freeze(func() { time.Sleep(d) }) })
		case 2:
			ended.Go(func() { p.terminateAndRestart(syscall.SIGTERM) })
		default:
			ended.Go(func() { p.terminateAndRestart(syscall.SIGKILL) })
		}
		s.pauseUntil(end)
	}
	ended.Wait()
}

// sendLongBodies sends requests with bodies of all lengths to all routes, one after the other, until stop is closed.
func (s *soak) sendLongBodies(c *standin.Caller, stop <-chan struct{}) {
	paths := []string{"/once/1", "/again/1", "/stream/1"}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		body := fmt.Sprintf("%s-%d", c.Name, n) + strings.Repeat("x", bodyLengths[n%len(bodyLengths)])
		r := s.call(c, standin.Request{Path: paths[n/len(bodyLengths)%len(paths)], Body: body})
		if r.Err == nil && r.Status == http.StatusInternalServerError && r.Seal != "" && !isWholeFailure(r) {
			s.t.Errorf("%s: a part of a failure looks whole: %q", r.ID, r.Body)
		}
	}
}

// isWholeFailure reports whether a reply is the whole of an upstream's failure.
func isWholeFailure(r standin.Reply) bool {
	return r.Body == "failed" || strings.HasPrefix(r.Body, "answer to "+r.ID+" by ") || r.Body == completeStream
}

// TestSoakAnswersBrokenOff guards against parts of answers that look whole: upstreams answer without a length before they have read a long body,
// and reset some connections, in the middle of the answer or after its end, while entries are signalled and restarted.
func TestSoakAnswersBrokenOff(t *testing.T) {
	hosts, seconds := intFromEnv(t, hostsVariable, defaultHosts), intFromEnv(t, secondsVariable, brokenOffSeconds)
	for _, seed := range seedsToRun(t, brokenOffSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := startSoak(t, hosts, &soak{t: t, fleet: standin.NewFleet(t), version: 1, directEngines: true, directServices: true})
			s.awaitServed()
			stop := make(chan struct{})
			var callers, injectors sync.WaitGroup
			for i, host := range s.hosts {
				for n := range brokenOffCallers {
					c := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-%d-%d", t.Name(), i, n), KeepAlive: n%2 == 0}
					callers.Go(func() { s.sendLongBodies(c, stop) })
				}
			}
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			injectors.Go(func() { s.newInjector(seed, seed, 0, 0).breakOffUntil(end) })
			injectors.Go(func() { s.newInjector(seed, seed+1, 0, 0).signalUntil(end) })
			injectors.Wait()
			close(stop)
			callers.Wait()
			t.Logf("%d requests of which an answer was broken off", s.fleet.Early.BrokenCount())
			require.NotZero(t, s.fleet.Early.BrokenCount())
			s.verify()
		})
	}
}
