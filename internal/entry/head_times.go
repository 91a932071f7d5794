package entry

import (
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// maxHeadTimeout is the maximum time that an agent may be silent before its first byte, however slow it was lately.
	maxHeadTimeout = 6 * time.Second
	// reconnectShare is the share of the time left to the caller's deadline that one reconnect may wait, as a divisor: what remains is enough
	// for another upstream.
	reconnectShare = 2
)

// headTimes holds, for each agent, how long its recent calls took until the first byte of the response.
type headTimes struct {
	mu      sync.Mutex
	byAgent map[string]*silence.ResponseTimes
}

func (h *headTimes) record(address string, now time.Time, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.byAgent[address]
	if times == nil {
		if h.byAgent == nil {
			h.byAgent = map[string]*silence.ResponseTimes{}
		}
		times = &silence.ResponseTimes{}
		h.byAgent[address] = times
	}
	times.Record(now, took)
}

// limit returns how long the agent at address may be silent before its first byte, at least shortest.
func (h *headTimes) limit(address string, now time.Time, shortest time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	times := h.byAgent[address]
	if times == nil {
		return shortest
	}
	return times.Limit(now, shortest, maxHeadTimeout)
}

// forget removes an agent that could not be reached. Its address may belong to another agent later.
func (h *headTimes) forget(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byAgent, address)
}

// maxAgentSilence is how long an agent is silent in all, on the connection of a call and on new ones, before the request may be sent to
// another upstream while it is not known whether the first one runs it: as long as a dead agent in the middle of an answer.
const maxAgentSilence = frame.HeadTimeout + frame.FrameTimeout

// headTimeout returns how long an agent may be silent before the first byte of a call, at least shortest.
func (e *Entry) headTimeout(address string, now time.Time, shortest time.Duration) time.Duration {
	return min(maxHeadTimeout, e.headTimes.limit(address, now, shortest)+e.OwnDelay.Allowance())
}

// firstHeadTimeout returns how long an agent may be silent before the first byte of an attempt. A request whose body can't be sent again waits
// until its deadline: the connection that has the body is its only one, and it is a new one, so it works if the agent does.
func (e *Entry) firstHeadTimeout(c *call, attempt request.Attempt, now time.Time) time.Duration {
	if !c.body.complete {
		return max(frame.HeadTimeout, c.deadline.Sub(now))
	}
	return e.headTimeout(attempt.Target.Address, now, frame.HeadTimeout)
}

// awaitsSilentAgent reports whether an attempt goes on although its agent was silent for as long as a dead one may be, since no other upstream
// can take its place. err is why the last connection failed.
func (e *Entry) awaitsSilentAgent(c *call, attempt request.Attempt, err error) bool {
	return silenceOf(err) > 0 && !e.replaceable(c, attempt, code.Unknown)
}

// reconnectTimeout returns how long an agent may be silent before the first byte of a call on a new connection. What it was
// silent before counts.
func (e *Entry) reconnectTimeout(c *call, attempt request.Attempt, now time.Time) time.Duration {
	shortest := max(frame.HeadTimeout, maxAgentSilence-c.agentSilence)
	if c.irreplaceable {
		shortest = maxAgentSilence // A further connection would not help.
	}
	limit := e.headTimeout(attempt.Target.Address, now, shortest)
	return max(frame.HeadTimeout, min(limit, c.deadline.Sub(now)/reconnectShare))
}
