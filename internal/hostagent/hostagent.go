// Package hostagent is the shell of the agent that runs on the same host as a model engine on the users' platform. It brings the active
// weights to the engine, distributes them to the other hosts, and reports the engine's load to the entries. The reducers catalog, weights
// and install make the decisions; the shell carries out their effects.
//
// Packages hostagent and install are the agent's side on the platform; packages gateway and forward are the entry's side. The first
// product has its own agent, in packages internal/agent and rollout. Packages weights and transfer serve both agents.
//
// Two kinds of manifest occur here. The configuration manifest holds the operator's settings (package catalog). A chunk manifest lists the
// chunks of one version (package manifest). "Load" has two meanings as well. A load report informs entries of how busy the engine is. A load
// order makes the engine load the weights of a version.
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

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/connend"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/storefeed"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/internal/transfer"
	"samphireweir.example/samphireweir/platform"
)

const (
	// engineReadInterval is how often the engine's state is read. The call stays on the host and is cheap.
	engineReadInterval = 100 * time.Millisecond
	// engineReadTimeout limits one such call.
	engineReadTimeout = 400 * time.Millisecond
	// versionPollInterval, upstreamPollInterval and configPollInterval are the times between two reads of a list of versions, upstreams or
	// configuration manifests. They can be long: entries report versions sooner, and new hosts announce themselves to the others.
	versionPollInterval  = 2 * time.Second
	upstreamPollInterval = 4 * time.Second
	configPollInterval   = 10 * time.Second
	// initialPollInterval is the time between two reads until the configuration manifest and the upstreams are known.
	initialPollInterval = 500 * time.Millisecond
	// baseUpstreams is the number of upstreams that the poll intervals are meant for. In larger fleets, the intervals grow in proportion.
	baseUpstreams = 100
	// originIdleTimeout is how long an idle connection to the origin is kept.
	originIdleTimeout = 300 * time.Millisecond
	// dialTimeout limits connecting to a host.
	dialTimeout = 700 * time.Millisecond
	// chunkMemoryDivisor limits the memory for chunks to a quarter of the process's memory.
	chunkMemoryDivisor = 4
	// headTimeout limits reading the headers of a peer's request.
	headTimeout = 5 * time.Second
)

// Agent is the process that serves one engine, on the same host.
type Agent struct {
	host    hostconfig.Host
	self    string
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// storePeers holds the known entries of this data centre, through which the store is read if it is a large one.
	storePeers *storefeed.Peers
	store      *storefeed.Reader
	engine     *platform.Engine
	origin     *platform.Origin
	client     *http.Client
	fetcher    *transfer.Fetcher
	socket     *loadreport.Socket
	timeouts   timeouts
	// ownDelay measures how late this process itself is, while it runs.
	ownDelay *owndelay.Monitor

	mu sync.Mutex
	// staging orders the passes over the engine's staged chunks, by model.
	staging map[string]*modelStaging
	catalog *catalog.State
	weights *weights.State
	install *install.State
	// peersChanged is set when the upstreams have changed and the reducers have not been informed yet; see updatePeers.
	peersChanged bool
	reporter     reporter
}

// New returns the agent of a host. It records its metrics in m; traces is nil when tracing is off.
func New(host hostconfig.Host, log zerolog.Logger, m *telemetry.Metrics, traces *telemetry.Traces) *Agent {
	self := net.JoinHostPort(host.IP, strconv.Itoa(host.PeerPort))
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	answers := boundedread.NewBudget(host.MemoryLimit() / boundedread.MemoryDivisor)
	client := newClient(dialer, answers)
	traces.Client(client, telemetry.PeerSpanName)
	originClient := newOriginClient(dialer, answers)
	traces.Client(originClient, telemetry.OriginSpanName)
	storePeers, pool := storefeed.NewPeers(host, self, true, log), control.NewPool(self, "", dialer.DialContext)
	a := &Agent{
		host: host, self: self, log: log, metrics: m, client: client,
		storePeers: storePeers, store: storePeers.Reader(platform.NewStore(host.Store, client), pool, nil), engine: platform.NewEngine(host.Engine, client),
		staging:  map[string]*modelStaging{},
		catalog:  catalog.NewState(),
		weights:  weights.NewState(weights.Peer{Address: self, Place: host.DataCentre, Region: host.Region}),
		install:  install.NewState(self, host.VersionLifetime),
		reporter: newReporter(), timeouts: defaultTimeouts(), ownDelay: owndelay.New(log, m, step.TickInterval, nil),
	}
	// Until it is measured, the origin's rate is taken to be that of this host's link.
	a.weights.AssumeOriginRate(float64(host.LinkBytesPerSecond))
	a.install.ChunkMemory = host.MemoryBytes / chunkMemoryDivisor
	a.catalog.ListedActivatedAt = time.Now().Add(-host.AssumedVersionAge())
	a.origin = platform.NewOrigin(originClient, a.originParams)
	a.fetcher = &transfer.Fetcher{
		Memory: transfer.NewMemory(host.MemoryBytes / chunkMemoryDivisor), Sources: []transfer.Source{a.origin},
		Pool: pool, Client: client, Self: self,
		Uplink: transfer.NewLink(host.LinkBytesPerSecond), Downlink: transfer.NewLink(host.LinkBytesPerSecond), Steps: a, Log: log,
	}
	return a
}

