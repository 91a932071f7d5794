package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
)

// newRawUpstream starts a server that answers each call with the given bytes and closes the connection.
func newRawUpstream(t *testing.T, answer string, runs *atomic.Int64) string {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	}))
}

// TestPlainAnswersAreForwardedUnchanged guards against changes to a plain service's answer, and against a truncated
// answer that ends cleanly for the caller.
func TestPlainAnswersAreForwardedUnchanged(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		answer string
		status int
		// clean is set if the caller's connection must end without an error.
		clean bool
		body  string
		code  code.Code
	}{
		"own 404":         {"HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone", 404, true, "none", 0},
		"own 503":         {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy", 503, true, "busy", 0},
		"redirect":        {"HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n", 302, true, "", 0},
		"no content":      {"HTTP/1.1 204 No Content\r\n\r\n", 204, true, "", 0},
		"chunks":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200, true, "ab", 0},
		"cut length":      {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", 502, true, "", code.UpstreamDied},
		"cut chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", 200, false, "", 0},
		"no end":          {"HTTP/1.0 200 OK\r\n\r\nabc", 502, true, "", code.UnterminatedAnswer},
		"no answer":       {"", 502, true, "", code.UpstreamDied},
		"cut long answer": {"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000), 200, false, "", 0},
	}
	b := newBatch(t)
	for name, c := range cases {
		b.run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 1, 1)
			var runs atomic.Int64
			fleet.plainProxies[0].target.Store(trimScheme(newRawUpstream(t, c.answer, &runs)))
			status, body, err := fleet.sendRaw(bookingRequest("k", "x"))
			assert.Equal(t, c.status, status)
			assert.Equal(t, c.clean, err == nil, "%v", err)
			if c.code == 0 && c.clean {
				assert.Equal(t, c.body, body)
			}
			if c.code != 0 {
				assert.Contains(t, body, fmt.Sprintf(`"code":%d`, c.code))
				assert.NotContains(t, body, `"not run"`)
			}
			assert.Equal(t, int64(1), runs.Load())
		})
	}
	b.wait()
}

// sendRaw sends a request and returns the status and body of the answer without interpreting them.
func (f *testFleet) sendRaw(q testRequest) (int, string, error) {
	req := newRequest(context.Background(), "http://"+f.entries[0].callerListener.Addr().String(), q)
	req.Header.Set(HeaderIdempotencyKey, q.key)
	if q.deadline > 0 {
		req.Header.Set(HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// modifyEngineAnswers routes the agents' calls to engines through a proxy that applies change to the answers of
// /v1/generate.
func (f *testFleet) modifyEngineAnswers(change func(*http.Response) error) {
	base, err := url.Parse(f.engineServer)
	require.NoError(f.t, err)
	reverseProxy := httputil.NewSingleHostReverseProxy(base)
	reverseProxy.FlushInterval = -1
	reverseProxy.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	reverseProxy.ModifyResponse = func(resp *http.Response) error {
		if !strings.HasSuffix(resp.Request.URL.Path, "/v1/generate") {
			return nil
		}
		return change(resp)
	}
	address := trimScheme(serve(f.t, reverseProxy))
	for _, proxy := range f.engineProxies {
		proxy.target.Store(address)
	}
}

// replaceInBody returns a change that replaces a text in the body of an answer.
func replaceInBody(original, replacement string) func(*http.Response) error {
	return func(resp *http.Response) error {
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		body = bytes.ReplaceAll(body, []byte(original), []byte(replacement))
		resp.Body = io.NopCloser(bytes.NewReader(body))
		resp.ContentLength = int64(len(body))
		resp.Header.Set("Content-Length", fmt.Sprint(len(body)))
		return nil
	}
}

// TestAnswerWithOtherWeightsIsRefused guards against answers that mix weights. The end of the answer names weights
// other than those that the run is pinned to. An answer that is not streamed is refused; a stream ends with an error
// event.
func TestAnswerWithOtherWeightsIsRefused(t *testing.T) {
	for name, stream := range map[string]bool{"one piece": false, "stream": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t, 1, 2)
			other := strings.Repeat("0", len(fleet.weightsDigest))
			fleet.modifyEngineAnswers(replaceInBody(`"digest":"`+fleet.weightsDigest, `"digest":"`+other))
			o := fleet.send(context.Background(), 0, generateRequest("mixed", 8, stream))
			require.NotNil(t, o.problem, "%v", o)
			assert.True(t, o.isRefusal(code.WeightsChanged, code.DidRun), "%v", o)
			assert.False(t, o.complete)
			assert.Equal(t, !stream, o.cleanEnd)
		})
	}
}

