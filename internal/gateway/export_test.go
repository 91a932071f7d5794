package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/loadreport"
)

// Step hands an event to the reducers, as the shell does.
func (g *Gateway) Step(ev step.Event) { g.step(ev) }

// SendThrough has requests go to upstreams another way.
func (g *Gateway) SendThrough(way http.RoundTripper) { g.upstreams = way }

// Greeting is what the agents are told now.
func (g *Gateway) Greeting() loadreport.Message {
	_, m := g.greeting(time.Now())
	return m
}

// Hear takes a message.
func (g *Gateway) Hear(from netip.AddrPort, m loadreport.Message) { g.heard(from, m) }

// RequiredVersion is the version on which requests for a model must begin in a while.
func (g *Gateway) RequiredVersion(model string, after, within time.Duration) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.catalog.RequiredVersion(model, time.Now().Add(after), within)
}

// OutcomeOfWithdrawnAnswer is what a send ends as that is withdrawn at the moment at which its first event is there.
func OutcomeOfWithdrawnAnswer() forward.Outcome {
	a := &attempt{}
	a.connected.Store(true)
	a.stage.Store(withdrawn)
	if a.begin() {
		return forward.Answered
	}
	return a.failed(context.Background(), errWithdrawn)
}

// Held is how many bytes are held for callers.
func (g *Gateway) Held() int64 { return g.memory.Used() }
