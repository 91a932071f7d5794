package telemetry

// Kind is the type of a metric, as in the text exposition format.
type Kind string

// The kinds of metrics.
const (
	// CounterKind only increases.
	CounterKind Kind = "counter"
	// GaugeKind increases and decreases.
	GaugeKind Kind = "gauge"
	// HistogramKind counts observations in buckets, which can be summed across processes.
	HistogramKind Kind = "histogram"
)

// Definition describes a metric. The text that a process serves and docs/METRICS.md are generated from it.
type Definition struct {
	// Name is the metric's name, with its unit.
	Name string
	// Kind is the type of the metric.
	Kind Kind
	// Labels are the names of the labels, at most maxLabels.
	Labels []string
	// Help says what the metric counts.
	Help string
}

// The definitions of the metrics.
var (
	requestsDefinition = Definition{"samphireweir_requests_total", CounterKind, []string{"team", "service", "code"},
		"Callers' requests that ended at this entry, by outcome: ok, the number of a result code, or aborted for an incomplete answer."}
	refusalsDefinition = Definition{"samphireweir_refusals_total", CounterKind, []string{"code", "ran"},
		"Refusals sent to callers, by result code and by whether an upstream ran the request."}
	inFlightDefinition = Definition{"samphireweir_requests_in_flight", GaugeKind, []string{"team", "service"},
		"Callers' requests in flight at this entry."}
	waitingDefinition = Definition{"samphireweir_requests_waiting", GaugeKind, []string{"priority"},
		"Requests that wait at this entry of the users' platform for an upstream with capacity, by priority; 0 is the most urgent."}
	yieldedDefinition = Definition{"samphireweir_yielded_total", CounterKind, []string{"priority"},
		"Requests that arrived while an upstream had capacity, and left it to a more urgent one that waited, by their own priority."}
	firstByteDefinition = Definition{"samphireweir_first_byte_seconds", HistogramKind, []string{"team", "service"},
		"Time from the request's head to the first byte of the answer's body, for complete answers."}
	totalDefinition = Definition{"samphireweir_request_seconds", HistogramKind, []string{"team", "service"},
		"Time from the request's head to the end of the answer, for complete answers."}
	attemptsDefinition = Definition{"samphireweir_attempts_total", CounterKind, []string{"team", "service", "cause"},
		"Attempts to send a request to an upstream: first, retry, or resume for an answer that was resumed over a new connection."}
	attemptsFailedDefinition = Definition{"samphireweir_attempts_failed_total", CounterKind, []string{"cause"},
		"Attempts that ended without an answer, by result code."}
	answersIncompleteDefinition = Definition{"samphireweir_answers_incomplete_total", CounterKind, []string{"cause"},
		"Requests that ended without a complete answer, that is with neither an upstream's whole answer nor a refusal, by cause; see event 4025."}
	unframedAnswersDefinition = Definition{"samphireweir_unframed_answers_total", CounterKind, []string{"outcome", "end", "shown_by"},
		"Answers of upstreams without a length or chunks whose connection ended, by the outcome of the attempt, how it ended and what showed that; see event 4027."}
	hedgesDefinition = Definition{"samphireweir_hedges_total", CounterKind, []string{"won"},
		"Requests that were with two upstreams since the first was silent, by which of the two went on first: first or second."}
	retriesDefinition = Definition{"samphireweir_retries_total", CounterKind, []string{"cause", "counted"},
		"Attempts after the first one of a request, by the outcome of the attempt before, or hedge, and by whether the retry budget counted them."}
	retriesDeniedDefinition = Definition{"samphireweir_retries_denied_total", CounterKind, []string{"cause"},
		"Retries that the retry budget did not allow, by the outcome of the attempt before."}
	upstreamCrashesDefinition = Definition{"samphireweir_upstream_crashes_total", CounterKind, nil,
		"Upstreams that were found down shortly after attempts of this entry's requests broke there."}
	partsQuarantinedDefinition = Definition{"samphireweir_quarantined_parts", GaugeKind, nil,
		"Parts of prompts that are quarantined at this entry, since upstreams crash when they answer requests with them."}
	upstreamCallsDefinition = Definition{"samphireweir_upstream_calls_total", CounterKind, []string{"team", "service", "upstream", "cause"},
		"Calls of this agent to its upstreams, by the class of the answer's status, or error when no answer came."}
	upstreamFirstByteDefinition = Definition{"samphireweir_upstream_first_byte_seconds", HistogramKind, []string{"team", "service", "upstream"},
		"Time from a call of an upstream to the start of its answer (for a stream its first event), measured by the calling process."}
	startedLateDefinition = Definition{"samphireweir_begun_late_total", CounterKind, nil,
		"Requests that an upstream started on an expired version of weights."}
	upstreamNoticesDefinition = Definition{"samphireweir_upstream_notices_total", CounterKind, nil,
		"Changed notices in the heads of upstreams' answers: a rate limit, a shutdown, a requested backoff."}
	movedRequestsDefinition = Definition{"samphireweir_moved_requests_total", CounterKind, []string{"data_centre"},
		"Requests that the plan across data centres had tried first in another data centre than this entry's, by that data centre."}
	secondAttemptsDefinition = Definition{"samphireweir_second_attempts_total", CounterKind, []string{"stage"},
		"Second attempts of requests whose first one was far beyond its predicted time: sent when decided, won when the second one sent its first event, lost when it ended without one or the first one was faster. The others ended with their request."}
	limitsLoweredDefinition = Definition{"samphireweir_limits_lowered_total", CounterKind, nil,
		"Concurrency limits below an engine's slots that came into force because one more request was predicted to make the running ones miss their objective."}
	waitDecisionsDefinition = Definition{"samphireweir_wait_decisions_total", CounterKind, []string{"decision"},
		"Decisions by a predicted wait: refused on arrival, waits for room, waits for the end of an outage, served after such a wait, ended because the end moved out of reach, or shed for more urgent requests."}
	predictedWaitDefinition = Definition{"samphireweir_predicted_wait_seconds", HistogramKind, []string{"decision"},
		"Predicted time until there is room, for each such decision."}
	waitingForEndDefinition = Definition{"samphireweir_waiting_for_end", GaugeKind, nil,
		"Requests that wait at this entry for the end of an outage."}
	storeRestoresDefinition = Definition{"samphireweir_store_restores_total", CounterKind, nil,
		"Restores of the platform's store from a copy, as this process noticed them."}
	versionAgeDefinition = Definition{"samphireweir_version_age_seconds", HistogramKind, []string{"way", "assumed"},
		"Ages of versions of weights, as counted when this process received their activation."}
	runsRefusedDefinition = Definition{"samphireweir_runs_refused_total", CounterKind, []string{"cause"},
		"Runs that this agent refused to start, by result code."}
	recordsDefinition = Definition{"samphireweir_records_total", CounterKind, []string{"way"},
		"Records sent between processes: pushed, received by push, or exchanged for repair."}
	recordBytesDefinition = Definition{"samphireweir_record_bytes_total", CounterKind, []string{"way"},
		"Bytes of the values of records sent between processes."}
	controlCallsDefinition = Definition{"samphireweir_control_calls_total", CounterKind, []string{"method", "direction"},
		"Control calls between the system's processes: sent (out) and answered (in)."}
	controlBytesDefinition = Definition{"samphireweir_control_bytes_total", CounterKind, []string{"direction"},
		"Bytes of control messages between the system's processes, calls and answers together."}
	platformCallsDefinition = Definition{"samphireweir_platform_calls_total", CounterKind, []string{"kind", "result"},
		"Calls to the platform's object API and host list, by result: ok, refused (status 4xx or 5xx) or error."}
	chunksDefinition = Definition{"samphireweir_chunks_fetched_total", CounterKind, []string{"source"},
		"Chunks of weights that were read completely, by source: peer, store or origin."}
	chunkBytesDefinition = Definition{"samphireweir_chunk_bytes_total", CounterKind, []string{"source"},
		"Bytes of chunks of weights that were read, by source: peer, store or origin."}
	chunksRefusedDefinition = Definition{"samphireweir_chunks_refused_total", CounterKind, []string{"source", "cause"},
		"Failed fetches of chunks, by cause: broken, busy, corrupt, changed, no-memory, missing or gone (the origin no longer sends the version); the source origin includes the weight store."}
	loadsDefinition = Definition{"samphireweir_loads_total", CounterKind, []string{"result"},
		"Load and role orders to this agent's engines: ordered, done, failed, or refused because of an old fencing number."}
	versionsDefinition = Definition{"samphireweir_versions_total", CounterKind, []string{"result"},
		"Versions of weights on this host that a newer one had superseded: completed all the same, or dropped incomplete."}
	engineReadyDefinition = Definition{"samphireweir_engine_ready_seconds", GaugeKind, nil,
		"Predicted time until this host's engine accepts requests again; 0 while it does and if the time is unknown."}
	settingsDefinition = Definition{"samphireweir_settings_applied_total", CounterKind, nil,
		"Revisions of settings that came into force in this process."}
	panicsDefinition = Definition{"samphireweir_panics_total", CounterKind, []string{"where"},
		"Panics that were recovered and affect one request or message only; report each to the maintainers."}
	ownDelayDefinition = Definition{"samphireweir_own_delay_seconds", GaugeKind, nil,
		"How late this process itself was in the last second: its timers fired late or its goroutines waited to run."}
	lateReadsDefinition = Definition{"samphireweir_late_reads_total", CounterKind, nil,
		"Reads of this process that were late: the data had already arrived when the time limit for it passed."}
	goroutinesDefinition = Definition{"samphireweir_goroutines", GaugeKind, nil, "Goroutines of this process."}
	memoryDefinition     = Definition{"samphireweir_memory_bytes", GaugeKind, []string{"kind"},
		"Memory of this process: heap is the size of live objects, total what was obtained from the operating system."}
)