// TestEngineStreamWithoutEndEventIsContinued guards against a truncated stream that is taken as complete. The stream
// ends cleanly but without its last event, so it must be continued.
func TestEngineStreamWithoutEndEventIsContinued(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 2)
	var answers atomic.Int64
	fleet.modifyEngineAnswers(func(resp *http.Response) error {
		if answers.Add(1) > 1 {
			return nil
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body = io.NopCloser(bytes.NewReader(body[:len(body)/2]))
		resp.ContentLength = -1
		resp.Header.Del("Content-Length")
		return err
	})
	o := fleet.send(context.Background(), 0, generateRequest("no end", 20, true))
	assert.True(t, o.complete, "%v", o)
}

// TestEngine503MeansNotRunOnlyForDefinedErrors guards against a false "not run". Only the defined error texts in an
// engine's 503 mean that the request did not run.
func TestEngine503MeansNotRunOnlyForDefinedErrors(t *testing.T) {
	for body, ran := range map[string]code.Ran{`{"error":"loading"}`: code.NotRun, `{"error":"no weights"}`: code.NotRun, `{"error":"crashed half way"}`: code.Unknown, "": code.Unknown} {
		t.Run(body, func(t *testing.T) {
			t.Parallel()
			fleet := newTestFleet(t, 1, 1)
			fleet.modifyEngineAnswers(func(resp *http.Response) error {
				_ = resp.Body.Close()
				resp.StatusCode = http.StatusServiceUnavailable
				resp.Body = io.NopCloser(strings.NewReader(body))
				resp.ContentLength = int64(len(body))
				resp.Header.Set("Content-Length", fmt.Sprint(len(body)))
				return nil
			})
			o := fleet.send(context.Background(), 0, generateRequest("x", 1, false))
			assert.True(t, o.isRefusal(code.UpstreamNotServing, ran), "%v", o)
		})
	}
}

// TestTransportDoesNotRepeatRunsWithoutBody guards against a second run by net/http, which by itself repeats a call
// without a body that has an idempotency key. The upstream closes a reused connection after running such a call.
func TestTransportDoesNotRepeatRunsWithoutBody(t *testing.T) {
	t.Parallel()
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodPut} {
		fleet := newTestFleet(t, 1, 1)
		var runs atomic.Int64
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/p0/warm" {
				return
			}
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(upstream.Close)
		fleet.plainProxies[0].target.Store(trimScheme(upstream.URL))
		for range 4 {
			fleet.send(context.Background(), 0, lookupRequest("/warm"))
		}
		o := fleet.send(context.Background(), 0, testRequest{service: "portal", method: method, path: "/book", key: "key-" + method})
		require.NotNil(t, o.problem, "%v", o)
		assert.Equal(t, code.Unknown, o.problem.Ran)
		assert.Equal(t, int64(1), runs.Load(), "%s: %v", method, o)
	}
}

// TestCallerDisconnectCancelsRun guards against an engine that keeps generating after the caller disconnected.
func TestCallerDisconnectCancelsRun(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	ctx, disconnect := context.WithCancel(context.Background())
	q := generateRequest("leaves", 2000, true)
	q.onToken = func(tokens int) {
		if tokens >= 3 {
			disconnect()
		}
	}
	o := fleet.send(ctx, 0, q)
	assert.False(t, o.complete)
	fleet.eventually("the run is cancelled", func() bool {
		runs := fleet.engineRuns()[o.id]
		return len(runs) == 1 && runs[0].Outcome == "cancelled"
	})
	assert.Less(t, fleet.engineRuns()[o.id][0].Tokens, 500, "the run continued as if the caller could resume")
}

// TestDeadlineEndsAttemptWithTrueRunStatus lets the deadline pass during an attempt. The attempt must end on the
// agent and the entry, and the caller is refused with the true run status.
func TestDeadlineEndsAttemptWithTrueRunStatus(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 2)
	fleet.setFaults(fleet.engineServer, `{"*":{"slow_factor":1000}}`)
	q := generateRequest("late", 10, false)
	q.deadline = 1500 * time.Millisecond
	o := fleet.send(context.Background(), 0, q)
	assert.True(t, o.isRefusal(code.DeadlinePassed, code.Unknown), "%v", o)
	assert.Less(t, o.duration, 5*time.Second)
}
