package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/node"
)

// largeService is a plain service that answers with size bytes.
type largeService struct {
	size int
	// runs counts the requests, sent the answers that were sent completely, and cancelled those whose connection ended before.
	runs, sent, cancelled atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *largeService) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.runs.Add(1)
	w.Header().Set("Content-Length", fmt.Sprint(s.size))
	part := strings.Repeat("x", 64<<10)
	for range s.size / len(part) {
		if _, err := io.WriteString(w, part); err != nil {
			s.cancelled.Add(1)
			return
		}
	}
	s.sent.Add(1)
}

// servedAgent starts an agent in front of one plain service.
func servedAgent(t *testing.T, service http.Handler) *Agent {
	t.Helper()
	b := buildTestEnv(t, fencings[0])
	upstream := httptest.NewServer(service)
	t.Cleanup(func() {
		upstream.CloseClientConnections()
		upstream.Close()
	})
	a, err := New(Config{
		Config: node.Config{
			Name: "host-1", Place: "perth-a", Region: "west", PeersListen: "127.0.0.1:0", OperatorsListen: "127.0.0.1:0",
			ObjectAPI: b.objects.URL, HostList: b.hosts.URL, Config: keys.Config{Secret: b.secret},
		},
		Origin: b.origin.URL, Upstreams: testTeam + "/desk=plain@" + upstream.URL, ChunkMemory: 64 << 20, Orders: testTiming(),
	}, zerolog.Nop())
	require.NoError(t, err)
	b.addToHostList(a.Address())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx, 10*time.Millisecond)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

// callAgent calls an agent as an entry does and returns the response.
func callAgent(t *testing.T, a *Agent, path string, env frame.Envelope) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+a.Address()+path, nil)
	require.NoError(t, err)
	control.Authorize(req.Header, a.config.Secret)
	req.Header.Set(frame.MethodHeader, http.MethodGet)
	require.NoError(t, env.Set(req.Header))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// runEnvelope returns the envelope of a run at an agent's only upstream.
func runEnvelope(a *Agent, request string) frame.Envelope {
	upstreams, err := ParseUpstreams(a.config.Upstreams)
	if err != nil {
		panic(err) // The test wrote it.
	}
	return frame.Envelope{
		Request: request, Attempt: 1, Upstream: upstreams[0].Name, Target: "/large", Incarnation: a.selfIncarnation, Entry: "entry",
		Sequence: 1, DeadlineMS: time.Minute.Milliseconds(),
	}
}

// readFrames reads frames until the answer ends or want bytes of it were received. It returns the bytes and the type of the last frame.
func readFrames(frames *frame.Reader, want int64) (received int64, last frame.Type, err error) {
	for received < want {
		kind, payload, err := frames.Next()
		if err != nil {
			return received, last, err
		}
		last = kind
		switch kind {
		case frame.TypeData:
			received += int64(len(payload))
		case frame.TypeEnd, frame.TypeFail:
			return received, kind, nil
		}
	}
	return received, last, nil
}

// TestEntryThatReadsSlowlyGetsWholeAnswer guards against an answer that is cut because the entry reads nothing for a time: its caller may take
// 30 s for each write. The connection works and the entry is there.
func TestEntryThatReadsSlowlyGetsWholeAnswer(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{2 * time.Second, 4 * time.Second, 9 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			service := &largeService{size: 32 << 20}
			a := servedAgent(t, service)
			frames := frame.NewReader(callAgent(t, a, frame.RunPath, runEnvelope(a, "slow")).Body)
			first, _, err := readFrames(frames, 1<<20)
			require.NoError(t, err)
			time.Sleep(pause)
			second, last, err := readFrames(frames, 1<<30)
			assert.NoError(t, err, "%d of %d bytes received, %d runs, %d cancelled", first+second, service.size, service.runs.Load(), service.cancelled.Load())
			assert.Equal(t, frame.TypeEnd, last)
			assert.EqualValues(t, 1, service.runs.Load())
		})
	}
}

// TestEntryThatNeverReadsIsGivenUpInBoundedTime guards against a run, and the memory for its answer, that is kept for ever for an entry that
// has died without closing its connection. The limit is that of an entry for one write to its caller, and the window for a resume.
func TestEntryThatNeverReadsIsGivenUpInBoundedTime(t *testing.T) {
	t.Parallel()
	service := &largeService{size: 64 << 20}
	a := servedAgent(t, service)
	callAgent(t, a, frame.RunPath, runEnvelope(a, "dead"))
	const limit = node.WriteTimeout + resumeWindow + waitTimeout
	require.Eventually(t, func() bool { return service.runs.Load() == 1 }, waitTimeout, waitInterval)
	require.Eventually(t, func() bool { return service.cancelled.Load() == 1 && a.runCount() == 0 }, limit, waitInterval)
}
