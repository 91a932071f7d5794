// Package gateway runs the entry on the platform: it takes callers' requests, sends each straight to a registered upstream
// and passes the answer on. Decisions are made by the reducers catalog and forward; this package carries them out.
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

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform"
)

const (
	// tickInterval is the time between two looks at what waits for room; waits are tens of milliseconds.
	tickInterval = 20 * time.Millisecond
	// upstreamDial bounds the making of a connection to an upstream: some tens of round trips between regions.
	upstreamDial = 400 * time.Millisecond
	// storeDial bounds the making of a connection to the store.
	storeDial = time.Second
	// keepAliveProbe is how often an open connection to the store is probed; it shows a connection that went silent.
	keepAliveProbe = time.Second
)

// Gateway is one entry.
type Gateway struct {
	host    hostconfig.Host
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// upstreams sends requests to upstreams; traces is nil when tracing is off.
	upstreams  http.RoundTripper
	traces     *telemetry.Traces
	neighbours *storefeed.Neighbours
	// cache is what was read of the store, for the processes that read through this one; store reads it.
	cache  *storefeed.Cache
	store  *storefeed.Reader
	self   string
	socket *loadreport.Socket
	// memory bounds what is held for callers.
	memory *membudget.Budget

	mu        sync.Mutex
	catalog   *catalog.State
	forward   *forward.State
	exchanges map[uint64]*exchange

	nextID   atomic.Uint64
	ready    atomic.Bool
	stopping atomic.Bool
	open     atomic.Int64
}

// New returns an entry of a host. Its metrics are written to m; traces is nil when tracing is off.
func New(host hostconfig.Host, log zerolog.Logger, m *telemetry.Metrics, traces *telemetry.Traces) *Gateway {
	c, self := catalog.NewState(), net.JoinHostPort(host.IP, strconv.Itoa(host.PeerPort))
	c.ListedSince, c.FollowsEvacuations = time.Now().Add(-host.ListedAge()), host.EvacuationTime > 0
	neighbours, cache := storefeed.NewNeighbours(host, self, false, log), storefeed.NewCache(host.ChangeTime())
	transport := newStoreTransport()
	upstreams := &http.Client{Transport: newUpstreamTransport()}
	traces.Client(upstreams, telemetry.NameSend)
	return &Gateway{
		host: host, self: self, log: log, metrics: m, catalog: c, neighbours: neighbours, cache: cache,
		forward: forward.NewState(forward.Self{
			Name: host.Name, DataCentre: host.DataCentre, Region: host.Region, Regions: host.Regions,
			Retries: host.Retries, VersionTime: host.VersionTime,
		}, c),
		exchanges: map[uint64]*exchange{}, memory: membudget.New(callersMemory(host), time.Now),
		upstreams: upstreams.Transport, traces: traces,
		store: neighbours.Reader(
			platform.NewStore(host.Store, &http.Client{Transport: transport}), control.NewPool(self, "", transport.DialContext), cache),
	}
}

const (
	// callersShare is the part of a process's memory that is held for callers at most, as a divisor; the runtime takes about as much again, and
	// beliefs and buffers the rest.
	callersShare = 4
	// usualMemory stands for a limit that the platform does not say, in bytes.
	usualMemory = 256 << 20
)

// callersMemory is how many bytes are held for callers at most.
func callersMemory(host hostconfig.Host) int64 {
	if host.Memory <= 0 {
		return usualMemory / callersShare
	}
	return host.Memory / callersShare
}

// newUpstreamTransport returns a transport that makes a connection for each request. A connection that is used once can't have
// gone silent, be about to be closed by the other side, or carry a late answer to an earlier request; each of these would
// leave open whether a request ran. A connection costs one round trip.
func newUpstreamTransport() *http.Transport {
	return &http.Transport{
		DialContext:        (&net.Dialer{Timeout: upstreamDial, KeepAlive: -1}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
}

func newStoreTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: storeDial, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: 2,
	}}
	return &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4}
}

// step hands an event to the reducers and carries out what they answer.
func (g *Gateway) step(ev step.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	in := step.Input{Now: time.Now(), Rand: rand.Uint64(), Event: ev}
	effects := g.catalog.Reduce(in)
	effects = append(effects, g.forward.Reduce(in)...)
	for _, e := range effects {
		g.carry(e)
	}
	if !g.ready.Load() && g.catalog.Ready() {
		g.ready.Store(true)
		logevent.Info(g.log, logevent.Ready).Int("upstreams", len(g.catalog.Upstreams)).Msg("ready")
		go g.greetAll() // Agents that start as well wait to hear of entries.
	}
}

