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
	// seedFirst is the time between the first two greetings of the seeds while this process knows too little to work; it doubles up to seedLast. All
	// hosts may start within a few tenths of a second of each other, and a seed must answer them all.
	seedFirst = 100 * time.Millisecond
	seedLast  = 800 * time.Millisecond
	// seedInterval is the same later on, so that the seeds know the entries that run.
	seedInterval = 3 * time.Second
	// tellingFor is how long what a data centre's processes are told is used again, by a process that has met its neighbours.
	tellingFor = 500 * time.Millisecond
	// entryWait and agentWait are how long a process of a large fleet that starts waits to hear from which entry to read, before it reads the store
	// itself: if all hosts start at once they fill the links between regions with the same lists, whose bytes grow with the square of the fleet.
	// Entries hear it from the seeds, which know of all within two greetings; agents hear it from the seeds too, and then from the entries that
	// have read theirs.
	entryWait = time.Second
	agentWait = 3 * time.Second
	// settleTime is how long after its start a process takes it that those who told it had not met all entries yet: it may be told that it
	// comes first, and read the store, when it does not.
	settleTime = 250 * time.Millisecond
	// meetTime is how long after its start a process goes on meeting its neighbours.
	meetTime = time.Second
	// runningLonger is how much longer than a process its seeds must have run for it to have joined a fleet that runs.
	runningLonger = 5 * time.Second
	// crowdReads is from which rate of reads a second, which the platform allows all processes together, a fleet counts as large in this:
	// it allows about a hundred for each host.
	crowdReads = 10000
)

// Neighbours is what a process knows of the entries of its data centre, and where it reads the store from. It is safe for
// concurrent use.
type Neighbours struct {
	self       string
	dataCentre string
	agent      bool
	started    time.Time
	seeds      []netip.AddrPort
	log        zerolog.Logger
	choice     Choice

	mu         sync.Mutex
	heartbeats loadreport.HeartbeatRegistry
	state      *source.State
	// running is how much longer than this process a seed said to have run at least.
	running time.Duration
	// told is what was last told to a data centre's processes; it is used again for a while, since agents report often.
	told map[string]telling
}

// telling is what a data centre's processes are told of its entries.
type telling struct {
	at    time.Time
	first []string
	count int
}

// NewNeighbours returns the neighbours of the process at address self; agent is set for an agent.
func NewNeighbours(host hostconfig.Host, self string, agent bool, log zerolog.Logger) *Neighbours {
	n := &Neighbours{
		self: self, dataCentre: host.DataCentre, agent: agent, log: log, state: source.NewState(self, host.DataCentre, agent),
		started: time.Now(),
		told:    map[string]telling{},
	}
	for _, s := range host.Seeds {
		if a, err := netip.ParseAddrPort(s); err == nil && s != self {
			n.seeds = append(n.seeds, a)
		}
	}
	if host.StoreReads >= crowdReads {
		n.choice.hold(n.startWait())
	}
	return n
}

// startWait is how long this process waits at its start to hear from whom to read.
func (n *Neighbours) startWait() time.Duration {
	if n.agent {
		return agentWait
	}
	return entryWait
}

// Reader returns a reader of a store that reads through neighbours where they are many. cache is nil for a process that nobody reads from.
func (n *Neighbours) Reader(direct Store, peers Caller, cache *Cache) *Reader {
	return &Reader{Direct: direct, Peers: peers, Cache: cache, Choice: &n.choice, Failed: n.failed, Patient: n.agent}
}

func (n *Neighbours) failed(address string, err error) {
	logevent.Info(n.log, logevent.PeerFailed).Str("peer", address).Err(err).Msg("peer failed")
	n.step(source.Failed{Address: address})
}

// Heard takes a datagram: the greeting of an entry, or word of the entries of this data centre.
func (n *Neighbours) Heard(from netip.AddrPort, m loadreport.Message) {
	if m.EntryCount > 0 {
		n.step(source.Told{Entries: m.Entries, Count: m.EntryCount})
	}
	if m.RunningMS > 0 {
		n.heardRunning(time.Duration(m.RunningMS) * time.Millisecond)
	}
	if m.DataCentre == "" || m.Agent {
		return
	}
	now := time.Now()
	n.mu.Lock()
	n.heartbeats.Record(now, from, m.DataCentre)
	entries := n.entries(now, n.dataCentre)
	n.mu.Unlock()
	if m.DataCentre == n.dataCentre {
		n.step(source.Told{Entries: entries, Count: len(entries)})
	}
}

