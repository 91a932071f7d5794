package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/platform"
)

const (
	// brokenCheckTimeout limits the check of an instance at which an attempt broke, before the reducer decides what follows.
	brokenCheckTimeout = 150 * time.Millisecond
	// endCheckTimeout limits the check of the instance that an unframed answer comes from. It is longer than a sound upstream is silent.
	endCheckTimeout = 3 * time.Second
	// instanceProbeInterval is the pause between two probes of which the first got no answer.
	instanceProbeInterval = 50 * time.Millisecond
)

// instanceState is what is known of an instance after a probe.
type instanceState string

const (
	// instanceUnknown: nothing answered in time.
	instanceUnknown instanceState = "unknown"
	// instanceAlive: the instance answered, so it ran when the probe was sent.
	instanceAlive instanceState = "alive"
	// instanceEnded: its address refuses connections, or another instance answers there.
	instanceEnded instanceState = "ended"
)

// checkInstance finds out whether an instance still runs, and reports to the reducer if it has ended. An address that takes connections says
// nothing of the instance that had it before.
func (g *Gateway) checkInstance(ctx context.Context, u *catalog.Upstream, limit time.Duration) instanceState {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		switch state := g.probeInstance(ctx, u); state {
		case instanceAlive:
			return state
		case instanceEnded:
			g.step(forward.UpstreamDown{Upstream: u.Instance()})
			return state
		}
		select {
		case <-ctx.Done():
			return instanceUnknown
		case <-time.After(instanceProbeInterval):
		}
	}
}

// probeInstance sends one probe.
func (g *Gateway) probeInstance(ctx context.Context, u *catalog.Upstream) instanceState {
	req, err := platform.NewInstanceProbe(ctx, u, g.serviceOf(u))
	if err != nil {
		return instanceUnknown
	}
	resp, err := g.probeTransport.RoundTrip(req)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return instanceEnded
	case err != nil:
		return instanceUnknown
	}
	_ = resp.Body.Close()
	if !platform.IsSameInstance(resp, u) {
		return instanceEnded
	}
	return instanceAlive
}

// serviceOf returns an upstream's service, nil if the manifest has none.
func (g *Gateway) serviceOf(u *catalog.Upstream) *catalog.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.catalog.Manifest == nil {
		return nil
	}
	return g.catalog.Manifest.Services[u.Service]
}
