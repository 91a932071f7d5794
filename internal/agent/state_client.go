package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// stateTimeout is how long an engine may be silent to a read of its state: first while it is connected to, then until it has answered.
	stateTimeout = 2 * time.Second
	// stateCallTimeout bounds a read of an engine's state in all, whatever the engine sends. It leaves room for the agent's own delay.
	stateCallTimeout = 3 * stateTimeout
)

// newStateClient returns a client for calls to engines with short answers. It gives up an engine that is silent for stateTimeout.
func newStateClient() *http.Client {
	return &http.Client{Transport: stateTransport{newUpstreamClient(true).Transport}}
}

// stateTransport limits the silence of the other side in each call that it sends through next, whose connections are made by dialUpstream.
type stateTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper. An engine that was silent for too long makes it return silence.ErrSilent.
func (t stateTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancel(context.WithValue(r.Context(), connectLimitKey{}, stateTimeout))
	watch := silence.NewWatch(stateTimeout, cancel) // Without the cancellation, net/http would repeat the call.
	body := &stateBody{watch: watch, cancel: cancel}
	resp, err := t.next.RoundTrip(r.WithContext(silence.WithWatch(ctx, watch)))
	if err != nil {
		err = body.errorOf(err)
		body.end()
		return nil, err
	}
	body.ReadCloser = resp.Body
	resp.Body = body
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t stateTransport) CloseIdleConnections() {
	(&http.Client{Transport: t.next}).CloseIdleConnections()
}

// stateBody is the body of a response whose Watch ends when it is closed.
type stateBody struct {
	io.ReadCloser
	watch  *silence.Watch
	cancel context.CancelFunc
}

// Read reads from the body. It returns silence.ErrSilent if the other side was silent for too long.
func (b *stateBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	return n, b.errorOf(err)
}

// Close closes the body and ends the Watch.
func (b *stateBody) Close() error {
	defer b.end()
	return b.ReadCloser.Close()
}

// errorOf returns silence.ErrSilent for an error of a call that was given up, and other errors unchanged.
func (b *stateBody) errorOf(err error) error {
	if err != nil && err != io.EOF && b.watch.Expired() {
		return errors.WithStack(silence.ErrSilent)
	}
	return err
}

func (b *stateBody) end() {
	b.watch.Stop()
	b.cancel()
}
