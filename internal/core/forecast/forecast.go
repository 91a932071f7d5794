// Package forecast predicts when the upstreams of one service have room for a request of one entry, and decides from that whether the
// request waits or is refused, and when its caller is to return. The package is pure: it reads no clock and draws no random number.
//
// There are two predictions. RoomByRate follows from the rate at which capacity became free in the last second; it applies while
// engines run. RoomAt applies while engines are about to return: it simulates how they fill up, from the agents' reports on when each
// one will accept requests. Neither needs the state of another entry, and both are rebuilt from load reports within a second.
package forecast

import (
	"math"
	"sort"
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/schedule"
	"samphireweir.example/samphireweir/internal/core/step"
)

const (
	// maxOverdue is how long after its predicted time an engine that still does not accept requests is expected at any moment. After
	// that its return is unknown. Reports are up to 0.9 s late, and one or two may be lost.
	maxOverdue = 2 * time.Second
	// stepLength and horizon set the resolution and the range of the simulation. The resolution is one tick of the entry. No caller
	// waits longer than the horizon.
	stepLength = 20 * time.Millisecond
	horizon    = 6 * time.Second
	steps      = int(horizon / stepLength)
	// defaultRunTime is the assumed time that an engine takes for a request until some were measured.
	defaultRunTime = 900 * time.Millisecond
	// runTimeWeight is the weight of the newest measurement in the moving average of run times.
	runTimeWeight = 0.1
)

// Engine is the part of one engine's capacity that this entry may use.
type Engine struct {
	// ReadyAt is when the engine is predicted to accept requests; zero if it accepts them now.
	ReadyAt time.Time
	// Slots is the number of its slots, and Occupied how many of these are taken now.
	Slots, Occupied float64
	// PerSecond is how many prompts it reads per second. A new engine takes no more requests than that, whatever its free slots.
	PerSecond float64
}

// Capacity is the expected capacity of one service at one entry. The zero value knows nothing.
type Capacity struct {
	// freed is the work that was completed, in seconds, completed the number of its requests, and sent that of the requests sent.
	freed, completed, sent meter
	arrivals               [schedule.Priorities]meter
	runTime                time.Duration
	// rates are the results of rateFor at ratesAt.
	rates   [schedule.Priorities]float64
	ratesAt time.Time
	// perRequest is the mean work of a completed request, in seconds, as of ratesAt.
	perRequest float64
	engines    []Engine
	// updatedAt is when engines was set, and predicted the number of engines in it whose return is predicted.
	updatedAt time.Time
	predicted int
	curves    [schedule.Priorities][2]*curve
}

// Observe records that work worth this much engine time was completed, so that capacity for as much more is free.
func (c *Capacity) Observe(now time.Time, work time.Duration) {
	c.freed.add(now, work.Seconds())
	c.completed.add(now, 1)
}

// Completed records how long an engine took for a request.
func (c *Capacity) Completed(took time.Duration) {
	if c.runTime == 0 {
		c.runTime = took
	}
	c.runTime += time.Duration(runTimeWeight * float64(took-c.runTime))
}

// RunTime returns the usual time that an engine takes for a request.
func (c *Capacity) RunTime() time.Duration {
	if c.runTime <= 0 {
		return defaultRunTime
	}
	return c.runTime
}

// Arrived records the arrival of a first try.
func (c *Capacity) Arrived(now time.Time, priority int) {
	c.arrivals[catalog.ClampPriority(priority)].add(now, 1)
}

// FirstTries returns how many first tries of this priority or a more urgent one arrive per second.
func (c *Capacity) FirstTries(now time.Time, priority int) float64 {
	var sum float64
	for i := range c.arrivals[:catalog.ClampPriority(priority)+1] {
		sum += c.arrivals[i].rate(now, keptBuckets)
	}
	return sum
}

// Update replaces what is known about the engines. A prediction that is overdue by maxOverdue is dropped. The caller must not change
// the list before the next call.
func (c *Capacity) Update(now time.Time, engines []Engine) {
	c.engines, c.updatedAt, c.predicted = engines[:0], now, 0
	for _, e := range engines {
		if !e.ReadyAt.IsZero() {
			if now.Sub(e.ReadyAt) > maxOverdue {
				continue
			}
			c.predicted++
		}
		c.engines = append(c.engines, e)
	}
	c.curves = [schedule.Priorities][2]*curve{}
}

// Predicted returns the number of engines whose return is predicted.
func (c *Capacity) Predicted() int { return c.predicted }

