package silence

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testLimit = 2 * time.Second

// newWatchedPipe returns both ends of a connection, whose local end is watched with testLimit, and a counter of the calls of onSilent. The call
// has been sent.
func newWatchedPipe(t *testing.T) (local *Conn, remote net.Conn, w *Watch, silences *int) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	t.Cleanup(func() { _ = far.Close() })
	silences = new(int)
	w = NewWatch(testLimit, func() { *silences++ })
	local = NewConn(near)
	w.Attach(local)
	w.recordSend()
	return local, far, w, silences
}

func read(c net.Conn) (string, error) {
	buf := make([]byte, 16)
	n, err := c.Read(buf)
	return string(buf[:n]), err
}

// TestSilentPeerIsGivenUpAfterTheLimit guards against a wait without an end for a peer that is dead.
func TestSilentPeerIsGivenUpAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, _, _, silences := newWatchedPipe(t)
		startedAt := time.Now()
		_, err := read(local)
		require.ErrorIs(t, err, ErrSilent)
		require.Equal(t, testLimit+lastLookTimeout, time.Since(startedAt))
		require.Equal(t, 1, *silences)
	})
}

// TestTimeOutsideOfReadsIsNoSilence guards against a peer that is given up because this process did something else for longer than the limit.
func TestTimeOutsideOfReadsIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, _, silences := newWatchedPipe(t)
		for range 3 {
			go func() { _, _ = remote.Write([]byte("data")) }()
			time.Sleep(10 * testLimit)
			got, err := read(local)
			require.NoError(t, err)
			require.Equal(t, "data", got)
		}
		require.Zero(t, *silences)
	})
}

// TestSilenceAddsUpOverReadsUntilProgress guards against a peer that is never given up because it sends something else than what is waited
// for.
func TestSilenceAddsUpOverReadsUntilProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w, _ := newWatchedPipe(t)
		startedAt := time.Now()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for err := error(nil); err == nil; _, err = remote.Write([]byte("x")) {
				time.Sleep(testLimit * 3 / 5)
			}
		}()
		for time.Since(startedAt) < 2*testLimit {
			_, err := read(local)
			require.NoError(t, err)
			w.Progress(testLimit)
		}
		var err error
		for err == nil {
			_, err = read(local)
		}
		require.ErrorIs(t, err, ErrSilent)
		require.Less(t, time.Since(startedAt), 4*testLimit)
		require.NoError(t, local.Close())
		<-ended
	})
}

// TestWatchLimitsReadThatWaitsAlready guards against a pooled connection that died while it was idle: its read has begun before the call.
func TestWatchLimitsReadThatWaitsAlready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, _, w, silences := newWatchedPipe(t)
		w.Stop()
		result := make(chan error, 1)
		go func() {
			_, err := read(local)
			result <- err
		}()
		time.Sleep(100 * testLimit)
		require.Empty(t, result, "an idle connection has no limit")
		attachedAt := time.Now()
		next := NewWatch(testLimit, func() {})
		next.Attach(local)
		next.recordSend()
		require.ErrorIs(t, <-result, ErrSilent)
		require.Equal(t, testLimit+lastLookTimeout, time.Since(attachedAt))
		require.Zero(t, *silences, "the stopped watch")
	})
}

// TestStoppedWatchSetsNoLimit guards against a connection that is given up for a call that has ended.
func TestStoppedWatchSetsNoLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w, silences := newWatchedPipe(t)
		go func() {
			time.Sleep(testLimit / 2)
			w.Stop()
			w.Attach(local)
			time.Sleep(10 * testLimit)
			_, _ = remote.Write([]byte("late"))
		}()
		got, err := read(local)
		require.NoError(t, err)
		require.Equal(t, "late", got)
		require.Zero(t, *silences)
	})
}

// TestNothingCountsBeforeTheCallIsSent guards against a peer that is taken for dead while this process is late to send it anything, and against a
// limit that holds no longer once it has.
func TestNothingCountsBeforeTheCallIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, _, _ := newWatchedPipe(t)
		w := NewWatch(testLimit, func() {})
		w.Attach(local)
		result := make(chan error, 1)
		go func() {
			_, err := read(local)
			result <- err
		}()
		const half = testLimit / slicesPerLimit / 2
		time.Sleep(10*testLimit + half)
		require.Empty(t, result)
		go func() { _, _ = read(remote) }()
		_, err := local.Write([]byte("request"))
		require.NoError(t, err)
		sentAt := time.Now()
		require.ErrorIs(t, <-result, ErrSilent)
		require.Equal(t, testLimit-half+lastLookTimeout, time.Since(sentAt), "the slice that was under way counts whole")
	})
}

