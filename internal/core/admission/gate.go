package admission

import (
	"math"
	"time"

	"samphireweir.example/samphireweir/internal/code"
)

const (
	// MaxWait is the maximum time that a request waits at an entry for capacity while the service answers requests. After that time, it is
	// better to refuse the request and have its caller send it again.
	MaxWait = 300 * time.Millisecond
	// MaxStalledWait is the maximum time that a request waits while the service is stalled; see the type stall.
	MaxStalledWait = 2 * time.Second
	// MinQueueCapacity is how many requests of a service may wait at an entry, however slow the service is.
	MinQueueCapacity = 16
	// MaxQueueCapacity is the maximum number of requests of a service that wait at an entry.
	MaxQueueCapacity = 512
	// NoWaitPriority is the lowest priority number whose requests are refused at once instead of waiting. Requests with
	// higher numbers, which are lower priorities, are refused at once too.
	NoWaitPriority = 8
	// DefaultPriority is the priority of a request that sets none. 0 is the highest priority, 9 the lowest.
	DefaultPriority = 5
	// MinRetryAfter and MaxRetryAfter bound the Retry-After delay of a refusal.
	MinRetryAfter = time.Second
	MaxRetryAfter = 30 * time.Second
	// StalledRetryAfter is the Retry-After delay while no request of the service completes.
	StalledRetryAfter = 5 * time.Second

	// maxFitScan is the maximum number of waiting requests that are compared to find the one that fits best.
	maxFitScan = 64
	// rateWindow is the minimum time over which arrivals and completions are counted.
	rateWindow = time.Second
)

// Ask describes a request that asks for admission.
type Ask struct {
	ID       string
	Account  string
	Priority int
	// Weight is the share of the client account relative to the others; values below 1 count as 1.
	Weight int
	// Cap is the maximum number of requests of the client account at this entry, in flight or waiting; 0 means no
	// maximum.
	Cap int
	// Deadline is the caller's deadline.
	Deadline time.Time
	// Since is when the request began to wait, if it was admitted and is put back; zero for a new one.
	Since time.Time
}

// Refusal is a request that is not admitted. After is the delay after which the caller should send it again.
type Refusal struct {
	ID    string
	Code  code.Code
	After time.Duration
}

// waiter is a request in the queue, which waits since enqueuedAt.
type waiter struct {
	ask        Ask
	enqueuedAt time.Time
}

// account is the state of one client account at a gate.
type account struct {
	weight   int
	inFlight int
	waiting  []waiter
	// refusals counts the requests refused in the current window. They are part of the account's demand.
	refusals int
}

// weightedUse returns the account's requests in flight plus extra, divided by its weight.
func (acct *account) weightedUse(extra int) float64 {
	return float64(acct.inFlight+extra) / float64(max(1, acct.weight))
}

// Gate admits the requests of one service at one entry.
type Gate struct {
	accounts map[string]*account
	// admitted maps the ID of each admitted request to its client account.
	admitted map[string]string
	waiting  int

	windowStart time.Time
	arrivals    int
	completions int
	// arrivalRate and completionRate are the rates of the last window, in requests per second.
	arrivalRate    float64
	completionRate float64
	// stall shows whether the service answers requests.
	stall stall
}

// NewGate returns a gate without requests.
func NewGate() *Gate { return &Gate{accounts: map[string]*account{}, admitted: map[string]string{}} }

// Admit decides whether a new request is admitted, waits or is refused. hasCapacity reports whether an upstream can take
// a request now. The refused request, if any, is the new one or a waiting one that was evicted for it. A new
// request that is neither admitted nor refused waits.
func (g *Gate) Admit(now time.Time, ask Ask, hasCapacity bool) (admitted bool, refused []Refusal) {
	g.advanceWindow(now)
	g.arrivals++
	acct := g.account(ask)
	if ask.Cap > 0 && acct.inFlight+len(acct.waiting) >= ask.Cap {
		acct.refusals++
		return false, []Refusal{g.refusal(ask.ID, code.ClientOverShare)}
	}
	if hasCapacity && g.waiting == 0 {
		g.recordAdmission(ask)
		return true, nil
	}
	return false, g.enqueue(now, ask, acct)
}