// FirstReady returns the earliest time at which an engine accepts requests; false if it is unknown.
func (c *Capacity) FirstReady(now time.Time) (time.Time, bool) {
	var first time.Time
	for i, e := range c.engines {
		if at := step.Later(e.ReadyAt, now); i == 0 || at.Before(first) {
			first = at
		}
	}
	return first, len(c.engines) > 0
}

// Kind is the kind of a request for RoomAt.
type Kind int

// The kinds of requests.
const (
	// FirstTry is a request that is served before the other kinds.
	FirstTry Kind = iota
	// Candidate is a request that may begin to wait behind first tries.
	Candidate
	// Waiting is a request that waits behind first tries already.
	Waiting
)

// candidateFactor and waitingFactor are by how much more or fewer first tries are assumed than were measured, for requests of the
// kinds Candidate and Waiting. The rate of first tries varies. Without the difference, a small rise ends most waits with a refusal.
const candidateFactor, waitingFactor = 1.1, 0.9

// RoomAt returns when the engines have room for a request of a priority behind a number of others of its kind, beside the first tries
// that are expected to arrive. The result is false if nothing is known of the engines, and a time beyond every wait if they have no
// room within the horizon.
func (c *Capacity) RoomAt(kind Kind, priority, ahead int) (time.Time, bool) {
	if len(c.engines) == 0 {
		return time.Time{}, false
	}
	priority = catalog.ClampPriority(priority)
	firstTries, at := c.FirstTries(c.updatedAt, priority)*candidateFactor, &c.curves[priority][0]
	if kind == Waiting {
		firstTries, at = c.FirstTries(c.updatedAt, priority)*waitingFactor, &c.curves[priority][1]
	}
	if *at == nil {
		*at = simulate(c.updatedAt, c.engines, firstTries, c.RunTime())
	}
	served := &(*at).waiting
	if kind == FirstTry {
		served = &(*at).all
	}
	// The shares of several engines may make up one slot, so half a slot counts as one.
	n := sort.Search(steps, func(i int) bool { return served[i] >= float64(ahead)+0.5 })
	if n == steps {
		return c.updatedAt.Add(2 * horizon), true
	}
	return c.updatedAt.Add(time.Duration(n) * stepLength), true
}

// RoomByRate returns when work of a priority that waits behind this much other work gets room: at the rate at which capacity became free
// in the last second, less what more urgent first tries take of it, but at least schedule.PriorityFloor. The result is false if nothing became
// free or less than a second was observed.
func (c *Capacity) RoomByRate(now time.Time, priority int, ahead time.Duration) (time.Time, bool) {
	rate := c.rateFor(now, catalog.ClampPriority(priority))
	if rate <= 0 {
		return time.Time{}, false
	}
	return now.Add(time.Duration(math.Min(ahead.Seconds()/rate, horizon.Seconds()*2) * float64(time.Second))), true
}

// InReachByRate reports whether work that waits behind this much other work may well get room within a time: completions are random, so
// that some more of them than expected are counted on (reachDeviations). Without that, few waits of some hundred milliseconds would
// begin at all, and slots that become free by chance would have no request. The result is true if the rate is unknown.
func (c *Capacity) InReachByRate(now time.Time, priority int, ahead, within time.Duration) bool {
	rate := c.rateFor(now, catalog.ClampPriority(priority))
	if rate <= 0 {
		return true
	}
	return inReach(ahead.Seconds()/c.perRequest, rate*within.Seconds()/c.perRequest)
}

// InReachByFloor reports whether a request that waits behind a number of others of its priority may well get room within a time by the
// least share of its priority.
func (c *Capacity) InReachByFloor(now time.Time, others int, within time.Duration) bool {
	rate := c.rateFor(now, 0)
	return rate <= 0 || inReach(float64(others), schedule.PriorityFloor*rate*within.Seconds()/c.perRequest)
}

// inReach reports whether the turn of a request behind others may well come if so many completions are expected.
func inReach(ahead, expected float64) bool {
	return ahead <= 1+expected+reachDeviations*math.Sqrt(expected)
}

// reachDeviations is the number of standard deviations by which completions within a wait may exceed what is expected.
const reachDeviations = 2

