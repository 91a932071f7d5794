package engine

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// maxKVCaches is the number of requests whose KV caches an engine keeps.
const maxKVCaches = 1024

// Config configures the engines of a process.
type Config struct {
	// Step is the duration of a step, which generates one token for each running request.
	Step time.Duration
	// Batch is the maximum number of requests that run at once.
	Batch int
	// PrefillUSPerChar is the duration of the prefill per character of a prompt, in microseconds.
	PrefillUSPerChar int
	// CacheEntries is the size of the prefix cache, in entries.
	CacheEntries int
	// LoadLag is the lag with which GET /state reports the load.
	LoadLag time.Duration
	// EventLag is the lag with which events are reported. EventGap is the fraction of events that is lost, 0 to 1.
	EventLag time.Duration
	EventGap float64
	// IgnoreFencing accepts orders with stale fencing numbers.
	IgnoreFencing bool
}

// request is one generate call. The fields from start on are guarded by the engine's mutex until out is closed.
type request struct {
	id, attempt, idempotencyKey string
	prompt                      string
	maxTokens                   int
	priority                    int
	// out receives the tokens. It is buffered for all of them, so that a send never blocks, and closed at the end of the run.
	out chan TokenEvent

	start       time.Time
	digestStart string
	genStart    int64
	digestEnd   string
	genEnd      int64
	offset      int
	next        int
	outcome     string
}

// engine is one simulated engine.
type engine struct {
	name    string
	config  Config
	faults  *serve.Faults[Faults]
	process *serve.Process
	log     *serve.Log[any]
	// wake signals the step loop that there may be work.
	wake chan struct{}

	mu         sync.Mutex
	digest     string
	generation int64
	fencing    int64
	role       string
	// loads counts the orders to load, and crashes. A load continues only while its number is equal to loads.
	loads    int64
	loading  bool
	running  []*request
	waiting  []*request
	prefixes *lru
	kv       *lru
	events   *eventLog
	history  loadHistory
	stats    Stats
}

func newEngine(name string, config Config, log *serve.Log[any]) *engine {
	e := &engine{
		name:    name,
		config:  config,
		faults:  serve.NewFaults(Faults{SlowFactor: 1, RestartMS: defaultRestartMS}),
		process: serve.NewProcess(),
		log:     log,
		wake:    make(chan struct{}, 1),
		history: loadHistory{lag: config.LoadLag},
	}
	e.resetVolatileState()
	e.faults.OnMerge = e.faultsChanged
	return e
}

// resetVolatileState resets the state that a crash loses. The fencing number is kept, as if it were stored on disk.
func (e *engine) resetVolatileState() {
	e.digest = ""
	e.generation = 0
	e.role = roleBoth
	e.loading = false
	e.prefixes = newLRU(e.config.CacheEntries)
	e.kv = newLRU(maxKVCaches)
	e.events = newEventLog(e.config.EventLag, e.config.EventGap, seedOf(e.name))
}

func seedOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

func (e *engine) faultsChanged() {
	serve.FreezeFor(e.faults, func(f *Faults) (freeze *bool, silentMS *int64) { return &f.Freeze, &f.SilentMS })
	if e.faults.Get().Crash {
		e.faults.Set(func(f *Faults) { f.Crash = false })
		e.mu.Lock()
		e.crash()
		e.mu.Unlock()
	}
	e.wakeUp()
}

func (e *engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// crash ends all requests and drops the weights. The caller holds the mutex.
func (e *engine) crash() {
	e.process.Crash(serve.Milliseconds(e.faults.Get().RestartMS))
	e.stats.Crashes++
	e.loads++
	for _, r := range e.running {
		e.end(r, serve.OutcomeCrashed)
	}
	e.running = nil
	for _, r := range e.waiting {
		e.end(r, serve.OutcomeCrashed)
	}
	e.waiting = nil
	e.resetVolatileState()
	e.recordLoad()
}

// end closes a request, and logs it if it ran. The caller holds the mutex and removes the request from its list.
func (e *engine) end(r *request, outcome string) {
	r.outcome = outcome
	r.digestEnd = e.digest
	r.genEnd = e.generation
	close(r.out)
	if r.start.IsZero() {
		return
	}
	e.stats.Runs++
	e.log.Add(RunEntry{
		Engine:         e.name,
		Kind:           "run",
		RequestID:      r.id,
		Attempt:        r.attempt,
		IdempotencyKey: r.idempotencyKey,
		StartMS:        r.start.UnixMilli(),
		EndMS:          time.Now().UnixMilli(),
		Outcome:        outcome,
		Tokens:         r.next - r.offset,
		DigestStart:    r.digestStart,
		DigestEnd:      r.digestEnd,
		Generation:     r.genEnd,
	})
}

// unavailableReason returns why the engine can't run requests, or "" if it can. The caller holds the mutex.
func (e *engine) unavailableReason() string {
	if e.loading {
		return "loading"
	}
	if e.digest == "" {
		return "no weights"
	}
	return ""
}

// submit inserts a request into the queue by priority. It returns the reason if the engine can't run requests, or "".
func (e *engine) submit(r *request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if reason := e.unavailableReason(); reason != "" {
		return reason
	}
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *request) int { return cmp.Compare(a.priority, b.priority) })
	e.recordLoad()
	e.wakeUp()
	return ""
}

