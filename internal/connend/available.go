package connend

import (
	"io"
	"net"
	"os"
	"syscall"
)

// ReadAvailable reads what has arrived, without waiting. It returns os.ErrDeadlineExceeded if there is nothing; ok is false if the connection is no
// socket. A read deadline that has passed makes it fail without a look.
func (c *Conn) ReadAvailable(p []byte) (n int, ok bool, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, true, err
	}
	n, err = readAvailable(raw, p)
	return n, true, c.recordRead(n, err)
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
