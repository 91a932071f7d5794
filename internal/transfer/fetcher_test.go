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
	testChunk = 4
	testWait  = 10 * time.Second
)

// events collects what a fetcher steps.
type events chan step.Event

func (e events) Step(ev step.Event) { e <- ev }

func (e events) next(t *testing.T) step.Event {
	t.Helper()
	select {
	case ev := <-e:
		return ev
	case <-time.After(testWait):
		require.Fail(t, "no event came")
		return nil
	}
}

func digestOf(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:])
}

// contentOf makes the manifest of content in chunks of testChunk bytes, with its exact bytes.
func contentOf(t *testing.T, content string) (*manifest.Manifest, []byte) {
	t.Helper()
	m := &manifest.Manifest{Model: "m", Adapter: "none", Version: "v1", Size: int64(len(content)), ChunkSize: testChunk, SHA256: digestOf(content)}
	for i := 0; i < len(content); i += testChunk {
		piece := content[i:min(i+testChunk, len(content))]
		m.Chunks = append(m.Chunks, manifest.Chunk{SHA256: digestOf(piece), Size: int64(len(piece))})
	}
	raw, err := json.Marshal(m)
	require.NoError(t, err)
	return m, raw
}

// newFetcher makes a fetcher with a version of the content "aaaabbbb" known, which asks the sources given.
func newFetcher(t *testing.T, budget int64, sources ...http.HandlerFunc) (*transfer.Fetcher, *manifest.Manifest, events) {
	t.Helper()
	m, raw := contentOf(t, "aaaabbbb")
	steps := make(events, 16)
	f := &transfer.Fetcher{
		Memory: transfer.NewMemory(budget), Pool: control.NewPool("self", "s", (&net.Dialer{}).DialContext), Client: http.DefaultClient, Secret: "s",
		Up: transfer.NewLink(0), Down: transfer.NewLink(0), Steps: steps, Log: zerolog.Nop(),
	}
	for _, h := range sources {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		f.Sources = append(f.Sources, source.NewClient(s.URL, http.DefaultClient))
	}
	_, err := f.Memory.AddVersion("d", raw, m)
	require.NoError(t, err)
	return f, m, steps
}

func fetch(m *manifest.Manifest, from weights.Source, try int) weights.FetchChunk {
	return weights.FetchChunk{ID: 1, Digest: "d", Index: 0, Chunk: m.Chunks[0], From: from, Try: try, Limit: testWait}
}

func answer(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/manifest") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(text))
	}
}

// TestCorruptChunkIsNotStored throws away a chunk that fails its digest, from a peer and from the source.
func TestCorruptChunkIsNotStored(t *testing.T) {
	f, m, steps := newFetcher(t, 100, answer("aXaa"))
	peer := httptest.NewServer(answer("aaaX"))
	defer peer.Close()
	for _, from := range []weights.Source{weights.Origin, weights.Source(strings.TrimPrefix(peer.URL, "http://"))} {
		f.Carry(fetch(m, from, 0))
		require.Equal(t, weights.ChunkFailed{Digest: "d", Fetch: 1, From: from, Reason: weights.Corrupt}, steps.next(t))
		require.Nil(t, f.Memory.Chunk(m.Chunks[0].SHA256))
	}
	_, _, err := f.Memory.Content("d")
	require.ErrorIs(t, err, transfer.ErrIncomplete)
}

// TestOtherSourceAfterAFailure asks the origin first when what the weight store gave was corrupt.
func TestOtherSourceAfterAFailure(t *testing.T) {
	f, m, steps := newFetcher(t, 100, answer("aXaa"), answer("aaaa"))
	f.Carry(fetch(m, weights.Origin, 0))
	require.IsType(t, weights.ChunkFailed{}, steps.next(t))
	f.Carry(fetch(m, weights.Origin, 1))
	require.IsType(t, weights.ChunkStored{}, steps.next(t))
	require.Equal(t, []byte("aaaa"), f.Memory.Chunk(m.Chunks[0].SHA256))
}

