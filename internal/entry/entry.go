package entry

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/node"
)

// effectBuffer is the capacity of a request's effect channel. It exceeds the number of effects that one request can
// have outstanding, so that the loop does not block.
const effectBuffer = 16

// Entry is the process that callers send their requests to.
type Entry struct {
	*node.Process
	config         Config
	callerListener net.Listener
	// effectChannels maps the id of each request in flight to the channel on which it receives its effects.
	effectChannels sync.Map
	claims         *claims.Service
	// agentClient and unpooledAgentClient call agents. The latter opens a new connection for each call.
	agentClient         *http.Client
	unpooledAgentClient *http.Client
	headTimes           headTimes
	// instance identifies this instance of the entry in calls to agents: its address and its incarnation, which is its
	// start time.
	instance string
}

// New returns an entry that listens for callers and peers. The config must have passed Check.
func New(c Config, log zerolog.Logger) (*Entry, error) {
	p, err := node.NewProcess(c.Config, log, nil)
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", c.CallersListen)
	if err != nil {
		return nil, code.Errorf(code.BadProcessSetting, "-callers-listen", "listening for callers: %v", err)
	}
	e := &Entry{Process: p, config: c, callerListener: l}
	e.claims = e.newClaims()
	e.agentClient, e.unpooledAgentClient = newAgentClient(p.PeerClient, true), newAgentClient(p.PeerClient, false)
	e.traceAgentCalls()
	p.Loop.View(func(s *core.State) { e.instance = s.Self.Address + "/" + strconv.FormatUint(s.Self.Incarnation, 10) })
	p.Loop.SetExecutor(e.dispatchEffect)
	p.Loop.View(func(s *core.State) { s.Requests.Routing.Self.Policy = routing.Policy(c.Routing) })
	return e, nil
}

// CallersAddress returns the address, host and port, on which the entry accepts callers.
func (e *Entry) CallersAddress() string { return e.callerListener.Addr().String() }

// Run serves until ctx ends. It then stops accepting requests and gives those in flight up to grace to finish.
func (e *Entry) Run(ctx context.Context, grace time.Duration) {
	processCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.Process.Run(processCtx, map[string]string{"callers": e.callerListener.Addr().String()})
	e.Serve(node.WithCodedRejections(e.callerListener), e.callerHandler())
	<-ctx.Done()
	logevent.Info(e.Log, logevent.ShutdownStarted).Msg("shutdown started")
	e.awaitBalancer()
	e.StartShutdown()
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), grace)
	defer cancelShutdown()
	e.awaitRequests(shutdownCtx)
	e.claims.Wait(shutdownCtx)
	e.AwaitArrived()
	e.Close(shutdownCtx)
	e.agentClient.CloseIdleConnections()
	logevent.Info(e.Log, logevent.Stopped).Int("open", e.inFlight()).Msg("stopped")
}

// awaitBalancer reports the entry as not ready and keeps serving for Config.ReadinessDelay. The balancer removes it
// meanwhile, so a planned shutdown refuses no caller. An entry that is late still accepts what arrived within that time.
func (e *Entry) awaitBalancer() {
	e.MarkNotReady()
	time.Sleep(e.config.ReadinessDelay)
	e.AwaitArrived()
}

// awaitRequests blocks until no request is in flight or ctx ends.
func (e *Entry) awaitRequests(ctx context.Context) {
	for ctx.Err() == nil && e.inFlight() > 0 {
		time.Sleep(step.TickInterval)
	}
}

func (e *Entry) inFlight() int {
	n := 0
	e.Loop.View(func(s *core.State) { n = len(s.Requests.Requests) })
	return n
}

// dispatchEffect carries out an effect of the loop, or passes it to the request that it is addressed to.
func (e *Entry) dispatchEffect(eff step.Effect) {
	if e.Execute(eff) {
		return
	}
	addressed, ok := eff.(request.Addressed)
	if !ok {
		return
	}
	if effects, found := e.effectChannels.Load(addressed.RequestID()); found {
		effects.(chan step.Effect) <- eff
	}
}
