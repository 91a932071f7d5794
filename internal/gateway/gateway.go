// Package gateway is the shell of the entry on the users' platform. It accepts callers' requests, sends each one directly to a
// registered upstream and passes the response on. The reducers in core/catalog and core/forward make the decisions; the shell carries
// out their effects.
//
// The process is called an entry. Package entry is the entry of the first product's path, which is separate and uses core/request and
// core/routing. Packages hostagent and core/install are the agent's side on the users' platform.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/connend"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform"
)

const (
	// tickInterval is the time between two step.Tick events of this shell. With each tick, queued requests are checked for free
	// capacity. They queue for tens of milliseconds only, so the interval is shorter than step.TickInterval, which other shells use.
	tickInterval = 20 * time.Millisecond
	// upstreamDialTimeout is how long connecting to an upstream may take until another one is looked for; it allows some tens of round trips
	// between regions. Connecting is given up after upstreamConnectTimeout: a sound upstream may be silent for a second.
	upstreamDialTimeout    = 400 * time.Millisecond
	upstreamConnectTimeout = 1600 * time.Millisecond
	// storeDialTimeout limits connecting to the store.
	storeDialTimeout = time.Second
	// storeKeepAliveInterval is how often an open connection to the store is probed, to detect a peer that no longer responds.
	storeKeepAliveInterval = time.Second
)

// Gateway is one entry. Use New to create one and Run to serve.
type Gateway struct {
	host    hostconfig.Host
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// upstreamTransport sends requests to upstreams; traces is nil when tracing is off.
	upstreamTransport http.RoundTripper
	// probeTransport sends instance probes.
	probeTransport http.RoundTripper
	traces         *telemetry.Traces
	// storePeers are the entries of the data centre. In a large data centre, the others read the store through one of them.
	storePeers *storefeed.Peers
	// cache holds what was read from the store, for the processes that read the store through this one. store also reads through it.
	cache *storefeed.Cache
	store *storefeed.Reader
	// directStore reads and writes the store itself, never through another entry.
	directStore *platform.Store
	// dialPeer opens a connection to another entry.
	dialPeer control.DialFunc
	self     string
	// askOnce guards the one time at which the seeds are asked for a newer manifest.
	askOnce sync.Once
	socket  *loadreport.Socket
	// memory limits the bytes held for callers.
	memory *membudget.Budget
	// heard records when upstreams were last heard.
	heard heardTimes
	// ownDelay measures how late this process itself is, while it runs.
	ownDelay *owndelay.Monitor

	mu        sync.Mutex
	catalog   *catalog.State
	forward   *forward.State
	waiting   [schedule.Priorities]int // As last counted in the metrics.
	exchanges map[uint64]*exchange
	// These bound the rates of log lines.
	secondAttemptLog, limitLog, malformedPartsLog, deniedRetryLog lineRate

	// evidenceFound counts what this entry observed of crashes, evidence decides when that is sent to the agents, and heartbeatAt is when the
	// last heartbeat was sent.
	evidenceFound uint64
	evidence      attribution.Schedule
	heartbeatAt   time.Time
	// quarantineChanged has a value while the store is to be told of a quarantine that started or was lifted here.
	quarantineChanged chan struct{}

	droppedDemand droppedDemand
	// demandSequence is that of the last heartbeat with demand.
	demandSequence balance.Sequence

	nextID   atomic.Uint64
	ready    atomic.Bool
	stopping atomic.Bool
	inFlight atomic.Int64
}