// newClient returns a client for the engine, the store and peers.
func newClient(dialer *net.Dialer, answers *boundedread.Budget) *http.Client {
	return &http.Client{Transport: answers.Transport(&http.Transport{
		DialContext: connend.Dialer(dialer.DialContext), DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second,
		MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
	})}
}

// newOriginClient returns a client for the origin. The origin accepts a bounded number of connections from all hosts together, so a host
// opens one at a time and keeps it only while it is in use.
func newOriginClient(dialer *net.Dialer, answers *boundedread.Budget) *http.Client {
	return &http.Client{Transport: answers.Transport(&http.Transport{
		DialContext: connend.Dialer(dialer.DialContext), DisableCompression: true, MaxConnsPerHost: 1, IdleConnTimeout: originIdleTimeout,
		MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
	})}
}

// originParams returns the origin's address and the number of chunks of a version.
func (a *Agent) originParams() (string, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	chunks := 0
	if engine := a.engineConfig(); engine != nil {
		chunks = engine.Chunks
	}
	return a.catalog.Origin(), chunks
}

// engineConfig returns the configuration manifest's settings for this host's engine, nil if there are none.
func (a *Agent) engineConfig() *catalog.Engine {
	if a.catalog.Manifest == nil {
		return nil
	}
	service := a.catalog.Manifest.Services[a.host.EngineService]
	if service == nil {
		return nil
	}
	return service.Engine
}

// Step passes an event to the reducers and carries out the effects that they return.
func (a *Agent) Step(ev step.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reduce(ev)
	switch ev.(type) {
	case catalog.UpstreamsListed, step.Tick:
		a.updatePeers()
	}
	if failed, ok := ev.(weights.ChunkFailed); ok && failed.Reason == weights.Changed {
		a.reduce(install.DigestContradicted{Digest: failed.Digest})
	}
}

func (a *Agent) reduce(ev step.Event) {
	in := step.Input{Now: time.Now(), Rand: rand.Uint64(), Event: ev}
	effects := a.catalog.Reduce(in)
	effects = append(effects, a.weights.Reduce(in)...)
	if _, ok := ev.(step.Tick); ok {
		a.reduce(a.transfersRead(in.Now))
	}
	effects = append(effects, a.install.Reduce(in)...)
	for _, e := range effects {
		a.execute(in, e)
	}
}

// execute carries out one effect. The caller holds the lock; slow effects run in their own goroutine.
func (a *Agent) execute(in step.Input, e step.Effect) {
	if changed, ok := e.(catalog.StateChanged); ok && changed.Topic == catalog.UpstreamTopic {
		a.peersChanged = true // Not logged: the entries log it.
		return
	}
	if storewatch.Report(a.log, a.metrics, e) {
		return
	}
	switch e := e.(type) {
	case catalog.ActivationChanged:
		a.reduce(a.transfersRead(in.Now))
		a.reduce(install.VersionActivated{Model: e.Activation.Model, Version: e.Activation.Version, Age: in.Now.Sub(e.Activation.ActivatedAt)})
	case install.PhaseChanged:
		logevent.Info(a.log, logevent.InstallPhaseChanged).Str("model", e.Model).Int64("version", e.Version).Str("phase", string(e.Phase)).
			Str("why", e.Reason).Msg("install phase changed")
	case install.PlanChanged, install.VersionDropped:
		a.logPlan(e)
	case install.Resolve:
		go a.resolve(e)
	case install.WantedChanged:
		a.updateWants(in)
	case install.Prepare:
		go a.prepare(e, a.newStagingPass(e.Model))
	case install.LoadOrder:
		go a.orderLoad(e)
	case install.Unload:
		go a.orderUnload(e)
	case weights.Completed:
		a.fetcher.Execute(e)
		a.countCompleted(e.Digest)
		a.reduce(install.ContentComplete{Digest: e.Digest})
	default:
		a.fetcher.Execute(e)
	}
}

// updatePeers informs the reducers of the hosts in the fleet. It does so once for all changes since the last tick or list, because the
// reducers recompute each time which hosts share chunks with each other.
func (a *Agent) updatePeers() {
	if !a.peersChanged {
		return
	}
	a.peersChanged = false
	a.reduce(install.PeersChanged{Peers: a.peerAddresses()})
	a.reduce(install.EngineRegistered{Instances: a.registeredInstances()})
	a.updateWants(step.Input{Now: time.Now(), Rand: rand.Uint64()})
}