// heardRunning takes how long a seed has run.
func (n *Neighbours) heardRunning(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running = max(n.running, d-time.Since(n.started))
}

// FleetRuns tells whether this process has joined a fleet that ran before, as far as it has heard: in one that starts at once all do so within
// a second.
func (n *Neighbours) FleetRuns() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.running > runningLonger
}

// entries are the entries of a data centre, this process included. It is called with the lock held.
func (n *Neighbours) entries(now time.Time, dataCentre string) []string {
	list := n.heartbeats.Entries(now, dataCentre)
	if !n.agent && dataCentre == n.dataCentre {
		list = append(list, n.self)
	}
	return list
}

// Tell puts into a message what its receiver must know of the entries of its data centre. Where each process reads the store for
// itself there is nothing to know.
func (n *Neighbours) Tell(dataCentre string, m *loadreport.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	t, known := n.told[dataCentre]
	if meeting := now.Sub(n.started) < meetTime; !known || meeting || now.Sub(t.at) > tellingFor {
		entries := n.entries(now, dataCentre)
		t = telling{at: now, first: source.First(dataCentre, entries), count: len(entries)}
		if t.count >= source.LeastEntries { // Fewer are soon more, after a start.
			n.told[dataCentre] = t
		}
	}
	if t.count >= source.LeastEntries {
		m.Entries, m.EntryCount = t.first, t.count
	}
}

// TellAgent puts into a message to an agent of which entries of its data centre it may read.
func (n *Neighbours) TellAgent(agent, dataCentre string, m *loadreport.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if entries := n.entries(time.Now(), dataCentre); len(entries) >= source.LeastEntries {
		m.Entries, m.EntryCount = source.For(agent, entries), len(entries)
	}
}

// Sender sends messages; see loadreport.Socket.
type Sender interface {
	Send(to netip.AddrPort, m loadreport.Message) error
}

// Answer answers the greeting of a process that takes this one for a seed.
func (n *Neighbours) Answer(socket Sender, from netip.AddrPort, m loadreport.Message) {
	if m.DataCentre == "" {
		return
	}
	var answer loadreport.Message
	if m.Agent {
		n.TellAgent(from.String(), m.DataCentre, &answer)
	} else {
		n.Tell(m.DataCentre, &answer)
	}
	if answer.EntryCount > 0 {
		answer.RunningMS = time.Since(n.started).Milliseconds()
		n.send(socket, from, answer)
	}
}

// GreetSeeds greets the seeds until ctx ends: often while this process is not ready, now and then later. An agent that is ready has no
// need of them, since entries greet it.
func (n *Neighbours) GreetSeeds(ctx context.Context, socket Sender, ready func() bool) {
	m := loadreport.Message{DataCentre: n.dataCentre, Agent: n.agent}
	for wait := seedFirst; ctx.Err() == nil; wait = min(2*wait, seedLast) {
		for _, seed := range n.seeds {
			n.send(socket, seed, m)
		}
		interval := wait
		if ready() {
			interval = seedInterval
		}
		if ready() && n.agent {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (n *Neighbours) send(socket Sender, to netip.AddrPort, m loadreport.Message) {
	if err := socket.Send(to, m); err != nil {
		logevent.Info(n.log, logevent.PeerFailed).Str("peer", to.String()).Err(err).Msg("peer failed")
	}
}

// releaseIfKnown lets lists begin once it is known from whom to read. It is called with the lock held.
func (n *Neighbours) releaseIfKnown() {
	if n.state.Address() != "" || time.Since(n.started) > settleTime {
		n.choice.release()
	}
}

// Tick forgets what was told long ago.
func (n *Neighbours) Tick() { n.step(step.Tick{}) }

func (n *Neighbours) step(ev step.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if told, ok := ev.(source.Told); ok && told.Count >= source.LeastEntries {
		defer n.releaseIfKnown()
	}
	for _, e := range n.state.Reduce(step.Input{Now: time.Now(), Event: ev}) {
		if c, changed := e.(source.Changed); changed {
			logevent.Info(n.log, logevent.BeliefChanged).Str("what", "source").Str("value", c.Address).Int("entries", c.Entries).Msg("belief changed")
			n.choice.Set(c.Address)
		}
	}
}
