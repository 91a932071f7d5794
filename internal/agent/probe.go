package agent

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// probeInterval is how long an upstream may be silent before it is asked whether it lives, and the time between
	// two such questions.
	probeInterval = time.Second
	// openFor is how long a question to a silent upstream stays open at least: an answer that comes late is a sign of life as well. The upstream is
	// taken for frozen when no answer came to it, nor to the one after it, which is asked over another connection. Given up after 0.5 s, an
	// engine whose answers took 0.7 s was taken for frozen, and its caller told so. A frozen one is found probeInterval and openFor after its
	// last byte.
	openFor = 2 * time.Second
	// defaultStalledAfter is how long an answer that has begun may bring no byte though its upstream lives: its
	// connection is dead then, or the upstream has forgotten it.
	defaultStalledAfter = 15 * time.Second
)

// probed is the outcome of a question to an upstream.
type probed struct {
	asked  time.Time
	health run.Health
}

// watch tells a slow upstream from a dead one while a run is silent, until the run ends.
func (a *Agent) watch(x *execution) {
	began := time.Now()
	answers := make(chan probed, int(openAtMost/probeInterval)+1) // As many as may be open at once.
	alive := began
	ticks := time.NewTicker(probeInterval)
	defer ticks.Stop()
	for {
		select {
		case <-x.ctx.Done():
			return
		case got := <-answers:
			alive = x.judge(got, alive, x.silent(began))
		case <-ticks.C:
			if silent := x.silent(began); silent >= probeInterval {
				a.giveUpStalled(x, silent)
				go a.ask(x, answers)
			} else {
				alive = time.Now()
			}
		}
	}
}

// silent is how long the upstream has sent nothing to a run that began at a moment.
func (x *execution) silent(began time.Time) time.Duration {
	if x.out.behind() {
		x.touch() // The reader is slow, not the upstream.
	}
	if heard := x.heard.Load(); heard != 0 {
		return time.Since(time.Unix(0, heard))
	}
	return time.Since(began)
}

// giveUpStalled ends a run whose connection brings nothing for too long, whatever its upstream says.
func (a *Agent) giveUpStalled(x *execution, silent time.Duration) {
	firstByte := time.Duration(x.env.DeadlineMS) * time.Millisecond / 2
	heard := x.heard.Load() != 0
	if heard && silent > a.config.StalledAfter || !heard && firstByte > 0 && silent > firstByte {
		x.cancel(errStalled)
	}
}

func (a *Agent) ask(x *execution, answers chan<- probed) {
	asked := time.Now()
	health := a.diagnose(x)
	select {
	case answers <- probed{asked: asked, health: health}:
	case <-x.ctx.Done():
	}
}

// judge ends a run whose upstream is gone or frozen. alive is when the upstream last showed that it lives, and silent for how long it has sent
// nothing; judge returns alive anew.
func (x *execution) judge(got probed, alive time.Time, silent time.Duration) time.Time {
	switch got.health {
	case run.Crashing:
		x.cancel(errCrashed)
	case run.Unanswered:
		if got.asked.After(alive) && silent >= time.Since(got.asked) {
			x.cancel(errFrozen)
		}
	default:
		return time.Now()
	}
	return alive
}

// diagnose asks the upstream over a new connection whether it is still the process that took the run.
func (a *Agent) diagnose(x *execution) run.Health {
	return run.Diagnose(x.start.Kind, x.start.BootID, a.probe(x.start))
}

func (a *Agent) probe(s run.Start) run.Probe {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), a.answers.wait(asked))
	defer cancel()
	if s.Kind != setting.Engine {
		return probeConnection(ctx, s.URL)
	}
	state, err := a.prober.State(ctx, s.URL)
	if err == nil {
		a.answers.note(time.Now(), time.Since(asked))
		return run.Probe{BootID: state.BootID}
	}
	if ctx.Err() != nil {
		return run.Probe{Silent: true}
	}
	// A refused or reset connection, or a status that says that the engine is not up.
	return run.Probe{Refused: true}
}

// probeConnection asks a plain service for no more than a connection: any call to it might have an effect.
func probeConnection(ctx context.Context, base string) run.Probe {
	u, err := url.Parse(base)
	if err != nil {
		return run.Probe{}
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Host, "80")
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return run.Probe{}
	}
	return run.Probe{Refused: ctx.Err() == nil, Silent: ctx.Err() != nil}
}

// newProber returns a client of engines that makes a new connection for each question.
func newProber() *engine.Client { return engine.NewClient(newUpstreamClient(false)) }

// cancelAtUpstream tells an engine that a request was given up on. Its connection, which closes too, may be silent.
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
		if resp, err := a.single.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
}

// doubt has the core read an upstream's state at once, so that nothing more goes to one that is gone.
func (a *Agent) doubt(start run.Start) { a.Loop.Step(rollout.Doubted{Upstream: start.Upstream}) }
