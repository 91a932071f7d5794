package core_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/setting"
)

// cluster simulates many processes with a fake network and a fake platform, in virtual time. A seed determines the run.
type cluster struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	queue queue
	seq   int
	procs map[string]*proc
	order []string
	hosts []member.Listed
	// revision and objects are the state of the platform's object API. platformDown makes calls to it fail and
	// platformSilent leaves them without an answer. watchWindow is the number of revisions that a watch can go back.
	// platformCalls counts all calls, including failed ones.
	revision       uint64
	objects        map[string]record.Record
	platformDown   bool
	platformSilent bool
	watchWindow    uint64
	platformCalls  int
	// loss is the probability that the network drops a message. partitioned reports whether two data centres can't
	// reach each other.
	loss        float64
	partitioned func(a, b string) bool
	// bytes and messages count the control messages; bytes is the size of their JSON encoding.
	bytes    int
	messages int
}

// proc is one process. skew is the offset of its clock from the cluster's. A frozen process runs again when it is
// unfrozen; a dead one does not. An isolated process reaches neither peers nor the object API. inForce holds the revision
// in force of each setting. waiting holds the handlers of unanswered calls by call number.
type proc struct {
	state    *core.State
	listed   member.Listed
	skew     time.Duration
	frozen   bool
	dead     bool
	isolated bool
	inForce  map[string]uint64
	readyAt  time.Duration
	waiting  map[uint64]func(step.Effect)
	lastCall uint64
}

// event is a function to run at a virtual time. Events at the same time run in the order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

// queue is a heap of events by time.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	// latency is the time that a message takes in one direction.
	latency     = 3 * time.Millisecond
	callTimeout = 3 * time.Second
)

// newCluster starts perPlace processes in each data centre: one entry, the others agents.
func newCluster(t *testing.T, seed uint64, places []string, perPlace int) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, seed)), procs: map[string]*proc{}, objects: map[string]record.Record{}, watchWindow: 1000}
	for p, place := range places {
		for i := range perPlace {
			role := member.Agent
			if i == 0 {
				role = member.Entry
			}
			c.add(fmt.Sprintf("10.%d.0.%d:7070", p, i), place, role, 1)
		}
	}
	return c
}

// region returns the region of a data centre: its name without the suffix, as west for west-a.
func region(place string) string { return place[:len(place)-2] }

// add lists a process and starts it. It replaces a process with the same address.
func (c *cluster) add(address, place string, role member.Role, incarnation uint64) *proc {
	l := member.Listed{Address: address, Role: role, Place: place, Region: region(place), State: "live"}
	for i, h := range c.hosts {
		if h.Address == address {
			c.hosts = append(c.hosts[:i], c.hosts[i+1:]...)
			break
		}
	}
	c.hosts = append(c.hosts, l)
	return c.start(l, incarnation)
}

// start starts a process, and kills the one that runs at its address.
func (c *cluster) start(l member.Listed, incarnation uint64) *proc {
	var upstreams []rollout.Upstream
	if l.Role == member.Agent {
		upstreams = append(upstreams, rollout.Upstream{Upstream: member.Upstream{Name: "p1", Team: "t", Service: "s0", Kind: setting.Plain}})
	}
	self := core.Self{Host: l.Address, Address: l.Address, Place: l.Place, Region: l.Region, Role: l.Role, Incarnation: incarnation}
	p := &proc{
		state: core.NewState(self, upstreams), listed: l, inForce: map[string]uint64{}, waiting: map[uint64]func(step.Effect){},
		skew: time.Duration(c.rng.Int64N(int64(48 * time.Hour))),
	}
	if previous := c.procs[l.Address]; previous != nil {
		previous.dead = true
	} else {
		c.order = append(c.order, l.Address)
	}
	c.procs[l.Address] = p
	c.step(p, core.Started{})
	return p
}

// remove takes a host off the platform's list. Its process keeps running.
func (c *cluster) remove(address string) {
	for i, h := range c.hosts {
		if h.Address == address {
			c.hosts = append(c.hosts[:i], c.hosts[i+1:]...)
			return
		}
	}
}

// after schedules run at the current virtual time plus d.
func (c *cluster) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, run: run})
}

// epoch is the wall-clock time at which a cluster starts, before skew.
var epoch = time.Unix(1_000_000, 0)

// step passes an event to a process and carries out the effects.
func (c *cluster) step(p *proc, ev step.Event) {
	if p.dead || p.frozen {
		return
	}
	in := step.Input{Now: epoch.Add(c.now + p.skew), Rand: c.rng.Uint64(), Event: ev}
	for _, e := range p.state.Reduce(in) {
		c.perform(p, e)
	}
}

