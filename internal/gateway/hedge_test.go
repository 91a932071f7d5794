package gateway_test

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestAnswerOutlastsSilenceOfItsUpstream guards against an answer that is cut or refused because its upstream is silent for more than a second,
// while no other upstream could give it.
func TestAnswerOutlastsSilenceOfItsUpstream(t *testing.T) {
	t.Parallel()
	const silence = 1700 * time.Millisecond
	for _, c := range []struct {
		name, path string
		silent     func(engine, desk *standin.Upstream)
	}{
		{"between two events", "/stream/1", func(engine, _ *standin.Upstream) { engine.Events, engine.EventInterval = 2, silence }},
		{"before the first event", "/stream/1", func(engine, _ *standin.Upstream) { time.AfterFunc(silence, engine.Hold()) }},
		{"before a plain answer", "/again/1", func(_, desk *standin.Upstream) { time.AfterFunc(silence, desk.Hold()) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			engine, desk := fleet.AddEngine("i-1", standin.NextIP(), 1), fleet.AddService("i-2")
			e := start(t, fleet)
			c.silent(engine, desk)
			r := e.Post(c.path)
			require.NoError(t, r.Err)
			require.Equal(t, http.StatusOK, r.Status, r.Body)
			if c.path == "/stream/1" {
				require.Equal(t, streamBody(engine.Events), r.Body)
			}
			require.Equal(t, 1, engine.Runs(r.ID)+desk.Runs(r.ID))
		})
	}
}

// TestSilentStreamIsResumedElsewhere guards against a stream that waits for a dead engine while another one has capacity, and against events
// that are missing or double where it goes on.
func TestSilentStreamIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	first := fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	first.EventInterval = time.Minute
	reply := make(chan standin.Reply, 1)
	go func() { reply <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return first.LastRun() != nil }, testTimeout, pollInterval)
	second := fleet.AddEngine("i-2", standin.NextIP(), 1)
	time.AfterFunc(2300*time.Millisecond, second.Hold()) // A caller without any event would have left by then.
	require.Eventually(t, func() bool { return second.Queued() == 1 }, testTimeout, pollInterval)
	r := <-reply
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(second.Events), r.Body)
	require.Equal(t, "1", second.LastRun().Header.Get("Last-Event-Id"))
	require.Eventually(t, func() bool { return first.CancelledRuns() == 1 }, testTimeout, pollInterval)
}

// silentListener is a listener that answers no further attempt to connect until it is served.
type silentListener struct {
	address string
	fd      int
}

func newSilentListener(t *testing.T) *silentListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	l := &silentListener{address: net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port)), fd: fd}
	for range 2 { // The kernel queues one more than the listener asks for.
		if c, err := net.DialTimeout("tcp", l.address, 200*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return l
}

// serve accepts connections from now on.
func (l *silentListener) serve(t *testing.T, h http.Handler) {
	t.Helper()
	file := os.NewFile(uintptr(l.fd), l.address)
	listener, err := net.FileListener(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	server := &http.Server{Handler: h}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
}

// TestUpstreamThatAcceptsLateIsWaitedFor guards against a refusal because the only upstream accepts no connection for most of a second.
func TestUpstreamThatAcceptsLateIsWaitedFor(t *testing.T) {
	t.Parallel()
	fleet, l := standin.NewFleet(t), newSilentListener(t)
	fleet.RegisteredAddress = func(string) string { return l.address }
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	reply := make(chan standin.Reply, 1)
	go func() { reply <- e.Post("/once/1") }()
	time.Sleep(200 * time.Millisecond)
	l.serve(t, desk) // The kernel tries again to connect a second after the first time.
	r := <-reply
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusOK, r.Status, r.Body)
	require.Equal(t, 1, desk.Runs(r.ID))
}

// TestCallThatRunsOnceLeavesAnUpstreamThatDoesNotAccept guards against a refusal by an upstream that accepts no connection while another one has
// capacity, and against a second run of a call that runs once. How soon it leaves is tested in simulated time, in package forward.
func TestCallThatRunsOnceLeavesAnUpstreamThatDoesNotAccept(t *testing.T) {
	t.Parallel()
	const calls = 6 // Each upstream takes some of them.
	fleet, l := standin.NewFleet(t), newSilentListener(t)
	fleet.RegisteredAddress = func(string) string { return l.address }
	silent := fleet.AddService("i-1")
	fleet.RegisteredAddress = nil
	fleet.Slots = 2 * calls
	desk := fleet.AddService("i-2")
	e := start(t, fleet)
	replies := make(chan standin.Reply, calls)
	for range calls {
		go func() { replies <- e.Post("/once/1") }()
	}
	for range calls {
		r := <-replies
		require.NoError(t, r.Err)
		require.Equal(t, http.StatusOK, r.Status, r.Body)
		require.Equal(t, 1, desk.Runs(r.ID))
		require.Zero(t, silent.Runs(r.ID))
	}
	l.serve(t, silent)
	time.Sleep(time.Second)
	require.Nil(t, silent.LastRun(), "what was replaced is not sent later")
}
