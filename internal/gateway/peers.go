package gateway

import (
	"context"
	"errors"
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

// greetInterval is how often an entry greets the agents, which forget an entry that is silent for some of these.
const greetInterval = time.Second

// greet asks the agents beside the engines for their load, again and again.
func (g *Gateway) greet(ctx context.Context) {
	g.greetAll()
	periodic.Run(ctx, greetInterval, g.greetAll)
}

// greetAll greets the agents that the reducer chose once and tells it the versions in force.
func (g *Gateway) greetAll() {
	agents, message := g.greeting(time.Now())
	for _, a := range agents {
		if err := g.socket.Send(a, message); err != nil {
			logevent.Info(g.log, logevent.PeerFailed).Str("peer", a.String()).Err(err).Msg("peer failed")
		}
	}
}

func (g *Gateway) greeting(now time.Time) ([]netip.AddrPort, loadreport.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := loadreport.Message{DataCentre: g.host.DataCentre, Crashes: g.forward.Crashes.Reports(now)}
	m.Named = loadreport.Namings(now, g.catalog.Told(now, g.host.VersionTime))
	var agents []netip.AddrPort
	for _, u := range g.forward.Greet() {
		if a, err := netip.ParseAddrPort(u.Address); err == nil {
			agents = append(agents, netip.AddrPortFrom(a.Addr(), uint16(g.host.PeerPort)))
		}
	}
	return agents, m
}

// heard takes what an agent says.
func (g *Gateway) heard(from netip.AddrPort, m loadreport.Message) {
	g.neighbours.Heard(from, m)
	g.neighbours.Answer(g.socket, from, m)
	for _, n := range m.Named {
		g.step(n.Event())
	}
	if len(m.Crashes) > 0 {
		g.step(forward.CrashesTold{Reports: m.Crashes})
	}
	if m.Load != nil {
		g.step(forward.LoadTold{
			Address: m.Load.Address, Born: m.Load.Born, Occupied: m.Load.Occupied, Closing: m.Load.Closing,
			Versions: m.Load.Versions, RateLimit: m.Load.RateLimit, Leaving: m.Load.Leaving, Entries: m.Load.Entries, Near: m.Load.Near,
			ColdLeft: time.Duration(m.Load.ColdMS) * time.Millisecond, Slowdown: m.Load.Slowdown,
		})
	}
}

// peerServer answers the processes that read the store through this one.
func (g *Gateway) peerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(control.Path, control.NewServer(g.cache.Handlers()))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headTime}
}

func (g *Gateway) servePeers(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("peers' server ended")
	}
}
