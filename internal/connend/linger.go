package connend

import (
	"net"
	"time"
)

// lingerBufferBytes is the size of the buffer into which a lingering close reads.
const lingerBufferBytes = 16 << 10

// closeWriter is a connection of which one direction can be ended.
type closeWriter interface{ CloseWrite() error }

// CloseLingering ends this side of a connection in order, takes in what the other side still sends, and closes the connection once the other side
// has ended as well, has sent nothing for idle, or after limit. A connection that is closed while the other side sends is reset, and a reset
// drops what the other side has not read yet.
func CloseLingering(c net.Conn, idle, limit time.Duration) error {
	half, ok := c.(closeWriter)
	if !ok {
		return c.Close()
	}
	if half.CloseWrite() != nil {
		return c.Close() // The connection has ended.
	}
	buf := make([]byte, lingerBufferBytes)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		next := time.Now().Add(idle)
		if next.After(end) {
			next = end
		}
		if err := c.SetReadDeadline(next); err != nil {
			break
		}
		if _, err := c.Read(buf); err != nil {
			break
		}
	}
	return c.Close()
}
