package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// heldListener accepts no connection while it is held, like a process without processor time.
type heldListener struct {
	*net.TCPListener
	held atomic.Bool
}

func (l *heldListener) Accept() (net.Conn, error) {
	for l.held.Load() {
		time.Sleep(time.Millisecond)
	}
	return l.TCPListener.Accept()
}

// TestStoppingEntryAnswersWhatArrivedBeforeIt guards against an entry that is late and resets or refuses, when it stops, the requests which had
// arrived while it was ready.
func TestStoppingEntryAnswersWhatArrivedBeforeIt(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 1)
	f.startEntry(1)
	e := f.entries[1]
	l := &heldListener{TCPListener: e.callerListener.(*net.TCPListener)}
	l.held.Store(true)
	e.callerListener = l
	ctx, cancel := context.WithCancel(f.ctx)
	f.running.Go(func() { e.Run(ctx, eventuallyTimeout) })
	f.eventually("the upstream is a candidate", func() bool { return f.candidateCount(e, "portal") == 1 })
	answered := make(chan outcome, 1)
	go func() { answered <- f.send(context.Background(), 1, lookupRequest("/status")) }()
	f.eventually("the request is in the listen queue", func() bool { return queued(l) })
	cancel()
	time.Sleep(300 * time.Millisecond)
	l.held.Store(false)
	o := <-answered
	require.Equal(t, http.StatusOK, o.status, "%v", o)
	require.True(t, o.complete, "%v", o)
}

// queued reports whether l's queue holds a connection.
func queued(l *heldListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	fds := []unix.PollFd{{Events: unix.POLLIN}}
	_ = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd)
		_, err = unix.Poll(fds, 0)
	})
	return err == nil && fds[0].Revents&unix.POLLIN != 0
}
