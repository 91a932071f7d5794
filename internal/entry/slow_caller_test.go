package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/silence"
)

// largeUpstream is a plain service that answers with size bytes.
type largeUpstream struct {
	size int
	// runs counts the requests, sent the bytes that were accepted of their answers.
	runs, sent atomic.Int64
}

// ServeHTTP implements http.Handler.
func (u *largeUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	u.runs.Add(1)
	part := strings.Repeat("x", 64<<10)
	w.Header().Set("Content-Length", fmt.Sprint(u.size))
	for range u.size / len(part) {
		n, err := io.WriteString(w, part)
		u.sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// awaitStandstill waits until no bytes were accepted for a while: all that lies between the upstream and the caller is full.
func (u *largeUpstream) awaitStandstill() {
	const while = 400 * time.Millisecond
	for before := int64(-1); before != u.sent.Load(); time.Sleep(while) {
		before = u.sent.Load()
	}
}

// eagerConn is a connection to an agent with a large receive buffer, as the kernel allows after a while on a fast connection.
type eagerConn struct {
	net.Conn
	mu    sync.Mutex
	ready *sync.Cond
	buf   []byte
	err   error
}

// newEagerConn starts to read from a connection, up to limit bytes ahead.
func newEagerConn(c net.Conn, limit int) *eagerConn {
	e := &eagerConn{Conn: c}
	e.ready = sync.NewCond(&e.mu)
	go func() {
		p := make([]byte, 32<<10)
		for {
			n, err := c.Read(p)
			e.mu.Lock()
			for len(e.buf) >= limit && e.err == nil {
				e.ready.Wait()
			}
			e.buf = append(e.buf, p[:n]...)
			if err != nil {
				e.err = err
			}
			done := e.err != nil
			e.ready.Broadcast()
			e.mu.Unlock()
			if done {
				return
			}
		}
	}()
	return e
}

// Read implements net.Conn.
func (e *eagerConn) Read(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.buf) == 0 && e.err == nil {
		e.ready.Wait()
	}
	n := copy(p, e.buf)
	e.buf = e.buf[n:]
	e.ready.Broadcast()
	if n == 0 && len(p) > 0 {
		return 0, e.err
	}
	return n, nil
}

// SetReadDeadline does nothing: a read waits for as long as the connection does.
func (e *eagerConn) SetReadDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (e *eagerConn) Close() error {
	e.mu.Lock()
	e.err = net.ErrClosed
	e.ready.Broadcast()
	e.mu.Unlock()
	return e.Conn.Close()
}

// dialWithSmallBuffer dials an entry as a caller does whose connection holds few unread bytes.
func dialWithSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(64 << 10)
}

// TestCallerThatRestsGetsWholeAnswer guards against an answer that is cut because its caller reads nothing for a time that is shorter than the
// entry's limit for each write.
func TestCallerThatRestsGetsWholeAnswer(t *testing.T) {
	t.Parallel()
	const readBeforeRest, unreadBytes = 1 << 20, 2 << 20
	for _, pause := range []time.Duration{4 * time.Second, 9 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			require.Less(t, pause, frame.CallerIOTimeout)
			upstream := &largeUpstream{size: 32 << 20}
			f := newTestFleetForUpstream(t, trimScheme(serve(t, upstream)))
			f.entries[0].agentClient.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := f.dialAgent(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return silence.NewConn(newEagerConn(conn, unreadBytes)), nil
			}
			req := newRequest(context.Background(), "http://"+f.entries[0].callerListener.Addr().String(), lookupRequest("/large"))
			req.Header.Set(HeaderDeadline, "60000")
			resp, err := (&http.Transport{DisableKeepAlives: true, DialContext: dialWithSmallBuffer}).RoundTrip(req)
			require.NoError(t, err)
			defer func() { _ = resp.Body.Close() }()
			first, err := io.CopyN(io.Discard, resp.Body, readBeforeRest)
			require.NoError(t, err)
			upstream.awaitStandstill()
			time.Sleep(pause)
			second, err := io.Copy(io.Discard, resp.Body)
			assert.NoError(t, err, "%d of %d bytes received, %d sent, %d runs", first+second, upstream.size, upstream.sent.Load(), upstream.runs.Load())
			assert.EqualValues(t, 1, upstream.runs.Load())
		})
	}
}

