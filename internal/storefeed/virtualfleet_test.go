package storefeed

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/platform"
)

const (
	// virtualDataCentres and virtualSeeds are the numbers of data centres and seeds of a virtual fleet. Two thirds of its
	// processes are agents.
	virtualDataCentres = 5
	virtualSeeds       = 3
	// datagramLatency is the latency of a datagram, and storeListLatency that of a list of the store.
	datagramLatency  = 2 * time.Millisecond
	storeListLatency = 200 * time.Millisecond
	// maxHeartbeatAgents is the maximum number of agents of its data centre to which an entry sends heartbeats.
	maxHeartbeatAgents = 64
	// virtualKind is the kind of objects that all processes read.
	virtualKind = "servers"
)

// firstRevision is the revision of a virtual fleet's store when the processes start.
var firstRevision = storerev.Revision{Era: 1, Number: 1}

// virtualFleet simulates many processes and their store without a network. It counts datagrams, bytes and calls.
type virtualFleet struct {
	mu        sync.Mutex
	processes map[string]*virtualProcess
	objects   []platform.Object
	// lists and watches count the calls that the store accepted, refused those that it refused.
	lists, watches, refused int
	revision                storerev.Revision
	changed                 chan struct{}
	// down is set while the store refuses all calls.
	down bool
	// tracksContents makes the processes keep what they read, so that it can be compared with the store.
	tracksContents bool
	// backup holds the objects and the revision from which the store is restored.
	backup         []platform.Object
	backupRevision storerev.Revision
	// linkRate is the rate at which a process sends responses, in bytes per second; 0 for no limit.
	linkRate float64
}

type virtualProcess struct {
	fleet   *virtualFleet
	address netip.AddrPort
	host    hostconfig.Host
	agent   bool
	peers   *Peers
	reader  *Reader
	cache   *Cache
	// bytesSent counts the bytes of the responses and datagrams that it sent, and datagramsReceived the datagrams sent to
	// it. revision is the highest revision that it knows. The fleet's lock guards them.
	bytesSent, datagramsReceived int
	revision                     storerev.Revision
	// known holds the revision of each object that it knows, by name, if the fleet tracks contents. The fleet's lock guards it.
	known map[string]storerev.Revision
	// failure is what is wrong with it.
	failure failure
	// linkFreeAt is when its link will have sent all queued responses.
	linkFreeAt time.Time
}

// failure is what is wrong with a process of a virtual fleet.
type failure int

const (
	// healthy processes respond and reach the store.
	healthy failure = iota
	// killed processes refuse connections.
	killed
	// unresponsive processes do not respond and do not reach the store.
	unresponsive
	// cutOff processes respond but do not reach the store.
	cutOff
)

// Send delivers a datagram after datagramLatency, if both processes are able to.
func (p *virtualProcess) Send(to netip.AddrPort, m loadreport.Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return err
	}
	f := p.fleet
	if p.has(killed) || p.has(unresponsive) {
		return nil
	}
	f.mu.Lock()
	target := f.processes[to.String()]
	p.bytesSent += len(raw)
	if target != nil {
		target.datagramsReceived++
	}
	f.mu.Unlock()
	if target == nil {
		return nil
	}
	time.AfterFunc(datagramLatency, func() {
		if target.has(killed) || target.has(unresponsive) {
			return
		}
		target.peers.HandleMessage(p.address, m)
		if !target.agent {
			target.peers.ReplyToHeartbeat(target, p.address, m)
		} else if m.DataCentre != "" {
			target.sendReport(p.address, m.DataCentre)
		}
	})
	return nil
}

// sendReport sends the entry list of its data centre to an entry that sent a heartbeat, as an agent's load report does.
func (p *virtualProcess) sendReport(to netip.AddrPort, dataCentre string) {
	var m loadreport.Message
	p.peers.AddEntries(dataCentre, &m)
	if m.EntryCount > 0 {
		_ = p.Send(to, m) // Datagrams may be lost.
	}
}

