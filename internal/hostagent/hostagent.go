// Package hostagent runs the agent beside a model engine on the platform: it brings the weights in force to the engine,
// spreads them to the other hosts, and tells entries how loaded the engine is. Decisions are made by the reducers
// catalog, weights and install; this package carries them out.
package hostagent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/internal/transfer"
	"samphireweir.example/samphireweir/platform"
)

const (
	// readInterval is how often the engine's state is read; the call is free on its own host.
	readInterval = 100 * time.Millisecond
	// readTimeout bounds such a call.
	readTimeout = 400 * time.Millisecond
	// versionPoll, upstreamPoll and configPoll are the times between two stale lists. Versions come by the entries first;
	// new hosts introduce themselves to the others.
	versionPoll  = 2 * time.Second
	upstreamPoll = 4 * time.Second
	configPoll   = 10 * time.Second
	// unknownPoll is the time between two lists as long as nothing is known.
	unknownPoll = 500 * time.Millisecond
	// usualUpstreams is how many upstreams the intervals are meant for; with more they grow in proportion.
	usualUpstreams = 100
	// originIdle is how long a connection to the origin is kept between two calls.
	originIdle = 300 * time.Millisecond
	// dialTimeout bounds the making of a connection.
	dialTimeout = 700 * time.Millisecond
	// chunkMemoryShare is the part of the process's memory that chunks may take.
	chunkMemoryShare = 4
	// headTime bounds the reading of the head of a peer's request.
	headTime = 5 * time.Second
)

// Agent is the process beside one engine.
type Agent struct {
	host    hostconfig.Host
	self    string
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// neighbours are the entries through which the store is read in a large data centre.
	neighbours *storefeed.Neighbours
	store      *storefeed.Reader
	engine     *platform.Engine
	origin     *platform.Origin
	client     *http.Client
	fetcher    *transfer.Fetcher
	socket     *loadreport.Socket
	waits      waits

	mu      sync.Mutex
	catalog *catalog.State
	weights *weights.State
	install *install.State
	// peersChanged is set while the upstreams have changed and nothing was told of it yet; see tellPeers.
	peersChanged bool
	reports      reports
}

// New returns the agent of a host. Its metrics are written to m; traces is nil when tracing is off.
func New(host hostconfig.Host, log zerolog.Logger, m *telemetry.Metrics, traces *telemetry.Traces) *Agent {
	self := net.JoinHostPort(host.IP, strconv.Itoa(host.PeerPort))
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}
	traces.Client(client, telemetry.NamePeerCall)
	origin := newOriginClient(dialer)
	traces.Client(origin, telemetry.NameOriginCall)
	neighbours, pool := storefeed.NewNeighbours(host, self, true, log), control.NewPool(self, "", dialer.DialContext)
	a := &Agent{
		host: host, self: self, log: log, metrics: m, client: client,
		neighbours: neighbours, store: neighbours.Reader(platform.NewStore(host.Store, client), pool, nil), engine: platform.NewEngine(host.Engine, client),
		catalog: catalog.NewState(),
		weights: weights.NewState(weights.Peer{Address: self, Place: host.DataCentre, Region: host.Region}),
		install: install.NewState(self, host.VersionTime),
		reports: newReports(), waits: defaultWaits(),
	}
	a.catalog.ListedSince = time.Now().Add(-host.ListedAge())
	a.origin = platform.NewOrigin(origin, a.originPlace)
	a.fetcher = &transfer.Fetcher{
		Memory: transfer.NewMemory(host.Memory / chunkMemoryShare), Sources: []transfer.Source{a.origin},
		Pool: pool, Client: client, Self: self,
		Up: transfer.NewLink(host.Link), Down: transfer.NewLink(host.Link), Steps: a, Log: log,
	}
	return a
}

// newOriginClient returns a client for the origin, which takes a bounded number of connections from all hosts together: one for each
// host, and only as long as it is in use.
func newOriginClient(dialer *net.Dialer) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: originIdle,
	}}
}

// originPlace returns the origin's address and how many pieces a version has.
func (a *Agent) originPlace() (string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pieces := 0
	if e := a.engineTerms(); e != nil {
		pieces = e.Chunks
	}
	return a.catalog.Origin(), pieces
}

// engineTerms returns what the manifest says of this host's engine; nil when it says nothing.
func (a *Agent) engineTerms() *catalog.Engine {
	if a.catalog.Manifest == nil {
		return nil
	}
	s := a.catalog.Manifest.Services[a.host.EngineService]
	if s == nil {
		return nil
	}
	return s.Engine
}

// Step hands an event to the reducers and carries out what they answer.
func (a *Agent) Step(ev step.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reduce(ev)
	switch ev.(type) {
	case catalog.UpstreamsListed, step.Tick:
		a.tellPeers()
	}
	if failed, ok := ev.(weights.ChunkFailed); ok && failed.Reason == weights.Changed {
		a.reduce(install.Refuted{Digest: failed.Digest})
	}
}

func (a *Agent) reduce(ev step.Event) {
	in := step.Input{Now: time.Now(), Rand: rand.Uint64(), Event: ev}
	effects := a.catalog.Reduce(in)
	effects = append(effects, a.weights.Reduce(in)...)
	effects = append(effects, a.install.Reduce(in)...)
	for _, e := range effects {
		a.carry(in, e)
	}
}

