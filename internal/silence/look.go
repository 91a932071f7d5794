package silence

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// lastLookTimeout is how long the last read before the other side is given up waits for data, on a connection that is no socket. Data that has
// arrived is returned at once.
const lastLookTimeout = 10 * time.Millisecond

// lastLook reads what has arrived, without waiting. It returns os.ErrDeadlineExceeded if there is nothing.
//
// It asks the kernel itself. A Read whose deadline has passed when it begins fails without a look, so a process without processor time between
// setting the deadline and reading would find nothing, whatever has arrived.
func (c *Conn) lastLook(p []byte) (int, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		c.limitRead(lastLookTimeout)
		return c.Conn.Read(p)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	c.limitRead(0)
	return readAvailable(raw, p)
}

// limitRead sets the read deadline to d from now, or to none if d is 0.
func (c *Conn) limitRead(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(d)
}

// readAvailable reads from a socket what has arrived. It returns os.ErrDeadlineExceeded if there is nothing.
func readAvailable(socket syscall.RawConn, p []byte) (int, error) {
	var n int
	var readErr error
	err := socket.Read(func(fd uintptr) bool {
		for {
			n, readErr = syscall.Read(int(fd), p)
			if readErr != syscall.EINTR {
				return true
			}
		}
	})
	switch {
	case err != nil:
		return 0, err
	case readErr == syscall.EAGAIN:
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", readErr)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	return n, nil
}
