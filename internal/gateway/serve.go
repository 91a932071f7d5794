package gateway

import (
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// headTimeout limits reading a request's head. The manifest allows callers about three seconds; this is longer.
	headTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept if the manifest does not say how long callers may be idle.
	idleTimeout = 2 * time.Minute
	// maxHeadBytes is the size limit of a request's head.
	maxHeadBytes = 64 << 10
	// maxBodyBytes is the maximum size of a request's body that is read. The manifest's limit is lower.
	maxBodyBytes = 16 << 20
	// acceptAfterStop is how long new requests are accepted after a shutdown was requested. The load balancer checks readiness once a
	// second and removes a host after two failed checks.
	acceptAfterStop = 3 * time.Second
	// stopMargin is how long before the end of the grace period, when the platform kills the process, the process exits by itself.
	stopMargin = 300 * time.Millisecond
	// stopPollInterval is how often the shutdown checks for open requests.
	stopPollInterval = 50 * time.Millisecond
)

func (g *Gateway) newCallerServer() *http.Server {
	return &http.Server{
		Handler: g.traces.EntryServer(http.HandlerFunc(g.serve)), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		ConnContext: withArrivalConn, ConnState: g.closeWhenIdle,
		ErrorLog: stdlog.New(io.Discard, "", 0), // Connections closed by callers are not worth logging.
	}
}

func (g *Gateway) serveCallers(server *http.Server, l net.Listener) {
	if err := server.Serve(arrivalListener{l}); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("caller HTTP server failed")
	}
}

// serveReadiness answers the load balancer's readiness checks on any path.
func (g *Gateway) serveReadiness(l net.Listener) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready.Load() || g.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout}
	if err := server.Serve(l); err != nil {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("readiness HTTP server failed")
	}
}

// stop shuts down gracefully: readiness checks fail at once, new requests are accepted until the load balancer has noticed, and open
// requests may run until shortly before the platform's kill.
func (g *Gateway) stop(server *http.Server) {
	start := time.Now()
	g.stopping.Store(true)
	logevent.Info(g.log, logevent.ShutdownStarted).Int64("open", g.inFlight.Load()).Msg("shutdown started")
	time.Sleep(min(acceptAfterStop, max(0, g.host.ShutdownGrace-stopMargin)))
	g.step(forward.ShutdownStarted{})
	for g.inFlight.Load() > 0 && time.Since(start) < g.host.ShutdownGrace-stopMargin {
		time.Sleep(stopPollInterval)
	}
	g.reportOpen()
	logevent.Info(g.log, logevent.Stopped).Int64("open", g.inFlight.Load()).Dur("took_ms", time.Since(start)).Msg("stopped")
	_ = server.Close()
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrivedAt := headArrivedAt(r)
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := newExchange(g, w, r, arrivedAt)
	defer x.reservation.Close()
	defer func() { x.reportIncomplete(x.end) }()
	if !x.readBody() {
		return
	}
	g.register(x)
	defer g.forget(x.id)
	x.run()
}