// carry carries out one effect. It holds the lock; what takes time runs beside it.
func (a *Agent) carry(in step.Input, e step.Effect) {
	switch e := e.(type) {
	case catalog.Change:
		a.changed(e)
	case catalog.NamingChanged:
		a.reduce(install.Named{Model: e.Naming.Model, Version: e.Naming.Version, Age: in.Now.Sub(e.Naming.Since)})
	case install.Moved:
		logevent.Info(a.log, logevent.InstallMoved).Str("model", e.Model).Int64("version", e.Version).Str("phase", string(e.Phase)).
			Str("why", e.Why).Msg("install moved")
	case install.Resolve:
		go a.resolve(e)
	case install.Fetch:
		a.setWants(in)
	case install.Prepare:
		go a.prepare(e)
	case install.Order:
		go a.order(e)
	case weights.Completed:
		a.fetcher.Carry(e)
		a.reduce(install.Complete{Digest: e.Digest})
	default:
		a.fetcher.Carry(e)
	}
}

// changed logs a change of belief and tells the other reducers what follows from it.
func (a *Agent) changed(c catalog.Change) {
	if c.Topic == catalog.UpstreamTopic {
		a.peersChanged = true
		return
	}
	logevent.Info(a.log, logevent.BeliefChanged).Str("what", string(c.Topic)).Str("of", c.Name).Str("value", c.Value).
		Int64("revision", c.Revision).Msg("belief changed")
}

// tellPeers tells the reducers which hosts there are, once for all that changed since the last tick or with a list: who shares what with whom is
// worked out over all of them.
func (a *Agent) tellPeers() {
	if !a.peersChanged {
		return
	}
	a.peersChanged = false
	a.reduce(install.PeersChanged{Peers: a.peerAddresses()})
	a.setWants(step.Input{Now: time.Now(), Rand: rand.Uint64()})
}

// setWants tells the weights reducer which versions this host wants, and who else does.
func (a *Agent) setWants(in step.Input) {
	var wants []weights.Want
	peers := a.peers()
	for _, w := range a.install.Wanted() {
		wants = append(wants, weights.Want{
			Ref: ref(w.Model, w.Version), Digest: w.Digest, Policy: setting.TimeFirst, Peers: peers,
		})
	}
	for _, e := range a.weights.SetWants(in, wants) {
		a.carry(in, e)
	}
}

func ref(model string, version int64) weights.Ref {
	return weights.Ref{Model: model, Version: strconv.FormatInt(version, 10)}
}

// peers are the other hosts with an engine of the same service.
func (a *Agent) peers() []weights.Peer {
	var list []weights.Peer
	for _, u := range a.catalog.Upstreams {
		if u.Service != a.host.EngineService {
			continue
		}
		ip, err := platform.HostIP(u.Address)
		if err != nil || ip == a.host.IP {
			continue // Addresses were checked when the entry was read.
		}
		list = append(list, weights.Peer{
			Address: net.JoinHostPort(ip, strconv.Itoa(a.host.PeerPort)), Place: u.DataCentre, Region: a.host.Regions[u.DataCentre],
		})
	}
	return list
}

// peerAddresses are the addresses of all hosts with an engine of the service, this one included.
func (a *Agent) peerAddresses() []string {
	list := []string{a.self}
	for _, p := range a.peers() {
		list = append(list, p.Address)
	}
	return list
}

// Run serves until ctx ends. An agent holds nothing that must end in an orderly way, so that it ends at once.
func (a *Agent) Run(ctx context.Context) error {
	socket, err := loadreport.Listen(a.host.IP, a.host.PeerPort)
	if err != nil {
		return err
	}
	a.socket = socket
	defer socket.Close()
	listener, err := net.Listen("tcp", a.self)
	if err != nil {
		return err
	}
	peers := a.peerServer()
	defer func() { _ = peers.Close() }()
	go a.servePeers(peers, listener)
	go socket.Run(a.heard, a.log)
	go a.neighbours.GreetSeeds(ctx, socket, a.knows)
	go periodic.Run(ctx, readInterval, func() { a.readEngine(ctx) })
	go periodic.Run(ctx, step.TickInterval, a.tick)
	a.follow(ctx)
	logevent.Info(a.log, logevent.Listening).Str("peers", a.self).Str("engine", a.host.Engine).Msg("listening")
	<-ctx.Done()
	logevent.Info(a.log, logevent.Stopped).Msg("stopped")
	return nil
}

// peerServer answers the agents of other hosts.
func (a *Agent) peerServer() *http.Server {
	mux := http.NewServeMux()
	handlers := control.Handlers{}
	a.fetcher.Routes(mux, handlers)
	mux.Handle(control.Path, control.NewServer(handlers))
	mux.HandleFunc("GET "+versionsPath+"{model}/{version}", a.serveVersion)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headTime}
}

func (a *Agent) servePeers(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(a.log, logevent.ServerError).Err(err).Msg("peers' server ended")
	}
}

func (a *Agent) tick() {
	a.Step(step.Tick{})
	a.nameUnnamed()
	a.neighbours.Tick()
}

// follow reads the manifest, the upstreams and the versions from the store.
func (a *Agent) follow(ctx context.Context) {
	beliefs := storewatch.Beliefs{Step: a.Step, Log: a.log}
	for kind, interval := range map[string]time.Duration{
		platform.ConfigKind: configPoll, platform.ServerKind: upstreamPoll, platform.VersionKind: versionPoll,
	} {
		f := beliefs.Follower(a.store, kind)
		f.Shared = a.store.Shared
		go f.Poll(ctx, func() time.Duration { return a.pollInterval(interval) })
	}
}

// pollInterval is the time to the next list: short until the manifest and the upstreams are known, and longer the more upstreams there
// are, so that the store sends no more to a large fleet than to a small one.
func (a *Agent) pollInterval(interval time.Duration) time.Duration {
	if !a.knows() {
		return unknownPoll
	}
	if a.store.Shared() {
		return interval
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return interval * time.Duration(1+len(a.catalog.Upstreams)/usualUpstreams)
}

// knows tells whether this agent knows enough to work.
func (a *Agent) knows() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.catalog.Manifest != nil && len(a.catalog.Upstreams) > 0
}
