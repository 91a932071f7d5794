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
	// headTime bounds the reading of a request's head; the manifest allows callers about three seconds.
	headTime = 10 * time.Second
	// idleTime is how long an idle connection of a caller is kept, far beyond what manifests promise callers.
	idleTime = 2 * time.Minute
	// maxHead bounds the head of a request in bytes.
	maxHead = 64 << 10
	// maxBody bounds what is read of a body in bytes; the manifest's limit is lower.
	maxBody = 16 << 20
	// acceptAfterStop is how long new requests are taken after the request to stop. The balancer asks once a second
	// and takes a host out after two misses.
	acceptAfterStop = 3 * time.Second
	// stopMargin is how long before the kill the process ends by itself.
	stopMargin = 300 * time.Millisecond
	// stopPoll is how often the shutdown looks for open requests.
	stopPoll = 50 * time.Millisecond
)

func (g *Gateway) callersServer() *http.Server {
	return &http.Server{
		Handler: g.traces.EntryServer(http.HandlerFunc(g.serve)), ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead,
		ErrorLog: stdlog.New(io.Discard, "", 0), // Connections that callers break are no news.
	}
}

func (g *Gateway) serveCallers(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("callers' server ended")
	}
}

// serveReadiness answers the balancer. The path does not matter.
func (g *Gateway) serveReadiness(l net.Listener) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready.Load() || g.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headTime, IdleTimeout: idleTime}
	if err := server.Serve(l); err != nil {
		logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("readiness server ended")
	}
}

// stop is the graceful shutdown: the balancer is told at once, requests are taken until it has heard, and those that are
// open have until shortly before the kill.
func (g *Gateway) stop(server *http.Server) {
	began := time.Now()
	g.stopping.Store(true)
	logevent.Info(g.log, logevent.StopAsked).Int64("open", g.open.Load()).Msg("stop asked")
	time.Sleep(min(acceptAfterStop, max(0, g.host.Grace-stopMargin)))
	g.step(forward.StopAsked{})
	for g.open.Load() > 0 && time.Since(began) < g.host.Grace-stopMargin {
		time.Sleep(stopPoll)
	}
	logevent.Info(g.log, logevent.Stopped).Int64("open", g.open.Load()).Dur("took_ms", time.Since(began)).Msg("stopped")
	_ = server.Close()
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	head := time.Now()
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := newExchange(g, w, r, head)
	defer x.holder.Close()
	if !x.readBody() {
		return
	}
	g.register(x)
	defer g.forget(x.id)
	x.run()
}
