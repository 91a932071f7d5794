package transfer

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/manifest"
)

// fetchManifest fetches and validates a chunk manifest and adds the version to the chunk memory.
func (f *Fetcher) fetchManifest(e weights.FetchManifest) {
	ctx, cancel := context.WithTimeout(context.Background(), manifestTimeout)
	defer cancel()
	raw, err := f.readManifest(ctx, e)
	if err == nil && manifest.Digest(raw) != e.Digest {
		err = code.Errorf(code.SourceChanged, "digest", "manifest from %s does not match the digest in the setting", e.From)
	}
	var m *manifest.Manifest
	if err == nil {
		m, err = manifest.Parse(raw)
	}
	var held []int
	if err == nil {
		held, err = f.Memory.AddVersion(e.Digest, raw, m)
	}
	if err != nil {
		f.manifestFailed(e, err)
		return
	}
	logevent.Info(f.Log, logevent.BurstStarted).Str("digest", e.Digest).Int("chunks", len(m.Chunks)).Int("held", len(held)).Msg("burst started")
	f.Steps.Step(weights.ManifestRead{Digest: e.Digest, Manifest: m, From: e.From, Held: held})
}

// reportHeldChunks reports which chunks are still held of a version that is wanted again.
func (f *Fetcher) reportHeldChunks(digest string) {
	raw, m := f.Memory.Manifest(digest)
	if raw == nil {
		return // The version was evicted and is fetched again.
	}
	held, err := f.Memory.AddVersion(digest, raw, m)
	if err != nil {
		return // An error can't occur: the version fitted before.
	}
	f.Steps.Step(weights.ManifestRead{Digest: digest, Manifest: m, Held: held})
}

func (f *Fetcher) manifestFailed(e weights.FetchManifest, err error) {
	event := weights.ManifestFailed{Digest: e.Digest, From: e.From}
	var coded *code.Error
	if errors.As(err, &coded) {
		event.Code = coded.Code
		logevent.Warn(f.Log, logevent.BurstBlocked).Str("digest", e.Digest).Int("code", int(coded.Code)).Str("why", coded.Error()).Msg("burst blocked")
	}
	f.Steps.Step(event)
}

func (f *Fetcher) readManifest(ctx context.Context, e weights.FetchManifest) ([]byte, error) {
	if raw, _ := f.Memory.Manifest(e.Digest); raw != nil {
		return raw, nil
	}
	if e.From == weights.Origin {
		return f.readSources(ctx, e.Ref)
	}
	body, err := f.get(ctx, string(e.From), "/manifests/"+e.Digest)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	return boundedread.All(body, manifest.MaxBytes)
}

func (f *Fetcher) readSources(ctx context.Context, ref weights.Ref) ([]byte, error) {
	var last error = errors.New("no source configured")
	for _, s := range f.Sources {
		raw, err := s.Manifest(ctx, ref)
		if err == nil {
			return raw, nil
		}
		last = err
	}
	return nil, last
}

func (f *Fetcher) serveManifest(w http.ResponseWriter, r *http.Request) {
	raw, _ := f.Memory.Manifest(r.PathValue("digest"))
	if raw == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(raw)
}
