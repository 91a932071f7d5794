package node

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/connend"
	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/hostlist"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/periodic"
	"samphireweir.example/samphireweir/internal/silence"
	"samphireweir.example/samphireweir/internal/telemetry"
)

const (
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout = 10 * time.Second
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout = 2 * time.Minute
	// MaxHeaderBytes bounds the size of a request's header, in bytes.
	MaxHeaderBytes = 64 << 10
	// keepAlive is the interval of TCP keep-alives.
	keepAlive = 15 * time.Second
	// maxIdlePerHost bounds the idle connections that are kept to one address.
	maxIdlePerHost = 64
)

// Process is the part of a process that entries and agents share: listeners, the event loop, the relay of records and
// the reading of the platform.
type Process struct {
	Config       Config
	Log          zerolog.Logger
	Loop         *Loop
	Pool         *control.Pool
	Objects      *objectapi.Client
	Hosts        *hostlist.Client
	Handlers     control.Handlers
	PeersMux     *http.ServeMux
	OperatorsMux *http.ServeMux
	Telemetry    *telemetry.Telemetry
	// OwnDelay measures how late this process itself is, while it runs.
	OwnDelay *owndelay.Monitor
	// PeerClient calls other processes of the system, with mutual TLS when certificates are configured.
	PeerClient *http.Client
	// ExternalClient calls the platform and the sources of weights.
	ExternalClient *http.Client

	peersListener     net.Listener
	operatorsListener net.Listener
	// Calls are the calls to the core that wait for its answer.
	Calls Calls
	// runCtx is done when the process ends.
	runCtx context.Context
	// objectAPILost is set while the object API does not answer.
	objectAPILost atomic.Bool
	// hostListLost is set while the list of hosts does not answer.
	hostListLost atomic.Bool
	// stopping is set once the process reports itself as not ready because it is about to stop.
	stopping atomic.Bool
	servers  []*server
}

// NewProcess opens the listeners and creates the parts of a process. upstreams is empty except for an agent.
func NewProcess(c Config, log zerolog.Logger, upstreams []rollout.Upstream) (*Process, error) {
	p := &Process{Config: c, Log: log, Handlers: control.Handlers{}, PeersMux: http.NewServeMux(), OperatorsMux: http.NewServeMux()}
	var err error
	if p.peersListener, err = net.Listen("tcp", c.PeersListen); err != nil {
		return nil, code.Errorf(code.BadProcessSetting, "-peers-listen", "can't listen: %v", err)
	}
	if p.operatorsListener, err = net.Listen("tcp", c.OperatorsListen); err != nil {
		return nil, code.Errorf(code.BadProcessSetting, "-operators-listen", "can't listen: %v", err)
	}
	if err = p.setUpPeerTransport(); err != nil {
		return nil, err
	}
	p.ExternalClient = NewHTTPClient()
	p.Objects = objectapi.NewClient(c.ObjectAPI, p.ExternalClient)
	p.Hosts = hostlist.NewClient(c.HostList, p.ExternalClient)
	// This incarnation identifies an instance of a process by its start time in nanoseconds. The fencing number of an
	// agent's orders, which package core/incarnation acquires, is something else.
	self := core.Self{
		Host: c.Name, Address: p.Address(), Place: c.Place, Region: c.Region, Role: c.Role,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	p.Loop = NewLoop(core.NewState(self, upstreams))
	if err = p.instrument(); err != nil {
		return nil, err
	}
	p.OwnDelay = owndelay.New(log, p.Telemetry.Metrics, step.TickInterval, p.Loop.Step)
	p.routes()
	return p, nil
}

// setUpPeerTransport creates the clients for other processes. It uses mutual TLS, for the peer listener too, when
// certificates are configured.
func (p *Process) setUpPeerTransport() error {
	dial, peerDial := dialer().DialContext, silence.Dialer(&net.Dialer{KeepAlive: keepAlive}, control.DialTimeout)
	if p.Config.TLS() {
		pair, err := keys.LoadCertificate(p.Config.Config)
		if err != nil {
			return err
		}
		p.peersListener = tlsListener{tls.NewListener(p.peersListener, pair.ServerConfig()), p.peersListener}
		dial = (&tls.Dialer{NetDialer: dialer(), Config: pair.ClientConfig()}).DialContext
		peerDial = withTLS(peerDial, pair.ClientConfig())
	}
	p.PeerClient = newHTTPClient(peerDial)
	p.Pool = control.NewPool(p.Address(), p.Config.Secret, dial)
	return nil
}

// withTLS returns a function that opens TLS connections over those of dial, which must be of type *silence.Conn. In the handshake the other side
// may be silent for control.DialTimeout. The handshake ends after WriteTimeout in any case, also if the peer accepts nothing.
func withTLS(dial control.DialFunc, config *tls.Config) control.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, WriteTimeout)
		defer cancel()
		watch := silence.NewWatch(control.DialTimeout, func() {})
		watch.Attach(raw.(*silence.Conn))
		defer watch.Stop()
		conn := tls.Client(raw, config)
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return conn, nil
	}
}

