package transfer

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/logevent"
)

// manifestTimeout bounds the fetch of a chunk manifest.
const manifestTimeout = 3 * time.Second

// Stepper passes events to the reducers.
type Stepper interface{ Step(step.Event) }

// Source provides versions of weights from outside the fleet: the weight store or the origin.
type Source interface {
	// Manifest returns the exact bytes of a version's chunk manifest.
	Manifest(ctx context.Context, ref weights.Ref) ([]byte, error)
	// Data opens length bytes of a version's content, starting at offset. A source that limits the
	// rate returns a source.BusyError.
	Data(ctx context.Context, ref weights.Ref, offset, length int64) (io.ReadCloser, error)
}

// Fetcher carries out the effects of the weights reducer.
type Fetcher struct {
	Memory *Memory
	// Sources are asked in this order, for example the weight store and then the origin. After a
	// failed fetch of a chunk, the next fetch begins with another source.
	Sources []Source
	Pool    *control.Pool
	Client  *http.Client
	Secret  string
	// Self is the address at which peers reach this host.
	Self     string
	Uplink   *Link
	Downlink *Link
	Steps    Stepper
	Log      zerolog.Logger
	// WriteTimeout bounds the write of one block of an upload; 0 selects the default of 5 s.
	WriteTimeout time.Duration

	// fetches maps the ID of a fetch to its cancel function.
	fetches sync.Map
	// uploads maps the ID of an upload request to the channel on which its decision arrives.
	uploads sync.Map
	// calls is the number of upload requests so far; it is also the ID of the last one.
	calls atomic.Uint64
	// controlMessages and controlBytes count the announcements sent and their bytes.
	controlMessages, controlBytes atomic.Int64
	// sourceRetryAt is when a source that limited the rate may be asked again, by its index in
	// Sources.
	sourceRetryAt sync.Map
}

// Execute carries out an effect of the weights reducer. It reports whether e was one.
func (f *Fetcher) Execute(e step.Effect) bool {
	switch e := e.(type) {
	case weights.FetchManifest:
		go f.fetchManifest(e)
	case weights.FetchChunk:
		ctx, cancel := context.WithTimeout(context.Background(), e.Limit)
		f.fetches.Store(e.ID, cancel)
		go f.fetchChunk(ctx, e)
	case weights.CancelFetch:
		f.endFetch(e.ID)
	case weights.Announce:
		go f.announce(e)
	case weights.StartUpload:
		f.decideUpload(e.Call, true)
	case weights.RefuseUpload:
		f.decideUpload(e.Call, false)
	case weights.SetShare:
		f.Uplink.SetShare(e.Share)
		f.Downlink.SetShare(e.Share)
	case weights.Retired:
		f.Memory.Retire(e.Digest)
	case weights.Returned:
		go f.reportHeldChunks(e.Digest)
	case weights.Dropped:
		f.Memory.DropVersion(e.Digest)
	case weights.OriginOutageChanged:
		logevent.Info(f.Log, logevent.StateChanged).Str("what", "origin").Str("of", e.Digest).Str("value", map[bool]string{true: "away", false: "back"}[e.Down]).
			Bool("own_draw", e.OwnFetch).Dur("lasted_ms", e.Lasted).Msg("known state changed")
	case weights.Completed:
		logevent.Info(f.Log, logevent.BurstComplete).Str("digest", e.Digest).Dur("took_ms", e.Took).
			Ints64("bytes_by_tier", e.Counts.Bytes[:]).Int64("wasted", e.Counts.Wasted).Int64("hedged", e.Counts.Hedged).
			Int64("busy", e.Counts.Busy).Int64("failed", e.Counts.Failed).
			Int64("control_messages", f.controlMessages.Swap(0)).Int64("control_bytes", f.controlBytes.Swap(0)).Msg("burst complete")
	default:
		return false
	}
	return true
}

// endFetch cancels a fetch if it is in flight and releases its resources.
func (f *Fetcher) endFetch(id uint64) {
	if cancel, known := f.fetches.LoadAndDelete(id); known {
		cancel.(context.CancelFunc)()
	}
}

// Routes registers the handlers for requests from peers.
func (f *Fetcher) Routes(mux *http.ServeMux, handlers control.Handlers) {
	mux.HandleFunc("GET /chunks/{sha}", f.serveChunk)
	mux.HandleFunc("GET /manifests/{digest}", f.serveManifest)
	handlers[haveMethod] = f.handleHave
}
