package telemetry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"samphireweir.example/samphireweir/internal/experiment"
	"samphireweir.example/samphireweir/internal/telemetry"
)

const (
	callerTrace  = "4bf92f3577b34da6a3ce929d0e0e4736"
	callerSpan   = "00f067aa0ba902b7"
	traceParent  = "00-" + callerTrace + "-" + callerSpan + "-01"
	plainPath    = "/" + experiment.Team + "/" + experiment.PlainService + "/lookup"
	generatePath = "/" + experiment.Team + "/" + experiment.ModelService + "/v1/generate"
)

// start starts a fleet of one entry, one agent and one engine.
func start(t *testing.T, c experiment.Config) *experiment.Fleet {
	t.Helper()
	c.Entries, c.Agents, c.EnginesPerAgent = 1, 1, 1
	c.Engine.Step, c.Engine.Batch, c.Engine.CacheEntries = time.Millisecond, 8, 16
	c.Grace = 5 * time.Second
	f, err := experiment.Start(c)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// call sends a request and returns the status and the body of its answer.
func call(t *testing.T, method, url, body string, header http.Header) (int, string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	require.NoError(t, err)
	if header != nil {
		req.Header = header
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}

// TestRequestSpansFormOneTrace guards against a hop that doesn't pass the traceparent on: each span of a request, from the entry over
// the agent to the call of the upstream, must be the child of the previous one, and the first a child of the caller's span.
func TestRequestSpansFormOneTrace(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	seen := make(chan string, 1)
	plain := func(_ http.ResponseWriter, r *http.Request) { seen <- r.Header.Get("Traceparent") }
	f := start(t, experiment.Config{Plain: http.HandlerFunc(plain), Traces: func(name string) *telemetry.Traces {
		return telemetry.NewTracesWithExporter(exporter, "test", name)
	}})
	exporter.Reset()
	status, _ := call(t, http.MethodPost, "http://"+f.Entries[0].CallersAddress()+generatePath,
		`{"prompt":"vendor","max_tokens":3,"stream":true}`, http.Header{"Traceparent": {traceParent}})
	require.Equal(t, http.StatusOK, status)
	hops := []string{"entry request", "entry attempt", "agent run", "upstream call"}
	var found map[string]tracetest.SpanStub
	require.Eventually(t, func() bool {
		found = spans(exporter)
		return len(found) == len(hops)
	}, 10*time.Second, 10*time.Millisecond)
	parent := callerSpan
	for _, hop := range hops {
		span, known := found[hop]
		require.True(t, known, "no span %q in %v", hop, found)
		require.Equal(t, parent, span.Parent.SpanID().String(), hop)
		parent = span.SpanContext.SpanID().String()
	}
	exporter.Reset()
	status, _ = call(t, http.MethodGet, "http://"+f.Entries[0].CallersAddress()+plainPath, "", http.Header{"Traceparent": {traceParent}})
	require.Equal(t, http.StatusOK, status)
	require.Eventually(t, func() bool { return len(spans(exporter)) == len(hops) }, 10*time.Second, 10*time.Millisecond)
	last := spans(exporter)["upstream call"].SpanContext
	require.Equal(t, "00-"+callerTrace+"-"+last.SpanID().String()+"-01", <-seen, "the upstream receives the span of the last hop")
}

// spans returns the exported spans of the caller's trace, by name.
func spans(e *tracetest.InMemoryExporter) map[string]tracetest.SpanStub {
	found := map[string]tracetest.SpanStub{}
	for _, s := range e.GetSpans() {
		if s.SpanContext.TraceID().String() == callerTrace {
			found[s.Name] = s
		}
	}
	return found
}

// TestStartupIsTraced checks that the start of a fleet exports spans for fetched chunks, load orders and applied settings.
func TestStartupIsTraced(t *testing.T) {
	exporter := tracetest.NewInMemoryExporter()
	start(t, experiment.Config{Traces: func(name string) *telemetry.Traces {
		return telemetry.NewTracesWithExporter(exporter, "test", name)
	}})
	names := map[string]bool{}
	for _, s := range exporter.GetSpans() {
		names[s.Name] = true
	}
	for _, want := range []string{"chunk fetch", "load order", "setting in force"} {
		require.True(t, names[want], "no span %q in %v", want, names)
	}
}

// TestMetricsCountAnsweredAndRefusedRequests checks the metrics that an entry and an agent serve after requests that were answered and
// one that was refused.
func TestMetricsCountAnsweredAndRefusedRequests(t *testing.T) {
	f := start(t, experiment.Config{})
	callers := "http://" + f.Entries[0].CallersAddress()
	for range 3 {
		status, _ := call(t, http.MethodGet, callers+plainPath, "", nil)
		require.Equal(t, http.StatusOK, status)
	}
	status, _ := call(t, http.MethodGet, callers+"/nobody/nothing/", "", nil)
	require.Equal(t, http.StatusNotFound, status)
	service := `team="karrakin",service="buyer-portal"`
	requireLines(t, f.Entries[0].OperatorsAddress(),
		`samphireweir_requests_total{`+service+`,code="ok"} 3`,
		`samphireweir_requests_total{team="-",service="-",code="2001"} 1`,
		`samphireweir_refusals_total{code="2001",ran="not run"} 1`,
		`samphireweir_requests_in_flight{`+service+`} 0`,
		`samphireweir_first_byte_seconds_count{`+service+`} 3`,
		`samphireweir_request_seconds_count{`+service+`} 3`,
		`samphireweir_attempts_total{`+service+`,cause="first"} 3`,
		`samphireweir_settings_applied_total 2`,
	)
	requireLines(t, f.Agents[0].OperatorsAddress(),
		`samphireweir_upstream_calls_total{`+service+`,upstream="p0",cause="2xx"} 3`,
		`samphireweir_chunks_fetched_total{source="origin"} 4`,
		`samphireweir_chunk_bytes_total{source="origin"} 65536`,
		`samphireweir_loads_total{result="done"} 1`,
	)
}

// requireLines waits until the metrics of the process at address have each of the lines.
func requireLines(t *testing.T, address string, lines ...string) {
	t.Helper()
	page := ""
	for _, line := range lines {
		require.Eventually(t, func() bool {
			_, page = call(t, http.MethodGet, "http://"+address+"/metrics", "", nil)
			return strings.Contains(page, line+"\n")
		}, 5*time.Second, 20*time.Millisecond, "no line %s", line)
	}
	require.Contains(t, page, "samphireweir_goroutines ")
	require.Contains(t, page, `samphireweir_memory_bytes{kind="heap"} `)
}
