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
	"samphireweir.example/samphireweir/internal/source"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/internal/transfer"
)

// handOverTime is how long the runs that outlast the grace have to tell their entries.
const handOverTime = time.Second

// Agent is the process.
type Agent struct {
	*node.Process
	config  Config
	fetcher *transfer.Fetcher
	engines *engine.Client
	// pooled and single call upstreams; a call that runs at most once has a connection of its own.
	pooled *http.Client
	single *http.Client
	// prober asks engines whether they live, and answers are how long these took.
	prober  *engine.Client
	answers answerTimes
	// orders holds the cancel functions of the orders on their way, by serial.
	orders sync.Map
	// byURL names the upstreams in metrics and traces.
	byURL map[string]telemetry.Upstream
	// orderTransport makes the transport of one order.
	orderTransport func(permit func() error) http.RoundTripper
	// client reads engines' states.
	client *http.Client
	// life is this process's incarnation, as its advertisement names it.
	life uint64
	// runs holds the answers that can be resumed.
	runs sync.Map
}

// New makes an agent from checked settings.
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
	a := &Agent{Process: p, config: c, pooled: newUpstreamClient(true), single: newUpstreamClient(false), prober: newProber()}
	a.client = node.NewHTTPClient()
	a.orderTransport = engine.NewGuardedTransport
	a.instrument(upstreams)
	a.engines = engine.NewClient(a.client)
	a.fetcher = a.newFetcher()
	a.fetcher.Routes(p.PeersMux, p.Handlers)
	p.PeersMux.HandleFunc("POST "+frame.RunPath, a.handleRun)
	p.PeersMux.HandleFunc("POST "+frame.ResumePath, a.handleResume)
	p.PeersMux.HandleFunc("POST "+frame.FencePath, a.handleFence)
	p.Loop.View(func(s *core.State) { a.life = s.Self.Incarnation })
	p.Loop.SetCarrier(a.carry)
	p.Loop.Step(weights.Configured{Mode: weights.Mode(c.Spread), NoYield: c.NoYield})
	return a, nil
}

func (a *Agent) newFetcher() *transfer.Fetcher {
	f := &transfer.Fetcher{
		Memory: transfer.NewMemory(a.config.ChunkMemory), Pool: a.Pool, Client: a.Client, Secret: a.config.Secret, Self: a.Address(),
		Up: transfer.NewLink(a.config.LinkRate), Down: transfer.NewLink(a.config.LinkRate), Steps: a.Loop, Log: a.Log,
	}
	for _, base := range []string{a.config.WeightStore, a.config.Origin} {
		if base != "" {
			f.Sources = append(f.Sources, source.NewClient(base, a.Outside))
		}
	}
	return f
}

// Run serves until ctx ends, then shuts down gracefully within grace.
func (a *Agent) Run(ctx context.Context, grace time.Duration) {
	live, cancel := context.WithCancel(context.Background())
	defer cancel()
	a.Process.Run(live, nil)
	a.beginOrders()
	go a.pollCaches(live)
	<-ctx.Done()
	logevent.Info(a.Log, logevent.StopAsked).Msg("stop asked")
	a.Stopping()
	a.drain(grace)
	a.handOver()
	a.releaseOrders()
	closing, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	a.Close(closing)
	a.closeIdle()
	logevent.Info(a.Log, logevent.Stopped).Int("open", a.open()).Msg("stopped")
}

// closeIdle closes the connections to upstreams that are kept for further calls.
func (a *Agent) closeIdle() {
	for _, c := range []*http.Client{a.pooled, a.single, a.client} {
		c.CloseIdleConnections()
	}
}

// drain waits until no request runs here, at most grace.
func (a *Agent) drain(grace time.Duration) {
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) && a.open() > 0 {
		time.Sleep(step.TickInterval)
	}
}

// handOver ends the runs that outlast the grace: their entries go on with them on other upstreams of the same
// version, from where they are.
func (a *Agent) handOver() {
	a.runs.Range(func(_, x any) bool {
		x.(*execution).cancel(errLeaving)
		return true
	})
	a.drain(handOverTime)
}

func (a *Agent) open() int {
	n := 0
	a.Loop.View(func(s *core.State) { n = len(s.Runs.Running) })
	return n
}

func (a *Agent) carry(e step.Effect) {
	if a.Carry(e) || a.fetcher.Carry(e) || a.carryOrders(e) {
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
