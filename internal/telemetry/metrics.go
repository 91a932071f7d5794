package telemetry

import (
	"runtime"
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics are the metrics of one process.
type Metrics struct {
	// Registry holds every series of the process under its name and labels.
	Registry gometrics.Registry

	Requests, Refusals, InFlight              Counter
	FirstByte, Total                          Histogram
	Attempts, AttemptsFailed                  Counter
	UpstreamCalls                             Counter
	UpstreamFirstByte                         Histogram
	BegunLate, RunsRefused, UpstreamNotices   Counter
	Records, RecordBytes                      Counter
	ControlCalls, ControlBytes, PlatformCalls Counter
	Chunks, ChunkBytes, ChunksRefused         Counter
	Loads, Settings, Panics                   Counter

	page []writable
}

// NewMetrics returns the metrics of a process, all at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: gometrics.NewRegistry()}
	m.Requests = m.counter(requestsDefinition)
	m.Refusals = m.counter(refusalsDefinition)
	m.InFlight = m.counter(inFlightDefinition)
	m.FirstByte = m.histogram(firstByteDefinition)
	m.Total = m.histogram(totalDefinition)
	m.Attempts = m.counter(attemptsDefinition)
	m.AttemptsFailed = m.counter(attemptsFailedDefinition)
	m.UpstreamCalls = m.counter(upstreamCallsDefinition)
	m.UpstreamFirstByte = m.histogram(upstreamFirstByteDefinition)
	m.BegunLate = m.counter(begunLateDefinition)
	m.UpstreamNotices = m.counter(upstreamNoticesDefinition)
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
	m.Settings = m.counter(settingsDefinition)
	m.Panics = m.counter(panicsDefinition)
	m.page = append(m.page, reading{goroutinesDefinition, readGoroutines}, reading{memoryDefinition, readMemory})
	return m
}

func (m *Metrics) counter(d Definition) Counter {
	c := newCounter(m.Registry, d)
	m.page = append(m.page, c)
	return c
}

func (m *Metrics) histogram(d Definition) Histogram {
	h := newHistogram(m.Registry, d)
	m.page = append(m.page, h)
	return h
}

func readGoroutines() map[string]int64 { return map[string]int64{"": int64(runtime.NumGoroutine())} }

// The runtime's names of the two sizes that the page shows.
const (
	heapName   = "/memory/classes/heap/objects:bytes"
	systemName = "/memory/classes/total:bytes"
)

func readMemory() map[string]int64 {
	samples := []metrics.Sample{{Name: heapName}, {Name: systemName}}
	metrics.Read(samples)
	return map[string]int64{"heap": int64(samples[0].Value.Uint64()), "total": int64(samples[1].Value.Uint64())}
}
