package gateway

import (
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/loadreport"
)

// Step hands an event to the reducers, as the shell does.
func (g *Gateway) Step(ev step.Event) { g.step(ev) }

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