func dialer() *net.Dialer {
	return &net.Dialer{Timeout: control.DialTimeout, KeepAlive: keepAlive}
}

// NewHTTPClient returns a client with a dial timeout. It has no timeout for a whole answer, because answers are streamed.
func NewHTTPClient() *http.Client { return newHTTPClient(connend.Dialer(dialer().DialContext)) }

func newHTTPClient(dial control.DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: boundedread.MaxHeadBytes,
	}}
}

// Address returns the address at which peers reach this process.
func (p *Process) Address() string { return p.peersListener.Addr().String() }

// OperatorsAddress returns the address at which operators reach this process.
func (p *Process) OperatorsAddress() string { return p.operatorsListener.Addr().String() }

func (p *Process) routes() {
	p.relayRoutes()
	p.fleetRoutes()
	p.PeersMux.Handle(control.Path, p.controlServer())
	p.OperatorsMux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	p.OperatorsMux.HandleFunc("GET /ready", p.handleReady)
	p.OperatorsMux.HandleFunc("GET "+BurstsPath, p.handleBursts)
}

// Serve serves h on l in the background until Close is called.
func (p *Process) Serve(l net.Listener, h http.Handler) {
	s := newTrackedServer(p.newServer(h), l)
	p.servers = append(p.servers, s)
	go s.serve()
}

// Run starts the parts that entries and agents share and returns at once. They end when ctx is done. fields are added to
// the log event that names the listen addresses.
func (p *Process) Run(ctx context.Context, fields map[string]string) {
	p.runCtx = ctx
	p.Serve(p.peersListener, p.authorized(p.Telemetry.Traces.AgentServer(p.PeersMux)))
	p.Serve(p.operatorsListener, p.OperatorsMux)
	ev := logevent.Info(p.Log, logevent.Listening).Str("peers", p.Address()).Str("operators", p.OperatorsAddress())
	for k, v := range fields {
		ev = ev.Str(k, v)
	}
	ev.Msg("listening")
	p.Loop.Step(core.Started{})
	go periodic.Run(ctx, step.TickInterval, p.tick)
}

func (p *Process) tick() {
	p.OwnDelay.Tick()
	p.Loop.Step(step.Tick{})
}

// MarkNotReady makes the readiness check fail while the process still serves.
func (p *Process) MarkNotReady() { p.stopping.Store(true) }

// ShuttingDown reports whether the readiness check fails because the process is about to stop.
func (p *Process) ShuttingDown() bool { return p.stopping.Load() }

// StartShutdown makes the readiness check fail, so that the load balancer sends no more requests. It informs the core that
// a shutdown was requested.
func (p *Process) StartShutdown() {
	p.stopping.Store(true)
	p.Loop.Step(core.StopRequested{})
}

// Close closes the listeners, waits for open requests until ctx is done, and then closes all connections.
func (p *Process) Close(ctx context.Context) {
	for _, s := range p.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	p.Pool.Close()
	p.PeerClient.CloseIdleConnections()
	p.ExternalClient.CloseIdleConnections()
	p.Telemetry.Traces.Close(ctx)
}

func (p *Process) authorized(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.Config.Authorized(r.Header) {
			http.Error(w, code.Errorf(code.NotAuthorized, "Authorization", "want the secret of the system's processes").Error(), http.StatusUnauthorized)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (p *Process) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := false
	p.Loop.View(func(s *core.State) { ready = s.ReadyForCallers })
	if !ready || p.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Execute carries out e if it is one of the effects that entries and agents share, and reports whether it is.
func (p *Process) Execute(e step.Effect) bool {
	switch e := e.(type) {
	case record.Push, record.Exchange, record.Compare, record.ExchangeAnswer, record.CompareAnswer,
		record.Offer, record.OfferAnswer:
		p.relay(e)
	case core.QueryServed:
		go p.queryServed(e)
	case watch.List, watch.Watch, watch.ReadHosts:
		p.readPlatform(e)
	case core.SettingChanged:
		logevent.Info(p.Log, logevent.SettingInForce).Str("key", e.Key).Uint64("revision", e.Revision).Bool("deleted", e.Deleted).Msg("setting in force")
	case core.BadRecord:
		logevent.Warn(p.Log, logevent.MalformedRecord).Str("key", e.Key).Err(e.Err).Msg("malformed record")
	case core.BecameReady:
		logevent.Info(p.Log, logevent.Ready).Msg("ready")
	default:
		return false
	}
	return true
}
