package transfer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/source"
)

// errMissing says that a peer does not have what it was asked for.
var errMissing = errors.New("the peer does not have it")

// fetchChunk gets, verifies and stores one chunk.
func (f *Fetcher) fetchChunk(ctx context.Context, e weights.FetchChunk) {
	defer f.endFetch(e.ID)
	began := time.Now()
	data, err := f.readChunk(ctx, e)
	if err == nil {
		err = verify(data, e.Chunk.SHA256)
	}
	if err == nil {
		err = f.Memory.Put(e.Chunk.SHA256, data)
	}
	if err == nil {
		f.Steps.Step(weights.ChunkStored{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Took: time.Since(began)})
		return
	}
	f.chunkFailed(ctx, e, err)
}

func (f *Fetcher) chunkFailed(ctx context.Context, e weights.FetchChunk, err error) {
	failed := weights.ChunkFailed{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Reason: reason(err)}
	var busy *source.BusyError
	if errors.As(err, &busy) {
		failed.RetryAfter = busy.RetryAfter
	}
	if failed.Reason == weights.Corrupt && e.From == weights.Origin && f.sourceChanged(e) {
		failed.Reason = weights.Changed
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	if failed.Reason != weights.Busy && !cancelled {
		logevent.Warn(f.Log, logevent.ChunkRefused).Str("digest", e.Digest).Int("chunk", e.Index).Str("from", string(e.From)).Err(err).Msg("chunk refused")
	}
	f.Steps.Step(failed)
}

// reason sorts an error into what the reducer tells apart.
func reason(err error) weights.Reason {
	var coded *code.Error
	var busy *source.BusyError
	switch {
	case errors.As(err, &busy):
		return weights.Busy
	case errors.Is(err, errMissing):
		return weights.Missing
	case !errors.As(err, &coded):
		return weights.ExchangeFailed
	case coded.Code == code.ChunkCorrupt:
		return weights.Corrupt
	case coded.Code == code.MemoryTooSmall:
		return weights.NoMemory
	}
	return weights.ExchangeFailed
}

// sourceChanged tells whether a source's manifest of the version is now another.
func (f *Fetcher) sourceChanged(e weights.FetchChunk) bool {
	ctx, cancel := context.WithTimeout(context.Background(), manifestTimeout)
	defer cancel()
	raw, err := f.readSources(ctx, e.Ref)
	return err == nil && manifest.Digest(raw) != e.Digest
}

func (f *Fetcher) readChunk(ctx context.Context, e weights.FetchChunk) ([]byte, error) {
	body, err := f.openChunk(ctx, e)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	data := make([]byte, e.Chunk.Size)
	if e.From == weights.Origin {
		// As long as the fleet has no whole copy, all wait for the origin, and it may go away: what it sends goes first.
		return data, f.Down.ReadFirst(body, data)
	}
	return data, f.Down.ReadFull(ctx, body, data)
}

func (f *Fetcher) openChunk(ctx context.Context, e weights.FetchChunk) (io.ReadCloser, error) {
	if e.From != weights.Origin {
		return f.get(ctx, string(e.From), "/chunks/"+e.Chunk.SHA256)
	}
	var last error = errors.New("no source")
	for k := range f.Sources {
		// After a failure begin with another source, which may have what the first corrupts.
		at := (k + e.Try) % len(f.Sources)
		body, err := f.openAt(ctx, at, e)
		if err == nil {
			return body, nil
		}
		last = worse(last, err)
	}
	return nil, last
}

// openAt asks one source, unless it refused for rate just now.
func (f *Fetcher) openAt(ctx context.Context, at int, e weights.FetchChunk) (io.ReadCloser, error) {
	if until, known := f.storeAgain.Load(at); known && time.Now().Before(until.(time.Time)) {
		return nil, &source.BusyError{RetryAfter: time.Until(until.(time.Time))}
	}
	body, err := f.Sources[at].Data(ctx, e.Ref, e.Offset, e.Chunk.Size)
	var busy *source.BusyError
	if errors.As(err, &busy) {
		f.storeAgain.Store(at, time.Now().Add(busy.RetryAfter))
	}
	return body, err
}

// worse keeps the error that says most: that a source is busy, so that it is worth coming back.
func worse(last, err error) error {
	var busy *source.BusyError
	if errors.As(last, &busy) {
		return last
	}
	return err
}

func verify(data []byte, want string) error {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != want {
		return code.Errorf(code.ChunkCorrupt, "sha256", "the bytes differ from their digest")
	}
	return nil
}

func (f *Fetcher) get(ctx context.Context, address, path string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	control.Authorize(req.Header, f.Secret)
	req.Header.Set(control.FromHeader, f.Self)
	resp, err := f.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "get %s from %s", path, address)
	}
	if resp.StatusCode == http.StatusOK {
		return resp.Body, nil
	}
	_ = resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusServiceUnavailable:
		return nil, &source.BusyError{RetryAfter: 0}
	case http.StatusNotFound:
		return nil, errors.Wrapf(errMissing, "get %s from %s", path, address)
	}
	return nil, errors.Errorf("get %s from %s: status %d", path, address, resp.StatusCode)
}

// serveChunk sends a chunk to a peer, when the reducer lets it.
func (f *Fetcher) serveChunk(w http.ResponseWriter, r *http.Request) {
	data := f.Memory.Chunk(r.PathValue("sha"))
	if data == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	call := f.calls.Add(1)
	decision := make(chan bool, 1)
	f.uploads.Store(call, decision)
	defer f.uploads.Delete(call)
	f.Steps.Step(weights.UploadRequested{Call: call, From: r.Header.Get(control.FromHeader), Size: int64(len(data))})
	var sent int64
	defer func() { f.Steps.Step(weights.UploadEnded{Call: call, Sent: sent}) }()
	select {
	case start := <-decision:
		if !start {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Up.Write(r.Context(), newStallWriter(w, f.WriteStall), data) == nil {
		sent = int64(len(data))
	}
}

func (f *Fetcher) decideUpload(call uint64, start bool) {
	if ch, ok := f.uploads.Load(call); ok {
		ch.(chan bool) <- start
	}
}
