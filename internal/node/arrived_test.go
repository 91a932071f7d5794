package node

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/keys"
)

// lateBy is how long a late process in these tests lets arrived connections and data wait.
const lateBy = 200 * time.Millisecond

// lateListener accepts connections, and reads what arrives on them, only after the time lateBy if late is set, like a process without
// processor time.
type lateListener struct {
	*net.TCPListener
	late atomic.Bool
	// lateAfterAccept makes it late with a connection that it has taken from the kernel.
	lateAfterAccept atomic.Bool
	// interrupted is set while an Accept that only waits is to end.
	interrupted atomic.Bool
}

// SetDeadline interrupts an Accept that waits, or ends that if at is zero.
func (l *lateListener) SetDeadline(at time.Time) error {
	l.interrupted.Store(!at.IsZero())
	return nil
}

func (l *lateListener) Accept() (net.Conn, error) {
	raw, err := l.SyscallConn()
	for ; err == nil && !readable(l.TCPListener); err = raw.Control(func(uintptr) {}) {
		if l.interrupted.Load() {
			return nil, os.ErrDeadlineExceeded
		}
		time.Sleep(time.Millisecond)
	}
	l.delay()
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	if l.lateAfterAccept.Load() {
		time.Sleep(lateBy)
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), listener: l}, nil
}

func (l *lateListener) delay() {
	if l.late.Load() {
		time.Sleep(lateBy)
	}
}

type lateConn struct {
	*net.TCPConn
	listener *lateListener
}

func (c *lateConn) Read(p []byte) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := raw.Read(func(uintptr) bool { return readable(c.TCPConn) }); err != nil {
		return 0, err
	}
	c.listener.delay()
	return c.TCPConn.Read(p)
}

// newLateProcess returns a process that serves "answer" on a listener that can be late.
func newLateProcess(t *testing.T) (*Process, *lateListener) {
	t.Helper()
	platform := serveTest(t, http.NotFoundHandler())
	p, err := NewProcess(Config{
		Name: "host-1", Place: "perth-a", Region: "west", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
		ObjectAPI: "http://" + platform, HostList: "http://" + platform, Config: keys.Config{Secret: "secret"}, Role: "entry",
	}, zerolog.Nop(), nil)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = p.peersListener.Close()
		_ = p.operatorsListener.Close()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	late := &lateListener{TCPListener: l.(*net.TCPListener)}
	p.Serve(late, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	return p, late
}

const plainGet = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// readAnswer reads one answer, whose body is "answer", from c.
func readAnswer(t *testing.T, c net.Conn) {
	t.Helper()
	text := ""
	for buffer := make([]byte, 512); !strings.HasSuffix(text, "answer"); {
		n, err := c.Read(buffer)
		text += string(buffer[:n])
		require.NoError(t, err, "received %q", text)
	}
}

// stopProcess stops p as entries and agents do.
func stopProcess(p *Process) {
	ctx, cancel := context.WithTimeout(context.Background(), ArrivedTimeout)
	defer cancel()
	p.AwaitArrived()
	p.Close(ctx)
}

// TestConnectionInListenQueueIsServedBeforeClose guards against a stopping process that resets the connections which the kernel has accepted
// and the process, being late, has not.
func TestConnectionInListenQueueIsServedBeforeClose(t *testing.T) {
	p, l := newLateProcess(t)
	l.late.Store(true)
	c := send(t, l.Addr().String(), plainGet)
	go stopProcess(p)
	readAnswer(t, c)
}

// TestConnectionThatIsBeingAcceptedIsServedBeforeClose guards against a stopping process that resets a connection which it has taken from the
// kernel and, being late, does not know yet.
func TestConnectionThatIsBeingAcceptedIsServedBeforeClose(t *testing.T) {
	p, l := newLateProcess(t)
	l.lateAfterAccept.Store(true)
	c := send(t, l.Addr().String(), plainGet)
	require.Eventually(t, func() bool { return !readable(l.TCPListener) }, 5*time.Second, time.Millisecond)
	go stopProcess(p)
	readAnswer(t, c)
}

// TestUnreadRequestOnIdleConnectionIsServedBeforeClose guards against a stopping process that closes a connection as idle although the next
// request lies unread in it.
func TestUnreadRequestOnIdleConnectionIsServedBeforeClose(t *testing.T) {
	p, l := newLateProcess(t)
	c := send(t, l.Addr().String(), plainGet)
	readAnswer(t, c)
	require.Eventually(t, func() bool { return p.servers[0].waitingCount() == 1 }, 5*time.Second, time.Millisecond)
	l.late.Store(true)
	_, err := io.WriteString(c, plainGet)
	require.NoError(t, err)
	go stopProcess(p)
	readAnswer(t, c)
}

// waitingCount returns the number of connections without a request.
func (s *server) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// TestIdleConnectionsDoNotDelayClose guards against a stopping process that waits for connections on which nothing has arrived.
func TestIdleConnectionsDoNotDelayClose(t *testing.T) {
	p, l := newLateProcess(t)
	c := send(t, l.Addr().String(), plainGet)
	readAnswer(t, c)
	startedAt := time.Now()
	p.AwaitArrived()
	require.Less(t, time.Since(startedAt), ArrivedTimeout/2)
}

// TestListenQueueIsSeenBelowWrappers guards against a wrapped listener whose queue can't be looked at, so that its connections are reset.
func TestListenQueueIsSeenBelowWrappers(t *testing.T) {
	wrappers := map[string]func(net.Listener) net.Listener{
		"coded rejections": WithCodedRejections,
		"TLS":              func(l net.Listener) net.Listener { return tlsListener{tls.NewListener(l, &tls.Config{}), l} },
	}
	for name, wrap := range wrappers {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			require.False(t, readable(wrap(l)))
			send(t, l.Addr().String(), "x")
			require.Eventually(t, func() bool { return readable(wrap(l)) }, 5*time.Second, time.Millisecond)
		})
	}
}
