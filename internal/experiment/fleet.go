// Package experiment runs entries and agents in one process against the stand-ins, for failure tests and for measurements of routing and admission.
// It is never linked into the product.
package experiment

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/agent"
	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/entry"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/source"
	"samphireweir.example/samphireweir/internal/standin/engine"
	"samphireweir.example/samphireweir/internal/standin/hostlist"
	standinobjects "samphireweir.example/samphireweir/internal/standin/objectapi"
	"samphireweir.example/samphireweir/internal/standin/plain"
	"samphireweir.example/samphireweir/internal/standin/weights"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// Names used in the fleet.
const (
	Team         = "karrakin"
	ModelService = "summary-model"
	PlainService = "buyer-portal"
	DataCentre   = "perth-a"
	Region       = "west"

	// listenOn is a loopback address that only these fleets use: the ports of 127.0.0.1 may be exhausted by connections of other tests.
	listenOn    = "127.8.0.1:0"
	weightsSize = 64 << 10
	readyPoll   = 20 * time.Millisecond
	// readyTimeout bounds the start of a fleet.
	readyTimeout = 20 * time.Second
)

// Config configures a fleet.
type Config struct {
	Entries int
	// Agents is the number of hosts with an agent; each has EnginesPerAgent engines and one plain service.
	Agents          int
	EnginesPerAgent int
	Engine          engine.Config
	PlainWork       time.Duration
	// HostLag is the delay with which the host list shows changes.
	HostLag time.Duration
	Policy  routing.Policy
	Clients map[string]setting.Limits
	// Settle and Grace are the times of a graceful shutdown.
	Settle time.Duration
	Grace  time.Duration
	// Unlimited removes the agents' concurrency limits, which adapt to the speed of the engines. It is meant for tests of guarantees that must hold
	// on a machine of any speed.
	Unlimited bool
	// Plain, when set, handles the requests to the plain services in place of the stand-in.
	Plain http.Handler
	// Traces, when set, returns the trace exporter of the process with the given name.
	Traces func(name string) *telemetry.Traces
	// Log, when set, receives the logs of all processes. Each line names its process.
	Log io.Writer
}

// Fleet is a running fleet.
type Fleet struct {
	Entries []*EntryProcess
	Agents  []*AgentProcess
	Digest  string

	config  Config
	client  *http.Client
	objects string
	hosts   string
	origin  string
	engines string
	plains  string
	// secret is unique to this fleet. It keeps two fleets apart when the kernel reuses the address of a process of one for a process of the other.
	secret  string
	stop    context.CancelFunc
	mu      sync.Mutex
	servers []*http.Server
}

// EntryProcess is one entry of the fleet.
type EntryProcess struct {
	*entry.Entry
	Process
}

// AgentProcess is one agent of the fleet with its upstreams.
type AgentProcess struct {
	*agent.Agent
	Process
	index int
}

// Process is a running entry or agent that can be stopped as by SIGTERM.
type Process struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Stop requests a graceful shutdown and waits until it has ended.
func (p *Process) Stop() {
	p.cancel()
	<-p.done
}

func start(run func(context.Context)) Process {
	ctx, cancel := context.WithCancel(context.Background())
	p := Process{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		run(ctx)
	}()
	return p
}