// slowBody sends a first part of a body, and the rest after a pause.
func slowBody(first, rest string, pause time.Duration) io.Reader {
	r, w := io.Pipe()
	go func() {
		_, _ = io.WriteString(w, first)
		time.Sleep(pause)
		_, _ = io.WriteString(w, rest)
		_ = w.Close()
	}()
	return r
}

// upload sends a booking whose body pauses, and returns the outcome and the number of runs.
func (f *testFleet) upload(t *testing.T, q testRequest, sentBeforePause int, pause time.Duration) (outcome, int) {
	req := newRequest(context.Background(), "http://"+f.entries[0].callerListener.Addr().String(), q)
	req.Body = io.NopCloser(slowBody(q.body[:sentBeforePause], q.body[sentBeforePause:], pause))
	req.Header.Set(HeaderIdempotencyKey, q.key)
	req.Header.Set(HeaderDeadline, fmt.Sprint(q.deadline.Milliseconds()))
	start := time.Now()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	o := outcome{id: resp.Header.Get(HeaderRequestID), status: resp.StatusCode}
	o.read(resp, q, f.weightsDigest)
	o.duration = time.Since(start)
	time.Sleep(200 * time.Millisecond)
	return o, len(f.plainRuns()[o.id])
}

// TestUpstreamIsNotTakenAsSilentWhileCallerUploads guards against a refusal for silence of an upstream that waits for the request's body: the
// caller takes its time, and half of its deadline passes before the upstream has anything to answer.
func TestUpstreamIsNotTakenAsSilentWhileCallerUploads(t *testing.T) {
	t.Parallel()
	for _, size := range []int{100 << 10, 600 << 10} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 1)
			q := bookingRequest("slow", strings.Repeat("x", size))
			q.deadline = 8 * time.Second
			o, runs := f.upload(t, q, size*5/6, 5*time.Second)
			assert.True(t, o.complete, "%d runs; %v", runs, o)
			assert.Equal(t, 1, runs)
		})
	}
}

// TestEntryThatIsLateToReadHeadDoesNotCutUpload guards against a request that is refused because its entry was late to read the agent's
// response while the caller still sent the body, which can't be sent a second time.
func TestEntryThatIsLateToReadHeadDoesNotCutUpload(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 1, 2)
	f.holdCalls(map[string][]hold{frame.RunPath: {{firstByte: rest(1500 * time.Millisecond)}}})
	q := bookingRequest("late", strings.Repeat("x", 600<<10))
	q.deadline = 12 * time.Second
	o, runs := f.upload(t, q, 500<<10, 2500*time.Millisecond)
	assert.True(t, o.complete, "%d runs; %v", runs, o)
	assert.Equal(t, 1, runs)
}

// TestSilentAgentIsGivenUpInBoundedTime guards against an entry that waits for ever for an agent that is frozen, before its answer and in the
// middle of it. Another agent answers before the frozen one would have given up the run itself.
func TestSilentAgentIsGivenUpInBoundedTime(t *testing.T) {
	t.Parallel()
	const resumeWindow, tokens = 5 * time.Second, 100 // The agent's window; see agent/run.go.
	const limit = frame.FrameTimeout + frame.HeadTimeout + resumeWindow + tokens*engineStep
	for name, freezeAt := range map[string]int{"before the answer": 0, "in the middle": tokens / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, 1, 2)
			freezeBusy := func() {
				for i, a := range f.agents {
					running := 0
					a.Loop.View(func(s *core.State) { running = len(s.Runs.Running) })
					f.agentProxies[i].freeze(running > 0)
				}
			}
			q := generateRequest("frozen", tokens, true)
			q.deadline = time.Minute
			if freezeAt == 0 {
				f.agentProxies[0].freeze(true)
			} else {
				q.onToken = func(n int) {
					if n == freezeAt {
						freezeBusy()
					}
				}
			}
			o := f.send(context.Background(), 0, q)
			assert.True(t, o.complete, "%v", o)
			assert.Less(t, o.duration, limit, "%v", o)
		})
	}
}