// carry logs a change of belief, or hands an effect to the request that it concerns. It holds the lock.
func (g *Gateway) carry(e step.Effect) {
	switch e := e.(type) {
	case catalog.Change:
		logevent.Info(g.log, logevent.BeliefChanged).Str("what", string(e.Topic)).Str("of", e.Name).Str("value", e.Value).
			Int64("revision", e.Revision).Msg("belief changed")
	case forward.Suspected:
		g.heldBack(e.Fingerprint, quarantine.HoldFor, e.Upstream)
		go g.greetAll()
	case forward.HeldBack:
		g.heldBack(e.Fingerprint, e.Left, "")
	case forward.CrashesDropped:
		logevent.Warn(g.log, logevent.CrashesDropped).Int("count", e.Count).Msg("crashes dropped")
	case forward.BegunLate:
		g.begunLate(e)
	case forward.UpstreamSaid:
		g.upstreamSaid(e)
	case forward.Withdraw:
		if x := g.exchanges[e.ID]; x != nil {
			x.withdraw(e)
		}
	case forward.Admitted:
		g.hand(e.ID, e)
	case forward.Send:
		g.hand(e.ID, e)
	case forward.Refuse:
		g.hand(e.ID, e)
	case forward.Deliver:
		g.hand(e.ID, e)
	case forward.Abort:
		g.hand(e.ID, e)
	}
}

// heldBack logs that a request is held back; upstream is the one whose crash decided it, empty when another process told.
func (g *Gateway) heldBack(fingerprint uint64, left time.Duration, upstream string) {
	logevent.Warn(g.log, logevent.RequestHeldBack).Uint64("fingerprint", fingerprint).Dur("left_ms", left).Str("upstream", upstream).
		Bool("told", upstream == "").Msg("request held back")
}

func (g *Gateway) upstreamSaid(e forward.UpstreamSaid) {
	g.metrics.UpstreamNotices.Add(1)
	logevent.Info(g.log, logevent.UpstreamSaid).Str("upstream", e.Upstream).Bool("limited", e.Notice.Limited).Float64("rate_limit", e.Notice.RateLimit).
		Bool("garbled", e.Notice.Garbled).Bool("leaving", e.Notice.Leaving).Dur("retry_after_ms", e.Notice.RetryAfter).
		Bool("limited_before", e.Before.Limited).Bool("leaving_before", e.Before.Leaving).
		Msg("upstream said")
}

func (g *Gateway) begunLate(e forward.BegunLate) {
	g.metrics.BegunLate.Add(1)
	if x := g.exchanges[e.ID]; x != nil {
		logevent.Warn(g.log, logevent.BegunLate).Str("request", x.call.ID).Str("upstream", e.Upstream).Int64("version", e.Version).
			Int64("successor", e.Successor).Int64("insisted", e.Insisted).Dur("late_ms", e.Late).Dur("waited_ms", e.Waited).Msg("begun late")
	}
}

func (g *Gateway) hand(id uint64, e step.Effect) {
	if x := g.exchanges[id]; x != nil {
		x.effects <- e
	}
}

func (g *Gateway) register(x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.exchanges[x.id] = x
}

// forget ends what is known of a request. One that ended in another way than by the reducer's word counts as left.
func (g *Gateway) forget(id uint64) {
	g.step(forward.CallerGone{ID: id})
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.exchanges, id)
}

// Run serves until ctx ends and the graceful shutdown after it is over.
func (g *Gateway) Run(ctx context.Context) error {
	socket, err := loadreport.Listen(g.host.IP, g.host.PeerPort)
	if err != nil {
		return err
	}
	g.socket = socket
	defer socket.Close()
	listener, err := net.Listen("tcp", g.host.Callers)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", g.host.Readiness)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", g.self)
	if err != nil {
		return err
	}
	peerServer := g.peerServer()
	defer func() { _ = peerServer.Close() }()
	go g.servePeers(peerServer, peers)
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.follow(work)
	go socket.Run(g.heard, g.log)
	go g.greet(work)
	go g.neighbours.GreetSeeds(work, socket, g.ready.Load)
	go periodic.Run(work, tickInterval, g.tick)
	go g.serveReadiness(readiness)
	server := g.callersServer()
	go g.serveCallers(server, listener)
	logevent.Info(g.log, logevent.Listening).Str("callers", g.host.Callers).Str("readiness", g.host.Readiness).Msg("listening")
	<-ctx.Done()
	g.stop(server)
	return nil
}

func (g *Gateway) tick() {
	g.step(step.Tick{})
	g.neighbours.Tick()
}
