package storefeed

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/logevent"
)

const (
	// initialSeedInterval is the time between the first two heartbeats to the seeds while this process is not ready. The
	// interval doubles with each heartbeat, up to maxSeedInterval. It grows because all hosts may start within a few tenths
	// of a second of each other, and a seed must answer all of them.
	initialSeedInterval = 100 * time.Millisecond
	maxSeedInterval     = 800 * time.Millisecond
	// readySeedInterval is the time between two heartbeats to the seeds once this process is ready, so that the seeds know
	// which entries are running.
	readySeedInterval = 3 * time.Second
	// entryListTTL is how long the entry list of a data centre is reused for the processes there, once the discovery time is
	// over.
	entryListTTL = 500 * time.Millisecond
	// entryStartWait and agentStartWait are how long an entry or agent of a large fleet waits at its start to learn from
	// which entry to read, before it reads the store itself. Without the wait, all hosts of a fleet that starts at once would
	// read the same lists from the store and fill the links between regions. The bytes of these lists grow with the square of
	// the fleet. Entries learn from the seeds where to read; the seeds know all entries within two heartbeats. Agents learn it
	// from the seeds too, and then from the entries that have read their lists.
	entryStartWait = time.Second
	agentStartWait = 3 * time.Second
	// agentMediumStartWait is the same for an agent of a medium fleet, where entries need less time for their lists.
	agentMediumStartWait = 1500 * time.Millisecond
	// settleTime is how long after its start a process assumes that its peers do not know all entries yet. If it relied on
	// their entry lists, it could wrongly conclude that it is the first entry of its data centre, and read the store.
	settleTime = 250 * time.Millisecond
	// discoveryTime is how long after its start a process keeps discovering its peers. Entry lists are not reused
	// meanwhile.
	discoveryTime = time.Second
	// minUptimeLead is how much longer than this process a seed must have run for this process to have joined a running
	// fleet.
	minUptimeLead = 5 * time.Second
	// largeFleetReads determines whether a fleet counts as large: the platform allows all its processes together at least
	// this rate of reads of the store, in reads per second. The platform allows about a hundred reads per second and host.
	largeFleetReads = 10000
	// mediumFleetReads is the same for a medium fleet, where only agents wait. They are most of the processes: if all agents of a data
	// centre read a long manifest over a link between regions at once, the entries there get theirs seconds later.
	mediumFleetReads = 4000
)

// Peers is what a process knows of the entries of its data centre, and where it reads the store from. It is safe for
// concurrent use.
type Peers struct {
	self       string
	dataCentre string
	agent      bool
	startedAt  time.Time
	seeds      []netip.AddrPort
	log        zerolog.Logger
	source     Source

	mu         sync.Mutex
	heartbeats loadreport.HeartbeatRegistry
	state      *source.State
	// seedUptimeLead is by how much a seed has at least run longer than this process.
	seedUptimeLead time.Duration
	// entryLists holds the last entry list of each data centre. The lists are reused for a while, because agents send them
	// with frequent reports.
	entryLists map[string]entryList
}

// entryList is what the entries of a data centre are sent about the entries there. count is the number of all entries of the
// data centre, and entries are those from which to read.
type entryList struct {
	createdAt time.Time
	entries   []string
	count     int
}

// NewPeers returns the known peers of the process at address self, initially none. agent is set for an agent.
func NewPeers(host hostconfig.Host, self string, agent bool, log zerolog.Logger) *Peers {
	p := &Peers{
		self: self, dataCentre: host.DataCentre, agent: agent, log: log, state: source.NewState(self, host.DataCentre, agent),
		startedAt:  time.Now(),
		entryLists: map[string]entryList{},
	}
	for _, s := range host.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil && s != self {
			p.seeds = append(p.seeds, a)
		}
	}
	if wait := startWait(agent, host.StoreReadsPerSecond); wait > 0 {
		p.source.delayLists(wait)
	}
	return p
}

// startWait is how long a process waits at its start to learn from which entry to read. storeReads is the platform's limit of reads per
// second.
func startWait(agent bool, storeReads float64) time.Duration {
	switch {
	case agent && storeReads >= largeFleetReads:
		return agentStartWait
	case agent && storeReads >= mediumFleetReads:
		return agentMediumStartWait
	case storeReads >= largeFleetReads:
		return entryStartWait
	}
	return 0
}

// Reader returns a reader of a store that reads through peers in a large data centre. cache is nil for a process that no
// peer reads from.
func (p *Peers) Reader(direct Store, caller Caller, cache *Cache) *Reader {
	return &Reader{Direct: direct, Caller: caller, Cache: cache, Source: &p.source, OnPeerFailure: p.peerFailed, DelayDirectReads: p.agent}
}

func (p *Peers) peerFailed(address string, err error) {
	logevent.Info(p.log, logevent.PeerFailed).Str("peer", address).Err(err).Msg("peer failed")
	p.step(source.PeerFailed{Address: address})
}

