package agent

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/internal/source"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/internal/transfer"
)

// cancelReportTimeout is how long runs that are cancelled at shutdown have to report their failure to their entries.
const cancelReportTimeout = time.Second

// Agent runs on the same host as its upstreams. It executes requests for entries, shares weights with its peers, and sends
// load and role orders to its engines.
type Agent struct {
	*node.Process
	config  Config
	fetcher *transfer.Fetcher
	engines *engine.Client
	// pooledClient and singleUseClient send requests to upstreams. A request that must run at most once uses
	// singleUseClient, which opens a new connection for each request.
	pooledClient    *http.Client
	singleUseClient *http.Client
	// prober sends liveness probes to engines; probeTimes derives their timeout from recent response times.
	prober     *engine.Client
	probeTimes silence.ResponseTimes
	// allowance returns how much longer probes wait because this process is late; nil for never.
	allowance func() time.Duration
	// orderCancels holds the cancel functions of the orders in flight, by serial.
	orderCancels sync.Map
	// upstreamsByURL holds the labels of the upstreams in metrics and traces, by base URL.
	upstreamsByURL map[string]telemetry.Upstream
	// newOrderTransport returns the transport of one order. The transport calls permit before each part of the order that
	// it sends, and aborts the order if permit returns an error.
	newOrderTransport func(permit func() error) http.RoundTripper
	// stateClient reads the state of engines.
	stateClient *http.Client
	// selfIncarnation is this process's incarnation, as its advertisement states it: its start time in nanoseconds. It is
	// not the incarnation of core/incarnation, the fencing number of orders.
	selfIncarnation uint64
	// executions holds the runs whose responses can be resumed: *execution by run.ID.
	executions sync.Map
	// heardLogs holds when the host's engines were heard: *heardLog by name.
	heardLogs sync.Map
}

// New returns an agent with settings that passed Config.Check.
func New(c Config, log zerolog.Logger) (*Agent, error) {
	upstreams, err := ParseUpstreams(c.Upstreams)
	if err != nil {
		return nil, err
	}
	p, err := node.NewProcess(c.Config, log, upstreams)
	if err != nil {
		return nil, err
	}
	if c.StalledAfter == 0 {
		c.StalledAfter = defaultStalledAfter
	}
	if c.MarkTimeout == 0 {
		c.MarkTimeout = defaultMarkTimeout
	}
	a := &Agent{Process: p, config: c, pooledClient: newUpstreamClient(true), singleUseClient: newUpstreamClient(false), prober: newProber()}
	a.allowance = p.OwnDelay.Allowance
	a.stateClient = newStateClient()
	a.newOrderTransport = engine.NewGuardedTransport
	a.instrument(upstreams)
	a.engines = engine.NewClient(a.stateClient)
	a.fetcher = a.newFetcher()
	a.fetcher.Routes(p.PeersMux, p.Handlers)
	p.PeersMux.HandleFunc("POST "+frame.RunPath, a.handleRun)
	p.PeersMux.HandleFunc("POST "+frame.ResumePath, a.handleResume)
	p.PeersMux.HandleFunc("POST "+frame.FencePath, a.handleFence)
	p.PeersMux.HandleFunc("POST "+frame.GiveUpPath, a.handleGiveUp)
	p.Loop.View(func(s *core.State) { a.selfIncarnation = s.Self.Incarnation })
	p.Loop.SetExecutor(a.executeEffect)
	p.Loop.Step(weights.Configured{Mode: weights.Mode(c.Spread), NoYield: c.NoYield})
	return a, nil
}

func (a *Agent) newFetcher() *transfer.Fetcher {
	f := &transfer.Fetcher{
		Memory: transfer.NewMemory(a.config.ChunkMemory), Pool: a.Pool, Client: a.PeerClient, Secret: a.config.Secret, Self: a.Address(),
		Uplink: transfer.NewLink(a.config.LinkRate), Downlink: transfer.NewLink(a.config.LinkRate), Steps: a.Loop, Log: a.Log,
	}
	for _, base := range []string{a.config.WeightStore, a.config.Origin} {
		if base != "" {
			f.Sources = append(f.Sources, source.NewClient(base, a.ExternalClient))
		}
	}
	return f
}

// Run serves until ctx ends, then shuts down gracefully: requests in flight have the grace period to end.
func (a *Agent) Run(ctx context.Context, grace time.Duration) {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.Process.Run(runCtx, nil)
	a.enableOrders()
	go a.pollEngines(runCtx)
	<-ctx.Done()
	logevent.Info(a.Log, logevent.ShutdownStarted).Msg("shutdown started")
	a.StartShutdown()
	a.drain(grace)
	a.cancelRemainingRuns()
	a.releaseIncarnation()
	a.AwaitArrived()
	closeCtx, cancelClose := context.WithTimeout(context.Background(), time.Second)
	defer cancelClose()
	a.Close(closeCtx)
	a.closeIdle()
	logevent.Info(a.Log, logevent.Stopped).Int("open", a.runCount()).Msg("stopped")
}

// closeIdle closes the idle connections to upstreams.
func (a *Agent) closeIdle() {
	for _, c := range []*http.Client{a.pooledClient, a.singleUseClient, a.stateClient} {
		c.CloseIdleConnections()
	}
}

// drain waits until no request runs on this host, for the grace period at most.
func (a *Agent) drain(grace time.Duration) {
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) && a.runCount() > 0 {
		time.Sleep(step.TickInterval)
	}
}

// cancelRemainingRuns cancels the runs that outlast the grace period. Their entries continue the answers that are
// continuable on other upstreams of the same version, from the position that was reached.
func (a *Agent) cancelRemainingRuns() {
	a.executions.Range(func(_, x any) bool {
		x.(*execution).cancel(errShuttingDown)
		return true
	})
	a.drain(cancelReportTimeout)
}

// runCount returns the number of requests that run on this host.
func (a *Agent) runCount() int {
	n := 0
	a.Loop.View(func(s *core.State) { n = len(s.Runs.Running) })
	return n
}

// executeEffect carries out an effect of the core.
func (a *Agent) executeEffect(e step.Effect) {
	if a.Execute(e) || a.fetcher.Execute(e) || a.executeRolloutEffect(e) {
		return
	}
	switch e := e.(type) {
	case run.Start:
		a.Calls.Answer(e.Call, e)
	case run.Join:
		a.Calls.Answer(e.Call, e)
	case run.Refuse:
		a.Calls.Answer(e.Call, e)
	case run.FenceAnswer:
		a.Calls.Answer(e.Call, e)
	}
}
