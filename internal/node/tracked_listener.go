package node

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// trackedListener is a listener that knows of each connection which the kernel has handed over, also while the Accept that took it has not
// returned. Nobody else may set the deadline of the listener below it.
type trackedListener struct {
	net.Listener
	// accepted is called with each connection before Accept returns it.
	accepted func(net.Conn)

	mu sync.Mutex
	// accepting is set while an Accept of the listener below may take a connection, and settled is closed when it has ended; nil while nobody
	// waits for that.
	accepting bool
	settled   chan struct{}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		l.begin()
		c, err := l.Listener.Accept()
		if err == nil {
			l.accepted(c)
		}
		l.end()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		l.setDeadline(time.Time{})
	}
}

func (l *trackedListener) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = true
}

func (l *trackedListener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepting = false
	if l.settled != nil {
		close(l.settled)
		l.settled = nil
	}
}

// settle waits until the Accept in progress has ended, whose connection is known then, and has it end if it only waits for one. It reports false
// if that takes longer than limit, and true at once for a listener that can't be interrupted.
func (l *trackedListener) settle(limit time.Duration) bool {
	l.mu.Lock()
	if !l.accepting {
		l.mu.Unlock()
		return true
	}
	if l.settled == nil {
		l.settled = make(chan struct{})
	}
	settled := l.settled
	l.mu.Unlock()
	if !l.setDeadline(time.Now().Add(-time.Second)) {
		return true
	}
	select {
	case <-settled:
		return true
	case <-time.After(limit):
		return false
	}
}

// setDeadline sets the deadline of Accept; zero for none. It reports false if the listener has none.
func (l *trackedListener) setDeadline(at time.Time) bool {
	return setListenerDeadline(l.Listener, at) == nil
}

// errNoDeadline is the error of a wrapped listener without deadlines.
var errNoDeadline = errors.New("the listener has no deadline")

// setListenerDeadline sets the deadline of a listener below a wrapper.
func setListenerDeadline(l net.Listener, at time.Time) error {
	deadline, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errNoDeadline
	}
	return deadline.SetDeadline(at)
}

// SetDeadline sets the deadline of the socket.
func (l tlsListener) SetDeadline(at time.Time) error { return setListenerDeadline(l.socket, at) }

// SetDeadline sets the deadline of the socket.
func (l rejectionListener) SetDeadline(at time.Time) error {
	return setListenerDeadline(l.Listener, at)
}
