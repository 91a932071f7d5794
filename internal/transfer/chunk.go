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

// errNotHeld means that a peer does not have the requested chunk or manifest.
var errNotHeld = errors.New("peer does not have the object")

// fetchChunk fetches, verifies and stores one chunk.
func (f *Fetcher) fetchChunk(ctx context.Context, e weights.FetchChunk) {
	defer f.endFetch(e.ID)
	start := time.Now()
	data, err := f.readChunk(ctx, e)
	if err == nil {
		err = verify(data, e.Chunk.SHA256)
	}
	if err == nil {
		err = f.Memory.Put(e.Chunk.SHA256, data)
	}
	if err == nil {
		f.Steps.Step(weights.ChunkStored{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Took: time.Since(start)})
		return
	}
	f.chunkFailed(ctx, e, err)
}

func (f *Fetcher) chunkFailed(ctx context.Context, e weights.FetchChunk, err error) {
	event := weights.ChunkFailed{Digest: e.Digest, Index: e.Index, Fetch: e.ID, From: e.From, Reason: failureReason(err)}
	var busy *source.BusyError
	if errors.As(err, &busy) {
		event.RetryAfter = busy.RetryAfter
	}
	if event.Reason == weights.Corrupt && e.From == weights.Origin && f.sourceChanged(e) {
		event.Reason = weights.Changed
	}
	cancelled := errors.Is(ctx.Err(), context.Canceled)
	if event.Reason != weights.Busy && !cancelled {
		logevent.Warn(f.Log, logevent.ChunkRefused).Str("digest", e.Digest).Int("chunk", e.Index).Str("from", string(e.From)).Err(err).Msg("chunk refused")
	}
	f.Steps.Step(event)
}

// failureReason maps an error to the reason that the reducer distinguishes.
func failureReason(err error) weights.Reason {
	var coded *code.Error
	var busy *source.BusyError
	switch {
	case errors.As(err, &busy):
		return weights.Busy
	case errors.Is(err, errNotHeld):
		return weights.Missing
	case errors.Is(err, source.ErrGone):
		return weights.Gone
	case !errors.As(err, &coded):
		return weights.ExchangeFailed
	case coded.Code == code.ChunkCorrupt:
		return weights.Corrupt
	case coded.Code == code.MemoryTooSmall:
		return weights.NoMemory
	}
	return weights.ExchangeFailed
}

// sourceChanged reports whether the first source that answers has another chunk manifest for the
// version.
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
		// Until the fleet has a complete copy, all hosts wait for the origin, which may become
		// unavailable before that. Its data therefore has priority on the link.
		return data, f.Downlink.ReadPriority(body, data)
	}
	return data, f.Downlink.ReadFull(ctx, body, data)
}

func (f *Fetcher) openChunk(ctx context.Context, e weights.FetchChunk) (io.ReadCloser, error) {
	if e.From != weights.Origin {
		return f.get(ctx, string(e.From), "/chunks/"+e.Chunk.SHA256)
	}
	var last error = errors.New("no source configured")
	for k := range f.Sources {
		// After a failure, begin with another source, because the first may be corrupted.
		at := (k + e.Try) % len(f.Sources)
		body, err := f.openSource(ctx, at, e)
		if err == nil {
			return body, nil
		}
		last = preferBusy(last, err)
	}
	return nil, last
}

// openSource opens a chunk at one source. If the source has limited the rate and the delay that it
// asked for has not passed, openSource fails without asking the source.
func (f *Fetcher) openSource(ctx context.Context, at int, e weights.FetchChunk) (io.ReadCloser, error) {
	if until, known := f.sourceRetryAt.Load(at); known && time.Now().Before(until.(time.Time)) {
		return nil, &source.BusyError{RetryAfter: time.Until(until.(time.Time))}
	}
	body, err := f.Sources[at].Data(ctx, e.Ref, e.Offset, e.Chunk.Size)
	var busy *source.BusyError
	if errors.As(err, &busy) {
		f.sourceRetryAt.Store(at, time.Now().Add(busy.RetryAfter))
	}
	return body, err
}

// preferBusy returns last if it is a BusyError, because that says when a retry is worthwhile.
// Otherwise it returns err, the latest error.
func preferBusy(last, err error) error {
	var busy *source.BusyError
	if errors.As(last, &busy) {
		return last
	}
	return err
}

func verify(data []byte, want string) error {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != want {
		return code.Errorf(code.ChunkCorrupt, "sha256", "chunk does not match its digest")
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
		return nil, errors.Wrapf(errNotHeld, "get %s from %s", path, address)
	}
	return nil, errors.Errorf("get %s from %s: status %d", path, address, resp.StatusCode)
}

// serveChunk sends a chunk to a peer once the reducer starts the upload.
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
	if f.Uplink.Write(r.Context(), newDeadlineWriter(w, f.WriteTimeout), data) == nil {
		sent = int64(len(data))
	}
}

func (f *Fetcher) decideUpload(call uint64, start bool) {
	if ch, ok := f.uploads.Load(call); ok {
		ch.(chan bool) <- start
	}
}
