package node

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/intake"
	"samphireweir.example/samphireweir/internal/logevent"
)

// WriteTimeout bounds how long one write waits for the peer to accept bytes. It restarts with each write, so it does
// not limit the duration of a whole answer.
const WriteTimeout = 30 * time.Second

// newServer returns a server whose reads and writes can't block forever. A panic in a handler ends only its request.
func (p *Process) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: p.guard(h), ReadHeaderTimeout: HeaderTimeout, IdleTimeout: IdleTimeout, WriteTimeout: WriteTimeout,
		MaxHeaderBytes: MaxHeaderBytes, ErrorLog: log.New(httpErrorLog{p.Log}, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
}

// connKey is the key under which the context of a request holds its connection.
type connKey struct{}

// LimitSendBuffer limits how many bytes of r's response the kernel holds that the peer has not received. The kernel takes about twice the
// size given. It does nothing for a connection without such a buffer.
func LimitSendBuffer(r *http.Request, size int) {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(size) // Without the limit, more is sent than can be resumed; the answer itself is the same.
	}
}

// httpErrorLog writes the log lines of net/http as log events.
type httpErrorLog struct{ log zerolog.Logger }

// Write logs one line of net/http.
func (l httpErrorLog) Write(line []byte) (int, error) {
	logevent.Warn(l.log, logevent.ServerError).Str("error", strings.TrimSpace(string(line))).Msg("server error")
	return len(line), nil
}

// guard sets deadlines on each read and write of a request and recovers panics of its handler.
func (p *Process) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g := &guardedWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: WriteTimeout}
		if r.Body != nil && r.Body != http.NoBody {
			g.body = &guardedBody{ReadCloser: r.Body, control: g.control}
			defer g.body.release()
			r.Body = g.body
		}
		defer g.release()
		defer p.recoverRequest(g, r)
		next.ServeHTTP(g, r)
		g.lingerIfUnread(r)
	})
}

// lingerIfUnread lets the connection of a request linger whose body was not read to its end, so that the answer reaches a caller that still sends it.
func (g *guardedWriter) lingerIfUnread(r *http.Request) {
	conn, ok := r.Context().Value(connKey{}).(interface{ LingerOnClose() })
	if ok && g.body != nil && !g.body.ended() {
		conn.LingerOnClose()
	}
}

// recoverRequest answers a request whose handler panicked. It passes on http.ErrAbortHandler, which aborts an answer on
// purpose, and aborts an answer that has already started, so that it can't look complete.
func (p *Process) recoverRequest(g *guardedWriter, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	p.ReportPanic("request", cause)
	if g.wrote {
		panic(http.ErrAbortHandler)
	}
	fault := code.InternalFault.Describe()
	g.Header().Set("Content-Type", "application/problem+json")
	g.WriteHeader(fault.Status)
	_ = json.NewEncoder(g).Encode(map[string]any{
		"title": fault.Name, "status": fault.Status, "code": fault.Code, "detail": fault.Help, "ran": code.Unknown,
		"request_id": g.Header().Get("Request-Id"),
	})
}

// ReportPanic counts and logs a recovered panic. where is the kind of work that panicked.
func (p *Process) ReportPanic(where string, cause any) {
	p.Telemetry.Metrics.Panics.Add(1, where)
	logevent.Warn(p.Log, logevent.PanicRecovered).Str("where", where).Interface("cause", cause).Str("stack", string(debug.Stack())).Msg("panic recovered")
}

// guardedWriter sets a new deadline for each write, unless the handler sets its own.
type guardedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	wrote   bool
	// body is the request's body; nil when it has none.
	body *guardedBody

	mu sync.Mutex
	// writeDeadline is the handler's own write deadline; zero for none.
	writeDeadline time.Time
}

// extend sets the deadline of the next write.
func (g *guardedWriter) extend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	deadline := g.writeDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(g.timeout)
	}
	_ = g.control.SetWriteDeadline(deadline)
}

// SetWriteDeadline sets the handler's own write deadline, which replaces the one that each write sets. It may be called while a write
// blocks. The zero time removes it.
func (g *guardedWriter) SetWriteDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writeDeadline = t
	return g.control.SetWriteDeadline(t)
}

// release removes the handler's own write deadline when the handler returns.
func (g *guardedWriter) release() {
	_ = g.SetWriteDeadline(time.Time{})
	g.extend()
}

// WriteHeader records that the answer has started.
func (g *guardedWriter) WriteHeader(status int) {
	g.wrote = true
	g.ResponseWriter.WriteHeader(status)
}

// Write extends the write deadline and writes p.
func (g *guardedWriter) Write(p []byte) (int, error) {
	g.wrote = true
	g.extend()
	return g.ResponseWriter.Write(p)
}

// FlushError extends the write deadline and flushes.
func (g *guardedWriter) FlushError() error {
	g.extend()
	return g.control.Flush()
}

// SetReadDeadline sets the handler's own read deadline. The body's reads are bounded by the earlier of this deadline
// and the one that guardedBody sets.
func (g *guardedWriter) SetReadDeadline(t time.Time) error {
	if g.body == nil {
		return g.control.SetReadDeadline(t)
	}
	return g.body.setDeadline(t)
}

// Unwrap lets http.ResponseController reach the connection.
func (g *guardedWriter) Unwrap() http.ResponseWriter { return g.ResponseWriter }

// guardedBody sets a deadline for each read of a body, from the minimum rate at which the body must arrive.
type guardedBody struct {
	io.ReadCloser
	control *http.ResponseController

	mu   sync.Mutex
	rate intake.BodyRate
	// readStartedAt is when the last read started.
	readStartedAt time.Time
	released      bool
	// sawEnd is set once the body was read to its end.
	sawEnd bool
	// deadline is the handler's own read deadline; zero for none.
	deadline time.Time
}

// Read reads within the time that the body's minimum rate allows.
func (b *guardedBody) Read(p []byte) (int, error) {
	if err := b.startRead(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(p)
	return n, b.endRead(n, err)
}

func (b *guardedBody) startRead() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readStartedAt = time.Now()
	if b.rate.TooSlow() {
		return errBodyTooSlow()
	}
	if !b.released {
		_ = b.control.SetReadDeadline(b.earlierDeadline(b.readStartedAt.Add(b.rate.Timeout())))
	}
	return nil
}

// ended reports whether the body was read to its end.
func (b *guardedBody) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sawEnd
}

func (b *guardedBody) setDeadline(t time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deadline = t
	return b.control.SetReadDeadline(t)
}

func (b *guardedBody) earlierDeadline(t time.Time) time.Time {
	if b.deadline.IsZero() || t.Before(b.deadline) {
		return t
	}
	return b.deadline
}

// endRead removes the read's deadline, because net/http itself keeps reading to detect that the peer disconnects.
func (b *guardedBody) endRead(n int, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rate.Bytes += int64(n)
	b.rate.Waited += time.Since(b.readStartedAt)
	b.sawEnd = b.sawEnd || err == io.EOF
	if b.released {
		return err
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return errBodyTooSlow()
	}
	_ = b.control.SetReadDeadline(b.deadline)
	return err
}

func errBodyTooSlow() error {
	return code.Errorf(code.BodyTooSlow, "body", "want bytes at least every %v and %d bytes a second after %v", intake.MaxBodyGap, intake.MinBytesPerSecond, intake.RateGrace)
}

// release ends the guard when its handler returns: later reads of the body must not change the connection's deadlines.
// The rest of the body gets a last deadline of HeaderTimeout, within which net/http may discard it.
func (b *guardedBody) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	_ = b.control.SetReadDeadline(time.Now().Add(HeaderTimeout))
}