// Start starts a fleet and waits until every upstream serves.
func Start(c Config) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{config: c, client: node.NewHTTPClient(), stop: cancel, secret: rand.Text()}
	if err := f.startStandIns(ctx); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.startProcesses(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startStandIns(ctx context.Context) error {
	content := weights.ContentConfig{Size: weightsSize, ChunkSize: weightsSize / 4, Seed: 1}
	origin, err := weights.NewServer(weights.Config{Content: content})
	if err != nil {
		return errors.Wrap(err, "starting the origin stand-in")
	}
	var engines, plains []string
	for i := range f.config.Agents {
		engines = append(engines, f.engineNames(i)...)
		plains = append(plains, plainName(i))
	}
	for _, s := range []struct {
		base *string
		h    http.Handler
	}{
		{&f.objects, standinobjects.NewServer(standinobjects.Config{History: 1000})},
		{&f.hosts, hostlist.NewServer(f.config.HostLag)},
		{&f.origin, origin},
		{&f.engines, engine.NewServer(ctx, engines, f.config.Engine)},
		{&f.plains, plain.NewServer(plains, f.config.PlainWork)},
	} {
		if s.base == &f.plains && f.config.Plain != nil {
			s.h = f.config.Plain
		}
		if *s.base, err = f.serve(s.h); err != nil {
			return err
		}
	}
	return f.apply(ctx)
}

func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", listenOn)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// apply writes the settings of both services.
func (f *Fleet) apply(ctx context.Context) error {
	ed := operator.Editor{
		Objects: objectapi.NewClient(f.objects, f.client),
		Sources: []*source.Client{source.NewClient(f.origin, f.client)},
	}
	n := f.config.Agents * f.config.EnginesPerAgent
	model := fmt.Sprintf(`{"kind":"engine","model":"risk","version":"v1","places":{%q:%d},"max_unavailable":%d}`, DataCentre, n, max(1, n))
	for service, text := range map[string]string{ModelService: model, PlainService: `{"kind":"plain","non_idempotent":["PUT"]}`} {
		s, err := setting.Parse([]byte(text))
		if err != nil {
			return errors.Wrap(err, "parsing a setting")
		}
		s.Clients = f.config.Clients
		applied, err := ed.Apply(ctx, Team, service, s, 0)
		if err != nil {
			return errors.Wrap(err, "applying a setting")
		}
		if applied.Digest != "" {
			f.Digest = applied.Digest
		}
	}
	return nil
}

func (f *Fleet) startProcesses() error {
	for i := range f.config.Entries {
		if err := f.StartEntry(i); err != nil {
			return err
		}
	}
	for i := range f.config.Agents {
		if err := f.StartAgent(i); err != nil {
			return err
		}
	}
	return f.awaitServing()
}

// StartEntry starts entry i: either a replacement of one that was stopped, or the next one.
func (f *Fleet) StartEntry(i int) error {
	c := entry.Config{
		Config: f.nodeConfig(fmt.Sprintf("entry-%d", i)), CallersListen: listenOn, DefaultDeadline: time.Minute,
		MaxBodyBytes: 1 << 20, Routing: string(f.config.Policy), ReadinessDelay: f.config.Settle,
		Claims: claim.Config{Retention: claim.DefaultRetention, UntimedRetention: claim.DefaultUntimedRetention},
	}
	if c.Routing == "" {
		c.Routing = string(routing.Affinity)
	}
	if err := c.Check(); err != nil {
		return err
	}
	e, err := entry.New(c, f.logger(c.Name))
	if err != nil {
		return err
	}
	p := &EntryProcess{Entry: e, Process: start(func(ctx context.Context) { e.Run(ctx, f.config.Grace) })}
	f.mu.Lock()
	if i < len(f.Entries) {
		f.Entries[i] = p
	} else {
		f.Entries = append(f.Entries, p)
	}
	f.mu.Unlock()
	return f.List(e.Address(), "entry", "live")
}

// entries returns the current entries.
func (f *Fleet) entries() []*EntryProcess {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*EntryProcess(nil), f.Entries...)
}

// StartAgent starts agent i: either a replacement of one that was stopped, or the next one.
func (f *Fleet) StartAgent(i int) error {
	upstreams := []string{Team + "/" + PlainService + "=plain@" + f.plains + "/" + plainName(i)}
	for _, name := range f.engineNames(i) {
		upstreams = append(upstreams, Team+"/"+ModelService+"=engine@"+f.engines+"/"+name)
	}
	c := agent.Config{
		Config: f.nodeConfig(fmt.Sprintf("host-%d", i)), Origin: f.origin, Upstreams: strings.Join(upstreams, ","),
		ChunkMemory: 1 << 30,
	}
	if err := c.Check(); err != nil {
		return err
	}
	a, err := agent.New(c, f.logger(c.Name))
	if err != nil {
		return err
	}
	if f.config.Unlimited {
		removeLimits(a)
	}
	p := &AgentProcess{Agent: a, Process: start(func(ctx context.Context) { a.Run(ctx, f.config.Grace) }), index: i}
	if i < len(f.Agents) {
		f.Agents[i] = p
	} else {
		f.Agents = append(f.Agents, p)
	}
	return f.List(a.Address(), "agent", "live")
}

