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

// Exporter names where traces go.
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

// TraceConfig is the process settings of tracing.
type TraceConfig struct {
	Exporter string
	// Endpoint is the collector's URL, for OTLPExporter.
	Endpoint string
	// Ratio is the part of traces that begin here which are kept; a caller's own decision is followed.
	Ratio float64
	// AtOnce sends each span when it ends, for commands that live shortly.
	AtOnce bool
}

// Flags declares the flags of c on fs.
func (c *TraceConfig) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Exporter, "trace-exporter", string(NoExporter), "where traces go: none, stdout or otlp")
	fs.StringVar(&c.Endpoint, "trace-endpoint", "", "URL of the collector of traces, for otlp, such as http://10.0.0.9:4318")
	fs.Float64Var(&c.Ratio, "trace-ratio", 1, "part of the traces that begin here which are kept, 0 to 1; a caller's sampled traceparent is followed")
}

// Check tells the first setting that is bad or clashes.
func (c *TraceConfig) Check() error {
	switch Exporter(c.Exporter) {
	case "", NoExporter, StdoutExporter, OTLPExporter:
	default:
		return code.Errorf(code.BadProcess, "-trace-exporter", "%q, want none, stdout or otlp", c.Exporter)
	}
	if c.Ratio < 0 || c.Ratio > 1 {
		return code.Errorf(code.BadProcess, "-trace-ratio", "%g, want 0 to 1", c.Ratio)
	}
	otlp := Exporter(c.Exporter) == OTLPExporter
	if otlp != (c.Endpoint != "") {
		return code.Errorf(code.SettingsClash, "-trace-exporter and -trace-endpoint", "want an endpoint with otlp and none without, such as -trace-exporter otlp -trace-endpoint http://10.0.0.9:4318")
	}
	if u, err := url.Parse(c.Endpoint); otlp && (err != nil || u.Host == "") {
		return code.Errorf(code.BadProcess, "-trace-endpoint", "%q, want a URL such as http://10.0.0.9:4318", c.Endpoint)
	}
	return nil
}

// Traces makes and sends spans. A nil Traces does nothing.
type Traces struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	wire     propagation.TraceContext
}

// NewTraces returns the traces of a process, or nil when they are off. stdout is where StdoutExporter prints.
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
		return nil, errors.Wrapf(err, "make the trace exporter %s", c.Exporter)
	}
	send := sdktrace.WithBatcher(exporter)
	if c.AtOnce {
		send = sdktrace.WithSyncer(exporter)
	}
	return newTraces(process, host, send, sdktrace.WithSampler(sampler(c.Ratio))), nil
}

// collectorPath is where collectors take spans unless the endpoint has a path of its own.
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

// NewTracesTo returns traces that export each span at once, for tests.
func NewTracesTo(exporter sdktrace.SpanExporter, process, host string) *Traces {
	return newTraces(process, host, sdktrace.WithSyncer(exporter))
}

func newTraces(process, host string, options ...sdktrace.TracerProviderOption) *Traces {
	who := resource.NewSchemaless(attribute.String("service.name", "samphireweir-"+process), attribute.String("host.name", host))
	p := sdktrace.NewTracerProvider(append(options, sdktrace.WithResource(who))...)
	return &Traces{provider: p, tracer: p.Tracer("samphireweir")}
}

// Close sends what has not been sent.
func (t *Traces) Close(ctx context.Context) {
	if t != nil {
		_ = t.provider.Shutdown(ctx)
	}
}

// Server wraps next so that a request on one of spans' paths gets a span, the child of the one in its traceparent;
// the path "" stands for every other. It returns next itself when tracing is off.
func (t *Traces) Server(spans map[string]string, next http.Handler) http.Handler {
	if t == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, found := spans[r.URL.Path]
		if !found {
			name = spans[""]
		}
		if name == "" {
			next.ServeHTTP(w, r)
			return
		}
		ctx := t.wire.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
		ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("http.request.method", r.Method), attribute.String("url.path", r.URL.Path)))
		defer span.End()
		t.wire.Inject(ctx, propagation.HeaderCarrier(r.Header))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// NameCall names the span of a call; an empty name means none.
type NameCall func(*http.Request) string

// Client makes each call of c that name names a span. The parent is the span of the call's context or else that of
// its traceparent. When tracing is off it changes nothing.
func (t *Traces) Client(c *http.Client, name NameCall) {
	if t == nil {
		return
	}
	next := base(c)
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
		ctx = t.wire.Extract(ctx, propagation.HeaderCarrier(r.Header))
	}
	ctx, span := t.tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server.address", r.URL.Host), attribute.String("url.path", r.URL.Path)))
	r = r.Clone(ctx)
	t.wire.Inject(ctx, propagation.HeaderCarrier(r.Header))
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

// tracedBody ends a call's span when its answer is read or given up.
type tracedBody struct {
	io.ReadCloser
	span trace.Span
	once sync.Once
}

// Read reads on; the end of the answer ends the span.
func (b *tracedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err)
	}
	return n, err
}

// Close gives the answer up.
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

// settingInForce marks the moment at which a setting came into force in this process.
func (t *Traces) settingInForce(e core.SettingChanged) {
	if t == nil {
		return
	}
	_, span := t.tracer.Start(context.Background(), "setting in force",
		trace.WithAttributes(attribute.String("key", e.Key), attribute.Int64("revision", int64(e.Revision))))
	span.End()
}

// The names of spans.
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

// EntryServer gives each caller's request its span.
func (t *Traces) EntryServer(next http.Handler) http.Handler {
	return t.Server(map[string]string{"": spanEntryRequest}, next)
}

// AgentServer gives each run that an entry asks for its span.
func (t *Traces) AgentServer(next http.Handler) http.Handler {
	return t.Server(map[string]string{"/run": spanAgentRun, "/resume": spanAgentResume}, next)
}

// NamePeerCall names calls between the system's processes.
func NamePeerCall(r *http.Request) string {
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

// NameSend names each send of a caller's request straight to an upstream.
func NameSend(*http.Request) string { return spanEntryAttempt }

// NameOriginCall names each call of the origin of weights.
func NameOriginCall(*http.Request) string { return spanChunkFetch }

// NameUpstreamCall names calls to upstreams: callers' requests and orders.
func NameUpstreamCall(r *http.Request) string {
	switch {
	case isCall(r):
		return spanUpstreamCall
	case strings.HasSuffix(r.URL.Path, "/orders/load"):
		return spanLoadOrder
	case strings.HasSuffix(r.URL.Path, "/orders/role"):
		return spanRoleOrder
	}
	return ""
}

// NameOutsideCall names calls to the platform and the sources of weights.
func NameOutsideCall(r *http.Request) string {
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
