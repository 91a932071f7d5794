package telemetry

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// transport is an http.RoundTripper that wraps another one, next.
type transport struct {
	next      http.RoundTripper
	roundTrip func(*http.Request) (*http.Response, error)
}

// RoundTrip implements http.RoundTripper with the wrapping function.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) { return t.roundTrip(r) }

// CloseIdleConnections closes the idle connections of the wrapped transport.
func (t transport) CloseIdleConnections() {
	if closer, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

// baseTransport returns the transport of c, or the default one if c has none.
func baseTransport(c *http.Client) http.RoundTripper {
	if c.Transport != nil {
		return c.Transport
	}
	return http.DefaultTransport
}

// CountPlatformCalls wraps the transport of c so that its calls to the object API and the host list are counted.
func (t *Telemetry) CountPlatformCalls(c *http.Client) {
	next := baseTransport(c)
	c.Transport = transport{next, func(r *http.Request) (*http.Response, error) {
		kind := platformKind(r)
		resp, err := next.RoundTrip(r)
		if kind != "" {
			t.Metrics.PlatformCalls.Add(1, kind, resultOf(resp, err))
		}
		return resp, err
	}}
}

// platformKind returns the label of a call to the platform; it is empty for a call to a source of weights.
func platformKind(r *http.Request) string {
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/v1/objects/"):
		return objectKind(r.Method)
	case path == "/v1/list":
		return "list"
	case path == "/v1/watch":
		return "watch"
	case path == "/v1/hosts":
		return "hosts"
	}
	return ""
}

func objectKind(method string) string {
	switch method {
	case http.MethodPut:
		return "put"
	case http.MethodDelete:
		return "delete"
	}
	return "get"
}

// resultOf returns the result label of a call to the platform.
func resultOf(resp *http.Response, err error) string {
	switch {
	case err != nil:
		return "error"
	case resp.StatusCode >= http.StatusBadRequest:
		return "refused"
	}
	return outcomeOK
}

// CountChunks wraps the transport of c so that the chunks that it reads from the weight store and the origin are counted. weightStore
// and origin are their URLs; weightStore may be empty.
func (t *Telemetry) CountChunks(c *http.Client, weightStore, origin string) {
	next := baseTransport(c)
	names := map[string]string{hostOf(origin): sourceOrigin}
	if weightStore != "" {
		names[hostOf(weightStore)] = sourceStore
	}
	c.Transport = transport{next, func(r *http.Request) (*http.Response, error) {
		resp, err := next.RoundTrip(r)
		if err == nil && resp.StatusCode < http.StatusBadRequest && strings.HasPrefix(r.URL.Path, "/v1/weights/") && r.Header.Get("Range") != "" {
			resp.Body = &countedBody{ReadCloser: resp.Body, remaining: resp.ContentLength, source: names[r.URL.Host], metrics: t.Metrics}
		}
		return resp, err
	}}
}

// hostOf returns host and port of a URL, empty if it can't be parsed.
func hostOf(raw string) string {
	u, err := url.Parse(raw)
	if err != nil {
		return ""
	}
	return u.Host
}

// countedBody counts the bytes of a chunk as they are read, and the chunk itself once all its bytes are read.
type countedBody struct {
	io.ReadCloser
	remaining int64
	source    string
	metrics   *Metrics
}

// Read reads from the body and counts the bytes.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n == 0 {
		return n, err
	}
	b.metrics.ChunkBytes.Add(int64(n), b.source)
	b.remaining -= int64(n)
	if b.remaining == 0 {
		b.metrics.Chunks.Add(1, b.source)
	}
	return n, err
}

// Upstream holds the labels of an upstream's metrics.
type Upstream struct{ Team, Service, Name string }

// ObserveUpstreamCalls wraps the transport of c so that callers' requests to the upstreams in byURL are counted and timed. The keys of byURL are
// the upstreams' base URLs.
func (t *Telemetry) ObserveUpstreamCalls(c *http.Client, byURL map[string]Upstream) {
	next := baseTransport(c)
	c.Transport = transport{next, func(r *http.Request) (*http.Response, error) {
		u, ok := upstreamOf(r.URL, byURL)
		if !ok || !isCallerRequest(r) {
			return next.RoundTrip(r)
		}
		startedAt := time.Now()
		resp, err := next.RoundTrip(r)
		t.Metrics.UpstreamCalls.Add(1, u.Team, u.Service, u.Name, statusClass(resp, err))
		if err == nil {
			t.Metrics.UpstreamFirstByte.Observe(time.Since(startedAt), u.Team, u.Service, u.Name)
		}
		return resp, err
	}}
}

// requestIDHeader is set on callers' requests to an upstream and absent from the agent's own calls.
const requestIDHeader = "Request-Id"

// isCallerRequest reports whether r carries a caller's request, as opposed to a call of the agent itself.
func isCallerRequest(r *http.Request) bool { return r.Header.Get(requestIDHeader) != "" }

// upstreamOf returns the upstream whose base URL is a prefix of u. A base URL consists of scheme and host, with or without the first
// path segment.
func upstreamOf(u *url.URL, byURL map[string]Upstream) (Upstream, bool) {
	first, _, _ := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
	for _, prefix := range []string{u.Scheme + "://" + u.Host + "/" + first, u.Scheme + "://" + u.Host} {
		if upstream, ok := byURL[prefix]; ok {
			return upstream, true
		}
	}
	return Upstream{}, false
}

// statusClass returns the class of an answer's status, such as 2xx, or error if no answer came.
func statusClass(resp *http.Response, err error) string {
	if err != nil {
		return "error"
	}
	const hundred = 100
	return strconv.Itoa(resp.StatusCode/hundred) + "xx"
}

// CountControlCall counts a control call between processes; direction is in or out.
func (t *Telemetry) CountControlCall(method, direction string) {
	t.Metrics.ControlCalls.Add(1, method, direction)
}

// CountControlBytes counts n bytes of control messages; direction is in or out.
func (t *Telemetry) CountControlBytes(direction string, n int) {
	t.Metrics.ControlBytes.Add(int64(n), direction)
}