// HandleMessage handles a received datagram: the heartbeat of an entry, or a report of the entries of this data centre.
func (p *Peers) HandleMessage(from netip.AddrPort, m loadreport.Message) {
	if m.EntryCount > 0 {
		p.step(source.EntriesReported{Entries: m.Entries, EntryCount: m.EntryCount})
	}
	if m.UptimeMS > 0 {
		p.recordSeedUptime(time.Duration(m.UptimeMS) * time.Millisecond)
	}
	if m.DataCentre == "" || m.Agent {
		return
	}
	now := time.Now()
	p.mu.Lock()
	p.heartbeats.Record(now, from, m.DataCentre)
	entries := p.entries(now, p.dataCentre)
	p.mu.Unlock()
	if m.DataCentre == p.dataCentre {
		p.step(source.EntriesReported{Entries: entries, EntryCount: len(entries)})
	}
}

// recordSeedUptime records how long a seed has been running.
func (p *Peers) recordSeedUptime(uptime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seedUptimeLead = max(p.seedUptimeLead, uptime-time.Since(p.startedAt))
}

// JoinedRunningFleet reports whether this process has joined a fleet that was already running, as far as it knows. If a whole
// fleet starts at once, its processes start within a second of each other.
func (p *Peers) JoinedRunningFleet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seedUptimeLead > minUptimeLead
}

// entries returns the known entries of a data centre, including this process if it is one. The caller must hold the lock.
func (p *Peers) entries(now time.Time, dataCentre string) []string {
	list := p.heartbeats.Entries(now, dataCentre)
	if !p.agent && dataCentre == p.dataCentre {
		list = append(list, p.self)
	}
	return list
}

// AddEntries adds to a message to an entry what it must know of the entries of its data centre. It adds nothing for a data
// centre with fewer entries than source.MinEntries, where each process reads the store itself.
func (p *Peers) AddEntries(dataCentre string, m *loadreport.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	l, known := p.entryLists[dataCentre]
	if discovering := now.Sub(p.startedAt) < discoveryTime; !known || discovering || now.Sub(l.createdAt) > entryListTTL {
		entries := p.entries(now, dataCentre)
		l = entryList{createdAt: now, entries: source.EntryCandidates(dataCentre, entries), count: len(entries)}
		if l.count >= source.MinEntries { // A shorter list is not reused: after a start, more entries follow soon.
			p.entryLists[dataCentre] = l
		}
	}
	if l.count >= source.MinEntries {
		m.Entries, m.EntryCount = l.entries, l.count
	}
}

// AddEntriesForAgent adds to a message to an agent from which entries of its data centre it may read.
func (p *Peers) AddEntriesForAgent(agent, dataCentre string, m *loadreport.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if entries := p.entries(time.Now(), dataCentre); len(entries) >= source.MinEntries {
		m.Entries, m.EntryCount = source.AgentCandidates(agent, entries), len(entries)
	}
}

// Sender sends messages; see loadreport.Socket.
type Sender interface {
	Send(to netip.AddrPort, m loadreport.Message) error
}

// ReplyToHeartbeat replies to the heartbeat of a process that uses this one as a seed. It ignores messages that are not heartbeats.
func (p *Peers) ReplyToHeartbeat(socket Sender, from netip.AddrPort, m loadreport.Message) {
	if m.DataCentre == "" {
		return
	}
	var reply loadreport.Message
	if m.Agent {
		p.AddEntriesForAgent(from.String(), m.DataCentre, &reply)
	} else {
		p.AddEntries(m.DataCentre, &reply)
	}
	if reply.EntryCount > 0 {
		reply.UptimeMS = time.Since(p.startedAt).Milliseconds()
		p.send(socket, from, reply)
	}
}

// SendSeedHeartbeats sends heartbeats to the seeds until ctx is cancelled: often while this process is not ready, and every 3
// seconds afterwards. For an agent it returns when the agent is ready: entries then send heartbeats to it, so that it no
// longer needs the seeds.
func (p *Peers) SendSeedHeartbeats(ctx context.Context, socket Sender, ready func() bool) {
	m := loadreport.Message{DataCentre: p.dataCentre, Agent: p.agent}
	for wait := initialSeedInterval; ctx.Err() == nil; wait = min(2*wait, maxSeedInterval) {
		for _, seed := range p.seeds {
			p.send(socket, seed, m)
		}
		interval := wait
		if ready() {
			interval = readySeedInterval
		}
		if ready() && p.agent {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (p *Peers) send(socket Sender, to netip.AddrPort, m loadreport.Message) {
	if err := socket.Send(to, m); err != nil {
		logevent.Info(p.log, logevent.PeerFailed).Str("peer", to.String()).Err(err).Msg("peer failed")
	}
}

// releaseListsIfKnown ends the delay of lists once it is known from where to read. The caller must hold the lock.
func (p *Peers) releaseListsIfKnown() {
	if p.state.Address() != "" || time.Since(p.startedAt) > settleTime {
		p.source.releaseLists()
	}
}

// Tick removes outdated information on peers. It must be called regularly.
func (p *Peers) Tick() { p.step(step.Tick{}) }

// step applies an event to the state and carries out its effects.
func (p *Peers) step(ev step.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reported, ok := ev.(source.EntriesReported); ok && reported.EntryCount >= source.MinEntries {
		defer p.releaseListsIfKnown()
	}
	for _, e := range p.state.Reduce(step.Input{Now: time.Now(), Event: ev}) {
		if c, changed := e.(source.Changed); changed {
			logevent.Info(p.log, logevent.StateChanged).Str("what", "source").Str("value", c.Address).Int("entries", c.EntryCount).Msg("known state changed")
			p.source.Set(c.Address)
		}
	}
}