// logger returns the log of the process with the given name.
func (f *Fleet) logger(name string) zerolog.Logger {
	if f.config.Log == nil {
		return zerolog.Nop()
	}
	return zerolog.New(f.config.Log).With().Timestamp().Str("process", name).Logger()
}

func (f *Fleet) nodeConfig(name string) node.Config {
	c := node.Config{
		Name: name, Place: DataCentre, Region: Region, PeersListen: listenOn, OperatorsListen: listenOn,
		ObjectAPI: f.objects, HostList: f.hosts, Config: keys.Config{Secret: f.secret},
	}
	if f.config.Traces != nil {
		c.Traces = f.config.Traces(name)
	}
	return c
}

func (f *Fleet) engineNames(agent int) []string {
	var names []string
	for i := range f.config.EnginesPerAgent {
		names = append(names, fmt.Sprintf("e%d-%d", agent, i))
	}
	return names
}

func plainName(agent int) string { return fmt.Sprintf("p%d", agent) }

// List adds a process to the host list.
func (f *Fleet) List(address, role, state string) error {
	h := hostlist.Host{Address: address, Role: role, Place: DataCentre, Region: Region, State: state}
	return f.send(http.MethodPut, f.hosts+"/admin/hosts", h)
}

// Unlist removes a process from the host list.
func (f *Fleet) Unlist(address string) error {
	return f.send(http.MethodDelete, f.hosts+"/admin/hosts?address="+address, nil)
}

// EngineFaults sets faults of engines by name; "*" stands for all.
func (f *Fleet) EngineFaults(faults map[string]map[string]any) error {
	return f.send(http.MethodPost, f.engines+"/admin/faults", faults)
}

// PlainFaults sets faults of plain services by name; "*" stands for all.
func (f *Fleet) PlainFaults(faults map[string]map[string]any) error {
	return f.send(http.MethodPost, f.plains+"/admin/faults", faults)
}

func (f *Fleet) send(method, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: status %d", method, url, resp.StatusCode)
	}
	return nil
}

// EngineStats returns the counters of each engine by name.
func (f *Fleet) EngineStats() (map[string]engine.Stats, error) {
	stats := map[string]engine.Stats{}
	return stats, f.read(f.engines+"/admin/stats", &stats)
}

// EngineRuns returns how often the engines ran each request, by the request's id.
func (f *Fleet) EngineRuns() (map[string]int, error) {
	resp, err := f.client.Get(f.engines + "/admin/log")
	if err != nil {
		return nil, errors.Wrap(err, "reading the engines' log")
	}
	defer func() { _ = resp.Body.Close() }()
	runs := map[string]int{}
	lines := json.NewDecoder(resp.Body)
	for {
		var entry engine.RunEntry
		err := lines.Decode(&entry)
		if errors.Is(err, io.EOF) {
			return runs, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "decoding the engines' log")
		}
		if entry.Kind == "run" {
			runs[entry.RequestID]++
		}
	}
}

// PlainStats returns the counters of each plain service by name.
func (f *Fleet) PlainStats() (map[string]plain.Stats, error) {
	stats := map[string]plain.Stats{}
	return stats, f.read(f.plains+"/admin/stats", &stats)
}

func (f *Fleet) read(url string, into any) error {
	resp, err := f.client.Get(url)
	if err != nil {
		return errors.Wrapf(err, "reading %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(into), "decoding %s", url)
}

// Close stops all processes and stand-ins concurrently.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, p := range f.Entries {
		all.Go(p.Stop)
	}
	for _, p := range f.Agents {
		all.Go(p.Stop)
	}
	f.stop()
	for _, s := range f.servers {
		_ = s.Close()
	}
	all.Wait()
	f.client.CloseIdleConnections()
}