// lateConn is a connection whose reads time out late, as in a process that gets no processor time, and that then have data.
type lateConn struct {
	net.Conn
	// timeouts is how many reads time out before one returns data; lateness is how late each of them does.
	timeouts int
	lateness time.Duration
	deadline time.Time
}

func (c *lateConn) SetReadDeadline(at time.Time) error {
	c.deadline = at
	return nil
}

// Read times out with a delay, or returns data.
func (c *lateConn) Read(p []byte) (int, error) {
	if c.timeouts == 0 {
		return copy(p, "data"), nil
	}
	c.timeouts--
	time.Sleep(time.Until(c.deadline) + c.lateness)
	return 0, os.ErrDeadlineExceeded
}

// TestDataThatArrivedIsReadBeforePeerIsGivenUp guards against an answer that is thrown away although it has arrived: the reads time out since
// the process is late, and the last one finds the data.
func TestDataThatArrivedIsReadBeforePeerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lateReads := 0
		w := NewWatch(testLimit, func() { t.Error("given up") })
		w.OnLateRead(func() { lateReads++ })
		local := NewConn(&lateConn{timeouts: slicesPerLimit, lateness: testLimit})
		w.Attach(local)
		w.recordSend()
		got, err := read(local)
		require.NoError(t, err)
		require.Equal(t, "data", got)
		require.Equal(t, 1, lateReads)
	})
}

// TestSuspendedProcessCountsOneSlice guards against a peer that is charged with the time for which this process was suspended.
func TestSuspendedProcessCountsOneSlice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWatch(testLimit, func() { t.Error("given up") })
		local := NewConn(&lateConn{timeouts: slicesPerLimit - 1, lateness: time.Hour})
		w.Attach(local)
		w.recordSend()
		got, err := read(local)
		require.NoError(t, err)
		require.Equal(t, "data", got)
	})
}

// TestNoLimitWithoutWatch guards against limits on connections that nobody watches, and on calls without a limit.
func TestNoLimitWithoutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w, _ := newWatchedPipe(t)
		w.Progress(0)
		for range 2 {
			go func() {
				time.Sleep(100 * testLimit)
				_, _ = remote.Write([]byte("data"))
			}()
			_, err := read(local)
			require.NoError(t, err)
			w.Stop()
		}
	})
}

// TestAbandonedCallSendsNothing guards against a request that is reported as not sent and is sent afterwards, and against one that may have run
// and is reported as not sent.
func TestAbandonedCallSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, _, _, _ := newWatchedPipe(t)
		w := NewWatch(testLimit, func() {})
		w.Attach(local)
		require.False(t, w.Abandon())
		_, err := local.Write([]byte("late"))
		require.ErrorIs(t, err, net.ErrClosed)

		local, remote, _, _ := newWatchedPipe(t)
		w = NewWatch(testLimit, func() {})
		w.Attach(local)
		go func() { _, _ = read(remote) }()
		_, err = local.Write([]byte("request"))
		require.NoError(t, err)
		require.True(t, w.Abandon())
	})
}

// TestConnectingIsGivenUpAfterTheLimit guards against a wait without an end for a host that is dead: it does not answer, since the queue of its
// listener is full.
func TestConnectingIsGivenUpAfterTheLimit(t *testing.T) {
	address := fullListener(t)
	startedAt := time.Now()
	_, err := Dialer(&net.Dialer{}, 400*time.Millisecond)(context.Background(), "tcp", address)
	require.ErrorIs(t, err, ErrNoConnection)
	require.GreaterOrEqual(t, time.Since(startedAt), 400*time.Millisecond)
}

// TestConnectingGoesOnAfterItsNotice guards against a connection that is given up when another upstream is only to be looked for, and against
// one that is never given up.
func TestConnectingGoesOnAfterItsNotice(t *testing.T) {
	address := fullListener(t)
	startedAt := time.Now()
	w := NewWatch(0, func() {})
	noticed := make(chan time.Duration, 2)
	w.NotifyConnecting(600*time.Millisecond, func() { noticed <- time.Since(startedAt) }, func() { t.Error("connected") })
	_, err := Dialer(&net.Dialer{}, 200*time.Millisecond)(WithWatch(context.Background(), w), "tcp", address)
	require.ErrorIs(t, err, ErrNoConnection)
	require.GreaterOrEqual(t, time.Since(startedAt), 600*time.Millisecond)
	require.Len(t, noticed, 1)
	require.GreaterOrEqual(t, <-noticed, 200*time.Millisecond)
}

