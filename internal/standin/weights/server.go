package weights

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// Limits for sending data at the configured rate, in bytes: the burst of the rate limiter that all connections share, and the maximum
// size of a single write.
const (
	dataBurst    = 64 << 10
	maxWriteSize = 32 << 10
)

// noChunk is the value of CorruptChunk for no corrupted chunk.
const noChunk = -1

// Config configures a Server.
type Config struct {
	Content ContentConfig
	// Rate limits the data sent over all connections together, in bytes per second; 0 means no limit.
	Rate int64
	// RequestsPerSecond limits the rate of calls, with a burst of one second's worth; 0 means no limit.
	RequestsPerSecond int
	// Empty makes the server respond to all calls with status 404.
	Empty bool
}

// Faults are the faults that can be injected at run time.
type Faults struct {
	// Outage makes calls fail with status 503, and aborts responses in progress.
	Outage bool `json:"outage"`
	// Stall makes calls block without sending any bytes until it is cleared, including responses in progress.
	Stall bool `json:"stall"`
	// CorruptNext is the number of next data responses in which the first byte is inverted.
	CorruptNext int `json:"corrupt_next"`
	// CorruptChunk is the index of a chunk whose first byte is inverted in all responses, -1 for none.
	CorruptChunk int `json:"corrupt_chunk"`
	// Changed lists the versions, as MODEL/ADAPTER/VERSION, whose content and manifest differ from the original ones.
	Changed []string `json:"changed"`
}

// Stats counts the calls. Bytes is the number of data bytes sent, and Refused the number of calls rejected by the rate limit.
type Stats struct {
	Requests         int64 `json:"requests"`
	Bytes            int64 `json:"bytes"`
	ManifestRequests int64 `json:"manifest_requests"`
	Refused          int64 `json:"refused"`
}

// Server is the HTTP handler of a simulated store or origin.
type Server struct {
	mux         *http.ServeMux
	config      Config
	faults      *serve.Faults[Faults]
	manifests   manifests
	callLimiter *rate.Limiter
	dataLimiter *rate.Limiter

	requests, bytes, manifestRequests, refused atomic.Int64
}

// NewServer returns a server for the weights that config describes. It returns an error if a size in config.Content isn't positive.
func NewServer(config Config) (*Server, error) {
	if config.Content.Size <= 0 || config.Content.ChunkSize <= 0 {
		return nil, errors.New("the size and the chunk size must be above 0")
	}
	s := &Server{
		mux:    http.NewServeMux(),
		config: config,
		faults: serve.NewFaults(Faults{CorruptChunk: noChunk, Changed: []string{}}),
		manifests: manifests{
			content: config.Content,
			bytes:   map[manifestKey]func() ([]byte, error){},
		},
		callLimiter: newLimiter(int64(config.RequestsPerSecond), config.RequestsPerSecond),
		dataLimiter: newLimiter(config.Rate, dataBurst),
	}
	s.mux.HandleFunc("GET /v1/weights/{model}/{adapter}/{version}/manifest", s.manifest)
	s.mux.HandleFunc("GET /v1/weights/{model}/{adapter}/{version}/data", s.data)
	s.mux.Handle("/admin/faults", s.faults)
	s.mux.HandleFunc("GET /admin/stats", s.stats)
	return s, nil
}

func newLimiter(perSecond int64, burst int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst)
}

// ServeHTTP handles one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// admit applies the faults and the rate limit. If it returns false, the caller must return: the response has been sent, or the request
// was cancelled.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.requests.Add(1)
	if err := s.waitWhileStalled(r.Context()); err != nil {
		return false
	}
	if s.faults.Get().Outage {
		serve.Fail(w, http.StatusServiceUnavailable, "outage")
		return false
	}
	if !s.callLimiter.Allow() {
		s.refused.Add(1)
		serve.Refuse(w)
		return false
	}
	if s.config.Empty {
		serve.Fail(w, http.StatusNotFound, "no such version")
		return false
	}
	return true
}

func (s *Server) waitWhileStalled(ctx context.Context) error {
	return s.faults.WaitWhile(ctx, func(f Faults) bool { return f.Stall })
}

func versionOf(r *http.Request) Version {
	return Version{
		Model:   r.PathValue("model"),
		Adapter: r.PathValue("adapter"),
		Version: r.PathValue("version"),
	}
}

func (s *Server) manifest(w http.ResponseWriter, r *http.Request) {
	s.manifestRequests.Add(1)
	if !s.admit(w, r) {
		return
	}
	version := versionOf(r)
	changed := slices.Contains(s.faults.Get().Changed, version.String())
	text, err := s.manifests.get(manifestKey{version: version, changed: changed})
	if err != nil {
		serve.Fail(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (s *Server) data(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	limited := &limitedWriter{
		ResponseWriter: w,
		ctx:            r.Context(),
		server:         s,
		corrupt:        s.faults.Take(func(f *Faults) *int { return &f.CorruptNext }),
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(limited, r, "", time.Time{}, s.content(versionOf(r)))
}

// content returns the content of a version with the current faults applied.
func (s *Server) content(version Version) *content {
	faults := s.faults.Get()
	corruptAt := noCorruption
	if faults.CorruptChunk >= 0 {
		corruptAt = int64(faults.CorruptChunk) * s.config.Content.ChunkSize
	}
	return &content{
		config:    s.config.Content,
		version:   version,
		changed:   slices.Contains(faults.Changed, version.String()),
		corruptAt: corruptAt,
	}
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, http.StatusOK, Stats{
		Requests:         s.requests.Load(),
		Bytes:            s.bytes.Load(),
		ManifestRequests: s.manifestRequests.Load(),
		Refused:          s.refused.Load(),
	})
}

// limitedWriter writes the data of one response at the rate that all connections share.
type limitedWriter struct {
	http.ResponseWriter
	ctx    context.Context
	server *Server
	// corrupt inverts the next byte that is sent.
	corrupt bool
}

// Write sends p in parts of at most maxWriteSize bytes.
func (w *limitedWriter) Write(p []byte) (int, error) {
	if w.corrupt && len(p) > 0 {
		p = bytes.Clone(p)
		p[0] ^= 0xff
		w.corrupt = false
	}
	sent := 0
	for part := range slices.Chunk(p, maxWriteSize) {
		n, err := w.writePart(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (w *limitedWriter) writePart(part []byte) (int, error) {
	if err := w.server.waitWhileStalled(w.ctx); err != nil {
		return 0, err
	}
	if w.server.faults.Get().Outage {
		return 0, errors.New("outage")
	}
	if err := w.server.dataLimiter.WaitN(w.ctx, len(part)); err != nil {
		return 0, err
	}
	n, err := w.ResponseWriter.Write(part)
	w.server.bytes.Add(int64(n))
	return n, err
}
