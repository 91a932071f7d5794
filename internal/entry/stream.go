package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/frame"
)

// agentIdleTimeout is how long an idle pooled connection to an agent stays open.
const agentIdleTimeout = 30 * time.Second

// errNotConnected means that a call was not sent: it could not be built, or no connection was established.
var errNotConnected = errors.New("no connection")

// newAgentClient returns an HTTP client for agents that dials as the client for peers does. If pooled is false, each
// call uses a new connection: a call made after a timeout must not be sent on another pooled connection that is dead
// as well.
func newAgentClient(peers *http.Client, pooled bool) *http.Client {
	t := peers.Transport.(*http.Transport).Clone()
	t.IdleConnTimeout = agentIdleTimeout
	t.DisableKeepAlives = !pooled
	return &http.Client{Transport: t}
}

// stream is an HTTP response on which an agent sends an answer as frames.
type stream struct {
	resp   *http.Response
	frames *frame.Reader
	// silenceTimer cancels the call if no frame arrives within frame.FrameTimeout.
	silenceTimer *time.Timer
	cancel       context.CancelFunc
	// lastFrameReceived is set once the last frame was read.
	lastFrameReceived bool
}

// next reads a frame and restarts the silence timer.
func (s *stream) next() (frame.Type, []byte, error) {
	t, payload, err := s.frames.Next()
	s.silenceTimer.Reset(frame.FrameTimeout)
	s.lastFrameReceived = err == nil && (t == frame.TypeEnd || t == frame.TypeFail)
	return t, payload, err
}

// close releases the stream. The connection is reused if the last frame was received; otherwise it is closed.
func (s *stream) close() {
	if s.lastFrameReceived {
		s.lastFrameReceived = false
		go s.drain()
		return
	}
	s.silenceTimer.Stop()
	s.cancel()
	_ = s.resp.Body.Close()
}

// drain reads the HTTP response to its end, which follows the last frame immediately, so that the connection can be
// reused.
func (s *stream) drain() {
	_, _ = io.Copy(io.Discard, io.LimitReader(s.resp.Body, 1))
	s.close()
}

// agentCall describes one call to an agent.
type agentCall struct {
	address, path string
	env           frame.Envelope
	header        http.Header
	body          io.Reader
	contentLength int64
	// unpooled requests a new connection for this call.
	unpooled bool
}

// openStream makes the call and waits for the response's header, which a working agent sends immediately.
func (e *Entry) openStream(ctx context.Context, c agentCall) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+c.address+c.path, c.body)
	if err != nil {
		cancel()
		return nil, errors.Wrapf(errNotConnected, "building the call to %s: %v", c.address, err)
	}
	if c.body != nil && c.contentLength != 0 {
		// The body can be read only once. Without GetBody the transport can't send the call a second time on its own.
		req.Body, req.GetBody = io.NopCloser(c.body), nil
		req.ContentLength = c.contentLength
	} else {
		req.Body, req.GetBody, req.ContentLength = nil, nil, 0
	}
	req.Header = c.header
	control.Authorize(req.Header, e.config.Secret)
	if err := c.env.Set(req.Header); err != nil {
		cancel()
		return nil, errors.Wrap(errNotConnected, err.Error())
	}
	client := e.agentClient
	mayBeRepeated := req.Body == nil && c.header.Get(HeaderIdempotencyKey) != ""
	if c.unpooled || mayBeRepeated {
		// net/http repeats a call without a body that has an Idempotency-Key header, but never on a new connection.
		client = e.unpooledAgentClient
	}
	silenceTimer := time.AfterFunc(frame.HeadTimeout, cancel)
	resp, err := client.Do(req)
	if err != nil {
		silenceTimer.Stop()
		cancel()
		if !connected.Load() {
			return nil, errors.Wrapf(errNotConnected, "calling %s: %v", c.address, err)
		}
		return nil, errors.Wrapf(err, "calling %s", c.address)
	}
	silenceTimer.Reset(frame.FrameTimeout)
	s := &stream{resp: resp, frames: frame.NewReader(resp.Body), silenceTimer: silenceTimer, cancel: cancel}
	if resp.StatusCode != http.StatusOK {
		s.close()
		return nil, errors.Errorf("calling %s: status %d", c.address, resp.StatusCode)
	}
	return s, nil
}
