package telemetry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"samphireweir.example/samphireweir/internal/telemetry"
)

// discard is an http.ResponseWriter that drops the answer, so that the benchmarks measure the handler alone.
type discard struct{ header http.Header }

// Header returns the answer's header.
func (d discard) Header() http.Header { return d.header }

// Write drops p and reports it as written.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (discard) WriteHeader(int) {}

// answer is the handler that is measured.
func answer(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) }

// known is a KnownService that knows every service.
func known(string, string) bool { return true }

// benchmark measures a request to h.
func benchmark(b *testing.B, h http.Handler) {
	r := httptest.NewRequest(http.MethodGet, "/karrakin/buyer-portal/lookup", nil)
	var w http.ResponseWriter = discard{http.Header{}}
	h.ServeHTTP(w, r)
	b.ReportAllocs()
	for b.Loop() {
		h.ServeHTTP(w, r)
	}
}

// BenchmarkBare measures the handler without telemetry.
func BenchmarkBare(b *testing.B) { benchmark(b, http.HandlerFunc(answer)) }

// BenchmarkMetrics measures the handler with the metrics of a request.
func BenchmarkMetrics(b *testing.B) {
	benchmark(b, telemetry.New(nil).ObserveRequests(known, http.HandlerFunc(answer)))
}

// BenchmarkTracesOff measures the handler with tracing turned off.
func BenchmarkTracesOff(b *testing.B) {
	var off *telemetry.Traces
	benchmark(b, off.EntryServer(http.HandlerFunc(answer)))
}

// BenchmarkTracesOn measures the handler with tracing to an exporter that drops the spans.
func BenchmarkTracesOn(b *testing.B) {
	exporter := tracetest.NewNoopExporter()
	benchmark(b, telemetry.NewTracesWithExporter(exporter, "entry", "entry-1").EntryServer(http.HandlerFunc(answer)))
}

// TestTracingOffAllocatesNothing guards against a cost of tracing when it is off: the handler must allocate no more than without
// tracing, and the client must keep its transport.
func TestTracingOffAllocatesNothing(t *testing.T) {
	var off *telemetry.Traces
	var h http.Handler = http.HandlerFunc(answer)
	r := httptest.NewRequest(http.MethodGet, "/karrakin/buyer-portal/lookup", nil)
	var w http.ResponseWriter = discard{http.Header{}}
	wrapped := off.EntryServer(h)
	bare := testing.AllocsPerRun(100, func() { h.ServeHTTP(w, r) })
	require.Equal(t, bare, testing.AllocsPerRun(100, func() { wrapped.ServeHTTP(w, r) }))
	c := &http.Client{}
	off.Client(c, telemetry.PeerSpanName)
	require.Nil(t, c.Transport)
}

// TestTraceConfigCheckRejectsInvalidSettings checks that values out of range and contradictory settings are rejected with an error
// that names the flag.
func TestTraceConfigCheckRejectsInvalidSettings(t *testing.T) {
	for want, c := range map[string]telemetry.TraceConfig{
		"6001 bad process setting: -trace-exporter": {Exporter: "jaeger"},
		"6001 bad process setting: -trace-ratio":    {Exporter: "stdout", Ratio: 2},
		"-trace-exporter and -trace-endpoint":       {Exporter: "otlp"},
		"6001 bad process setting: -trace-endpoint": {Exporter: "otlp", Endpoint: "collector"},
	} {
		require.ErrorContains(t, c.Check(), want)
	}
	require.NoError(t, (&telemetry.TraceConfig{Exporter: "otlp", Endpoint: "http://10.0.0.9:4318", Ratio: 0.1}).Check())
}

// TestOTLPExporterSendsSpans checks that the span of a request is posted to the collector's default path.
func TestOTLPExporterSendsSpans(t *testing.T) {
	paths := make(chan string, 1)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.Method + " " + r.URL.Path }))
	defer collector.Close()
	config := telemetry.TraceConfig{Exporter: "otlp", Endpoint: collector.URL, Ratio: 1, Synchronous: true}
	require.NoError(t, config.Check())
	traces, err := telemetry.NewTraces(config, "entry", "entry-1", io.Discard)
	require.NoError(t, err)
	w := httptest.NewRecorder()
	traces.EntryServer(http.HandlerFunc(answer)).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/karrakin/buyer-portal/lookup", nil))
	require.Equal(t, "POST /v1/traces", <-paths)
	traces.Close(t.Context())
}
