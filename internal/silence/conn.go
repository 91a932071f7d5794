// Package silence decides when the other side of a connection is silent. Both paths use it wherever a peer that sends nothing has to be
// given up: an entry that waits for an agent or an upstream, an agent that waits for an engine.
//
// Silence is not the time since the last byte arrived. It counts only while this process waits in a read of the connection, in slices of the
// limit, and a slice counts only if the read found nothing at its end. Time that this process spends on something else (a write to a slow
// caller, a lock, no processor time, a suspended machine) is its own delay and never counts, and data that has arrived is always read before
// the other side is given up.
//
// Conn does the counting. A Watch sets the limit for one call on such a connection.
package silence

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/connend"
)

// slicesPerLimit is the number of slices into which a limit is divided. A read that is late for whatever reason counts as one slice.
const slicesPerLimit = 4

// ErrSilent is returned by a read of a connection whose other side was silent for the limit of its Watch.
var ErrSilent = errors.New("waiting for data: the other side sent nothing within the limit")

// ErrSendForbidden is returned by a write of a call of which nothing may be sent any more.
var ErrSendForbidden = errors.New("the call was replaced before it was sent")

// Conn is a connection whose reads are limited by a Watch, if one is attached. Without one, a read waits as long as it takes. Conn sets the
// read deadline of the connection that it wraps; nobody else may.
type Conn struct {
	*connend.Conn

	mu sync.Mutex
	// watch is nil while nobody waits for data, for example while the connection is idle in a pool.
	watch *Watch
	// closed is set once nothing can be written any more.
	closed bool
	// resetUnanswered is set if a connection that is closed while it is unanswered is reset; see ResetUnanswered.
	resetUnanswered bool
	// unanswered is set from a write until something is read.
	unanswered bool
	// sliceEnd is the read deadline in force, at which the current slice of watch ends. It is zero without a limit.
	sliceEnd time.Time
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: connend.New(c)} }

// find returns the Conn of a connection, which may carry TLS. It reports false if there is none.
func find(c net.Conn) (*Conn, bool) {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	found, ok := c.(*Conn)
	return found, ok
}

// Read implements net.Conn. It returns ErrSilent if the other side was silent for the limit of the attached Watch.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if n > 0 {
		c.setUnanswered(false)
	}
	return n, err
}

// read reads until something arrives or the attached Watch expires.
func (c *Conn) read(p []byte) (int, error) {
	for {
		c.startSlice()
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		w := c.endedSlice()
		over := w.countSlice()
		w.takeNotice()
		if !over {
			continue
		}
		n, err = c.lastLook(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			w.recordLateRead()
			return n, err
		}
		if w.expire() {
			return 0, ErrSilent
		}
	}
}

// Write implements net.Conn. It records in the attached Watch that something may have been sent.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.startWrite(); err != nil {
		return 0, err
	}
	c.setUnanswered(true)
	return c.Conn.Write(p)
}

// startWrite fails on a connection that was closed, so that nothing is sent after Watch.Abandon, and after Watch.ForbidSend.
func (c *Conn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	if !c.watch.recordSend() {
		return ErrSendForbidden
	}
	return nil
}

// setUnanswered records whether something was written since the last read.
func (c *Conn) setUnanswered(unanswered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = unanswered
}

// Close implements net.Conn. It resets an unanswered connection if ResetUnanswered says so.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	reset := c.resetUnanswered && c.unanswered
	c.mu.Unlock()
	if tcp, ok := c.NetConn().(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0) // Fails only on a closed connection.
	}
	return c.Conn.Close()
}

// startSlice sets the read deadline to the end of the next slice, or to none without a Watch.
func (c *Conn) startSlice() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(c.watch.slice())
}

// endedSlice returns the Watch whose slice has just ended, or nil if none has: a Watch that was attached while the read waited begins with a
// slice of its own.
func (c *Conn) endedSlice() *Watch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sliceEnd.IsZero() || time.Now().Before(c.sliceEnd) {
		return nil
	}
	return c.watch
}

// setDeadline limits reads to d from now, or not at all if d is 0. The caller holds mu.
func (c *Conn) setDeadline(d time.Duration) {
	c.sliceEnd = time.Time{}
	if d > 0 {
		c.sliceEnd = time.Now().Add(d)
	}
	_ = c.Conn.SetReadDeadline(c.sliceEnd) // Fails only on a closed connection, whose reads fail as well.
}

// attach lets w limit the reads of c, also one that is waiting already. It replaces the Watch of an earlier call.
func (c *Conn) attach(w *Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch = w
	c.setDeadline(w.slice())
}

// detach removes w, so that a read of c may wait as long as it takes. It does nothing if another Watch has replaced w.
func (c *Conn) detach(w *Watch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch != w {
		return
	}
	c.watch = nil
	c.setDeadline(0)
}
