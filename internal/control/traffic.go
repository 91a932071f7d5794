package control

import "sync/atomic"

// transferred counts the bytes of all control connections of this process.
var transferred struct{ in, out atomic.Int64 }

// TransferredBytes returns the number of bytes read from and written to all control connections since the process started.
func TransferredBytes() (in, out int64) { return transferred.in.Load(), transferred.out.Load() }

// Write writes bytes to the connection and counts them.
func (c *bufferedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	transferred.out.Add(int64(n))
	return n, err
}
