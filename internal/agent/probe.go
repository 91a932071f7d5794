package agent

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// probeInterval is how long an upstream may be silent before it is probed, and the time between two probes.
	probeInterval = time.Second
	// minProbeTimeout is the minimum time that a probe of a silent upstream waits for a response. A late response also
	// shows that the upstream is alive. An upstream counts as frozen when a probe was not answered, no later probe, each on
	// its own connection, was answered either, and no byte of the response has arrived since. With a timeout of 0.5 s, an
	// engine that took 0.7 s to respond was taken for frozen, and the caller's request failed. A frozen upstream is
	// detected probeInterval plus minProbeTimeout after its last byte.
	minProbeTimeout = 2 * time.Second
	// defaultStalledAfter is how long a response that has started may deliver no byte although its upstream answers
	// probes. After that its connection is dead, or the upstream has dropped the request.
	defaultStalledAfter = 15 * time.Second
	// maxProbeTimeout is the maximum time that a probe waits, whatever the recent response times were.
	maxProbeTimeout = 6 * time.Second
	// maxProbes is the maximum number of concurrent probes of a run: each may wait for its connection and then for its answer.
	maxProbes = int(2*maxProbeTimeout/probeInterval) + 1
	// silenceSlice is the unit in which the silence of a run's upstream is counted, short enough to find it within probeInterval.
	silenceSlice = probeInterval / 4
	// silentBeforeProbe is the silence counted after which an upstream is probed. The slice in progress is not counted yet.
	silentBeforeProbe = probeInterval - silenceSlice
)

// unknownSilence stands for the silence of an upstream with which the run has no connection to read.
const unknownSilence time.Duration = math.MaxInt64

// probeResult is the outcome of a probe that was sent at sentAt and waited for limit at most.
type probeResult struct {
	sentAt time.Time
	limit  time.Duration
	health run.Health
}

// monitor probes the upstream of a run while the upstream sends nothing, to distinguish a slow upstream from a dead one. It
// returns when the run ends or needs nothing more from its upstream.
func (a *Agent) monitor(x *execution) {
	results := make(chan probeResult, maxProbes)
	lastAlive := time.Now()
	ticks := time.NewTicker(probeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return
		case result := <-results:
			if !x.confirmed.Load() {
				lastAlive = x.applyProbe(result, lastAlive, x.silence())
			}
		case <-ticks.C:
			if x.confirmed.Load() {
				return
			}
			if silent := x.silence(); silent >= silentBeforeProbe {
				a.checkStalled(x, silent)
				go a.sendProbe(x, results)
			} else {
				lastAlive = time.Now()
			}
		}
	}
}

// silence returns how long the upstream has been silent although it had the request's body so far. It counts only time in which the agent waited
// in a read of the run's connection that found nothing. Without a connection to read, while one is being made and once the answer is complete,
// only probes show whether the upstream is alive, and silence returns unknownSilence.
func (x *execution) silence() time.Duration {
	silent, attached := x.watch.Silence()
	if !attached {
		return unknownSilence
	}
	if supplied := x.body.suppliedAt(); supplied.After(x.suppliedAt) {
		x.suppliedAt = supplied
		x.watch.Progress(0)
		return 0
	}
	return silent
}

// checkStalled finds an upstream silent if the run's connection has delivered nothing for too long, even if the upstream answers probes.
// The limit is StalledAfter, or half of the deadline before the first byte.
func (a *Agent) checkStalled(x *execution, silent time.Duration) {
	if silent == unknownSilence {
		return
	}
	limit := time.Duration(x.env.DeadlineMS) * time.Millisecond / 2
	if x.lastActivity.Load() != 0 {
		limit = a.config.StalledAfter
	}
	if limit > 0 && silent > limit {
		x.foundSilent(silent, errStalled)
	}
}

// sendProbe probes the upstream of a run and sends the result to results.
func (a *Agent) sendProbe(x *execution, results chan<- probeResult) {
	sentAt := time.Now()
	limit := a.probeLimit(sentAt)
	health := run.Diagnose(x.start.Kind, x.start.BootID, a.probeWithin(x.start, limit))
	select {
	case results <- probeResult{sentAt: sentAt, limit: limit, health: health}:
	case <-x.ctx.Done():
	}
}