// TestStoreRefusesForRate goes on to the origin, leaves the store alone as long as it asked, and without an origin
// tells how long to wait.
func TestStoreRefusesForRate(t *testing.T) {
	var calls atomic.Int64
	busy := func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusTooManyRequests)
	}
	f, m, steps := newFetcher(t, 100, busy, answer("aaaa"))
	for range 3 {
		f.Carry(fetch(m, weights.Origin, 0))
		require.IsType(t, weights.ChunkStored{}, steps.next(t))
	}
	require.Equal(t, int64(1), calls.Load())
	f, m, steps = newFetcher(t, 100, busy)
	f.Carry(fetch(m, weights.Origin, 0))
	require.Equal(t, weights.ChunkFailed{Digest: "d", Fetch: 1, From: weights.Origin, Reason: weights.Busy, RetryAfter: time.Minute}, steps.next(t))
}

// TestSourceChanged tells a changed version at the source from a corrupt chunk.
func TestSourceChanged(t *testing.T) {
	f, m, steps := newFetcher(t, 100, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("zzzz"))
	})
	f.Carry(fetch(m, weights.Origin, 0))
	require.Equal(t, weights.Changed, steps.next(t).(weights.ChunkFailed).Reason)
}

// TestCancelEndsAFetch frees a fetch from a peer that accepted and sends nothing.
func TestCancelEndsAFetch(t *testing.T) {
	asked := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(asked)
		<-r.Context().Done()
	}))
	defer silent.Close()
	f, m, steps := newFetcher(t, 100)
	f.Carry(fetch(m, weights.Source(strings.TrimPrefix(silent.URL, "http://")), 0))
	<-asked
	f.Carry(weights.CancelFetch{ID: 1})
	require.Equal(t, weights.ExchangeFailed, steps.next(t).(weights.ChunkFailed).Reason)
}

// TestManifestThatDoesNotFit reports the code instead of dying.
func TestManifestThatDoesNotFit(t *testing.T) {
	_, raw := contentOf(t, "ccccdddd")
	f, _, steps := newFetcher(t, 8, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(raw) })
	f.Memory = transfer.NewMemory(7)
	f.Carry(weights.FetchManifest{Digest: manifest.Digest(raw), From: weights.Origin})
	require.Equal(t, code.MemoryTooSmall, steps.next(t).(weights.ManifestFailed).Code)
	f.Carry(weights.FetchManifest{Digest: digestOf("another"), From: weights.Origin})
	require.Equal(t, code.SourceChanged, steps.next(t).(weights.ManifestFailed).Code)
}

// TestUploadWaitsForItsSlot serves a chunk only when the reducer says so.
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
			f.Carry(weights.StartUpload{Call: asked.Call})
			require.Equal(t, http.StatusOK, <-got)
			require.Equal(t, weights.UploadEnded{Call: asked.Call, Sent: testChunk}, steps.next(t))
			continue
		}
		f.Carry(weights.RefuseUpload{Call: asked.Call})
		require.Equal(t, http.StatusServiceUnavailable, <-got)
		require.Equal(t, weights.UploadEnded{Call: asked.Call}, steps.next(t))
	}
}

// TestUploadToAPeerThatStopsReading ends, so that it holds no upload slot for ever.
func TestUploadToAPeerThatStopsReading(t *testing.T) {
	const more = 64 << 20 // than the buffers of a connection take
	content := strings.Repeat("x", more)
	m := &manifest.Manifest{Size: more, ChunkSize: more, Chunks: []manifest.Chunk{{SHA256: digestOf(content), Size: more}}}
	f, _, steps := newFetcher(t, 2*more)
	f.WriteStall = 50 * time.Millisecond
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
	f.Carry(weights.StartUpload{Call: asked.Call})
	require.Equal(t, weights.UploadEnded{Call: asked.Call}, steps.next(t))
}
