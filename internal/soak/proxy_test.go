package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections from a process to a target on loopback, and injects connection faults.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[*connPair]bool
	// disruptions are the times in which a connection fault was injected.
	disruptions []span
	// delay is added to each write; refuse resets new connections. loseToTarget and loseFromTarget discard the data sent to the target or
	// received from it.
	delay                                time.Duration
	refuse, loseToTarget, loseFromTarget bool
}

// connPair is an accepted connection and the connection to the target that it is forwarded to.
type connPair struct {
	clientConn, targetConn net.Conn
	// silent is set when the proxy discards all further data, without closing either connection.
	silent bool
}

// newProxy starts a proxy that listens on an address and forwards to a target, until the end of the test.
func newProxy(t *testing.T, address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, connections: map[*connPair]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		clientConn, err := p.listener.Accept()
		if err != nil {
			return // The test is over.
		}
		go p.serve(clientConn)
	}
}

func (p *proxy) serve(clientConn net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		resetConn(clientConn)
		return
	}
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(clientConn)
		return
	}
	c := &connPair{clientConn: clientConn, targetConn: targetConn}
	p.mu.Lock()
	p.connections[c] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Add(2)
	go p.relay(&done, c, targetConn, clientConn, &p.loseToTarget)
	go p.relay(&done, c, clientConn, targetConn, &p.loseFromTarget)
	done.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// relay forwards the data of one direction, unless the connection is silent or *lost says that this direction is discarded.
func (p *proxy) relay(done *sync.WaitGroup, c *connPair, to, from net.Conn, lost *bool) {
	defer done.Done()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay, drop := p.delay, c.silent || *lost
		// After data has been discarded, later data must not be forwarded: the receiver would read a stream with a gap.
		c.silent = c.silent || drop && n > 0
		p.mu.Unlock()
		time.Sleep(delay)
		if !drop && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if drop && err != nil {
			_ = from.Close()
			return // The end of the stream is discarded like its data.
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // Fails only if the connection is already closed.
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // Fails only if the connection is already closed.
	_ = c.Close()
}

// resetAll resets all open connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		resetConn(c.clientConn)
		resetConn(c.targetConn)
	}
}

// silenceAll makes all open connections discard their data from now on. New connections are not affected.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.silent = true
	}
}

// update runs change with the lock held, to change the injected faults.
func (p *proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// restore ends the faults that apply to all connections. Connections that are silent stay silent.
func (p *proxy) restore() {
	p.update(func() { p.delay, p.refuse, p.loseToTarget, p.loseFromTarget = 0, false, false, false })
}

// disrupt injects one kind of fault into a proxy's connections for a short time.
func (s *injector) disrupt(p *proxy) {
	from := time.Now()
	defer func() { p.update(func() { p.disruptions = append(p.disruptions, span{from: from, to: time.Now()}) }) }()
	switch s.random.IntN(6) {
	case 0:
		p.resetAll()
	case 1:
		p.silenceAll()
	case 2:
		delay := time.Duration(20+s.random.IntN(200)) * time.Millisecond
		p.update(func() { p.delay = delay })
	case 3:
		p.update(func() { p.refuse = true })
	case 4:
		p.update(func() { p.loseToTarget = true })
	default:
		p.update(func() { p.loseFromTarget = true })
	}
	s.pause()
	p.restore()
}