// run advances the virtual time by d, with a tick of every process at each interval.
func (c *cluster) run(d, interval time.Duration) {
	end := c.now + d
	for next := c.now + interval; next <= end; next += interval {
		for len(c.queue) > 0 && c.queue[0].at <= next {
			ev := heap.Pop(&c.queue).(event)
			c.now = ev.at
			ev.run()
		}
		c.now = next
		for _, address := range c.order {
			c.step(c.procs[address], step.Tick{})
		}
	}
}

// runUntil runs until done returns true and returns the virtual time that this took. The test fails if it takes longer
// than limit.
func (c *cluster) runUntil(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	start := c.now
	for !done() {
		require.Less(c.t, c.now-start, limit, what)
		c.run(step.TickInterval, step.TickInterval)
	}
	return c.now - start
}

// reachable returns the process at an address if a message from another process arrives there, else nil.
func (c *cluster) reachable(from *proc, to string) *proc {
	target := c.procs[to]
	if target == nil || target.dead || target.frozen || from.dead || from.frozen || from.isolated || target.isolated {
		return nil
	}
	if c.partitioned != nil && c.partitioned(from.listed.Place, target.listed.Place) || c.rng.Float64() < c.loss {
		return nil
	}
	return target
}

// call simulates a call from p to another process. ask returns the event for the callee, and answer turns the effect
// with the callee's answer into the event for the caller.
func (c *cluster) call(p *proc, to string, message any, ask func(call uint64) step.Event, answer func(step.Effect) step.Event) {
	c.count(message)
	target := c.reachable(p, to)
	if target == nil {
		c.after(callTimeout, func() { c.step(p, member.CallFailed{Address: to}) })
		return
	}
	c.after(latency, func() {
		target.lastCall++
		target.waiting[target.lastCall] = func(e step.Effect) {
			c.count(e)
			if c.reachable(target, p.listed.Address) != p {
				c.after(callTimeout, func() { c.step(p, member.CallFailed{Address: to}) })
				return
			}
			c.after(latency, func() {
				c.step(p, member.CallSucceeded{Address: to})
				c.step(p, answer(e))
			})
		}
		c.step(target, ask(target.lastCall))
	})
}

// count adds a message to the totals.
func (c *cluster) count(message any) {
	raw, err := json.Marshal(message)
	require.NoError(c.t, err)
	c.bytes += len(raw)
	c.messages++
}

// perform carries out an effect of a process.
func (c *cluster) perform(p *proc, e step.Effect) {
	from := p.listed.Address
	switch e := e.(type) {
	case record.Push:
		c.count(e)
		if target := c.reachable(p, e.To); target != nil {
			c.after(latency, func() { c.step(target, record.Received{From: from, Records: e.Records}) })
		}
	case record.Exchange:
		c.call(p, e.To, e,
			func(call uint64) step.Event {
				return record.ExchangeAsked{Call: call, From: from, Common: e.Common, Dynamic: e.Dynamic, Coverage: e.Coverage}
			},
			func(a step.Effect) step.Event {
				got := a.(record.ExchangeAnswer)
				return record.ExchangeAnswered{From: e.To, Same: got.Same, Digest: got.Digest, Coverage: got.Coverage}
			})
	case record.Compare:
		c.call(p, e.To, e,
			func(call uint64) step.Event {
				return record.CompareAsked{Call: call, Buckets: e.Buckets, Versions: e.Versions, Fingerprints: e.Fingerprints}
			},
			func(a step.Effect) step.Event {
				got := a.(record.CompareAnswer)
				return record.Compared{From: e.To, Records: got.Records, Wants: got.Wants, WantFingerprints: got.WantFingerprints, Partial: got.Partial, Coverage: e.Coverage}
			})
	case record.Offer:
		c.call(p, e.To, e,
			func(call uint64) step.Event {
				return record.Offered{Call: call, From: from, Fingerprints: e.Fingerprints}
			},
			func(a step.Effect) step.Event {
				return record.OfferAnswered{From: e.To, Fingerprints: a.(record.OfferAnswer).Wants}
			})
	case record.OfferAnswer:
		c.completeCall(p, e.Call, e)
	case record.ExchangeAnswer:
		c.completeCall(p, e.Call, e)
	case record.CompareAnswer:
		c.completeCall(p, e.Call, e)
	case watch.List, watch.Watch, watch.ReadHosts:
		c.platform(p, e)
	case core.SettingChanged:
		require.GreaterOrEqual(c.t, e.Revision, p.inForce[e.Key], "%s went back to an older revision at %s", e.Key, from)
		p.inForce[e.Key] = e.Revision
	case core.BecameReady:
		p.readyAt = c.now
	case core.BadRecord:
		require.NoError(c.t, e.Err)
	}
}

