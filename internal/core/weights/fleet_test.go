package weights_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	chunkBytes = 1000
	// chunkTime is how long an idle link takes for a chunk. The origin's link is twice as fast.
	chunkTime    = 20 * time.Millisecond
	networkDelay = time.Millisecond
	callTimeout  = 3 * time.Second
	hostListLag  = 2 * time.Second
)

// fleet runs the reducers of several hosts over a simulated network and origin, on a simulated
// clock.
type fleet struct {
	now        time.Time
	random     *rand.Rand
	queue      timers
	timerCount int
	hosts      []*fakeHost
	byName     map[string]*fakeHost
	policy     setting.Policy
	target     *version
	// later are versions that are wanted beside target.
	later     []*version
	callCount uint64

	originFree time.Time
	// shared is an origin that shares its link among concurrent transfers; nil for one that sends
	// one chunk at a time.
	shared        *sharedOrigin
	originFetches int
	transfers     map[weights.Tier]int
	// The fault hooks; nil means no fault.
	corrupt     func(from weights.Source, chunk int) bool
	originFault func(chunk int) (fails bool, why weights.Reason, retry time.Duration)
	partitioned func(a, b *fakeHost) bool
	stalled     func(h *fakeHost) bool
	// socketsKeep is set if what is sent to a frozen host waits there, as in the sockets of a suspended process. Otherwise it is lost.
	socketsKeep bool
	// listLacks reports whether the host list of h lacks another host.
	listLacks func(h, other *fakeHost) bool
}

type version struct {
	digest   string
	manifest *manifest.Manifest
}

type fakeHost struct {
	name, place, region    string
	state                  *weights.State
	instance               int
	dead, frozen, unlisted bool
	pendingEvents          []func()
	// chunks are the digests of the verified chunks in memory.
	chunks        map[string]bool
	fetches       map[uint64]bool
	decisions     map[uint64]func(start bool)
	activeUploads int
	// completed are the digests of the completed versions, in order.
	completed []string
	share     float64
}

