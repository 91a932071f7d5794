package node

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// arrivedPoll is the time between two looks for requests that have arrived and are not read yet.
	arrivedPoll = 5 * time.Millisecond
	// arrivedLooks is the number of looks in a row that have to find nothing.
	arrivedLooks = 2
	// ArrivedTimeout bounds how long a process that stops waits until it has read what has arrived. It is for peers that keep sending although
	// the process is not ready any more.
	ArrivedTimeout = 5 * time.Second
)

// server is an HTTP server that knows whether requests have arrived that it has not read yet.
type server struct {
	*http.Server
	listener *trackedListener

	mu sync.Mutex
	// waiting are the connections without a request that is being served.
	waiting map[net.Conn]bool
}

// newTrackedServer returns s with l, on which it is to serve.
func newTrackedServer(s *http.Server, l net.Listener) *server {
	t := &server{Server: s, waiting: map[net.Conn]bool{}}
	t.listener = &trackedListener{Listener: l, accepted: func(c net.Conn) { t.track(c, http.StateNew) }}
	s.ConnState = t.track
	return t
}

// serve serves the listener until the server is closed.
func (s *server) serve() { _ = s.Serve(s.listener) }

// track records the state of a connection.
func (s *server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		s.waiting[c] = true
		return
	}
	delete(s.waiting, c)
}

// hasArrived reports whether a connection waits to be accepted, or one without a request has data that is not read yet. It waits for an Accept that may
// have taken a connection already, for limit at most.
func (s *server) hasArrived(limit time.Duration) bool {
	if readable(s.listener.Listener) || !s.listener.settle(limit) {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.waiting {
		if readable(c) {
			return true
		}
	}
	return false
}

// readable reports whether a read of c, or an accept if it is a listener, would find something. It does not depend on how late this process
// is, as a deadline would.
func readable(c any) bool {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		found = err == unix.EINTR || n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return err == nil && found
}

// AwaitArrived waits until this process has read every request that has arrived, for ArrivedTimeout at most. Closing a listener or an idle
// connection resets what the kernel holds and the process has not read; a process that is late may hold requests there that were sent long
// before it began to stop.
func (p *Process) AwaitArrived() {
	deadline := time.Now().Add(ArrivedTimeout)
	for nothing := 0; nothing < arrivedLooks && time.Now().Before(deadline); {
		nothing++
		if p.hasArrived(time.Until(deadline)) {
			nothing = 0
		}
		time.Sleep(arrivedPoll)
	}
}

// hasArrived reports whether a server has a request that has arrived and is not read. It may take as long as limit.
func (p *Process) hasArrived(limit time.Duration) bool {
	for _, s := range p.servers {
		if s.hasArrived(limit) {
			return true
		}
	}
	return false
}

// tlsListener is a TLS listener that gives access to the socket below it.
type tlsListener struct {
	net.Listener
	socket net.Listener
}

// SyscallConn gives access to the socket.
func (l tlsListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.socket) }

// SyscallConn gives access to the socket.
func (l rejectionListener) SyscallConn() (syscall.RawConn, error) { return syscallConn(l.Listener) }

// syscallConn gives access to the socket of l.
func syscallConn(l net.Listener) (syscall.RawConn, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return socket.SyscallConn()
}
