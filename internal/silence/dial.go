package silence

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrNoConnection ends an attempt to connect that the other side did not answer within its limit.
var ErrNoConnection = errors.New("connecting: the other side did not answer within the limit")

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with d and returns each as a Conn. It gives up after limit if the other side has not answered;
// 0 means without a limit. The error is then ErrNoConnection. A connection that the kernel has established
// already, but this process has not come to use, is not given up. d must have neither a Timeout nor a Control function.
func Dialer(d *net.Dialer, limit time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		w := &dialWatch{slice: limit / slicesPerLimit, onSilent: func() { cancel(ErrNoConnection) }}
		limited := *d
		limited.Control = func(_, _ string, socket syscall.RawConn) error {
			w.socket.Store(&socket)
			return nil
		}
		w.start()
		defer w.stop()
		c, err := limited.DialContext(ctx, network, address)
		if err != nil && errors.Is(context.Cause(ctx), ErrNoConnection) {
			return nil, errors.Wrapf(ErrNoConnection, "dialing %s", address)
		}
		if err != nil {
			return nil, errors.Wrapf(err, "connecting to %s", address)
		}
		return NewConn(c), nil
	}
}

// ResetUnanswered returns a dial function whose connections are reset if they are closed before anything is read after the last write. dial
// must return connections of type *Conn.
//
// The rest of a call that the other side has not received is then dropped, so that a peer that was silent can't read the whole call when it
// goes on. After an ordinary close the kernel would still deliver it. What the peer's kernel has received stays there in both cases: on Linux
// the peer reads it before the error.
func ResetUnanswered(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn.(*Conn).resetUnanswered = true
		return conn, nil
	}
}

// dialWatch gives up a connection that the other side does not answer.
type dialWatch struct {
	slice    time.Duration
	onSilent func()
	// socket is the socket that connects, nil before it is created.
	socket atomic.Pointer[syscall.RawConn]

	mu sync.Mutex
	// timer is nil before start, after stop and without a limit.
	timer *time.Timer
	// slices is how many slices have passed without a connection.
	slices int
}

func (w *dialWatch) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slice > 0 {
		w.timer = time.AfterFunc(w.slice, w.endSlice)
	}
}

func (w *dialWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// endSlice counts a slice in which no connection was established, and gives up after the last one.
func (w *dialWatch) endSlice() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if socket := w.socket.Load(); socket != nil && !established(*socket) {
		w.slices++
	}
	if w.slices < slicesPerLimit {
		w.timer.Reset(w.slice)
		return
	}
	w.timer = nil
	w.onSilent()
}

// established reports whether the kernel has established a socket's connection.
func established(socket syscall.RawConn) bool {
	connected := false
	err := socket.Control(func(fd uintptr) {
		_, peerErr := syscall.Getpeername(int(fd))
		connected = peerErr == nil
	})
	return err == nil && connected
}
