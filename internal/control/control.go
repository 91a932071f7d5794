// Package control carries the control messages between the processes: JSON-RPC 2.0 over a long-lived connection from a
// caller to each of its peers. A connection starts as an HTTP upgrade request, so that one address of a host serves both
// control messages and bulk data.
package control

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
)

const (
	// Path is the HTTP path of the upgrade request.
	Path = "/control"
	// Protocol is the value of the Upgrade header.
	Protocol = "samphireweir-control"
	// CallTimeout is the timeout of a call. The connection to a peer that does not respond in time is closed.
	CallTimeout = 3 * time.Second
	// DialTimeout is the timeout of opening a connection, including the upgrade.
	DialTimeout = time.Second
	// FromHeader is the header of the upgrade request that holds the caller's own address.
	FromHeader = "Samphireweir-From"
)

// Handler handles the calls of one method. from is the caller's address, and params the raw JSON of the parameters.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Handlers maps method names to their handlers.
type Handlers map[string]Handler

// Meter counts control calls and the bytes of their messages. The direction is DirectionIn or DirectionOut.
type Meter interface {
	CountControlCall(method, direction string)
	CountControlBytes(direction string, n int)
}

// The directions of calls and messages.
const (
	DirectionIn  = "in"
	DirectionOut = "out"
)

// noopMeter is a Meter that counts nothing.
type noopMeter struct{}

// CountControlCall does nothing.
func (noopMeter) CountControlCall(string, string) {}

// CountControlBytes does nothing.
func (noopMeter) CountControlBytes(string, int) {}

// Authorize adds the shared secret of the processes to the headers of a request.
func Authorize(h http.Header, secret string) { h.Set("Authorization", "Bearer "+secret) }

// Server accepts control connections.
type Server struct {
	handlers Handlers
	// Meter may be set before the first connection.
	Meter Meter
	// OnPanic, if set, is called with the value of each panic that was recovered from a handler.
	OnPanic func(cause any)
}

// NewServer returns a server that dispatches calls to handlers.
func NewServer(h Handlers) *Server { return &Server{handlers: h, Meter: noopMeter{}} }

// ServeHTTP upgrades a connection and serves calls on it until it is closed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Upgrade") != Protocol {
		http.Error(w, "want an upgrade to "+Protocol, http.StatusUpgradeRequired)
		return
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "can't upgrade", http.StatusInternalServerError)
		return
	}
	_ = conn.SetDeadline(time.Time{})
	const accept = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + Protocol + "\r\n\r\n"
	if _, err := io.WriteString(conn, accept); err != nil {
		_ = conn.Close()
		return
	}
	from := r.Header.Get(FromHeader)
	h := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return s.dispatch(ctx, from, req)
	}))
	c := jsonrpc2.NewConn(context.Background(), newStream(conn, rw.Reader, s.Meter), h, discardLog)
	<-c.DisconnectNotify()
}

// dispatch passes a call to its handler and converts coded errors to JSON-RPC errors.
func (s *Server) dispatch(ctx context.Context, from string, req *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[req.Method]
	if ok {
		s.Meter.CountControlCall(req.Method, DirectionIn)
	} else {
		return nil, &jsonrpc2.Error{Code: int64(code.BadMessage), Message: "unknown method " + req.Method}
	}
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := s.callHandler(ctx, h, from, params)
	var coded *code.Error
	if errors.As(err, &coded) {
		return nil, &jsonrpc2.Error{Code: int64(coded.Code), Message: coded.Error()}
	}
	return result, err
}

// callHandler calls a handler. A panic in the handler becomes an error of this call only.
func (s *Server) callHandler(ctx context.Context, h Handler, from string, params json.RawMessage) (result any, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if s.OnPanic != nil {
			s.OnPanic(cause)
		}
		err = code.Errorf(code.InternalFault, "", "%v", cause)
	}()
	return h(ctx, from, params)
}

// Decode decodes parameters into a typed message. The error has the code code.BadMessage.
func Decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return code.Errorf(code.BadMessage, "params", "%v", err)
	}
	return nil
}

// bufferedConn is a connection whose first bytes may have been buffered while the upgrade was read.
type bufferedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read returns the buffered bytes first, and counts all bytes.
func (c *bufferedConn) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	transferred.in.Add(int64(n))
	return n, err
}

func newStream(conn net.Conn, r *bufio.Reader, m Meter) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(&bufferedConn{Conn: conn, r: r}, boundedCodec{meter: m})
}

// Pool holds the connections of this process to its peers. It is safe for concurrent use.
type Pool struct {
	self   string
	secret string
	dialer DialFunc
	// Meter may be set before the first call.
	Meter Meter
	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
	// closed is set by Close and prevents new connections.
	closed bool
}

// Close closes all connections and prevents new ones.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.Close()
	}
}

// DialFunc opens a connection to a peer. It may add TLS.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool for the process at address self.
func NewPool(self, secret string, dial DialFunc) *Pool {
	return &Pool{self: self, secret: secret, dialer: dial, Meter: noopMeter{}, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method of the peer at address and decodes the response into result. If the call fails without an error
// response from the peer, Call closes the connection.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	p.Meter.CountControlCall(method, DirectionOut)
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	c, err := p.conn(ctx, address)
	if err != nil {
		return err
	}
	err = c.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		return errors.Wrapf(err, "%s at %s", method, address)
	}
	// The peer did not respond or the connection failed. The next call opens a new connection.
	p.drop(address, c)
	return errors.Wrapf(err, "%s at %s", method, address)
}

// conn returns the connection to a peer, and opens it if there is none.
func (p *Pool) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	c := p.conns[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	fresh, err := p.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "connecting to %s", address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil {
		_ = fresh.Close()
		return other, nil
	}
	if p.closed {
		_ = fresh.Close()
		return nil, errors.Errorf("connecting to %s: connection pool is closed", address)
	}
	p.conns[address] = fresh
	go p.dropWhenClosed(address, fresh)
	return fresh, nil
}

// dropWhenClosed removes a connection from the pool once it is closed.
func (p *Pool) dropWhenClosed(address string, c *jsonrpc2.Conn) {
	<-c.DisconnectNotify()
	p.drop(address, c)
}

// drop removes a connection from the pool and closes it.
func (p *Pool) drop(address string, c *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conns[address] == c {
		delete(p.conns, address)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// dial opens a connection to a peer and upgrades it.
func (p *Pool) dial(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := p.dialer(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(DialTimeout))
	r, err := p.upgrade(conn, address)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return jsonrpc2.NewConn(context.Background(), newStream(conn, r, p.Meter), rejectCalls{}, discardLog), nil
}

// upgrade sends the upgrade request and reads the response. The returned reader may have buffered the first bytes after it.
func (p *Pool) upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", Protocol)
	req.Header.Set(FromHeader, p.self)
	Authorize(req.Header, p.secret)
	if err := req.Write(conn); err != nil {
		return nil, err
	}
	resp, r, err := boundedread.ReadResponse(conn, req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Errorf("upgrade refused with status %d", resp.StatusCode)
	}
	return r, nil
}

// rejectCalls rejects calls on the connections that this process opened itself: the peer must not call back.
type rejectCalls struct{}

// Handle rejects the call.
func (rejectCalls) Handle(ctx context.Context, c *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = c.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: int64(code.BadMessage), Message: "no calls on this side"})
}