// enqueue puts a request into the queue. It refuses a request that must not wait. If the queue is then over its capacity,
// it refuses the request that evict chooses, which may be the new one.
func (g *Gate) enqueue(now time.Time, ask Ask, acct *account) []Refusal {
	if ask.Priority >= NoWaitPriority {
		acct.refusals++
		return []Refusal{g.refusal(ask.ID, code.Overloaded)}
	}
	acct.insert(waiter{ask: ask, enqueuedAt: now})
	g.waiting++
	if g.waiting <= g.queueCapacity(now) {
		return nil
	}
	return []Refusal{g.evict()}
}

// insert adds a request to the account's queue, which is ordered by priority and then by arrival.
func (acct *account) insert(w waiter) {
	at := len(acct.waiting)
	for at > 0 && acct.waiting[at-1].ask.Priority > w.ask.Priority {
		at--
	}
	acct.waiting = append(acct.waiting, waiter{})
	copy(acct.waiting[at+1:], acct.waiting[at:])
	acct.waiting[at] = w
}

// queueCapacity returns how many requests may wait: as many as complete within MaxWait or, while no completion rate is
// known, as many as are in flight. While the service is stalled or about to be, it is as many as usually complete within MaxStalledWait.
func (g *Gate) queueCapacity(now time.Time) int {
	n := int(g.completionRate * MaxWait.Seconds())
	if g.completionRate == 0 {
		n = len(g.admitted)
	}
	if g.stall.begins(now) || g.stall.excuses(now) {
		n = max(n, int(g.stall.usualRate*MaxStalledWait.Seconds()))
	}
	return min(MaxQueueCapacity, max(MinQueueCapacity, n))
}

// evict refuses the last waiting request of the account with the highest demand relative to its weight.
func (g *Gate) evict() Refusal {
	var largest *account
	var name string
	for n, acct := range g.accounts {
		if len(acct.waiting) == 0 {
			continue
		}
		if largest == nil || demandsMore(acct, n, largest, name) {
			largest, name = acct, n
		}
	}
	last := largest.waiting[len(largest.waiting)-1]
	largest.waiting = largest.waiting[:len(largest.waiting)-1]
	largest.refusals++
	g.waiting--
	if g.overShare(largest) {
		return g.refusal(last.ask.ID, code.ClientOverShare)
	}
	return g.refusal(last.ask.ID, code.Overloaded)
}

// demandsMore reports whether acct demands more than other, relative to their weights. It breaks ties by name, so that
// replaying a run gives the same result.
func demandsMore(acct *account, name string, other *account, otherName string) bool {
	a, b := acct.weightedUse(len(acct.waiting)), other.weightedUse(len(other.waiting))
	if a != b {
		return a > b
	}
	return name < otherName
}

// overShare reports whether an account demands more than its share by weight. It is false while no other account has
// requests.
func (g *Gate) overShare(acct *account) bool {
	total, weights, active := 0, 0, 0
	for _, other := range g.accounts {
		n := other.inFlight + len(other.waiting)
		if n == 0 {
			continue
		}
		active++
		total += n
		weights += max(1, other.weight)
	}
	share := float64(total) * float64(max(1, acct.weight)) / float64(max(1, weights))
	return active > 1 && float64(acct.inFlight+len(acct.waiting)) > share
}

// Next admits one waiting request and returns its ID; ok is false if none waits. It takes the account with the fewest
// requests in flight relative to its weight. Among that account's requests of the highest priority, it takes the one
// for which fits returns the highest value. A request whose prefix is in the upstream's cache costs it a fraction of the
// work, which matters when all upstreams are busy.
func (g *Gate) Next(fits func(id string) int) (id string, ok bool) {
	var best *account
	var name string
	for n, acct := range g.accounts {
		if len(acct.waiting) == 0 {
			continue
		}
		if best == nil || acct.weightedUse(0) < best.weightedUse(0) || (acct.weightedUse(0) == best.weightedUse(0) && n < name) {
			best, name = acct, n
		}
	}
	if best == nil {
		return "", false
	}
	at := best.bestFitting(fits)
	w := best.waiting[at]
	best.waiting = append(best.waiting[:at], best.waiting[at+1:]...)
	g.waiting--
	g.recordAdmission(w.ask)
	return w.ask.ID, true
}

