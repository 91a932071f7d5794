package entry

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// faultProxy is a TCP proxy that simulates network faults.
type faultProxy struct {
	listener net.Listener
	target   atomic.Value
	mu       sync.Mutex
	conns    map[*proxiedConn]bool
	// frozen stops all forwarding; see freeze.
	frozen atomic.Bool
	// latency delays the forwarded bytes, in both directions, in nanoseconds.
	latency atomic.Int64
	// resetAfter, if positive, resets the next connection that forwards more than this number of bytes to its client.
	resetAfter atomic.Int64
	accepted   atomic.Int64
}

// proxiedConn is one forwarded connection. Bytes are discarded towards the server if dropUp is set, and towards the
// client if dropDown is set.
type proxiedConn struct {
	client, server net.Conn
	dropUp         atomic.Bool
	dropDown       atomic.Bool
	closed         atomic.Bool
}

func newFaultProxy(t testing.TB, target string) *faultProxy {
	t.Helper()
	l, err := net.Listen("tcp", reservePort(t))
	require.NoError(t, err)
	proxy := &faultProxy{listener: l, conns: map[*proxiedConn]bool{}}
	proxy.target.Store(target)
	go proxy.accept()
	t.Cleanup(func() {
		_ = l.Close()
		proxy.resetAll()
	})
	return proxy
}

func (proxy *faultProxy) address() string { return proxy.listener.Addr().String() }

func (proxy *faultProxy) accept() {
	for {
		client, err := proxy.listener.Accept()
		if err != nil {
			return
		}
		proxy.accepted.Add(1)
		go proxy.forward(client)
	}
}

func (proxy *faultProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", proxy.target.Load().(string))
	if err != nil {
		resetConn(client)
		return
	}
	p := &proxiedConn{client: client, server: server}
	proxy.mu.Lock()
	proxy.conns[p] = true
	proxy.mu.Unlock()
	go proxy.copyBytes(p, server, client, &p.dropUp, false)
	proxy.copyBytes(p, client, server, &p.dropDown, true)
}

// copyBytes forwards bytes until one end closes, and then closes both ends.
func (proxy *faultProxy) copyBytes(p *proxiedConn, to, from net.Conn, drop *atomic.Bool, toClient bool) {
	buf := make([]byte, 4096)
	forwarded := int64(0)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(proxy.latency.Load()))
		proxy.waitWhileFrozen(p)
		if n > 0 && !drop.Load() {
			if limit := proxy.resetAfter.Load(); toClient && limit > 0 && forwarded+int64(n) > limit {
				_, _ = to.Write(buf[:max(0, limit-forwarded)])
				proxy.resetAfter.Store(0)
				p.reset()
				return
			}
			forwarded += int64(n)
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				break
			}
			if drop.Load() {
				return // Leave the other end open, so that the connection is half-open.
			}
			break
		}
	}
	if !drop.Load() {
		p.close()
	}
}

func (p *proxiedConn) close() {
	p.closed.Store(true)
	_ = p.client.Close()
	_ = p.server.Close()
}

func (p *proxiedConn) reset() {
	p.closed.Store(true)
	resetConn(p.client)
	resetConn(p.server)
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (proxy *faultProxy) forEachConn(f func(*proxiedConn)) {
	proxy.mu.Lock()
	defer proxy.mu.Unlock()
	for p := range proxy.conns {
		f(p)
	}
}

// resetAll resets all open connections.
func (proxy *faultProxy) resetAll() { proxy.forEachConn(func(p *proxiedConn) { p.reset() }) }

// dropBytes makes the open connections discard bytes in the given directions. New connections work.
func (proxy *faultProxy) dropBytes(up, down bool) {
	proxy.forEachConn(func(p *proxiedConn) {
		p.dropUp.Store(up)
		p.dropDown.Store(down)
	})
}

// halfOpen resets only the server's end of the open connections.
func (proxy *faultProxy) halfOpen() {
	proxy.forEachConn(func(p *proxiedConn) {
		p.dropUp.Store(true)
		p.dropDown.Store(true)
		resetConn(p.server)
	})
}

// freeze stops forwarding on open and new connections, as a stopped process would. What was sent meanwhile is
// forwarded after the freeze ends; nothing is lost.
func (proxy *faultProxy) freeze(on bool) { proxy.frozen.Store(on) }

// waitWhileFrozen blocks while the proxy is frozen and the connection open.
func (proxy *faultProxy) waitWhileFrozen(p *proxiedConn) {
	for proxy.frozen.Load() && !p.closed.Load() {
		time.Sleep(engineStep)
	}
}

// kill resets all connections and refuses new ones.
func (proxy *faultProxy) kill() {
	_ = proxy.listener.Close()
	proxy.resetAll()
}

// reservePort reserves a free port until the test ends, without listening on it, and returns its address. A listener
// may use the port as well (SO_REUSEADDR). After that listener is closed, the kernel refuses connections to the port
// and does not assign it to another socket.
func reservePort(t testing.TB) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	address, err := netip.ParseAddrPort(uniqueAddress())
	require.NoError(t, err)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: address.Addr().As4()}))
	bound, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	return netip.AddrPortFrom(address.Addr(), uint16(bound.(*syscall.SockaddrInet4).Port)).String()
}

// TestPortOfKilledProxyStaysReserved guards against a test that reaches a foreign listener in place of a killed
// server, because the kernel reassigned its port.
func TestPortOfKilledProxyStaysReserved(t *testing.T) {
	t.Parallel()
	proxy := newFaultProxy(t, "127.0.0.1:1")
	proxy.kill()
	for range 2000 {
		l, err := net.Listen("tcp", proxy.listener.Addr().(*net.TCPAddr).IP.String()+":0")
		require.NoError(t, err)
		require.NotEqual(t, proxy.address(), l.Addr().String())
		require.NoError(t, l.Close())
	}
	_, err := net.Dial("tcp", proxy.address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
}
