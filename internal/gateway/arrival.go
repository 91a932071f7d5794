package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/internal/connend"
)

// arrivalListener accepts callers' connections as arrivalConn.
type arrivalListener struct{ net.Listener }

// Accept implements net.Listener.
func (l arrivalListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &arrivalConn{LingeringConn: connend.NewLingering(c)}, nil
}

// arrivalConn is a caller's connection that knows since when its first request may have waited in the kernel for this process to read it.
//
// A deadline counts from the request's head. A process without processor time accepts a connection late or begins to read it late, and
// would count from then. If the first look finds data, the head arrived between the kernel's establishment of the connection and the look,
// so the deadline counts from the establishment: callers send the head at once. The error is at most this process's own delay. Without data
// at the first look, the process was in time. A read that waits and is woken late is not covered, nor is a later request on the connection:
// the kernel keeps only the time of the last data, which is that of the body.
type arrivalConn struct {
	*connend.LingeringConn
	looked bool
	// waitingSince is when the first request may have arrived; zero if the first look found nothing, or once it was taken.
	waitingSince time.Time
	// idle closes the connection once it has been idle for too long; nil while it is in use. Only the server's hook uses it.
	idle *time.Timer
}

// lingerOnClose lets the connection of a request that is answered before its body was read linger when it is closed. A reset would drop the answer
// before the caller, which still sends, has read it.
func lingerOnClose(r *http.Request) {
	if c, ok := r.Context().Value(arrivalKey{}).(*arrivalConn); ok {
		c.LingerOnClose()
	}
}

// Read implements net.Conn.
func (c *arrivalConn) Read(p []byte) (int, error) {
	if !c.looked {
		c.looked = true
		c.look(time.Now())
	}
	return c.Conn.Read(p)
}

// look sets waitingSince if data has arrived.
func (c *arrivalConn) look(now time.Time) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	c.waitingSince = queuedSince(raw, now)
}

// arrivalKey is the key of a request's arrivalConn in its context.
type arrivalKey struct{}

func withArrivalConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, arrivalKey{}, c)
}

// headArrivedAt returns when a request's head arrived, as far as this process can know: the present time, or earlier for the first request on
// a connection.
func headArrivedAt(r *http.Request) time.Time {
	now := time.Now()
	c, ok := r.Context().Value(arrivalKey{}).(*arrivalConn)
	if !ok || c.waitingSince.IsZero() {
		return now
	}
	at := c.waitingSince
	c.waitingSince = time.Time{}
	return at
}