// New returns the entry of a host. It records its metrics in m; traces is nil when tracing is off.
func New(host hostconfig.Host, log zerolog.Logger, m *telemetry.Metrics, traces *telemetry.Traces) *Gateway {
	catalogState, self := catalog.NewState(), net.JoinHostPort(host.IP, strconv.Itoa(host.PeerPort))
	catalogState.ListedActivatedAt, catalogState.FollowsEvacuations = time.Now().Add(-host.AssumedVersionAge()), host.EvacuationTime > 0
	catalogState.Regions = host.KnownRegions()
	storePeers, cache := storefeed.NewPeers(host, self, false, log), storefeed.NewCache(host.ChangeTime())
	storeTransport := newStoreTransport()
	dialPeer := storeTransport.DialContext
	answers := boundedread.NewBudget(host.MemoryLimit() / boundedread.MemoryDivisor)
	directStore := platform.NewStore(host.Store, &http.Client{Transport: answers.Transport(storeTransport)})
	upstreamClient := &http.Client{Transport: newUpstreamTransport()}
	traces.Client(upstreamClient, telemetry.AttemptSpanName)
	g := &Gateway{
		host: host, self: self, log: log, metrics: m, catalog: catalogState, storePeers: storePeers, cache: cache,
		forward: forward.NewState(forward.Self{
			Name: host.Name, DataCentre: host.DataCentre, Region: host.Region, Regions: host.Regions,
			Retries: host.Retries, VersionLifetime: host.VersionLifetime, UnevenEngines: host.UnevenEngines,
			MaxHeldBytes: callerMemoryLimit(host) / heldMemoryDivisor,
		}, catalogState),
		demandSequence: balance.Sequence{Start: time.Now().UnixMilli()},
		heard:          heardTimes{upstreams: map[catalog.Instance]*heardTime{}},
		exchanges:      map[uint64]*exchange{}, memory: membudget.New(callerMemoryLimit(host), time.Now),
		upstreamTransport: upstreamClient.Transport, probeTransport: newUpstreamTransport(), traces: traces,
		store:       storePeers.Reader(directStore, control.NewPool(self, "", dialPeer), cache),
		directStore: directStore, dialPeer: dialPeer, quarantineChanged: make(chan struct{}, 1),
	}
	g.ownDelay = owndelay.New(log, m, tickInterval, g.step)
	return g
}

const (
	// callerMemoryDivisor limits the bytes held for callers to a quarter of the process's memory. The Go runtime takes about as much
	// again; the known state and buffers take the rest.
	callerMemoryDivisor = 4
	// heldMemoryDivisor limits the bodies of the requests that wait for the end of an outage to a part of the bytes held for callers,
	// so that new requests still find memory.
	heldMemoryDivisor = 4
)

// callerMemoryLimit returns the maximum number of bytes held for callers.
func callerMemoryLimit(host hostconfig.Host) int64 { return host.MemoryLimit() / callerMemoryDivisor }

// newUpstreamTransport returns a transport that opens a new connection for each request, which costs one round trip. A reused connection
// may no longer be served, may be about to be closed by the other side, or may carry a late response to an earlier request. In each of
// these cases it would be unknown whether a request ran. A request that is withdrawn, or whose caller leaves, ends with a reset.
func newUpstreamTransport() *http.Transport {
	return &http.Transport{
		DialContext:        silence.LetReadsDecide(silence.ResetUnanswered(silence.Dialer(&net.Dialer{KeepAlive: -1}, upstreamDialTimeout))),
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
	}
}

func newStoreTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: storeDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: storeKeepAliveInterval, Interval: storeKeepAliveInterval, Count: 2,
	}}
	return &http.Transport{DialContext: connend.Dialer(dialer.DialContext), DisableCompression: true, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: boundedread.MaxHeadBytes}
}

// step passes an event to the reducers and carries out the effects that they return.
func (g *Gateway) step(ev step.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := step.Input{Now: time.Now(), Rand: rand.Uint64(), Event: ev}
	effects := g.catalog.Reduce(in)
	effects = append(effects, g.forward.Reduce(in)...)
	for _, e := range effects {
		g.execute(e)
	}
	if _, tick := ev.(step.Tick); tick {
		g.countWaiting()
	}
	if !g.ready.Load() && g.catalog.Ready() {
		g.ready.Store(true)
		logevent.Info(g.log, logevent.Ready).Int("upstreams", len(g.catalog.Upstreams)).Msg("ready")
		go g.sendHeartbeats() // Agents that are also starting wait for heartbeats of entries.
	}
}

