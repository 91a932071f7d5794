package hostagent

import (
	"net/http"
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/manifest"
)

// Hear takes a message.
func (a *Agent) Hear(from netip.AddrPort, m loadreport.Message) { a.heard(from, m) }

// Named are the versions that a report tells now.
func (a *Agent) Named() []loadreport.Naming {
	_, named := a.loadNow(time.Now())
	return named
}

// Learn has the agent know what a version consists of.
func (a *Agent) Learn(model string, version int64, raw []byte, m *manifest.Manifest) error {
	digest := manifest.Digest(raw)
	if _, err := a.fetcher.Memory.AddVersion(digest, raw, m); err != nil {
		return err
	}
	a.Step(install.Resolved{Model: model, Version: version, Digest: digest})
	return nil
}

// PeerHandler answers the agents of other hosts.
func (a *Agent) PeerHandler() http.Handler { return a.peerServer().Handler }

// Tick lets a moment pass.
func (a *Agent) Tick() { a.tick() }

// AskersAt gives the number of hosts that ask the origin at a try.
func AskersAt(try int) int { return askersAt(try) }

// StartWait is how long a host that has just started waits to know the others.
const StartWait = startWait

// WaitUpTo bounds the waits for other hosts and for the origin, in place of the product's.
func (a *Agent) WaitUpTo(d time.Duration) { a.waits = waits{start: d, origin: d} }
