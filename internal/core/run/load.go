package run

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/admission"
	"samphireweir.example/samphireweir/internal/core/routing"
	"samphireweir.example/samphireweir/internal/core/step"
)

// FirstByte is the event that the first byte of a run's answer arrived from the upstream.
type FirstByte struct{ ID ID }

// LoadRead is the event that an engine's report of its batch was read. The report lags behind the engine's actual state.
type LoadRead struct {
	Upstream string
	// Running and Waiting count the requests in the engine's batch and in its queue.
	Running int
	Waiting int
	// Age is how old the report was when it was read.
	Age time.Duration
}

// CacheRead is the event that an engine's report of changes of its prefix cache was read. Reports can be late and
// incomplete.
type CacheRead struct {
	Upstream string
	// BootID identifies the engine's instance.
	BootID string
	Events []routing.CacheEvent
}

// Event marks the type as an event.
func (FirstByte) Event() {}

// Event marks the type as an event.
func (LoadRead) Event() {}

// Event marks the type as an event.
func (CacheRead) Event() {}

// maxCacheEvents is how many cache changes of one upstream an agent keeps for entries that have not received them.
const maxCacheEvents = 512

// upstreamLoad is the agent's view of the load of one upstream.
type upstreamLoad struct {
	// limiter counts the runs on the upstream and holds the concurrency limit, which it adapts.
	limiter *admission.Limiter
	// waiting is the engine's queue length as of readAt.
	waiting int
	readAt  time.Time
	// bootID identifies the engine's instance whose cache changes are kept.
	bootID string
	// events are the latest changes of the cache, and seq is the sequence number of the last one.
	events []routing.CacheEvent
	seq    uint64
}

// Load holds the load of each of the agent's upstreams, and the runs that wait for their first byte. From these it limits
// the runs on an upstream and makes the load reports for entries.
type Load struct {
	// upstreams holds the load of each upstream, by name.
	upstreams map[string]*upstreamLoad
	// awaitingFirstByte are the runs that wait for their first byte.
	awaitingFirstByte map[ID]pendingRun
	// leaving is set while the host takes no new work.
	leaving bool
	// Unlimited disables the concurrency limits. It is meant only for the baseline of experiments.
	Unlimited bool
}

// pendingRun is a run that waits for its first byte. It started at the time at.
type pendingRun struct {
	at       time.Time
	upstream string
}

// NewLoad returns a Load without upstreams.
func NewLoad() *Load {
	return &Load{upstreams: map[string]*upstreamLoad{}, awaitingFirstByte: map[ID]pendingRun{}}
}

// upstream returns the load of an upstream and creates it on first use.
func (l *Load) upstream(name string) *upstreamLoad {
	u := l.upstreams[name]
	if u == nil {
		u = &upstreamLoad{limiter: admission.NewLimiter()}
		l.upstreams[name] = u
	}
	return u
}

// hasCapacity reports whether an upstream is below its concurrency limit.
func (l *Load) hasCapacity(name string) bool {
	limiter := l.upstream(name).limiter
	return l.Unlimited || limiter.Running() < limiter.Limit()
}

func (l *Load) runStarted(now time.Time, id ID, name string) {
	l.upstream(name).limiter.Add()
	l.awaitingFirstByte[id] = pendingRun{at: now, upstream: name}
}

func (l *Load) runFinished(id ID, name string) {
	l.upstream(name).limiter.Finish()
	delete(l.awaitingFirstByte, id)
}

func (l *Load) reduce(in step.Input) {
	switch ev := in.Event.(type) {
	case FirstByte:
		start, waits := l.awaitingFirstByte[ev.ID]
		if !waits {
			return
		}
		delete(l.awaitingFirstByte, ev.ID)
		l.upstream(start.upstream).limiter.FirstByte(in.Now, in.Now.Sub(start.at))
	case LoadRead:
		u := l.upstream(ev.Upstream)
		u.waiting = ev.Waiting
		u.readAt = in.Now.Add(-ev.Age)
		u.limiter.QueueReport(in.Now, ev.Running, ev.Waiting)
	case CacheRead:
		l.upstream(ev.Upstream).addCacheEvents(ev)
	}
}

// addCacheEvents appends cache changes. It drops the earlier ones if the engine has restarted.
func (u *upstreamLoad) addCacheEvents(ev CacheRead) {
	if ev.BootID != u.bootID {
		u.bootID = ev.BootID
		u.events = nil
		u.seq = 0
	}
	u.events = append(u.events, ev.Events...)
	u.seq += uint64(len(ev.Events))
	if over := len(u.events) - maxCacheEvents; over > 0 {
		u.events = append([]routing.CacheEvent(nil), u.events[over:]...)
	}
}

// Report returns the load report on an upstream, for an entry that has received the cache changes up to the position seen.
func (l *Load) Report(now time.Time, name string, seen routing.CachePosition) routing.Report {
	u := l.upstream(name)
	r := routing.Report{Running: u.limiter.Running(), Limit: u.limiter.Limit(), Leaving: l.leaving}
	if l.Unlimited {
		r.Limit = admission.MaxLimit
	}
	if !u.readAt.IsZero() {
		r.Waiting = u.waiting
		r.WaitingAgeMS = now.Sub(u.readAt).Milliseconds()
	}
	if u.bootID != "" && seen != (routing.CachePosition{BootID: u.bootID, Seq: u.seq}) {
		r.Cache = u.cacheChanges(seen)
	}
	return r
}

// cacheChanges returns the cache changes after the position mark, at most routing.MaxCacheEvents. Incomplete is set if some
// of them are no longer kept.
func (u *upstreamLoad) cacheChanges(mark routing.CachePosition) *routing.CacheChanges {
	seen := mark.Seq
	if mark.BootID != u.bootID || seen > u.seq {
		seen = 0
	}
	oldest := u.seq - uint64(len(u.events))
	changes := &routing.CacheChanges{BootID: u.bootID, Incomplete: seen < oldest}
	from := 0
	if seen > oldest {
		from = int(seen - oldest)
	}
	to := min(len(u.events), from+routing.MaxCacheEvents)
	changes.Events = u.events[from:to:to]
	changes.Seq = oldest + uint64(to)
	return changes
}