// countWaiting brings the metric of the waiting requests up to date. The caller holds the lock.
func (g *Gateway) countWaiting() {
	waiting := g.forward.Waiting()
	for p, n := range waiting {
		if d := n - g.waiting[p]; d != 0 {
			g.metrics.Waiting.Add(int64(d), strconv.Itoa(p))
		}
	}
	g.waiting = waiting
}

// execute logs a change of the known state, or passes an effect to the request that it concerns. The caller holds the lock.
func (g *Gateway) execute(e step.Effect) {
	if storewatch.Report(g.log, g.metrics, e) {
		return
	}
	switch e := e.(type) {
	case forward.QuarantineStarted:
		g.logQuarantine(e.Fingerprint, quarantine.QuarantineDuration, e.Upstream)
		g.evidenceFound++
		go g.sendHeartbeats()
	case forward.Quarantined:
		g.logQuarantine(e.Fingerprint, e.Remaining, "")
	case forward.UpstreamCrashed:
		g.metrics.UpstreamCrashes.Add(1)
		logevent.Warn(g.log, logevent.UpstreamCrashed).Str("upstream", e.Upstream).Int("broken", e.Broken).Msg("upstream crashed")
	case forward.QuarantineLifted:
		logevent.Warn(g.log, logevent.RequestQuarantined).Uint64("fingerprint", e.Fingerprint).Bool("lifted", true).Msg("request quarantined")
		g.evidenceFound++
	case forward.PartQuarantineChanged:
		g.recordPartQuarantine(e)
	case forward.CrashEvidenceFound:
		g.evidenceFound++
	case forward.CrashesDropped:
		logevent.Warn(g.log, logevent.CrashesDropped).Int("count", e.Count).Msg("crashes dropped")
	case forward.StartedLate:
		g.logLateStart(e)
	case forward.NoticeChanged:
		g.logUpstreamNotice(e)
	case forward.ForecastChanged:
		g.logForecast(e)
	case forward.WaitDecided:
		g.metrics.WaitDecisions.Add(1, string(e.Decision))
		g.metrics.PredictedWait.Observe(e.Predicted, string(e.Decision))
	case forward.Yielded:
		g.metrics.Yielded.Add(1, strconv.Itoa(catalog.ClampPriority(e.Priority)))
	case forward.BalanceChanged:
		logevent.Info(g.log, logevent.BalanceChanged).Str("plan", e.Plan).Str("demand", e.Demand).Str("supply", e.Supply).Dur("age_ms", e.OldestDemand).Msg("balance changed")
	case forward.DemandDropped:
		g.countDroppedDemand(time.Now())
	case forward.SecondAttempt:
		g.recordSecondAttempt(e)
	case forward.LimitLowered:
		g.recordLimit(e)
	case forward.RetryDenied:
		g.recordDeniedRetry(e)
	case forward.Withdraw:
		if x := g.exchanges[e.ID]; x != nil {
			x.withdraw(e)
		}
	case forward.Accepted:
		g.dispatch(e.ID, e)
	case forward.Send:
		if e.Moved {
			g.metrics.MovedRequests.Add(1, e.Upstream.DataCentre)
		}
		g.dispatch(e.ID, e)
	case forward.Refuse:
		g.dispatch(e.ID, e)
	case forward.Deliver:
		g.dispatch(e.ID, e)
	case forward.Abort:
		g.dispatch(e.ID, e)
	}
}

// logQuarantine logs that a request is quarantined. upstream is the one whose crash caused it; it is empty if another process reported
// the quarantine.
func (g *Gateway) logQuarantine(fingerprint uint64, left time.Duration, upstream string) {
	// The log field told says that another process reported the quarantine.
	logevent.Warn(g.log, logevent.RequestQuarantined).Uint64("fingerprint", fingerprint).Dur("left_ms", left).Str("upstream", upstream).
		Bool("told", upstream == "").Msg("request quarantined")
}

