package connend

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// lingerIdleTimeout is how long the other side of a lingering connection may send nothing, and lingerLimit how long it may send at all, until the
	// connection is closed. A caller reads a refusal within that.
	lingerIdleTimeout = time.Second
	lingerLimit       = 5 * time.Second
	// lingerBufferBytes is the size of the buffer into which a lingering connection is read.
	lingerBufferBytes = 16 << 10
	// maxLingering is the maximum number of connections of a process that linger; each takes up a file descriptor.
	maxLingering = 512
)

// lingering is the number of connections that linger.
var lingering atomic.Int64

// LingeringConn is a connection that lingers when it is closed, if LingerOnClose was called. A connection that is closed while the other side still
// sends is reset, and the reset drops what the other side has not read yet, as the refusal of a request that is not read to its end.
type LingeringConn struct {
	net.Conn
	lingers atomic.Bool
}

// NewLingering returns a connection that reads from and writes to c.
func NewLingering(c net.Conn) *LingeringConn { return &LingeringConn{Conn: c} }

// LingerOnClose lets the connection linger when it is closed: this side ends in order, and what the other side still sends is dropped, until it ends as
// well, is silent, or has sent for too long.
func (c *LingeringConn) LingerOnClose() { c.lingers.Store(true) }

// Close implements net.Conn. A connection that lingers is closed in the background.
func (c *LingeringConn) Close() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || !c.lingers.CompareAndSwap(true, false) {
		return c.Conn.Close()
	}
	if lingering.Add(1) > maxLingering {
		lingering.Add(-1)
		return c.Conn.Close()
	}
	go func() {
		defer lingering.Add(-1)
		if half.CloseWrite() == nil { // Otherwise the connection has ended.
			c.drop()
		}
		_ = c.Conn.Close() // What the other side sends after that is of no use.
	}()
	return nil
}

// drop reads what the other side sends, within the limits of a lingering connection.
func (c *LingeringConn) drop() {
	buf := make([]byte, lingerBufferBytes)
	for end := time.Now().Add(lingerLimit); ; {
		next := time.Now().Add(lingerIdleTimeout)
		if next.After(end) {
			next = end
		}
		if c.Conn.SetReadDeadline(next) != nil {
			return
		}
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}
