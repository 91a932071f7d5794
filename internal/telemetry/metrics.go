package telemetry

import (
	"runtime"
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics are the metrics of one process. The definitions in this package describe each of them.
type Metrics struct {
	// Registry holds every series of the process, keyed by the metric's name and labels.
	Registry gometrics.Registry

	Requests, Refusals, InFlight              Counter
	Waiting, Yielded                          Counter
	FirstByte, Total                          Histogram
	Attempts, AttemptsFailed, UpstreamCrashes Counter
	AnswersIncomplete, Hedges, UpstreamCalls  Counter
	Retries, RetriesDenied, UnframedAnswers   Counter
	UpstreamFirstByte                         Histogram
	PartsQuarantined                          Counter
	StartedLate, RunsRefused, UpstreamNotices Counter
	MovedRequests                             Counter
	SecondAttempts, LimitsLowered             Counter
	Records, RecordBytes                      Counter
	ControlCalls, ControlBytes, PlatformCalls Counter
	Chunks, ChunkBytes, ChunksRefused         Counter
	Loads, Versions, Settings, Panics         Counter
	StoreRestores                             Counter
	VersionAge                                Histogram
	WaitDecisions, WaitingForEnd              Counter
	PredictedWait                             Histogram
	OwnDelay, EngineReady                     DurationGauge
	LateReads                                 Counter

	// exposed lists the metrics in the order in which Write writes them.
	exposed []exposedMetric
}

// NewMetrics returns the metrics of a process, all at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: gometrics.NewRegistry()}
	m.Requests = m.counter(requestsDefinition)
	m.Refusals = m.counter(refusalsDefinition)
	m.InFlight = m.counter(inFlightDefinition)
	m.Waiting = m.counter(waitingDefinition)
	m.Yielded = m.counter(yieldedDefinition)
	m.FirstByte = m.histogram(firstByteDefinition)
	m.Total = m.histogram(totalDefinition)
	m.Attempts = m.counter(attemptsDefinition)
	m.AttemptsFailed = m.counter(attemptsFailedDefinition)
	m.AnswersIncomplete = m.counter(answersIncompleteDefinition)
	m.UnframedAnswers = m.counter(unframedAnswersDefinition)
	m.Hedges = m.counter(hedgesDefinition)
	m.Retries = m.counter(retriesDefinition)
	m.RetriesDenied = m.counter(retriesDeniedDefinition)
	m.UpstreamCrashes = m.counter(upstreamCrashesDefinition)
	m.PartsQuarantined = m.counter(partsQuarantinedDefinition)
	m.UpstreamCalls = m.counter(upstreamCallsDefinition)
	m.UpstreamFirstByte = m.histogram(upstreamFirstByteDefinition)
	m.StartedLate = m.counter(startedLateDefinition)
	m.UpstreamNotices = m.counter(upstreamNoticesDefinition)
	m.MovedRequests = m.counter(movedRequestsDefinition)
	m.SecondAttempts = m.counter(secondAttemptsDefinition)
	m.LimitsLowered = m.counter(limitsLoweredDefinition)
	m.WaitDecisions = m.counter(waitDecisionsDefinition)
	m.PredictedWait = m.histogram(predictedWaitDefinition)
	m.WaitingForEnd = m.counter(waitingForEndDefinition)
	m.RunsRefused = m.counter(runsRefusedDefinition)
	m.Records = m.counter(recordsDefinition)
	m.RecordBytes = m.counter(recordBytesDefinition)
	m.ControlCalls = m.counter(controlCallsDefinition)
	m.ControlBytes = m.counter(controlBytesDefinition)
	m.PlatformCalls = m.counter(platformCallsDefinition)
	m.Chunks = m.counter(chunksDefinition)
	m.ChunkBytes = m.counter(chunkBytesDefinition)
	m.ChunksRefused = m.counter(chunksRefusedDefinition)
	m.Loads = m.counter(loadsDefinition)
	m.Versions = m.counter(versionsDefinition)
	m.EngineReady = m.durationGauge(engineReadyDefinition)
	m.Settings = m.counter(settingsDefinition)
	m.Panics = m.counter(panicsDefinition)
	m.StoreRestores = m.counter(storeRestoresDefinition)
	m.VersionAge = m.histogram(versionAgeDefinition)
	m.OwnDelay = m.durationGauge(ownDelayDefinition)
	m.LateReads = m.counter(lateReadsDefinition)
	m.exposed = append(m.exposed, polledGauge{goroutinesDefinition, readGoroutines}, polledGauge{memoryDefinition, readMemory})
	return m
}

func (m *Metrics) counter(d Definition) Counter {
	c := newCounter(m.Registry, d)
	m.exposed = append(m.exposed, c)
	return c
}

func (m *Metrics) histogram(d Definition) Histogram {
	h := newHistogram(m.Registry, d)
	m.exposed = append(m.exposed, h)
	return h
}

func (m *Metrics) durationGauge(d Definition) DurationGauge {
	g := newDurationGauge(m.Registry, d)
	m.exposed = append(m.exposed, g)
	return g
}

func readGoroutines() map[string]int64 { return map[string]int64{"": int64(runtime.NumGoroutine())} }

// Names of the sizes in the package runtime/metrics that are exposed, in bytes.
const (
	heapMetric  = "/memory/classes/heap/objects:bytes"
	totalMetric = "/memory/classes/total:bytes"
)

func readMemory() map[string]int64 {
	samples := []metrics.Sample{{Name: heapMetric}, {Name: totalMetric}}
	metrics.Read(samples)
	return map[string]int64{"heap": int64(samples[0].Value.Uint64()), "total": int64(samples[1].Value.Uint64())}
}