// TestForbiddenCallSendsNothing guards against a request that was replaced as not sent and is sent all the same, and against one that may have
// run and is replaced.
func TestForbiddenCallSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, _, _ := newWatchedPipe(t)
		w := NewWatch(testLimit, func() {})
		w.Attach(local)
		require.True(t, w.ForbidSend())
		_, err := local.Write([]byte("late"))
		require.ErrorIs(t, err, ErrSendForbidden)
		w = NewWatch(testLimit, func() {})
		w.Attach(local)
		go func() { _, _ = read(remote) }()
		_, err = local.Write([]byte("request"))
		require.NoError(t, err)
		require.False(t, w.ForbidSend())
		go func() { _, _ = read(remote) }()
		_, err = local.Write([]byte("rest of it"))
		require.NoError(t, err)
	})
}

// fullListener returns the address of a listener that answers no further attempt to connect.
func fullListener(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for range 2 { // The kernel queues one more than the listener asks for.
		if c, err := net.DialTimeout("tcp", address, 200*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// TestEstablishedConnectionIsNotGivenUp guards against a connection that is given up because this process is late to use it.
func TestEstablishedConnectionIsNotGivenUp(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	socket, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	w := &dialWatch{slice: time.Millisecond, onSilent: func() { t.Error("given up") }}
	w.socket.Store(&socket)
	w.start()
	time.Sleep(50 * time.Millisecond)
	w.stop()
}

// TestCallIsLimitedOnPooledConnection guards against a limit that is not attached to the connection that a call reuses.
func TestCallIsLimitedOnPooledConnection(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-release
		}
	}))
	defer server.Close()
	defer close(release)
	transport := &http.Transport{DialContext: Dialer(&net.Dialer{}, testLimit)}
	defer transport.CloseIdleConnections()
	call := func(path string) error {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		w := NewWatch(200*time.Millisecond, func() { cancel(ErrSilent) })
		defer w.Stop()
		req, err := http.NewRequestWithContext(WithWatch(ctx, w), http.MethodPost, server.URL+path, nil)
		require.NoError(t, err)
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return errors.Join(err, context.Cause(ctx))
		}
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, resp.Body.Close())
		return err
	}
	require.NoError(t, call("/"))
	time.Sleep(300 * time.Millisecond) // Longer than the limit, which holds for calls only.
	require.NoError(t, call("/"))
	require.ErrorIs(t, call("/silent"), ErrSilent)
}

// TestNoticeOfSilenceEndsNothing guards against a connection that is given up when its silence is only to be reported, a notice that comes late
// or twice, and a limit that a notice moves.
func TestNoticeOfSilenceEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const notice = 1500 * time.Millisecond
		local, remote, w, silences := newWatchedPipe(t)
		startedAt := time.Now()
		var noticedAt []time.Duration
		w.Notify(notice, func() { noticedAt = append(noticedAt, time.Since(startedAt)) })
		time.AfterFunc(testLimit-100*time.Millisecond, func() { _, _ = remote.Write([]byte("data")) })
		got, err := read(local)
		require.NoError(t, err)
		require.Equal(t, "data", got)
		require.Equal(t, []time.Duration{notice}, noticedAt)
		w.Progress(testLimit)
		again := time.Now()
		_, err = read(local)
		require.ErrorIs(t, err, ErrSilent)
		require.Len(t, noticedAt, 2, "once more after a progress")
		require.Equal(t, testLimit+lastLookTimeout, time.Since(again))
		require.Equal(t, 1, *silences)
	})
}

// TestNoticeWithoutLimit guards against a read without a limit that is never reported as silent, or is given up.
func TestNoticeWithoutLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote, w, silences := newWatchedPipe(t)
		w.Progress(0)
		notices := 0
		w.Notify(time.Second, func() { notices++ })
		time.AfterFunc(time.Hour, func() { _, _ = remote.Write([]byte("data")) })
		_, err := read(local)
		require.NoError(t, err)
		require.Equal(t, 1, notices)
		require.Zero(t, *silences)
	})
}
