package transfer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/source"
	"samphireweir.example/samphireweir/internal/transfer"
)

const (
	testChunkBytes = 4
	eventTimeout   = 10 * time.Second
)

// eventQueue collects the events that a fetcher passes to the core.
type eventQueue chan step.Event

func (e eventQueue) Step(ev step.Event) { e <- ev }

func (e eventQueue) next(t *testing.T) step.Event {
	t.Helper()
	select {
	case ev := <-e:
		return ev
	case <-time.After(eventTimeout):
		require.Fail(t, "no event arrived")
		return nil
	}
}

func digestOf(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:])
}

// contentOf returns a manifest of the content, split into chunks of testChunkBytes, and its exact
// bytes.
func contentOf(t *testing.T, content string) (*manifest.Manifest, []byte) {
	t.Helper()
	m := &manifest.Manifest{Model: "m", Adapter: "none", Version: "v1", Size: int64(len(content)), ChunkSize: testChunkBytes, SHA256: digestOf(content)}
	for i := 0; i < len(content); i += testChunkBytes {
		chunk := content[i:min(i+testChunkBytes, len(content))]
		m.Chunks = append(m.Chunks, manifest.Chunk{SHA256: digestOf(chunk), Size: int64(len(chunk))})
	}
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	return m, raw
}

// newFetcher returns a fetcher that asks the given sources and knows a version with the content
// "aaaabbbb".
func newFetcher(t *testing.T, budget int64, sources ...http.HandlerFunc) (*transfer.Fetcher, *manifest.Manifest, eventQueue) {
	t.Helper()
	m, raw := contentOf(t, "aaaabbbb")
	events := make(eventQueue, 16)
	f := &transfer.Fetcher{
		Memory: transfer.NewMemory(budget), Pool: control.NewPool("self", "s", (&net.Dialer{}).DialContext), Client: http.DefaultClient, Secret: "s",
		Uplink: transfer.NewLink(0), Downlink: transfer.NewLink(0), Steps: events, Log: zerolog.Nop(),
	}
	for _, h := range sources {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		f.Sources = append(f.Sources, source.NewClient(s.URL, http.DefaultClient))
	}
	_, err := f.Memory.AddVersion("d", raw, m)
	require.NoError(t, err)
	return f, m, events
}

func fetch(m *manifest.Manifest, from weights.Source, try int) weights.FetchChunk {
	return weights.FetchChunk{ID: 1, Digest: "d", Index: 0, Chunk: m.Chunks[0], From: from, Try: try, Limit: eventTimeout}
}

func dataHandler(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/manifest") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(text))
	}
}

// TestCorruptChunkIsNotStored guards against storing a chunk that does not match its digest,
// whether a peer or the source sent it.
func TestCorruptChunkIsNotStored(t *testing.T) {
	f, m, steps := newFetcher(t, 100, dataHandler("aXaa"))
	peer := httptest.NewServer(dataHandler("aaaX"))
	defer peer.Close()
	for _, from := range []weights.Source{weights.Origin, weights.Source(strings.TrimPrefix(peer.URL, "http://"))} {
		f.Execute(fetch(m, from, 0))
		require.Equal(t, weights.ChunkFailed{Digest: "d", Fetch: 1, From: from, Reason: weights.Corrupt}, steps.next(t))
		require.Nil(t, f.Memory.Chunk(m.Chunks[0].SHA256))
	}
	_, _, err := f.Memory.Content("d")
	require.ErrorIs(t, err, transfer.ErrIncomplete)
}

// TestNextSourceIsAskedAfterACorruptChunk checks that the origin is asked first after the weight
// store sent a corrupted chunk.
func TestNextSourceIsAskedAfterACorruptChunk(t *testing.T) {
	f, m, steps := newFetcher(t, 100, dataHandler("aXaa"), dataHandler("aaaa"))
	f.Execute(fetch(m, weights.Origin, 0))
	require.IsType(t, weights.ChunkFailed{}, steps.next(t))
	f.Execute(fetch(m, weights.Origin, 1))
	require.IsType(t, weights.ChunkStored{}, steps.next(t))
	require.Equal(t, []byte("aaaa"), f.Memory.Chunk(m.Chunks[0].SHA256))
}

// TestRateLimitedStoreFallsBackToTheOrigin checks that a fetcher turns to the origin when the
// weight store limits the rate, and does not ask the store again before its Retry-After delay.
// Without an origin, it reports the delay.
func TestRateLimitedStoreFallsBackToTheOrigin(t *testing.T) {
	var calls atomic.Int64
	busy := func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	f, m, steps := newFetcher(t, 100, busy, dataHandler("aaaa"))
	for range 3 {
		f.Execute(fetch(m, weights.Origin, 0))
		require.IsType(t, weights.ChunkStored{}, steps.next(t))
	}
	require.Equal(t, int64(1), calls.Load())
	f, m, steps = newFetcher(t, 100, busy)
	f.Execute(fetch(m, weights.Origin, 0))
	require.Equal(t, weights.ChunkFailed{Digest: "d", Fetch: 1, From: weights.Origin, Reason: weights.Busy, RetryAfter: time.Minute}, steps.next(t))
}

