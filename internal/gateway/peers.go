package gateway

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/periodic"
)

// heartbeatInterval is how often an entry sends heartbeats to the agents. An agent drops an entry after several missed heartbeats.
const heartbeatInterval = time.Second

// runHeartbeats sends heartbeats until ctx ends; agents that receive them report their engine's load.
func (g *Gateway) runHeartbeats(ctx context.Context) {
	g.sendHeartbeats()
	periodic.Run(ctx, heartbeatInterval, g.sendHeartbeats)
}

// sendHeartbeats sends one heartbeat, with the active versions, to each agent that the reducer selected.
func (g *Gateway) sendHeartbeats() {
	agents, messages := g.heartbeat(time.Now())
	for _, a := range agents {
		for _, m := range messages {
			if err := g.socket.Send(a, m); err != nil {
				logevent.Info(g.log, logevent.PeerFailed).Str("peer", a.String()).Err(err).Msg("peer failed")
			}
		}
	}
}

// heartbeat returns the agents to send heartbeats to, and the messages for each of them.
func (g *Gateway) heartbeat(now time.Time) ([]netip.AddrPort, []loadreport.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	message := loadreport.Message{DataCentre: g.host.DataCentre, Crashes: g.forward.Crashes.Reports(now)}
	g.heartbeatAt = now
	g.addDemand(now, &message)
	message.Activations = loadreport.Activations(now, g.catalog.ReportedActivations(now, g.host.VersionLifetime))
	var agents []netip.AddrPort
	for _, u := range g.forward.ChooseHeartbeatTargets() {
		if a, err := netip.ParseAddrPort(u.Address); err == nil {
			agents = append(agents, netip.AddrPortFrom(a.Addr(), uint16(g.host.PeerPort)))
		}
	}
	messages := []loadreport.Message{message}
	if g.evidence.Due(now, g.evidenceFound) {
		if evidence, ok := loadreport.NewEvidence(g.forward.Parts.Report(now), g.forward.QuarantinedRequests.Report(now)); ok {
			messages = append(messages, evidence)
		}
	}
	return agents, messages
}

// handleMessage applies a message from an agent or from another entry.
func (g *Gateway) handleMessage(from netip.AddrPort, m loadreport.Message) {
	g.storePeers.HandleMessage(from, m)
	g.storePeers.ReplyToHeartbeat(g.socket, from, m)
	for _, n := range m.Activations {
		g.step(n.Event())
	}
	if len(m.Crashes) > 0 {
		g.step(forward.CrashesReported{Reports: m.Crashes})
	}
	if m.Evidence != nil {
		g.step(forward.PartsReported{Parts: m.Evidence.Parts, Requests: m.Evidence.Requests})
	}
	if m.Load != nil {
		g.step(forward.LoadReported{
			Address: m.Load.Address, StartedAt: m.Load.StartedAt, RequestCount: m.Load.RequestCount, NotAccepting: m.Load.NotAccepting,
			Versions: m.Load.Versions, RateLimit: m.Load.RateLimit, Leaving: m.Load.Leaving, Entries: m.Load.Entries, NearEntries: m.Load.NearEntries,
			ColdRemaining: time.Duration(m.Load.ColdMS) * time.Millisecond, Slowdown: m.Load.Slowdown,
			ReadyIn: time.Duration(m.Load.ReadyMS) * time.Millisecond, ReadyVersion: m.Load.ReadyVersion,
		})
		g.handleDemandSums(m)
	}
}

// newPeerServer returns the server for processes that read the store through this one, or ask it for the manifest in force.
func (g *Gateway) newPeerServer() *http.Server {
	handlers := g.cache.Handlers()
	maps.Copy(handlers, g.manifestHandlers())
	mux := http.NewServeMux()
	mux.Handle(control.Path, control.NewServer(handlers))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
}

func (g *Gateway) servePeers(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("peer HTTP server failed")
	}
}