// sendHeartbeatsToAgents sends heartbeats to some agents of the data centre each second, as an entry that knows the list
// does. Each entry ranks the agents differently.
func (p *virtualProcess) sendHeartbeatsToAgents(ctx context.Context) {
	var agents []string
	for address, other := range p.fleet.processes {
		if other.agent && other.peers.dataCentre == p.peers.dataCentre {
			agents = append(agents, address)
		}
	}
	agents = step.Rank(p.address.String(), agents)[:min(maxHeartbeatAgents, len(agents))]
	for ; ctx.Err() == nil; time.Sleep(time.Second) {
		for _, a := range agents {
			_ = p.Send(netip.MustParseAddrPort(a), loadreport.Message{DataCentre: p.peers.dataCentre}) // Datagrams may be lost.
		}
	}
}

// Call sends a read request to another process.
func (p *virtualProcess) Call(ctx context.Context, address, _ string, params, result any) error {
	p.fleet.mu.Lock()
	target := p.fleet.processes[address]
	p.fleet.mu.Unlock()
	switch {
	case target == nil || target.agent || target.has(killed):
		return errors.New("connection refused")
	case target.has(unresponsive) || p.has(unresponsive):
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := json.Marshal(target.cache.waitForChanges(ctx, params.(ReadRequest)))
	if err != nil {
		return err
	}
	select {
	case <-time.After(target.transmit(len(raw)) + datagramLatency):
		return json.Unmarshal(raw, result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transmit queues a response of some bytes and returns how long it takes until they are sent: a link sends one response
// after the other.
func (p *virtualProcess) transmit(bytes int) time.Duration {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.bytesSent += bytes
	if p.fleet.linkRate <= 0 {
		return 0
	}
	now := time.Now()
	if p.linkFreeAt.Before(now) {
		p.linkFreeAt = now
	}
	p.linkFreeAt = p.linkFreeAt.Add(time.Duration(float64(bytes) / p.fleet.linkRate * float64(time.Second)))
	return p.linkFreeAt.Sub(now)
}

// run runs the process until ctx is cancelled: it lists the objects and then watches for changes.
func (p *virtualProcess) run(ctx context.Context) {
	go p.peers.SendSeedHeartbeats(ctx, p, func() bool { return !p.knownRevision().IsStart() })
	go func() {
		for ; ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
			p.peers.Tick()
		}
	}()
	p.list(ctx)
	if !p.agent {
		go p.sendHeartbeatsToAgents(ctx)
	}
	for ctx.Err() == nil {
		pause := 50 * time.Millisecond
		objects, at, err := p.reader.Watch(ctx, virtualKind, p.knownRevision(), 2*time.Second)
		switch {
		case err == nil:
			p.recordChanges(at, objects)
		case errors.Is(err, platform.ErrCompacted):
			p.list(ctx)
		default:
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// list lists the objects until that succeeds.
func (p *virtualProcess) list(ctx context.Context) {
	for ctx.Err() == nil {
		if objects, at, err := p.reader.List(ctx, virtualKind, p.agent); err == nil {
			p.recordList(at, objects)
			return
		}
	}
}

func (p *virtualProcess) has(f failure) bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.failure == f
}

func (p *virtualProcess) knownRevision() storerev.Revision {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.revision
}

// recordList records a list, which replaces what the process knows.
func (p *virtualProcess) recordList(at storerev.Revision, objects []platform.Object) {
	p.fleet.mu.Lock()
	p.known = map[string]storerev.Revision{}
	p.fleet.mu.Unlock()
	p.recordChanges(at, objects)
}

// recordChanges records changes up to a revision.
func (p *virtualProcess) recordChanges(at storerev.Revision, objects []platform.Object) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.revision = storerev.Max(p.revision, at)
	if !p.fleet.tracksContents {
		return
	}
	for _, o := range objects {
		p.known[o.Name] = o.Revision
	}
}

// newVirtualFleet returns a fleet of n processes, a third of them entries. The processes are not running yet.
func newVirtualFleet(n int) *virtualFleet {
	f := &virtualFleet{processes: map[string]*virtualProcess{}, revision: firstRevision, changed: make(chan struct{})}
	for i := range n {
		f.objects = append(f.objects, platform.Object{
			Name: fmt.Sprintf("i-%08x", i), Revision: f.revision, Spec: json.RawMessage(fmt.Sprintf(`{"service":"model","address":"10.0.%d.%d:8080","zone":"a","slots":8,"state":"ready"}`, i/200, i%200)),
		})
	}
	var seeds []string
	for i := range n {
		place := i % virtualDataCentres
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(place), byte(i / 250), byte(i % 250)}), 7700)
		host := hostconfig.Host{DataCentre: "dc-" + strconv.Itoa(place), StoreReadsPerSecond: largeFleetReads, ManifestTime: 5 * time.Second, DrainTime: 5 * time.Second}
		p := &virtualProcess{fleet: f, address: address}
		agent := i >= n/3
		if len(seeds) < virtualSeeds {
			seeds = append(seeds, address.String())
		}
		p.host, p.agent = host, agent
		f.processes[address.String()] = p
	}
	for _, p := range f.processes {
		p.host.Seeds = seeds
		p.reset()
	}
	return f
}

// reset makes the process a new instance without any data.
func (p *virtualProcess) reset() {
	var cache *Cache
	if !p.agent {
		cache = NewCache(p.host.ChangeTime())
	}
	peers := NewPeers(p.host, p.address.String(), p.agent, zerolog.Nop())
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.revision, p.cache, p.peers = storerev.Revision{}, cache, peers
	p.reader = peers.Reader(directStore{virtualFleet: p.fleet, process: p}, p, cache)
}

// fleetCounts are the figures of a run of a virtual fleet.
type fleetCounts struct {
	// lists and watches count the calls to the store. maxBytesSent is the maximum number of bytes sent by one process, and
	// maxDatagrams that of datagrams sent to one process.
	lists, watches, maxBytesSent, maxDatagrams int
	// readyAfter is how long it took until all processes knew the list.
	readyAfter time.Duration
}

// measureStart starts n processes at once, writes some changes and returns the figures.
func measureStart(t *testing.T, n int) fleetCounts {
	t.Helper()
	var c fleetCounts
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(n)
		ctx, cancel := context.WithCancel(t.Context())
		startedAt := time.Now()
		var running sync.WaitGroup
		for _, p := range f.processes {
			running.Go(func() { p.run(ctx) })
		}
		for f.countBehind(firstRevision) > 0 {
			require.Less(t, time.Since(startedAt), time.Minute)
			time.Sleep(50 * time.Millisecond)
		}
		c.readyAfter = time.Since(startedAt)
		for i := range 5 {
			f.writeObject(i)
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		require.Zero(t, f.countBehindNewest(), "each process knows the last change")
		c.collect(f)
		cancel()
		running.Wait()
		time.Sleep(2 * readySeedInterval) // The background goroutines of the processes end as well.
	})
	return c
}

func (c *fleetCounts) collect(f *virtualFleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.lists, c.watches = f.lists, f.watches
	for _, p := range f.processes {
		c.maxBytesSent, c.maxDatagrams = max(c.maxBytesSent, p.bytesSent), max(c.maxDatagrams, p.datagramsReceived)
	}
}

// countBehindNewest counts the healthy processes that do not know the last change.
func (f *virtualFleet) countBehindNewest() int {
	f.mu.Lock()
	newest := f.revision
	f.mu.Unlock()
	return f.countBehind(newest)
}

// countBehind counts the healthy processes that do not know a revision.
func (f *virtualFleet) countBehind(revision storerev.Revision) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.processes {
		if p.revision.Before(revision) && p.failure == healthy {
			n++
		}
	}
	return n
}
