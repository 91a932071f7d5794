// Package connend tells how the other side of a connection ended it. Where the end of a connection is the end of what it carries, only an
// orderly end proves that everything has arrived.
//
// A read alone does not tell. The kernel reports the failure of a connection once, to the first call that asks, and after that a read finds an
// end like that of a connection that was closed in order. While one goroutine writes and another one reads, the write may take the report.
// Conn therefore asks the kernel for the state of the connection at the end of a read, which is the same whichever call took the report.
package connend

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ErrAborted is returned by a read in place of io.EOF if it is not proved that the other side ended the connection in order.
var ErrAborted = errors.New("the connection ended, and not by the other side's orderly end")

// How is how a connection ended.
type How string

const (
	// Orderly is the end of a connection whose other side said that it sends nothing more, after its last byte (the FIN of TCP).
	Orderly How = "orderly"
	// Aborted is the end of a connection that was reset, or that the kernel gave up.
	Aborted How = "aborted"
	// Unproved is the end of a connection of which the kernel does not tell more, while a write waited or had failed.
	Unproved How = "unproved"
)

// Evidence is what showed how a connection ended.
type Evidence string

const (
	// ReadError is the error of a read.
	ReadError Evidence = "read error"
	// State is the kernel's state of the connection.
	State Evidence = "state"
	// ByteCount is the kernel's count of what arrived, compared with what was read.
	ByteCount Evidence = "byte count"
	// Writes is whether a write waited or had failed. It is used only where the kernel tells nothing.
	Writes Evidence = "writes"
)

// End is how a connection ended and what showed that. The zero value is that of a connection that has not ended.
type End struct {
	How      How
	Evidence Evidence
	// BytesRead is the number of bytes read before it.
	BytesRead uint64
}

// Conn is a connection whose reads return io.EOF only after an orderly end. It is safe for one reader and one writer at a time.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// read is the number of bytes read.
	read uint64
	// writing is set while a write waits. writeErr is the first error of a write.
	writing  bool
	writeErr error
	// readsDecide is set by LetReadsDecide.
	readsDecide bool
	end         End
}

// New returns a connection that reads from and writes to c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with dial and returns each as a Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// NetConn returns the connection that c reads from and writes to.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// End returns how the connection ended, as its reads have found so far.
func (c *Conn) End() End {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end
}

// Read implements net.Conn. It returns an ErrAborted in place of io.EOF unless the end is orderly.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.recordRead(n, err)
}

// LetReadsDecide makes writes succeed, and write nothing, once the connection has ended. It is set before the first write.
//
// The other side may answer, whole, before it has read everything, and end the connection. A caller that gives up the connection at a failed
// write, as net/http does, would lose the answer that has arrived. The reads tell whether there is one, and then that the connection has ended.
func (c *Conn) LetReadsDecide() { c.readsDecide = true }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.startWrite(); c.readsDecide && isEnd(err) {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	if c.readsDecide && isEnd(err) {
		return len(p), nil
	}
	return n, err
}

// startWrite records that a write begins, and returns the first error of the writes before.
func (c *Conn) startWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
	return c.writeErr
}

// endWrite records that a write has ended.
func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// endErrors are the errors of a write on a connection that has ended: reset, ended by the other side before that, or given up by the kernel.
var endErrors = []error{syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH}

// isEnd reports whether the error of a write says that the connection has ended.
func isEnd(err error) bool {
	return slices.ContainsFunc(endErrors, func(end error) bool { return errors.Is(err, end) })
}

// recordRead records the result of a read and returns the error that it is to return.
func (c *Conn) recordRead(n int, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += uint64(n)
	switch {
	case err == nil, isLocal(err):
		return err
	case err != io.EOF:
		c.end = End{How: Aborted, Evidence: ReadError, BytesRead: c.read}
		return err
	}
	c.end = c.proof()
	c.end.BytesRead = c.read
	switch {
	case c.end.How == Orderly:
		return io.EOF
	case c.writeErr != nil:
		return errors.Wrapf(ErrAborted, "after a write failed: %v", c.writeErr)
	}
	return ErrAborted
}

// isLocal reports whether an error of a read comes from this process, and says nothing of the connection: it was closed here, or its read deadline has
// passed.
func isLocal(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)
}

// proof returns how a connection ended whose read found an end. The caller holds mu.
func (c *Conn) proof() End {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			if end, told := endOf(raw, c.read); told {
				return end
			}
		}
	}
	if c.writing || c.writeErr != nil {
		return End{How: Unproved, Evidence: Writes}
	}
	return End{How: Orderly, Evidence: Writes}
}