type timer struct {
	at    time.Time
	order int
	run   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// newVersion returns a version of n chunks. The first shared chunks are the same in all versions.
func newVersion(name string, n, shared int) *version {
	m := &manifest.Manifest{Size: int64(n * chunkBytes), ChunkSize: chunkBytes}
	for i := range n {
		of := name
		if i < shared {
			of = "all"
		}
		m.Chunks = append(m.Chunks, manifest.Chunk{SHA256: manifest.Digest([]byte(fmt.Sprint(of, i))), Size: chunkBytes})
	}
	return &version{digest: manifest.Digest([]byte(name)), manifest: m}
}

// newFleet creates hosts in two regions with two data centres each.
func newFleet(seed uint64, n int, policy setting.Policy) *fleet {
	f := &fleet{
		now: time.Unix(0, 0), random: rand.New(rand.NewPCG(seed, 0)), byName: map[string]*fakeHost{}, policy: policy,
		transfers: map[weights.Tier]int{},
	}
	for i := range n {
		h := &fakeHost{name: fmt.Sprintf("host-%d", i), place: fmt.Sprintf("place-%d", i%4), region: fmt.Sprintf("region-%d", i%2)}
		f.hosts = append(f.hosts, h)
		f.byName[h.name] = h
		f.startInstance(h)
	}
	return f
}

// startInstance starts a host's process with empty memory.
func (f *fleet) startInstance(h *fakeHost) {
	h.instance++
	h.state = weights.NewState(weights.Peer{Address: h.name, Place: h.place, Region: h.region})
	h.chunks, h.fetches, h.decisions = map[string]bool{}, map[uint64]bool{}, map[uint64]func(bool){}
	h.activeUploads, h.pendingEvents, h.completed, h.share = 0, nil, nil, 1
	f.startTicks(h, h.instance)
}

func (f *fleet) startTicks(h *fakeHost, instance int) {
	f.after(time.Duration(f.random.Int64N(int64(step.TickInterval))), func() { f.tickEvery(h, instance) })
}

func (f *fleet) tickEvery(h *fakeHost, instance int) {
	if h.dead || h.instance != instance {
		return
	}
	f.step(h, step.Tick{})
	f.after(step.TickInterval, func() { f.tickEvery(h, instance) })
}

func (f *fleet) after(d time.Duration, run func()) {
	f.timerCount++
	heap.Push(&f.queue, timer{f.now.Add(d), f.timerCount, run})
}

// run advances the clock until the condition holds, at most by limit. It reports whether the
// condition holds.
func (f *fleet) run(limit time.Duration, until func() bool) bool {
	end := f.now.Add(limit)
	for len(f.queue) > 0 {
		t := heap.Pop(&f.queue).(timer)
		if t.at.After(end) {
			heap.Push(&f.queue, t)
			f.now = end
			return until()
		}
		f.now = t.at
		t.run()
		if until() {
			return true
		}
	}
	return until()
}

// want sets the version that all hosts must have. It reaches the hosts within 200 ms.
func (f *fleet) want(v *version) {
	f.target = v
	for _, h := range f.hosts {
		f.after(time.Duration(f.random.Int64N(int64(200*time.Millisecond))), func() { f.setWants(h) })
	}
}

func (f *fleet) setWants(h *fakeHost) {
	if h.dead || f.target == nil {
		return
	}
	f.carryOut(h, h.state.SetWants(f.input(nil), []weights.Want{f.wantOf(h, f.target)}))
}

func (f *fleet) wantOf(h *fakeHost, v *version) weights.Want {
	w := weights.Want{Ref: weights.Ref{Model: "m", Version: v.digest}, Digest: v.digest, Policy: f.policy}
	for _, p := range f.hosts {
		if p != h && !p.unlisted && (f.listLacks == nil || !f.listLacks(h, p)) {
			w.Peers = append(w.Peers, weights.Peer{Address: p.name, Place: p.place, Region: p.region})
		}
	}
	return w
}

// versionWith returns the version with the digest; nil if no host wants it.
func (f *fleet) versionWith(digest string) *version {
	for _, v := range append([]*version{f.target}, f.later...) {
		if v != nil && v.digest == digest {
			return v
		}
	}
	return nil
}

func (f *fleet) input(ev step.Event) step.Input {
	return step.Input{Now: f.now, Rand: f.random.Uint64(), Event: ev}
}

// step passes an event to a host. A frozen host receives it when it thaws.
func (f *fleet) step(h *fakeHost, ev step.Event) {
	if h.dead {
		return
	}
	if h.frozen {
		h.pendingEvents = append(h.pendingEvents, func() { f.step(h, ev) })
		return
	}
	f.carryOut(h, h.state.Reduce(f.input(ev)))
}

func (f *fleet) thaw(h *fakeHost) {
	h.frozen = false
	waiting := h.pendingEvents
	h.pendingEvents = nil
	for _, run := range waiting {
		run()
	}
}

// kill stops a host. The host list drops it after hostListLag.
func (f *fleet) kill(h *fakeHost) {
	h.dead = true
	f.after(hostListLag, func() {
		h.unlisted = true
		for _, other := range f.hosts {
			f.setWants(other)
		}
	})
}

func (f *fleet) restart(h *fakeHost) {
	h.dead = false
	f.startInstance(h)
	f.after(50*time.Millisecond, func() { f.setWants(h) })
}

func (f *fleet) connected(a, b *fakeHost) bool { return f.partitioned == nil || !f.partitioned(a, b) }

// done reports whether every live host has the complete target version.
func (f *fleet) done() bool {
	for _, h := range f.hosts {
		if !h.dead && !f.holdsAll(h) {
			return false
		}
	}
	return true
}

func (f *fleet) holdsAll(h *fakeHost) bool {
	if !h.state.Complete(f.target.digest) {
		return false
	}
	for _, c := range f.target.manifest.Chunks {
		if !h.chunks[c.SHA256] {
			return false
		}
	}
	return true
}

// originCopies returns the number of copies of the target that were fetched from the origin.
func (f *fleet) originCopies() float64 {
	return float64(f.originFetches) / float64(len(f.target.manifest.Chunks))
}
