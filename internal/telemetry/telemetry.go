// Package telemetry provides the metrics and traces of a process. It observes the events and effects that pass through the
// reducer, and wraps HTTP servers and clients. The code that it measures therefore does not depend on it.
package telemetry

import (
	"net/http"

	"samphireweir.example/samphireweir/internal/core/step"
)

// Telemetry holds the metrics and traces of one process.
type Telemetry struct {
	// Metrics are the metrics of the process.
	Metrics *Metrics
	// Traces is nil when tracing is off.
	Traces  *Traces
	watcher *watcher
}

// New returns the telemetry of a process; traces may be nil, which turns tracing off.
func New(traces *Traces) *Telemetry {
	m := NewMetrics()
	return &Telemetry{Metrics: m, Traces: traces, watcher: newWatcher(m, traces)}
}

// ObserveEvent records an event that enters the reducer.
func (t *Telemetry) ObserveEvent(ev step.Event) { t.watcher.event(ev) }

// ObserveEffect records an effect that the reducer returned.
func (t *Telemetry) ObserveEffect(e step.Effect) { t.watcher.effect(e) }

// ServeMetrics answers GET /metrics in the text exposition format.
func (t *Telemetry) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = t.Metrics.Write(w)
}
