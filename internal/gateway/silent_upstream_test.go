package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// eventSilence and headSilence are silences that a caller of a stream waits for: it leaves after 2 s without an event.
	eventSilence = 1500 * time.Millisecond
	headSilence  = 1700 * time.Millisecond
	// plainSilence is three times the latency objective of the stand-in's plain routes, within their timeout of 2 s.
	plainSilence = 1200 * time.Millisecond
	// silentForever outlasts every test, as the silence of a host without power does.
	silentForever = time.Hour
	// streamEvents is the number of events of a complete stream of the stand-in.
	streamEvents = 6
)

// streamSilences are the points of a stream at which an upstream falls silent.
var streamSilences = []struct {
	name    string
	fault   standin.Fault
	silence time.Duration
}{
	{"in_the_queue", standin.SilentInQueue, headSilence},
	{"before_the_head", standin.SilentBeforeHead, headSilence},
	{"between_events", standin.SilentBetweenEvents, eventSilence},
	{"inside_an_event", standin.SilentMidEvent, eventSilence},
}

// requireWhole requires a complete stream with each event once.
func requireWhole(t *testing.T, r standin.Reply) {
	t.Helper()
	require.NoError(t, r.Err, r.Body)
	require.Equal(t, http.StatusOK, r.Status, r.Body)
	require.Equal(t, streamBody(streamEvents), r.Body)
}

// sendWhileSilent sends a request to an upstream that has just fallen silent.
func sendWhileSilent(e *entry, path string, silence time.Duration, upstreams ...*standin.Upstream) standin.Reply {
	for _, u := range upstreams {
		u.FallSilent(silence)
	}
	return e.Post(path)
}

// TestOnlyEngineMayBeSilent guards against resumable streams that are cut or refused because their only engine is silent for less time than
// their caller waits, although nothing can replace it.
func TestOnlyEngineMayBeSilent(t *testing.T) {
	t.Parallel()
	for _, c := range streamSilences {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
			e := start(t, fleet)
			fleet.Faults.Silence = c.silence
			fleet.Faults.Next(c.fault)
			r := e.Post("/stream/1")
			requireWhole(t, r)
			require.Equal(t, 1, engine.Runs(r.ID))
		})
	}
	t.Run("before_the_request", func(t *testing.T) {
		t.Parallel()
		fleet := standin.NewFleet(t)
		engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
		e := start(t, fleet)
		requireWhole(t, sendWhileSilent(e, "/stream/1", headSilence, engine))
	})
}

// TestOnlyPlainUpstreamMayBeSilent guards against repeatable calls that fail because their only upstream is silent for longer than the entry
// waits before it tries another one.
func TestOnlyPlainUpstreamMayBeSilent(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.Healthy, standin.SilentInQueue, standin.SilentBeforeHead} {
		t.Run("fault_"+string(fault), func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			desk := fleet.AddService("i-1")
			e := start(t, fleet)
			fleet.Faults.Silence = plainSilence
			fleet.Faults.Next(fault)
			if fault == standin.Healthy {
				desk.FallSilent(plainSilence)
			}
			r := e.Post("/again/1")
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusOK, r.Status, r.Body)
		})
	}
}

// postAtEngineThatFallsSilent sends a stream to an entry with two engines, one of which falls silent with it. It returns the other engine once
// that has happened.
func postAtEngineThatFallsSilent(t *testing.T, fault standin.Fault, silence time.Duration) (other *standin.Upstream, replies <-chan standin.Reply) {
	t.Helper()
	fleet := standin.NewFleet(t)
	first, second := fleet.AddEngine("i-1", standin.NextIP(), 1), fleet.AddEngine("i-2", standin.NextIP(), 1)
	e := start(t, fleet)
	fleet.Faults.Silence = silence
	fleet.Faults.Next(fault)
	reply := make(chan standin.Reply, 1)
	go func() { reply <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return first.Silent() || second.Silent() }, testTimeout, time.Millisecond)
	if first.Silent() {
		return second, reply
	}
	return first, reply
}

// TestStreamOutlastsSilenceOfAllEngines guards against streams that are cut because their engine is silent while the other one is silent too.
func TestStreamOutlastsSilenceOfAllEngines(t *testing.T) {
	t.Parallel()
	for _, c := range streamSilences {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			other, replies := postAtEngineThatFallsSilent(t, c.fault, c.silence)
			other.FallSilent(c.silence)
			requireWhole(t, <-replies)
		})
	}
}

// TestStreamOutlastsSilencesThatOverlap guards against streams that are cut because their engine is given up for another one that has just
// fallen silent itself: the first engine goes on in time.
func TestStreamOutlastsSilencesThatOverlap(t *testing.T) {
	t.Parallel()
	// overlap is how long both engines are silent.
	const overlap = 500 * time.Millisecond
	for _, c := range streamSilences {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			other, replies := postAtEngineThatFallsSilent(t, c.fault, c.silence)
			time.Sleep(c.silence - overlap)
			other.FallSilent(c.silence)
			requireWhole(t, <-replies)
		})
	}
}

