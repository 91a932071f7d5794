package gateway

import (
	"net"
	"net/http"
	"time"
)

// closeWhenIdle is a hook of the callers' server. It closes a connection that stays idle for longer than the manifest allows: idle connections
// take up the process's file descriptors, so that new callers could not connect.
func (g *Gateway) closeWhenIdle(c net.Conn, state http.ConnState) {
	conn, ok := c.(*arrivalConn)
	if !ok {
		return
	}
	if conn.idle != nil {
		conn.idle.Stop()
		conn.idle = nil
	}
	if state == http.StateIdle {
		conn.idle = time.AfterFunc(g.maxIdleTime(), func() { _ = conn.Close() })
	}
}

// maxIdleTime is how long a caller's connection may be idle.
func (g *Gateway) maxIdleTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.catalog.Manifest; m != nil && m.MaxIdleTime > 0 {
		return m.MaxIdleTime
	}
	return idleTimeout
}