// TestChangedSourceIsNotReportedAsCorruption has a source whose manifest changed. Its chunks don't
// match the digests, but the cause is the new version and not corruption.
func TestChangedSourceIsNotReportedAsCorruption(t *testing.T) {
	f, m, steps := newFetcher(t, 100, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("zzzz"))
	})
	f.Execute(fetch(m, weights.Origin, 0))
	require.Equal(t, weights.Changed, steps.next(t).(weights.ChunkFailed).Reason)
}

// TestCancelEndsAStuckFetch checks that cancelling ends a fetch from a peer that accepted the
// request and sends nothing.
func TestCancelEndsAStuckFetch(t *testing.T) {
	asked := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(asked)
		<-r.Context().Done()
	}))
	defer silent.Close()
	f, m, steps := newFetcher(t, 100)
	f.Execute(fetch(m, weights.Source(strings.TrimPrefix(silent.URL, "http://")), 0))
	<-asked
	f.Execute(weights.CancelFetch{ID: 1})
	require.Equal(t, weights.ExchangeFailed, steps.next(t).(weights.ChunkFailed).Reason)
}

// TestManifestThatDoesNotFitReportsItsCode checks that a version larger than the chunk memory, or a
// chunk manifest with another digest, fails with a result code instead of a crash.
func TestManifestThatDoesNotFitReportsItsCode(t *testing.T) {
	_, raw := contentOf(t, "ccccdddd")
	f, _, steps := newFetcher(t, 8, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(raw) })
	f.Memory = transfer.NewMemory(7)
	f.Execute(weights.FetchManifest{Digest: manifest.Digest(raw), From: weights.Origin})
	require.Equal(t, code.MemoryTooSmall, steps.next(t).(weights.ManifestFailed).Code)
	f.Execute(weights.FetchManifest{Digest: digestOf("another"), From: weights.Origin})
	require.Equal(t, code.SourceChanged, steps.next(t).(weights.ManifestFailed).Code)
}

// TestUploadWaitsForItsSlot checks that a chunk is sent only after the reducer starts the upload.
func TestUploadWaitsForItsSlot(t *testing.T) {
	f, m, steps := newFetcher(t, 100)
	require.NoError(t, f.Memory.Put(m.Chunks[0].SHA256, []byte("aaaa")))
	mux := http.NewServeMux()
	f.Routes(mux, control.Handlers{})
	s := httptest.NewServer(mux)
	defer s.Close()
	for _, start := range []bool{true, false} {
		got := make(chan int, 1)
		go func() {
			resp, err := http.Get(s.URL + "/chunks/" + m.Chunks[0].SHA256)
			if err != nil {
				got <- 0
				return
			}
			_ = resp.Body.Close()
			got <- resp.StatusCode
		}()
		asked := steps.next(t).(weights.UploadRequested)
		if start {
			f.Execute(weights.StartUpload{Call: asked.Call})
			require.Equal(t, http.StatusOK, <-got)
			require.Equal(t, weights.UploadEnded{Call: asked.Call, Sent: testChunkBytes}, steps.next(t))
			continue
		}
		f.Execute(weights.RefuseUpload{Call: asked.Call})
		require.Equal(t, http.StatusServiceUnavailable, <-got)
		require.Equal(t, weights.UploadEnded{Call: asked.Call}, steps.next(t))
	}
}

// TestUploadEndsWhenThePeerStopsReading guards against a peer that stops reading and so occupies an
// upload slot forever.
func TestUploadEndsWhenThePeerStopsReading(t *testing.T) {
	const size = 64 << 20 // This exceeds the buffers of a connection.
	content := strings.Repeat("x", size)
	m := &manifest.Manifest{Size: size, ChunkSize: size, Chunks: []manifest.Chunk{{SHA256: digestOf(content), Size: size}}}
	f, _, steps := newFetcher(t, 2*size)
	f.WriteTimeout = 50 * time.Millisecond
	_, err := f.Memory.AddVersion("big", nil, m)
	require.NoError(t, err)
	require.NoError(t, f.Memory.Put(m.Chunks[0].SHA256, []byte(content)))
	mux := http.NewServeMux()
	f.Routes(mux, control.Handlers{})
	s := httptest.NewServer(mux)
	defer s.Close()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "GET /chunks/%s HTTP/1.1\r\nHost: x\r\n\r\n", m.Chunks[0].SHA256)
	require.NoError(t, err)
	asked := steps.next(t).(weights.UploadRequested)
	f.Execute(weights.StartUpload{Call: asked.Call})
	require.Equal(t, weights.UploadEnded{Call: asked.Call}, steps.next(t))
}
