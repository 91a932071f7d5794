package node

import (
	"net/http/pprof"
	"os"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// instrument attaches metrics and traces to the process's loop and clients, and registers the metrics handler.
func (p *Process) instrument() error {
	traces := p.Config.Traces
	if traces == nil {
		made, err := telemetry.NewTraces(p.Config.Trace, string(p.Config.Role), p.Config.Name, os.Stdout)
		if err != nil {
			return err
		}
		traces = made
	}
	p.Telemetry = telemetry.New(traces)
	p.Loop.SetObserver(p.Telemetry)
	p.Pool.Meter = p.Telemetry
	p.Telemetry.CountPlatformCalls(p.ExternalClient)
	traces.Client(p.ExternalClient, telemetry.PlatformSpanName)
	p.OperatorsMux.HandleFunc("GET /metrics", p.Telemetry.ServeMetrics)
	if p.Config.Profile {
		p.registerProfiles()
	}
	return nil
}

// controlServer returns the server for control messages of other processes.
func (p *Process) controlServer() *control.Server {
	s := control.NewServer(p.Handlers)
	s.Meter = p.Telemetry
	s.OnPanic = func(cause any) { p.ReportPanic("message", cause) }
	return s
}

// registerProfiles registers the pprof handlers on the operators' address.
func (p *Process) registerProfiles() {
	p.OperatorsMux.HandleFunc("GET /debug/pprof/", pprof.Index)
	p.OperatorsMux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	p.OperatorsMux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
}
