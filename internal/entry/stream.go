package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/silence"
)

// agentIdleTimeout is how long an idle pooled connection to an agent stays open.
const agentIdleTimeout = 30 * time.Second

// errNotConnected means that a call was not sent: it could not be built, or no connection was established.
var errNotConnected = errors.New("no connection")

// silentError means that an agent sent nothing for a limit while something was waited for.
type silentError struct{ limit time.Duration }

// Error implements error.
func (e silentError) Error() string {
	return fmt.Sprintf("the agent was silent for %v", e.limit)
}

// silenceOf returns how long the agent was silent before a call failed with err; 0 if the call failed for another reason.
func silenceOf(err error) time.Duration {
	var silent silentError
	if errors.As(err, &silent) {
		return silent.limit
	}
	return 0
}

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
	// silence cancels the call if the agent sends no frame for frame.FrameTimeout while one is waited for.
	silence *silence.Watch
	cancel  context.CancelCauseFunc
	// lastFrameReceived is set once the last frame was read.
	lastFrameReceived bool
}

// next waits for a frame and returns it. It returns a silentError if the agent sent none for frame.FrameTimeout.
func (s *stream) next() (frame.Type, []byte, error) {
	t, payload, err := s.frames.Next()
	if err != nil && s.silence.Expired() {
		err = silentError{limit: frame.FrameTimeout}
	}
	s.silence.Progress(frame.FrameTimeout)
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
	s.silence.Stop()
	s.cancel(nil)
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
	// headTimeout is how long the agent may be silent before the response's header arrives.
	headTimeout time.Duration
}

// openStream makes the call and waits for the response's header, which a working agent sends immediately.
func (e *Entry) openStream(ctx context.Context, c agentCall) (*stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watch := silence.NewWatch(c.headTimeout, func() { cancel(silence.ErrSilent) })
	watch.OnLateRead(e.OwnDelay.LateRead)
	var connectedAt atomic.Pointer[time.Time]
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		now := time.Now()
		connectedAt.Store(&now)
	}}
	req, err := e.newAgentRequest(silence.WithWatch(httptrace.WithClientTrace(ctx, trace), watch), c)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp, err := e.agentClientFor(c, req).Do(req)
	if err != nil {
		sent := watch.Abandon()
		cancel(nil)
		if !sent {
			return nil, errors.Wrapf(errNotConnected, "calling %s: %v", c.address, err)
		}
		if watch.Expired() {
			err = silentError{limit: c.headTimeout}
		}
		return nil, errors.Wrapf(err, "calling %s", c.address)
	}
	watch.Progress(frame.FrameTimeout)
	s := &stream{resp: resp, frames: frame.NewReader(resp.Body), silence: watch, cancel: cancel}
	if resp.StatusCode != http.StatusOK {
		s.close()
		return nil, errors.Errorf("calling %s: status %d", c.address, resp.StatusCode)
	}
	e.headTimes.record(c.address, time.Now(), time.Since(*connectedAt.Load()))
	return s, nil
}

// newAgentRequest builds the HTTP request of a call. Its errors wrap errNotConnected.
func (e *Entry) newAgentRequest(ctx context.Context, c agentCall) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+c.path, c.body)
	if err != nil {
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
		return nil, errors.Wrap(errNotConnected, err.Error())
	}
	return req, nil
}

// agentClientFor returns the client whose transport can't send the call a second time on its own.
func (e *Entry) agentClientFor(c agentCall, req *http.Request) *http.Client {
	mayBeRepeated := req.Body == nil && c.header.Get(HeaderIdempotencyKey) != ""
	if c.unpooled || mayBeRepeated {
		// net/http repeats a call without a body that has an Idempotency-Key header, but never on a new connection.
		return e.unpooledAgentClient
	}
	return e.agentClient
}
