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
// already, but this process has not come to use, is not given up. d must have neither a Timeout nor a Control function. NotifyConnecting changes
// what happens at the limit.
func Dialer(d *net.Dialer, limit time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		call, _ := ctx.Value(watchKey{}).(*Watch)
		ctx, cancel := context.WithCancelCause(ctx)
		defer cancel(nil)
		w := &dialWatch{slice: limit / slicesPerLimit, onSilent: func() { cancel(ErrNoConnection) }}
		connecting := call.connecting()
		w.extend(connecting)
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
		w.stop()
		if w.noticed {
			connecting.onConnected()
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

// LetReadsDecide returns a dial function whose connections have connend.Conn.LetReadsDecide set. dial must return connections of type *Conn.
func LetReadsDecide(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn.(*Conn).LetReadsDecide()
		return conn, nil
	}
}

// dialWatch gives up a connection that the other side does not answer.
type dialWatch struct {
	slice time.Duration
	// giveUpSlices is the number of slices without a connection after which onSilent is called, if it is more than slicesPerLimit. onNotice is
	// called after slicesPerLimit; nil for nothing.
	giveUpSlices       int
	onSilent, onNotice func()
	// noticed is set once onNotice was called.
	noticed bool
	// socket is the socket that connects, nil before it is created.
	socket atomic.Pointer[syscall.RawConn]

	mu sync.Mutex
	// timer is nil before start, after stop and without a limit.
	timer *time.Timer
	// slices is how many slices have passed without a connection.
	slices int
}

// extend applies what NotifyConnecting set, if anything.
func (w *dialWatch) extend(c connecting) {
	if c.onNotice != nil && w.slice > 0 {
		w.onNotice = c.onNotice
		w.giveUpSlices = int(c.limit / w.slice)
	}
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
	if w.slices == slicesPerLimit && w.onNotice != nil && !w.noticed {
		w.onNotice()
		w.noticed = true
	}
	if w.slices < max(slicesPerLimit, w.giveUpSlices) {
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
