package silence

import "time"

// lastLookTimeout is how long the last read before the other side is given up waits for data, on a connection that is no socket. Data that has
// arrived is returned at once.
const lastLookTimeout = 10 * time.Millisecond

// lastLook reads what has arrived, without waiting. It returns os.ErrDeadlineExceeded if there is nothing.
//
// It asks the kernel itself. A Read whose deadline has passed when it begins fails without a look, so a process without processor time between
// setting the deadline and reading would find nothing, whatever has arrived.
func (c *Conn) lastLook(p []byte) (int, error) {
	c.limitRead(0)
	if n, ok, err := c.ReadAvailable(p); ok {
		return n, err
	}
	c.limitRead(lastLookTimeout)
	return c.Conn.Read(p)
}

// limitRead sets the read deadline to d from now, or to none if d is 0.
func (c *Conn) limitRead(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(d)
}
