package rig2

import (
	"io"
	"net"
	"sync"
)

// Link is the path to a server: a proxy that can be cut for a while. What is sent meanwhile arrives after the cut.
type Link struct {
	// Address is where the server is reached through the link.
	Address string
	server  string

	mu sync.Mutex
	// healed is closed while the link is not cut.
	healed chan struct{}
}

// NewLink returns a link to a server.
func (c *Case) NewLink(server string) *Link {
	l := &Link{server: server, healed: make(chan struct{})}
	close(l.healed)
	listener := c.Listen(c.IP())
	l.Address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(conn.(*net.TCPConn))
		}
	}()
	return l
}

// Cut cuts the link.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

// Heal ends the cut.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// pass waits while the link is cut.
func (l *Link) pass() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

// forward carries a channel. One to a server that is down is reset.
func (l *Link) forward(conn *net.TCPConn) {
	l.pass()
	out, err := net.Dial("tcp", l.server)
	if err != nil {
		_ = conn.SetLinger(0)
		_ = conn.Close()
		return
	}
	server := out.(*net.TCPConn)
	var wg sync.WaitGroup
	wg.Go(func() { l.carry(server, conn) })
	wg.Go(func() { l.carry(conn, server) })
	wg.Wait()
	_ = conn.Close()
	_ = server.Close()
}

// carry carries the bytes of one direction, and its end: a reset as a reset.
func (l *Link) carry(to, from *net.TCPConn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		l.pass()
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err == io.EOF {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