// applyProbe cancels a run whose upstream has crashed, and finds a frozen upstream silent. lastAlive is when the upstream was last known to be
// alive, and silent is how long it has sent nothing to the run. applyProbe returns the new value of lastAlive.
func (x *execution) applyProbe(result probeResult, lastAlive time.Time, silent time.Duration) time.Time {
	switch result.health {
	case run.Crashing:
		x.cancel(errCrashed)
	case run.Unanswered:
		activeSince := x.lastActivity.Load() >= result.sentAt.UnixNano()
		if !activeSince && result.sentAt.After(lastAlive) && silent >= max(result.limit, minProbeTimeout) {
			x.foundSilent(silent, errFrozen)
		}
	default:
		return time.Now()
	}
	return lastAlive
}

// diagnose checks over a new connection whether the upstream is still the process that received the run.
func (a *Agent) diagnose(x *execution) run.Health {
	return run.Diagnose(x.start.Kind, x.start.BootID, a.probe(x.start))
}

// probeLimit returns how long the upstream may be silent to a probe that is sent at now. While this process is late, its upstream, which shares
// the host, has as little processor time.
func (a *Agent) probeLimit(now time.Time) time.Duration {
	limit := a.probeTimes.Limit(now, minProbeTimeout, maxProbeTimeout)
	if a.allowance != nil {
		limit += a.allowance()
	}
	return min(maxProbeTimeout, limit)
}

// probe sends one liveness probe: a read of the state to an engine, a TCP connection to a plain service.
func (a *Agent) probe(s run.Start) run.Probe { return a.probeWithin(s, a.probeLimit(time.Now())) }

// probeWithin sends a liveness probe. The upstream may leave the connection unanswered for limit and then be silent for limit.
func (a *Agent) probeWithin(s run.Start, limit time.Duration) run.Probe {
	ctx, cancel := context.WithCancel(context.WithValue(context.Background(), connectLimitKey{}, limit))
	defer cancel()
	if s.Kind != setting.Engine {
		return probeConnection(ctx, s.URL)
	}
	watch := silence.NewWatch(limit, cancel)
	defer watch.Stop()
	sentAt := time.Now()
	state, err := a.prober.State(silence.WithWatch(ctx, watch), s.URL)
	if err == nil {
		now := time.Now()
		a.probeTimes.Record(now, now.Sub(sentAt))
		a.heard(s.Upstream).record(now)
		return run.Probe{BootID: state.BootID}
	}
	if watch.Expired() {
		return run.Probe{TimedOut: true}
	}
	// The connection was refused or reset, or the status code shows that the engine is not up.
	return failedConnection(err)
}

// probeConnection probes a plain service by opening a TCP connection only: any request might have side effects.
func probeConnection(ctx context.Context, base string) run.Probe {
	u, err := url.Parse(base)
	if err != nil {
		return run.Probe{}
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Host, "80")
	}
	conn, err := dialUpstream(ctx, "tcp", address)
	if err != nil {
		return failedConnection(err)
	}
	_ = conn.Close()
	return run.Probe{}
}

// failedConnection returns the result of a probe that failed with err.
func failedConnection(err error) run.Probe {
	timedOut := errors.Is(err, silence.ErrNoConnection)
	return run.Probe{Refused: !timedOut, TimedOut: timedOut}
}

// newProber returns an engine client that opens a new connection for each probe.
func newProber() *engine.Client { return engine.NewClient(newUpstreamClient(false)) }

// cancelAtUpstream sends a cancellation of the request to its engine. The request's connection is closed as well, but
// the engine may not notice that.
func (a *Agent) cancelAtUpstream(x *execution) {
	if x.start.Kind != setting.Engine {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		body := strings.NewReader(`{"request_id":"` + x.env.Request + `"}`)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, x.start.URL+"/v1/cancel", body)
		if err != nil {
			return
		}
		req.Header.Set("Content-Type", "application/json")
		if resp, err := a.singleUseClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// recheck has the core read an upstream's state at once, so that a crashed upstream gets no further requests.
func (a *Agent) recheck(s run.Start) { a.Loop.Step(rollout.StateReadRequested{Upstream: s.Upstream}) }