// cancel ends the requests for which match returns true, and reports whether there were any.
func (e *engine) cancel(match func(*request) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	found := false
	cancelled := func(r *request) bool {
		if !match(r) {
			return false
		}
		e.end(r, serve.OutcomeCancelled)
		found = true
		return true
	}
	e.running = slices.DeleteFunc(e.running, cancelled)
	e.waiting = slices.DeleteFunc(e.waiting, cancelled)
	e.recordLoad()
	return found
}

// recordLoad records the current load. The caller holds the mutex.
func (e *engine) recordLoad() {
	load := Load{Running: len(e.running), Waiting: len(e.waiting)}
	for _, r := range e.running {
		load.KVUsed += len(r.prompt)/charactersPerToken + r.next
	}
	e.history.add(load, time.Now())
}

// snapshot returns the state for GET /state.
func (e *engine) snapshot() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return State{
		BootID:        e.process.BootID(),
		Digest:        e.digest,
		Generation:    e.generation,
		FencingNumber: e.fencing,
		Loading:       e.loading,
		Role:          e.role,
		Load:          e.history.reportedAt(time.Now()),
	}
}

// counts returns the counters of GET /admin/stats.
func (e *engine) counts() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Running = len(e.running)
	stats.Waiting = len(e.waiting)
	return stats
}

// acceptFencing reports whether an order with this fencing number is accepted, and if so records the number. The caller holds the mutex.
func (e *engine) acceptFencing(fencing int64) bool {
	if fencing < e.fencing && !e.config.IgnoreFencing {
		return false
	}
	e.fencing = fencing
	return true
}

// loop executes steps until ctx ends.
func (e *engine) loop(ctx context.Context) {
	for e.waitForWork(ctx) {
		pause := e.beginStep()
		if !serve.Sleep(ctx, pause) {
			return
		}
		if err := e.waitWhileFrozen(ctx); err != nil {
			return
		}
		e.endStep()
	}
}

func (e *engine) waitWhileFrozen(ctx context.Context) error {
	return e.faults.WaitWhile(ctx, func(f Faults) bool { return f.Freeze })
}

// waitForWork waits until there is work for a step. It returns false when ctx ends.
func (e *engine) waitForWork(ctx context.Context) bool {
	for !e.hasWork() {
		select {
		case <-e.wake:
		case <-ctx.Done():
			return false
		}
	}
	return e.waitWhileFrozen(ctx) == nil
}

func (e *engine) hasWork() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unavailableReason() == "" && len(e.running)+len(e.waiting) > 0
}

// beginStep fills the batch from the queue and returns the duration of the step.
func (e *engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	cost := e.config.Step
	for e.unavailableReason() == "" && len(e.waiting) > 0 && len(e.running) < e.config.Batch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, r)
		cost += e.startRequest(r)
	}
	e.recordLoad()
	return time.Duration(float64(cost) * e.faults.Get().SlowFactor)
}

// startRequest starts a request and returns the duration of its prefill. It may crash the engine. The caller holds the mutex.
func (e *engine) startRequest(r *request) time.Duration {
	r.start = time.Now()
	r.digestStart = e.digest
	r.genStart = e.generation
	if crashText := e.faults.Get().CrashOn; crashText != "" && strings.Contains(r.prompt, crashText) {
		e.crash()
		return 0
	}
	return e.prefill(r)
}

// prefill returns the duration of the prefill, and caches the prompt's prefix and KV cache. The duration is 0 if the prefix or the KV cache
// was available already. The caller holds the mutex.
func (e *engine) prefill(r *request) time.Duration {
	kv := kvBytes(e.digest, r.prompt)
	imported, _ := e.kv.get(r.id)
	e.kv.put(r.id, kv)
	if e.usePrefix(PrefixHash(r.prompt)) || string(imported) == string(kv) {
		return 0
	}
	return time.Duration(len(r.prompt)*e.config.PrefillUSPerChar) * time.Microsecond
}

// usePrefix reports whether a prefix is in the cache, and adds it if it isn't.
func (e *engine) usePrefix(prefix string) bool {
	if _, ok := e.prefixes.get(prefix); ok {
		e.stats.PrefixHits++
		return true
	}
	e.stats.PrefixMisses++
	now := time.Now()
	e.events.add(eventStored, prefix, now)
	if evicted, full := e.prefixes.put(prefix, nil); full {
		e.events.add(eventEvicted, evicted, now)
	}
	return false
}

// endStep generates a token for each running request. It generates none if a load or a crash occurred during the step.
func (e *engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.unavailableReason() != "" {
		return
	}
	e.running = slices.DeleteFunc(e.running, e.makeToken)
	e.recordLoad()
}

// makeToken generates the next token of a request and reports whether it was the last. The caller holds the mutex.
func (e *engine) makeToken(r *request) bool {
	if r.next < r.maxTokens {
		r.out <- TokenEvent{Index: r.next, Token: Token(e.digest, r.prompt, r.next)}
		r.next++
		e.stats.Tokens++
	}
	if r.next < r.maxTokens {
		return false
	}
	e.end(r, serve.OutcomeDone)
	return true
}
