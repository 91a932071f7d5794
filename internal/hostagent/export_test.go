package hostagent

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/manifest"
	"samphireweir.example/samphireweir/internal/owndelay"
)

// NewClient returns a client as the agent uses it for its engine, the store and peers.
func NewClient() *http.Client {
	return newClient(&net.Dialer{}, boundedread.NewBudget(hostconfig.Host{}.MemoryLimit()))
}

// Receive handles a message as if it had come from the socket.
func (a *Agent) Receive(from netip.AddrPort, m loadreport.Message) { a.handleHeartbeat(from, m) }

// ActiveVersions returns the versions that a report would carry now.
func (a *Agent) ActiveVersions() []loadreport.Activation {
	_, versions := a.currentLoad(time.Now())
	return versions
}

// ReportedVersions returns the engine's versions that a report would carry now.
func (a *Agent) ReportedVersions() map[string]int64 {
	load, _ := a.currentLoad(time.Now())
	return load.Versions
}

// AddManifest gives the agent the chunk manifest of a version.
func (a *Agent) AddManifest(model string, version int64, raw []byte, m *manifest.Manifest) error {
	digest := manifest.Digest(raw)
	if _, err := a.fetcher.Memory.AddVersion(digest, raw, m); err != nil {
		return err
	}
	a.Step(install.Resolved{Model: model, Version: version, Digest: digest})
	return nil
}

// PeerHandler returns the handler for requests of other hosts' agents.
func (a *Agent) PeerHandler() http.Handler { return a.newPeerServer().Handler }

// Tick runs one tick.
func (a *Agent) Tick() { a.tick() }

// OrderLoad sends a load order and waits for its end.
func (a *Agent) OrderLoad(e install.LoadOrder) { a.orderLoad(e) }

// OwnDelay returns the monitor of this process's own delay.
func (a *Agent) OwnDelay() *owndelay.Monitor { return a.ownDelay }

// OriginRequestersAt returns how many hosts may ask the origin at a try.
func OriginRequestersAt(try int) int { return originRequestersAt(try) }

// DiscoveryTimeout is how long a host that has just started waits until the others are known.
const DiscoveryTimeout = discoveryTimeout

// SetTimeouts replaces the timeouts for other hosts and for the origin.
func (a *Agent) SetTimeouts(d time.Duration) { a.timeouts = timeouts{discovery: d, origin: d} }

// DemandSumsFor returns the sums that a report to a subscriber would carry at a time.
func (a *Agent) DemandSumsFor(address netip.AddrPort, now time.Time) []loadreport.DemandSum {
	a.reporter.mu.Lock()
	defer a.reporter.mu.Unlock()
	a.updateDemandSums(now)
	return a.reporter.demand.sumsFor(a.reporter.subscribers[address])
}

// ReportedAtOnce reports whether a load report is sent at once that follows an earlier one after the given time.
func ReportedAtOnce(previous, current loadreport.Load, elapsed time.Duration, near bool) bool {
	return needsImmediateReport(aged(previous, elapsed), current, near)
}