// TestStreamOutlastsSilenceBesideFullEngine guards against streams that are cut because their engine is silent while the other one is full.
func TestStreamOutlastsSilenceBesideFullEngine(t *testing.T) {
	t.Parallel()
	for _, c := range streamSilences {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			fleet.Slots = 1
			fleet.WriteManifest()
			full := fleet.AddEngine("i-full", standin.NextIP(), 1)
			full.Events, full.EventInterval = 100000, 20*time.Millisecond
			e := start(t, fleet)
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				e.Do(ctx, standin.Request{Path: "/stream/long", DeadlineMS: 20000})
				close(ended)
			}()
			t.Cleanup(func() { cancel(); <-ended })
			require.Eventually(t, func() bool { return full.LastRun() != nil }, testTimeout, pollInterval)
			fleet.AddEngine("i-silent", standin.NextIP(), 1)
			fleet.Faults.Silence = c.silence
			require.Eventually(t, func() bool { return e.Post("/stream/1").Status == http.StatusOK }, testTimeout, 10*pollInterval)
			fleet.Faults.Next(c.fault)
			requireWhole(t, e.Post("/stream/1"))
		})
	}
}

// TestDeadEngineIsReplacedInTime guards against requests that wait for an engine or plain upstream which never goes on, although another one
// is free.
func TestDeadEngineIsReplacedInTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		fault      standin.Fault
		// limit is the time until the entry tries another upstream, and a second for the rest on a busy machine.
		limit time.Duration
	}{
		{"stream_in_the_queue", "/stream/1", standin.SilentInQueue, 2500 * time.Millisecond},
		{"stream_before_the_head", "/stream/1", standin.SilentBeforeHead, 2500 * time.Millisecond},
		{"stream_between_events", "/stream/1", standin.SilentBetweenEvents, 2200 * time.Millisecond},
		{"stream_inside_an_event", "/stream/1", standin.SilentMidEvent, 2200 * time.Millisecond},
		{"plain", "/again/1", standin.SilentBeforeHead, 1800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			if c.path == "/again/1" {
				fleet.AddService("i-1")
				fleet.AddService("i-2")
			} else {
				fleet.AddEngine("i-1", standin.NextIP(), 1)
				fleet.AddEngine("i-2", standin.NextIP(), 1)
			}
			e := start(t, fleet)
			fleet.Faults.Silence = silentForever
			fleet.Faults.Next(c.fault)
			began := time.Now()
			r := e.Post(c.path)
			took := time.Since(began)
			t.Logf("answered after %v", took)
			if c.path == "/stream/1" {
				requireWhole(t, r)
			}
			require.Equal(t, http.StatusOK, r.Status, r.Body)
			require.Less(t, took, c.limit)
		})
	}
}

// TestManifestChangesSpareSilentStream guards against streams that a storm of manifest changes cuts while their engine is silent, although no
// change concerns them.
func TestManifestChangesSpareSilentStream(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]time.Duration{"short": time.Second, "long": eventSilence} {
		for _, path := range []string{"/stream/1", "/single/1"} {
			t.Run(name+path[:len(path)-2], func(t *testing.T) {
				t.Parallel()
				fleet := standin.NewFleet(t)
				fleet.AddStream("/single/", false)
				fleet.AddEngine("i-1", standin.NextIP(), 1)
				fleet.AddEngine("i-2", standin.NextIP(), 1)
				e := start(t, fleet)
				require.Eventually(t, func() bool { return e.Post(path).Status == http.StatusOK }, testTimeout, pollInterval)
				fleet.Faults.Silence = silence
				fleet.Faults.Next(standin.SilentBetweenEvents)
				replies := make(chan standin.Reply, 1)
				go func() { replies <- e.Post(path) }()
				for {
					select {
					case r := <-replies:
						requireWhole(t, r)
						return
					case <-time.After(70 * time.Millisecond):
						fleet.WriteManifest()
					}
				}
			})
		}
	}
}

// TestRequestThatRunsOnceOutlastsSilence guards against a second run, or a failure, of requests that may run only once while an upstream is
// silent and another one is free.
func TestRequestThatRunsOnceOutlastsSilence(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		faults     []standin.Fault
		silence    time.Duration
	}{
		{"plain", "/once/1", []standin.Fault{standin.Healthy, standin.SilentInQueue, standin.SilentBeforeHead}, plainSilence},
		{"stream", "/single/1", []standin.Fault{standin.Healthy, standin.SilentInQueue, standin.SilentBeforeHead, standin.SilentBetweenEvents, standin.SilentMidEvent}, eventSilence},
	} {
		for _, fault := range c.faults {
			t.Run(c.name+"/fault_"+string(fault), func(t *testing.T) {
				t.Parallel()
				fleet := standin.NewFleet(t)
				fleet.AddStream("/single/", false)
				upstreams := []*standin.Upstream{
					fleet.AddService("i-1"), fleet.AddService("i-2"), fleet.AddEngine("i-3", standin.NextIP(), 1), fleet.AddEngine("i-4", standin.NextIP(), 1),
				}
				e := start(t, fleet)
				require.Eventually(t, func() bool { return e.Post(c.path).Status == http.StatusOK }, testTimeout, pollInterval)
				fleet.Faults.Silence = c.silence
				fleet.Faults.Next(fault)
				if fault == standin.Healthy {
					upstreams[0].FallSilent(c.silence)
					upstreams[2].FallSilent(c.silence)
				}
				r := e.Post(c.path)
				require.NoError(t, r.Err)
				require.Equal(t, http.StatusOK, r.Status, r.Body)
				runs := 0
				for _, u := range upstreams {
					runs += u.Runs(r.ID)
				}
				require.Equal(t, 1, runs)
			})
		}
	}
}