func (acct *account) bestFitting(fits func(id string) int) int {
	at, best := 0, -1
	for i, w := range acct.waiting {
		if i == maxFitScan || w.ask.Priority != acct.waiting[0].ask.Priority {
			break
		}
		if fit := fits(w.ask.ID); fit > best {
			at, best = i, fit
		}
	}
	return at
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int { return g.waiting }

// expired reports whether a request has waited for too long: until its deadline, for MaxWait, or for MaxStalledWait if the service is stalled.
func (g *Gate) expired(now time.Time, w waiter) bool {
	waited := now.Sub(w.enqueuedAt)
	if !now.Before(w.ask.Deadline) || waited >= MaxStalledWait {
		return true
	}
	return waited >= MaxWait && !g.stall.excuses(now)
}

// Answered records that a request of the service was answered, or that its answer has started.
func (g *Gate) Answered(now time.Time) { g.stall.answered(now) }

// Sweep refuses the requests that have waited for too long.
func (g *Gate) Sweep(now time.Time) []Refusal {
	g.advanceWindow(now)
	var refused []Refusal
	if g.waiting == 0 {
		return nil
	}
	for _, name := range sortedNames(g.accounts) {
		acct := g.accounts[name]
		kept := acct.waiting[:0]
		for _, w := range acct.waiting {
			if !g.expired(now, w) {
				kept = append(kept, w)
				continue
			}
			g.waiting--
			acct.refusals++
			refused = append(refused, g.refusal(w.ask.ID, code.Overloaded))
		}
		acct.waiting = kept
	}
	return refused
}

// Remove removes a request that is in flight or waiting. answered reports whether it was answered.
func (g *Gate) Remove(id string, answered bool) {
	if name, ok := g.admitted[id]; ok {
		delete(g.admitted, id)
		g.accounts[name].inFlight--
		if answered {
			g.completions++
		}
		return
	}
	for _, acct := range g.accounts {
		for i, w := range acct.waiting {
			if w.ask.ID == id {
				acct.waiting = append(acct.waiting[:i], acct.waiting[i+1:]...)
				g.waiting--
				return
			}
		}
	}
}

// Requeue moves a request that was admitted but found no upstream with free capacity to the front of its account's queue.
func (g *Gate) Requeue(now time.Time, ask Ask) {
	g.Remove(ask.ID, false)
	if ask.Since.IsZero() {
		ask.Since = now
	}
	acct := g.account(ask)
	acct.waiting = append([]waiter{{ask: ask, enqueuedAt: ask.Since}}, acct.waiting...)
	g.waiting++
}

// Demand returns the number of requests of a client account that are in flight, wait, or were refused in the current
// window.
func (g *Gate) Demand(name string) int {
	acct := g.accounts[name]
	if acct == nil {
		return 0
	}
	return acct.inFlight + len(acct.waiting) + acct.refusals
}

// RetryAfter returns the Retry-After delay of a refusal: the time in which the arrivals of one window complete. At the
// rates of the last window, that is arrivalRate/completionRate windows.
func (g *Gate) RetryAfter() time.Duration {
	if g.arrivalRate <= g.completionRate {
		return MinRetryAfter
	}
	if g.completionRate <= 0 {
		return StalledRetryAfter
	}
	after := time.Duration(math.Ceil(g.arrivalRate/g.completionRate)) * rateWindow
	return min(MaxRetryAfter, max(MinRetryAfter, after))
}

func (g *Gate) refusal(id string, c code.Code) Refusal {
	return Refusal{ID: id, Code: c, After: g.RetryAfter()}
}

func (g *Gate) recordAdmission(ask Ask) {
	g.account(ask).inFlight++
	g.admitted[ask.ID] = ask.Account
}

func (g *Gate) account(ask Ask) *account {
	acct := g.accounts[ask.Account]
	if acct == nil {
		acct = &account{}
		g.accounts[ask.Account] = acct
	}
	acct.weight = max(1, ask.Weight)
	return acct
}

// advanceWindow starts a new window once the current one has lasted for rateWindow. It computes the rates of the old
// window and drops idle accounts.
func (g *Gate) advanceWindow(now time.Time) {
	elapsed := now.Sub(g.windowStart)
	if elapsed < rateWindow {
		return
	}
	if !g.windowStart.IsZero() {
		g.arrivalRate = float64(g.arrivals) / elapsed.Seconds()
		g.completionRate = float64(g.completions) / elapsed.Seconds()
		g.stall.completed(g.windowStart, now, g.completionRate)
	}
	g.windowStart, g.arrivals, g.completions = now, 0, 0
	for name, acct := range g.accounts {
		acct.refusals = 0
		if acct.inFlight == 0 && len(acct.waiting) == 0 {
			delete(g.accounts, name)
		}
	}
}