func (g *Gateway) logUpstreamNotice(e forward.NoticeChanged) {
	g.metrics.UpstreamNotices.Add(1)
	// The log field garbled is Notice.Malformed.
	logevent.Info(g.log, logevent.UpstreamNotice).Str("upstream", e.Upstream).Bool("limited", e.Notice.Limited).Float64("rate_limit", e.Notice.RateLimit).
		Bool("garbled", e.Notice.Malformed).Bool("leaving", e.Notice.Leaving).Dur("retry_after_ms", e.Notice.RetryAfter).
		Bool("limited_before", e.Before.Limited).Bool("leaving_before", e.Before.Leaving).
		Msg("upstream notice changed")
}

func (g *Gateway) logForecast(e forward.ForecastChanged) {
	logevent.Info(g.log, logevent.ForecastChanged).Str("service", e.Service).Str("model", e.Model).Str("homes", e.Homes).Bool("outage", e.Outage).Int("usable", e.Usable).Int("total", e.Total).
		Int("predicted", e.Predicted).Dur("ready_ms", e.ReadyIn).Dur("oldest_ms", e.OldestReport).Float64("first_tries", e.FirstTries).Int("waiting", e.Waiting).Msg("forecast changed")
}

// countWaitingForEnd updates the number of requests that wait for the end of an outage.
func (g *Gateway) countWaitingForEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.metrics.WaitingForEnd.Add(int64(g.forward.WaitingForEnd()) - g.metrics.WaitingForEnd.Value())
}

func (g *Gateway) logLateStart(e forward.StartedLate) {
	g.metrics.StartedLate.Add(1)
	if x := g.exchanges[e.ID]; x != nil {
		// The log field insisted is StartedLate.Required.
		logevent.Warn(g.log, logevent.StartedLate).Str("request", x.call.CallerAttemptID).Str("upstream", e.Upstream).Int64("version", e.Version).
			Int64("successor", e.Successor).Int64("insisted", e.Required).Dur("late_ms", e.Late).Dur("waited_ms", e.Waited).Msg("started late")
	}
}

func (g *Gateway) dispatch(id uint64, e step.Effect) {
	if x := g.exchanges[id]; x != nil {
		x.effects <- e
	}
}

func (g *Gateway) register(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[x.id] = x
}

// forget drops the state of a request. If the reducer has not ended the request itself, it handles it as one whose caller is gone.
func (g *Gateway) forget(id uint64) {
	g.step(forward.CallerGone{ID: id})
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanges, id)
}

// Run serves until ctx ends and the graceful shutdown that follows has completed.
func (g *Gateway) Run(ctx context.Context) error {
	socket, err := loadreport.Listen(g.host.IP, g.host.PeerPort)
	if err != nil {
		return err
	}
	g.socket = socket
	defer socket.Close()
	callerListener, err := net.Listen("tcp", g.host.CallersListen)
	if err != nil {
		return err
	}
	readinessListener, err := net.Listen("tcp", g.host.ReadinessListen)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", g.self)
	if err != nil {
		return err
	}
	peerServer := g.newPeerServer()
	defer func() { _ = peerServer.Close() }()
	go g.servePeers(peerServer, peerListener)
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.followStore(workCtx)
	go g.followQuarantines(workCtx)
	go socket.Run(g.handleMessage, g.log)
	go g.runHeartbeats(workCtx)
	go g.storePeers.SendSeedHeartbeats(workCtx, socket, g.ready.Load)
	go periodic.Run(workCtx, tickInterval, g.tick)
	go g.serveReadiness(readinessListener)
	callerServer := g.newCallerServer()
	go g.serveCallers(callerServer, callerListener)
	logevent.Info(g.log, logevent.Listening).Str("callers", g.host.CallersListen).Str("readiness", g.host.ReadinessListen).Str("data_centre", g.host.DataCentre).Msg("listening")
	<-ctx.Done()
	g.stop(callerServer)
	return nil
}

func (g *Gateway) tick() {
	g.ownDelay.Tick()
	g.step(step.Tick{})
	g.countWaitingForEnd()
	g.sendEvidence()
	g.storePeers.Tick()
}
