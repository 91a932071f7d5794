package telemetry

// Kind tells how a metric is to be read.
type Kind string

// The kinds of metric.
const (
	// CounterKind only grows.
	CounterKind Kind = "counter"
	// GaugeKind goes up and down.
	GaugeKind Kind = "gauge"
	// HistogramKind counts observations in buckets, which can be added up over processes.
	HistogramKind Kind = "histogram"
)

// Definition describes a metric. Each is defined once, here; the page of metrics is made from it.
type Definition struct {
	// Name is the metric's name on the operators' endpoint.
	Name string
	// Kind tells how to read it.
	Kind Kind
	// Labels are the names of its labels, at most maxLabels.
	Labels []string
	// Help says what it counts.
	Help string
}

// The metrics.
var (
	requestsDefinition = Definition{"samphireweir_requests_total", CounterKind, []string{"team", "service", "code"},
		"Callers' requests that ended at this entry, by outcome: ok, a result code's number, or aborted for an answer that was cut."}
	refusalsDefinition = Definition{"samphireweir_refusals_total", CounterKind, []string{"code", "ran"},
		"Refusals given to callers, by result code and by whether the request was run."}
	inFlightDefinition = Definition{"samphireweir_requests_in_flight", GaugeKind, []string{"team", "service"},
		"Callers' requests that are open at this entry."}
	firstByteDefinition = Definition{"samphireweir_first_byte_seconds", HistogramKind, []string{"team", "service"},
		"Time from a request's head to the first byte of its answer's body, of complete answers."}
	totalDefinition = Definition{"samphireweir_request_seconds", HistogramKind, []string{"team", "service"},
		"Time from a request's head to the end of its answer, of complete answers."}
	attemptsDefinition = Definition{"samphireweir_attempts_total", CounterKind, []string{"team", "service", "cause"},
		"Sendings of requests to upstreams: first, retry, or resume for an answer that went on over a new connection."}
	attemptsFailedDefinition = Definition{"samphireweir_attempts_failed_total", CounterKind, []string{"cause"},
		"Attempts that ended without an answer, by the result code of the cause."}
	upstreamCallsDefinition = Definition{"samphireweir_upstream_calls_total", CounterKind, []string{"team", "service", "upstream", "cause"},
		"Calls of this agent to its upstreams: the answer's class of status, or error when none came."}
	upstreamFirstByteDefinition = Definition{"samphireweir_upstream_first_byte_seconds", HistogramKind, []string{"team", "service", "upstream"},
		"Time from a call to an upstream to the beginning of its answer, at the process that calls it: the first event of a stream."}
	begunLateDefinition = Definition{"samphireweir_begun_late_total", CounterKind, nil,
		"Requests that an upstream began on a version of weights whose time was over."}
	upstreamNoticesDefinition = Definition{"samphireweir_upstream_notices_total", CounterKind, nil,
		"Changes of what upstreams say of themselves in their answers: a limit, that they shut down, how long to stay away."}
	runsRefusedDefinition = Definition{"samphireweir_runs_refused_total", CounterKind, []string{"cause"},
		"Runs that this agent refused to start, by the result code of the cause."}
	recordsDefinition = Definition{"samphireweir_records_total", CounterKind, []string{"way"},
		"Records that travelled: pushed, received by push, or exchanged for repair."}
	recordBytesDefinition = Definition{"samphireweir_record_bytes_total", CounterKind, []string{"way"},
		"Bytes of the values of records that travelled."}
	controlCallsDefinition = Definition{"samphireweir_control_calls_total", CounterKind, []string{"method", "direction"},
		"Control calls between the system's processes, made (out) and answered (in)."}
	controlBytesDefinition = Definition{"samphireweir_control_bytes_total", CounterKind, []string{"direction"},
		"Bytes of control messages between the system's processes, calls and answers together."}
	platformCallsDefinition = Definition{"samphireweir_platform_calls_total", CounterKind, []string{"kind", "result"},
		"Calls to the platform's object API and host list: ok, refused (status 4xx or 5xx) or error."}
	chunksDefinition = Definition{"samphireweir_chunks_fetched_total", CounterKind, []string{"source"},
		"Chunks of weights that came whole, by source: peer, store or origin."}
	chunkBytesDefinition = Definition{"samphireweir_chunk_bytes_total", CounterKind, []string{"source"},
		"Bytes of chunks that were read, by source: peer, store or origin."}
	chunksRefusedDefinition = Definition{"samphireweir_chunks_refused_total", CounterKind, []string{"source", "cause"},
		"Chunks that failed: broken, busy, corrupt, changed, no-memory or missing; origin stands for both sources."}
	loadsDefinition = Definition{"samphireweir_loads_total", CounterKind, []string{"result"},
		"Load and role orders to this agent's engines: ordered, done, failed, or refused for an old fencing number."}
	settingsDefinition = Definition{"samphireweir_settings_applied_total", CounterKind, nil,
		"Revisions of settings that came into force in this process."}
	panicsDefinition = Definition{"samphireweir_panics_total", CounterKind, []string{"where"},
		"Faults of the program that were contained in one request or message; report each to the maintainers."}
	goroutinesDefinition = Definition{"samphireweir_goroutines", GaugeKind, nil, "Goroutines of this process."}
	memoryDefinition     = Definition{"samphireweir_memory_bytes", GaugeKind, []string{"kind"},
		"Memory of this process: heap in live objects, and total obtained from the system."}
)

// Catalogue lists every metric in the order of the page.
var Catalogue = []Definition{
	requestsDefinition, refusalsDefinition, inFlightDefinition, firstByteDefinition, totalDefinition,
	attemptsDefinition, attemptsFailedDefinition, upstreamCallsDefinition, upstreamFirstByteDefinition, begunLateDefinition, upstreamNoticesDefinition, runsRefusedDefinition,
	recordsDefinition, recordBytesDefinition, controlCallsDefinition, controlBytesDefinition, platformCallsDefinition,
	chunksDefinition, chunkBytesDefinition, chunksRefusedDefinition, loadsDefinition, settingsDefinition,
	panicsDefinition, goroutinesDefinition, memoryDefinition,
}
