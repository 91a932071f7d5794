package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy stands on loopback between a process and what it talks to, and harms their connections.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]bool
	// harmed are the times in which its connections were harmed.
	harmed []span
	// delay holds up each part; refuse cuts new connections; to and from lose what goes to the target or comes from it.
	delay            time.Duration
	refuse, to, from bool
}

// pair is a connection with the one to the target that belongs to it.
type pair struct {
	near, far net.Conn
	// silent is set when the connection carries nothing any more, without a word to either side.
	silent bool
}

// newProxy starts a proxy at an address for a target.
func newProxy(t *testing.T, address, target string) *proxy {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, pairs: map[*pair]bool{}}
	go p.accept()
	t.Cleanup(func() {
		_ = l.Close()
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // The test is over.
		}
		go p.serve(near)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		cut(near)
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		cut(near)
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Add(2)
	go p.copy(&done, c, far, near, &p.to)
	go p.copy(&done, c, near, far, &p.from)
	done.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// copy passes on what one side sends as long as the connection is not silent and the way is not lost.
func (p *proxy) copy(done *sync.WaitGroup, c *pair, to, from net.Conn, lost *bool) {
	defer done.Done()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		delay, drop := p.delay, c.silent || *lost
		// What was lost of a connection leaves a gap, after which nothing may follow.
		c.silent = c.silent || drop && n > 0
		p.mu.Unlock()
		time.Sleep(delay)
		if !drop && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				cut(from)
				return
			}
		}
		if drop && err != nil {
			_ = from.Close()
			return // The other side does not hear of the end.
		}
		if err == io.EOF {
			_ = to.(*net.TCPConn).CloseWrite() // One that is closed already needs no end.
			return
		}
		if err != nil {
			cut(to)
			return
		}
	}
}

// cut closes a connection with a reset.
func cut(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0) // One that is closed already can't be reset.
	_ = c.Close()
}

// reset resets each open connection.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		cut(c.near)
		cut(c.far)
	}
}

// silence makes each open connection carry nothing any more; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}

// set changes what is done to connections.
func (p *proxy) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// heal ends all harm to new connections.
func (p *proxy) heal() {
	p.set(func() { p.delay, p.refuse, p.to, p.from = 0, false, false, false })
}

// harm does one kind of harm to a proxy's connections for a moment.
func (s *striker) harm(p *proxy) {
	from := time.Now()
	defer func() { p.set(func() { p.harmed = append(p.harmed, span{from: from, to: time.Now()}) }) }()
	switch s.random.IntN(6) {
	case 0:
		p.reset()
	case 1:
		p.silence()
	case 2:
		delay := time.Duration(20+s.random.IntN(200)) * time.Millisecond
		p.set(func() { p.delay = delay })
	case 3:
		p.set(func() { p.refuse = true })
	case 4:
		p.set(func() { p.to = true })
	default:
		p.set(func() { p.from = true })
	}
	s.pause()
	p.heal()
}