// rateFor returns the rate at which capacity becomes free for a priority; 0 if it is unknown. It is computed once per stepLength, since
// it is needed for each waiting request.
func (c *Capacity) rateFor(now time.Time, priority int) float64 {
	if age := now.Sub(c.ratesAt); c.ratesAt.IsZero() || age < 0 || age >= stepLength {
		c.ratesAt, c.rates = now, [schedule.Priorities]float64{}
		rate := c.freed.rate(now, rateBuckets)
		if rate > 0 && c.freed.complete(now) {
			c.perRequest = rate / c.completed.rate(now, rateBuckets)
			urgent := 0.0
			for p := range c.rates {
				c.rates[p] = math.Max(rate-urgent, schedule.PriorityFloor*rate)
				urgent += c.arrivals[p].rate(now, keptBuckets) * c.perRequest
			}
		}
	}
	return c.rates[priority]
}

// Sent records that this entry sent a request to an engine of the service.
func (c *Capacity) Sent(now time.Time) { c.sent.add(now, 1) }

// Spare reports whether a request that is not a first try may take one of this entry's slots now, so that the first tries which are
// expected until it is complete still find one, or wait for it for a moment only.
func (c *Capacity) Spare(now time.Time, priority int, slots float64) bool {
	run := max(1, int(c.RunTime()/bucketLength))
	firstTries := c.FirstTries(now, priority)
	var most float64
	for i := range run + 1 {
		// Of the requests in flight, those that were sent in the last run-i buckets are still there after i more.
		most = math.Max(most, c.sent.recent(now, run-i)+firstTries*(time.Duration(i)*bucketLength).Seconds())
	}
	return most+1 <= usableSlots(slots, firstTries)
}

// usableSlots returns how many slots may be taken so that first tries do not wait for longer than maxFirstTryDelay.
func usableSlots(slots, firstTries float64) float64 {
	return slots + firstTries*maxFirstTryDelay.Seconds()
}

// curve holds how many requests get a slot until each step of the simulation: all of them, and the waiting ones alone.
type curve struct{ all, waiting [steps]float64 }

// simulate computes how the engines fill up. In each step they take what their free slots and their reading rate allow: first tries
// first, and of these at most those of the last firstTryWait, since older ones were refused; then waiting requests, as far as Spare
// allows. A request that is taken leaves its slot after the run time.
func simulate(now time.Time, engines []Engine, firstTries float64, runTime time.Duration) *curve {
	var slots, perStep [steps]float64
	var occupied float64
	for _, e := range engines {
		// ReadyAt is rounded up, so that the engine is ready at the reported time.
		at := int((max(0, e.ReadyAt.Sub(now)) + stepLength - 1) / stepLength)
		if at >= steps {
			continue
		}
		slots[at] += e.Slots
		perStep[at] += math.Min(e.PerSecond*stepLength.Seconds(), e.Slots)
		if at == 0 {
			occupied += e.Occupied
		}
	}
	run := max(1, int(runTime/stepLength))
	// lookahead is the run time as far as it is simulated: streams may take minutes.
	lookahead := min(run, steps)
	// leaving is how many requests are complete in each step.
	leaving := make([]float64, steps+lookahead)
	for i := range lookahead {
		leaving[i] = occupied / float64(run)
	}
	var total, rate, backlog, all, waiting float64
	arriving := firstTries * stepLength.Seconds()
	take := func(at int, requests float64) {
		occupied += requests
		all += requests
		if end := at + run; end < len(leaving) {
			leaving[end] += requests
		}
	}
	c := &curve{}
	for i := range steps {
		total += slots[i]
		rate += perStep[i]
		occupied -= leaving[i]
		backlog = math.Min(backlog+arriving, firstTries*firstTryWait.Seconds())
		first := math.Min(math.Min(math.Max(0, total-occupied), rate), backlog)
		backlog -= first
		take(i, first)
		if rest := math.Min(total-occupied, rate-first); rest > 0 && backlog < 1 {
			expected, most := occupied, occupied
			for k := 1; k <= lookahead; k++ {
				expected += arriving - leaving[i+k]
				most = math.Max(most, expected)
			}
			if rest = math.Min(rest, usableSlots(total, firstTries)-most); rest > 0 {
				take(i, rest)
				waiting += rest
			}
		}
		c.all[i], c.waiting[i] = all, waiting
	}
	return c
}

const (
	// maxFirstTryDelay is for how long first tries may wait for the slots that others took; it is a part of firstTryWait. A shorter delay
	// leaves slots free and answers fewer callers in all.
	maxFirstTryDelay = 100 * time.Millisecond
	// firstTryWait is about how long a first try waits for room before it is refused: 0.4 of the objectives of the users' streams.
	firstTryWait = 330 * time.Millisecond
)
