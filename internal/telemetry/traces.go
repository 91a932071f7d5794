package telemetry

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
)

// Exporter names the destination of traces.
type Exporter string

// The exporters.
const (
	// NoExporter turns tracing off.
	NoExporter Exporter = "none"
	// StdoutExporter prints spans as JSON; commands print them on standard error.
	StdoutExporter Exporter = "stdout"
	// OTLPExporter sends spans to a collector over HTTP.
	OTLPExporter Exporter = "otlp"
)

// TraceConfig holds the process settings of tracing.
type TraceConfig struct {
	// Exporter is one of the exporters; empty turns tracing off.
	Exporter string
	// Endpoint is the URL of the collector. It must be set for OTLPExporter, and only then.
	Endpoint string
	// Ratio is the fraction of the traces started by this process that are kept, 0 to 1. The sampling decision of a caller's
	// traceparent takes precedence.
	Ratio float64
	// Synchronous exports each span when it ends instead of in batches, for short-lived commands.
	Synchronous bool
}

// Flags defines the flags of c on fs.
func (c *TraceConfig) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Exporter, "trace-exporter", string(NoExporter), "destination of traces: none, stdout or otlp")
	fs.StringVar(&c.Endpoint, "trace-endpoint", "", "URL of the trace collector, for otlp, such as http://10.0.0.9:4318")
	fs.Float64Var(&c.Ratio, "trace-ratio", 1, "fraction of the traces started by this process that are kept, 0 to 1; the sampling decision in a caller's traceparent takes precedence")
}

// Check returns an error for the first setting that is invalid or contradicts another one.
func (c *TraceConfig) Check() error {
	switch Exporter(c.Exporter) {
	case "", NoExporter, StdoutExporter, OTLPExporter:
	default:
		return code.Errorf(code.BadProcessSetting, "-trace-exporter", "%q, want none, stdout or otlp", c.Exporter)
	}
	if c.Ratio < 0 || c.Ratio > 1 {
		return code.Errorf(code.BadProcessSetting, "-trace-ratio", "%g, want 0 to 1", c.Ratio)
	}
	otlp := Exporter(c.Exporter) == OTLPExporter
	if otlp != (c.Endpoint != "") {
		return code.Errorf(code.ConflictingSettings, "-trace-exporter and -trace-endpoint", "want an endpoint with otlp and none without, such as -trace-exporter otlp -trace-endpoint http://10.0.0.9:4318")
	}
	if u, err := url.Parse(c.Endpoint); otlp && (err != nil || u.Host == "") {
		return code.Errorf(code.BadProcessSetting, "-trace-endpoint", "%q, want a URL such as http://10.0.0.9:4318", c.Endpoint)
	}
	return nil
}

// Traces creates and exports spans. The methods of a nil Traces do nothing.
type Traces struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	// propagator reads and writes the header traceparent.
	propagator propagation.TraceContext
}

// NewTraces returns the traces of a process, or nil if tracing is off. StdoutExporter writes to stdout. The error is that of the
// exporter.
func NewTraces(c TraceConfig, process, host string, stdout io.Writer) (*Traces, error) {
	var exporter sdktrace.SpanExporter
	var err error
	switch Exporter(c.Exporter) {
	case StdoutExporter:
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(stdout))
	case OTLPExporter:
		exporter, err = otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(collectorURL(c.Endpoint)))
	default:
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "create trace exporter %s", c.Exporter)
	}
	processor := sdktrace.WithBatcher(exporter)
	if c.Synchronous {
		processor = sdktrace.WithSyncer(exporter)
	}
	return newTraces(process, host, processor, sdktrace.WithSampler(sampler(c.Ratio))), nil
}

// collectorPath is the standard OTLP path, used unless the endpoint has a path.
const collectorPath = "/v1/traces"

func collectorURL(endpoint string) string {
	u, err := url.Parse(endpoint)
	if err != nil || strings.Trim(u.Path, "/") != "" {
		return endpoint
	}
	u.Path = collectorPath
	return u.String()
}

func sampler(ratio float64) sdktrace.Sampler {
	return sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))
}

// NewTracesWithExporter returns traces that export each span when it ends, for tests.
func NewTracesWithExporter(exporter sdktrace.SpanExporter, process, host string) *Traces {
	return newTraces(process, host, sdktrace.WithSyncer(exporter))
}

func newTraces(process, host string, options ...sdktrace.TracerProviderOption) *Traces {
	source := resource.NewSchemaless(attribute.String("service.name", "samphireweir-"+process), attribute.String("host.name", host))
	p := sdktrace.NewTracerProvider(append(options, sdktrace.WithResource(source))...)
	return &Traces{provider: p, tracer: p.Tracer("samphireweir")}
}

// Close exports the remaining spans and shuts the exporter down.
func (t *Traces) Close(ctx context.Context) {
	if t != nil {
		_ = t.provider.Shutdown(ctx)
	}
}

// Server wraps next so that requests get a span, a child of the one in their traceparent. spanNames maps a path to the name of its
// span; the key "" is for all other paths, and a request without a name gets no span. Server returns next itself if tracing is off.
func (t *Traces) Server(spanNames map[string]string, next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := spanNames[r.URL.Path]
		if !ok {
			name = spanNames[""]
		}
		if name == "" {
			next.ServeHTTP(w, r)
			return
		}
		ctx := t.propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path)))
		defer span.End()
		t.propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// SpanNamer returns the name of a call's span, or an empty name for a call without a span.
