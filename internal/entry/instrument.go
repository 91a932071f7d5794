package entry

import (
	"net/http"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// callerHandler returns the HTTP handler for callers, with request validation, metrics and tracing.
func (e *Entry) callerHandler() http.Handler {
	return e.Telemetry.ObserveRequests(e.hasService, e.Telemetry.Traces.EntryServer(e.intakeMiddleware(http.HandlerFunc(e.handle))))
}

// hasService reports whether there is a setting for the service.
func (e *Entry) hasService(team, service string) bool {
	known := false
	e.Loop.View(func(s *core.State) { _, known = s.Settings[setting.Key(team, service)] })
	return known
}

// traceAgentCalls adds tracing to the clients that call agents.
func (e *Entry) traceAgentCalls() {
	e.Telemetry.Traces.Client(e.agentClient, telemetry.PeerSpanName)
	e.Telemetry.Traces.Client(e.unpooledAgentClient, telemetry.PeerSpanName)
}