// completeCall passes the effect that answers a call to the handler of the call.
func (c *cluster) completeCall(p *proc, call uint64, e step.Effect) {
	if done := p.waiting[call]; done != nil {
		delete(p.waiting, call)
		done(e)
	}
}

// platform answers a read from the platform and counts it, also if it fails. Reads of the host list always succeed and
// are not counted.
func (c *cluster) platform(p *proc, e step.Effect) {
	if _, hosts := e.(watch.ReadHosts); hosts {
		hosts := append([]member.Listed(nil), c.hosts...)
		c.after(latency, func() { c.step(p, member.ListRead{Hosts: hosts}) })
		return
	}
	c.platformCalls++
	if c.platformDown || c.platformSilent || p.isolated || c.partitioned != nil && c.partitioned(p.listed.Place, platformPlace) {
		wait := latency
		if c.platformSilent {
			wait = watch.WatchTimeout + 2*time.Second
		}
		c.after(wait, func() { c.step(p, watch.ReadFailed{}) })
		return
	}
	switch e := e.(type) {
	case watch.List:
		list := c.changesAfter(0, true)
		revision := c.revision
		c.after(latency, func() { c.step(p, core.PlatformListed{Revision: revision, Records: list}) })
	case watch.Watch:
		if e.After+c.watchWindow < c.revision {
			c.after(latency, func() { c.step(p, watch.ReadFailed{Compacted: true}) })
			return
		}
		c.poll(p, e, c.now+e.Wait)
	}
}

// platformPlace is the data centre of the platform.
const platformPlace = "west-a"

// poll answers a watch as soon as there are changes, and at the latest at the time until.
func (c *cluster) poll(p *proc, e watch.Watch, until time.Duration) {
	if c.platformDown || c.platformSilent {
		c.after(2*time.Second, func() { c.step(p, watch.ReadFailed{}) })
		return
	}
	list := c.changesAfter(e.After, false)
	if len(list) == 0 && c.now < until {
		c.after(step.TickInterval/2, func() { c.poll(p, e, until) })
		return
	}
	revision := c.revision
	c.after(latency, func() { c.step(p, core.PlatformWatched{Revision: revision, Records: list}) })
}

// changesAfter returns the objects that changed after a revision. A listing omits deleted ones.
func (c *cluster) changesAfter(after uint64, listing bool) []record.Record {
	var list []record.Record
	for _, r := range c.objects {
		if r.Version.Major > after && !(listing && r.Deleted) {
			list = append(list, r)
		}
	}
	return list
}

// changeSetting changes the setting of a service on the platform and returns the new revision.
func (c *cluster) changeSetting(service string) uint64 {
	c.revision++
	value := fmt.Sprintf(`{"kind":"plain","places":{"west-a":1},"change":"%d"}`, c.revision)
	key := setting.Key("t", service)
	c.objects[key] = record.Record{Key: key, Version: record.Version{Major: c.revision}, Value: json.RawMessage(value)}
	return c.revision
}

// deleteSetting deletes the setting of a service on the platform and returns the new revision.
func (c *cluster) deleteSetting(service string) uint64 {
	c.revision++
	key := setting.Key("t", service)
	c.objects[key] = record.Record{Key: key, Version: record.Version{Major: c.revision}, Deleted: true}
	return c.revision
}

// inForceEverywhere reports whether every running, connected process has exactly the platform's settings in force. A
// non-nil among restricts it to a part of the processes.
func (c *cluster) inForceEverywhere(among func(*proc) bool) bool {
	for _, address := range c.order {
		p := c.procs[address]
		if p.dead || p.frozen || p.isolated || among != nil && !among(p) {
			continue
		}
		if !c.upToDate(p) {
			return false
		}
	}
	return true
}

// upToDate reports whether a process has exactly the platform's settings in force.
func (c *cluster) upToDate(p *proc) bool {
	live := 0
	for key, r := range c.objects {
		if r.Deleted {
			continue
		}
		live++
		if p.state.Settings[key].Revision != r.Version.Major {
			return false
		}
	}
	return live == len(p.state.Settings)
}

// allReady reports whether every running, connected process is ready.
func (c *cluster) allReady() bool {
	for _, address := range c.order {
		if p := c.procs[address]; !p.dead && !p.frozen && !p.isolated && !p.state.Ready {
			return false
		}
	}
	return true
}