// updateWants informs the weights reducer of the versions that this host needs and of the hosts that need them too.
func (a *Agent) updateWants(in step.Input) {
	var wants []weights.Want
	peers := a.peers()
	for _, w := range a.install.Wanted() {
		wants = append(wants, weights.Want{
			Ref: ref(w.Model, w.Version), Digest: w.Digest, Policy: setting.TimeFirst, Peers: peers, Rank: w.Rank,
		})
	}
	for _, e := range a.weights.SetWants(in, wants) {
		a.execute(in, e)
	}
}

func ref(model string, version int64) weights.Ref {
	return weights.Ref{Model: model, Version: strconv.FormatInt(version, 10)}
}

// peers returns the other hosts with an engine of the same service.
func (a *Agent) peers() []weights.Peer {
	var list []weights.Peer
	for _, u := range a.catalog.Upstreams {
		if u.Service != a.host.EngineService {
			continue
		}
		ip, err := platform.HostIP(u.Address)
		if err != nil || ip == a.host.IP {
			continue // An error can't occur: addresses are validated when the upstream's registration is read.
		}
		list = append(list, weights.Peer{
			Address: net.JoinHostPort(ip, strconv.Itoa(a.host.PeerPort)), Place: u.DataCentre, Region: a.host.Regions[u.DataCentre],
		})
	}
	return list
}

// peerAddresses returns the addresses of all hosts with an engine of the service, including this one.
func (a *Agent) peerAddresses() []string {
	list := []string{a.self}
	for _, p := range a.peers() {
		list = append(list, p.Address)
	}
	return list
}

// registeredInstances returns the instances that are registered at the address of this host's engine.
func (a *Agent) registeredInstances() []catalog.Instance {
	var instances []catalog.Instance
	for _, u := range a.catalog.UpstreamsAt(a.host.Engine) {
		instances = append(instances, u.Instance())
	}
	return instances
}

// Run serves until ctx ends. It then returns at once, since an agent has no work that needs a graceful shutdown.
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
	peerServer := a.newPeerServer()
	defer func() { _ = peerServer.Close() }()
	go a.servePeers(peerServer, listener)
	go socket.Run(a.handleHeartbeat, a.log)
	go a.storePeers.SendSeedHeartbeats(ctx, socket, a.initialized)
	go periodic.Run(ctx, engineReadInterval, func() { a.pollEngine(ctx) })
	go periodic.Run(ctx, step.TickInterval, a.tick)
	a.followStore(ctx)
	logevent.Info(a.log, logevent.Listening).Str("peers", a.self).Str("engine", a.host.Engine).Msg("listening")
	<-ctx.Done()
	logevent.Info(a.log, logevent.Stopped).Msg("stopped")
	return nil
}

// newPeerServer returns the server for the agents of other hosts.
func (a *Agent) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	handlers := control.Handlers{}
	a.fetcher.Routes(mux, handlers)
	mux.Handle(control.Path, control.NewServer(handlers))
	mux.HandleFunc("GET "+versionsPath+"{model}/{version}", a.serveManifest)
	return &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
}

func (a *Agent) servePeers(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		logevent.Warn(a.log, logevent.ServerError).Err(err).Msg("peer HTTP server failed")
	}
}

func (a *Agent) tick() {
	a.ownDelay.Tick()
	a.Step(step.Tick{})
	a.activateDefaultVersions()
	a.storePeers.Tick()
}

// followStore reads the configuration manifest, the upstreams and the versions from the store.
func (a *Agent) followStore(ctx context.Context) {
	watch := storewatch.NewDecoder(a.Step, a.log)
	for kind, interval := range map[string]time.Duration{
		platform.ConfigKind: configPollInterval, platform.ServerKind: upstreamPollInterval, platform.VersionKind: versionPollInterval,
	} {
		follower := watch.Follower(a.store, kind)
		follower.ReadsFromPeer = a.store.ReadsFromPeer
		go follower.Poll(ctx, func() time.Duration { return a.pollInterval(interval) })
	}
}

// pollInterval returns the time until the next read of a list. It is short until the configuration manifest and the upstreams are known.
// After that, the time between reads from the store itself grows with the number of upstreams. The store thus sends no more to a large fleet
// than to a small one.
func (a *Agent) pollInterval(interval time.Duration) time.Duration {
	if !a.initialized() {
		return initialPollInterval
	}
	if a.store.ReadsFromPeer() {
		return interval
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return interval * time.Duration(1+len(a.catalog.Upstreams)/baseUpstreams)
}

// initialized reports whether the agent knows the configuration manifest and the upstreams.
func (a *Agent) initialized() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.catalog.Manifest != nil && len(a.catalog.Upstreams) > 0
}