type SpanNamer func(*http.Request) string

// Client wraps the transport of c so that each call for which name returns a name gets a span. Its parent is the span in the call's
// context, or else the one in its traceparent. If tracing is off, c stays as it is.
func (t *Traces) Client(c *http.Client, name SpanNamer) {
	if t == nil {
		return
	}
	next := baseTransport(c)
	c.Transport = transport{next, func(r *http.Request) (*http.Response, error) {
		spanName := name(r)
		if spanName == "" {
			return next.RoundTrip(r)
		}
		return t.call(r, spanName, next)
	}}
}

func (t *Traces) call(r *http.Request, name string, next http.RoundTripper) (*http.Response, error) {
	ctx := r.Context()
	if !trace.SpanContextFromContext(ctx).IsValid() {
		ctx = t.propagator.Extract(ctx, propagation.HeaderCarrier(r.Header))
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", r.URL.Host), attribute.String("url.path", r.URL.Path)))
	r = r.Clone(ctx)
	t.propagator.Inject(ctx, propagation.HeaderCarrier(r.Header))
	resp, err := next.RoundTrip(r)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		span.End()
		return nil, err
	}
	span.SetAttributes(attribute.Int("http.response.status_code", resp.StatusCode))
	resp.Body = &tracedBody{ReadCloser: resp.Body, span: span}
	return resp, nil
}

// tracedBody is an answer's body that ends the span of its call when the body is read to its end or closed.
type tracedBody struct {
	io.ReadCloser
	span trace.Span
	once sync.Once
}

// Read reads from the body; an error, io.EOF included, ends the span.
func (b *tracedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close closes the body and ends the span.
func (b *tracedBody) Close() error {
	b.end(io.EOF)
	return b.ReadCloser.Close()
}

func (b *tracedBody) end(err error) {
	b.once.Do(func() {
		if err != io.EOF {
			b.span.SetStatus(codes.Error, err.Error())
		}
		b.span.End()
	})
}

// settingInForce records a span without duration at the time when a setting comes into force in this process.
func (t *Traces) settingInForce(e core.SettingChanged) {
	if t == nil {
		return
	}
	_, span := t.tracer.Start(context.Background(), "setting in force",
		trace.WithAttributes(attribute.String("key", e.Key), attribute.Int64("revision", int64(e.Revision))))
	span.End()
}

// Names of spans.
const (
	spanEntryRequest   = "entry request"
	spanEntryAttempt   = "entry attempt"
	spanEntryResume    = "entry resume"
	spanAgentRun       = "agent run"
	spanAgentResume    = "agent resume"
	spanUpstreamCall   = "upstream call"
	spanChunkFetch     = "chunk fetch"
	spanLoadOrder      = "load order"
	spanRoleOrder      = "role order"
	spanSettingsApply  = "settings apply"
	spanSettingsDelete = "settings delete"
)

// EntryServer wraps next so that each caller's request gets a span.
func (t *Traces) EntryServer(next http.Handler) http.Handler {
	return t.Server(map[string]string{"": spanEntryRequest}, next)
}

// AgentServer wraps next so that each run or resume that an entry requests gets a span.
func (t *Traces) AgentServer(next http.Handler) http.Handler {
	return t.Server(map[string]string{"/run": spanAgentRun, "/resume": spanAgentResume}, next)
}

// PeerSpanName returns the span name of a call between the system's processes.
func PeerSpanName(r *http.Request) string {
	switch path := r.URL.Path; {
	case path == "/run":
		return spanEntryAttempt
	case path == "/resume":
		return spanEntryResume
	case strings.HasPrefix(path, "/chunks/"):
		return spanChunkFetch
	}
	return ""
}

// AttemptSpanName returns the span name of an attempt that sends a caller's request directly to an upstream.
func AttemptSpanName(*http.Request) string { return spanEntryAttempt }

// OriginSpanName returns the span name of a call to the origin of weights.
func OriginSpanName(*http.Request) string { return spanChunkFetch }

// UpstreamSpanName returns the span name of a call to an upstream: a caller's request or an order.
func UpstreamSpanName(r *http.Request) string {
	switch {
	case isCallerRequest(r):
		return spanUpstreamCall
	case strings.HasSuffix(r.URL.Path, "/orders/load"):
		return spanLoadOrder
	case strings.HasSuffix(r.URL.Path, "/orders/role"):
		return spanRoleOrder
	}
	return ""
}

// PlatformSpanName returns the span name of a call to the platform or to a source of weights.
func PlatformSpanName(r *http.Request) string {
	switch path := r.URL.Path; {
	case strings.HasPrefix(path, "/v1/weights/") && r.Header.Get("Range") != "":
		return spanChunkFetch
	case strings.HasPrefix(path, "/v1/objects/settings/") && r.Method == http.MethodPut:
		return spanSettingsApply
	case strings.HasPrefix(path, "/v1/objects/settings/") && r.Method == http.MethodDelete:
		return spanSettingsDelete
	}
	return ""
}