// Catalogue lists every metric, in the order of docs/METRICS.md.
var Catalogue = []Definition{
	requestsDefinition, refusalsDefinition, inFlightDefinition, waitingDefinition, yieldedDefinition, firstByteDefinition, totalDefinition,
	attemptsDefinition, attemptsFailedDefinition, answersIncompleteDefinition, unframedAnswersDefinition, hedgesDefinition, retriesDefinition, retriesDeniedDefinition, upstreamCrashesDefinition, partsQuarantinedDefinition, upstreamCallsDefinition, upstreamFirstByteDefinition, startedLateDefinition, upstreamNoticesDefinition, movedRequestsDefinition, secondAttemptsDefinition, limitsLoweredDefinition,
	waitDecisionsDefinition, predictedWaitDefinition, waitingForEndDefinition, runsRefusedDefinition,
	recordsDefinition, recordBytesDefinition, controlCallsDefinition, controlBytesDefinition, platformCallsDefinition,
	chunksDefinition, chunkBytesDefinition, chunksRefusedDefinition, loadsDefinition, versionsDefinition, engineReadyDefinition, settingsDefinition,
	panicsDefinition, storeRestoresDefinition, versionAgeDefinition, ownDelayDefinition, lateReadsDefinition, goroutinesDefinition, memoryDefinition,
}
