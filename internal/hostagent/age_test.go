package hostagent_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/install"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// agentSelf is the agent's own address among the peers.
	agentSelf = "127.0.0.1:7700"
	// longVersionLifetime is so long that an engine's turn to load doesn't come within a test just because time passes.
	longVersionLifetime = 10 * time.Minute
)

// newIdleAgent returns an agent that is not running: it handles events and serves nobody. Its engine holds version 1.
func newIdleAgent(log zerolog.Logger) *hostagent.Agent {
	a := hostagent.New(hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionLifetime: longVersionLifetime, MemoryBytes: 64 << 20, LinkBytesPerSecond: 1 << 20},
		log, telemetry.NewMetrics(), nil)
	a.Step(install.EngineRead{StartedAt: 1, Loaded: map[string]int64{"m": 1}})
	return a
}

// heartbeat returns the heartbeat of an entry that knows the given versions by their ages.
func heartbeat(ages map[int64]time.Duration) loadreport.Message {
	m := loadreport.Message{DataCentre: "perth-a"}
	for version, age := range ages {
		m.Activations = append(m.Activations, loadreport.Activation{Model: "m", Version: version, Revision: 50 + version, AgeMS: age.Milliseconds()})
	}
	return m
}

var entryAddress = netip.MustParseAddrPort("127.0.0.9:7700")

// earlierPeer returns a peer whose engine loads an even version before this agent's engine. With it as the only peer, this agent's turn comes
// after about half of a version's lifetime.
func earlierPeer(t *testing.T) string {
	t.Helper()
	for port := 1; port < 100; port++ {
		peer := fmt.Sprint("127.0.0.2:", port)
		if step.Position("m", agentSelf, []string{agentSelf, peer}) == 1 {
			return peer
		}
	}
	t.Fatal("no peer comes before this agent")
	return ""
}

// TestStartingAgentTakesVersionAgeFromEntries guards against an engine that keeps an old version for most of a version's lifetime after its
// agent restarts, although entries no longer send requests to that version.
//
// The agent finds the required version in the store's list and computes the engine's turn as if the version had just been activated. Then an
// entry's heartbeat reports the version's real age. The engine loads too late if this age does not reach the install reducer. It also loads
// too late if the turn that was computed already is kept although the version is older.
func TestStartingAgentTakesVersionAgeFromEntries(t *testing.T) {
	var log standin.Log
	a := newIdleAgent(zerolog.New(&log))
	a.Step(install.PeersChanged{Peers: []string{agentSelf, earlierPeer(t)}})
	a.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 52}})
	a.Step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	a.Step(install.ContentComplete{Digest: "d2"})
	a.Step(step.Tick{})
	require.Equal(t, 1, log.Count(`"the engine holds another version"`), "the engine waits for its turn")
	require.Zero(t, log.Count(`"its turn"`), "as far as this agent knows, the version was just activated")

	a.Receive(entryAddress, heartbeat(map[int64]time.Duration{2: longVersionLifetime}))
	a.Step(step.Tick{})
	require.Equal(t, 1, log.Count(`"its turn"`), "the version is required: the engine loads it now")
}

// TestAgentReportsSupersededVersion guards against an agent that reports only the newest of two versions, neither of which has expired;
// see TestStartingEntryLearnsOfSupersededVersion.
func TestAgentReportsSupersededVersion(t *testing.T) {
	a := newIdleAgent(zerolog.Nop())
	a.Receive(entryAddress, heartbeat(map[int64]time.Duration{2: 5 * time.Second, 3: 2 * time.Second}))
	ages := map[int64]int64{}
	for _, n := range a.ActiveVersions() {
		ages[n.Version] = n.AgeMS
	}
	require.GreaterOrEqual(t, ages[2], (5 * time.Second).Milliseconds())
	require.GreaterOrEqual(t, ages[3], (2 * time.Second).Milliseconds())
}

// TestStartingAgentMarksAssumedVersionAge guards against an agent that only assumes the age of a version found in the store at its start,
// but reports this age as if it were known.
func TestStartingAgentMarksAssumedVersionAge(t *testing.T) {
	a := hostagent.New(hostconfig.Host{
		Name: "a", IP: "127.0.0.1", PeerPort: 7700, VersionLifetime: 8 * time.Hour, SettleTime: 3 * time.Hour, MemoryBytes: 64 << 20, LinkBytesPerSecond: 1 << 20,
	}, zerolog.Nop(), telemetry.NewMetrics(), nil)
	a.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 60}, Way: catalog.Listed})
	versions := a.ActiveVersions()
	require.Len(t, versions, 1)
	require.True(t, versions[0].Assumed)
	require.GreaterOrEqual(t, versions[0].AgeMS, (5 * time.Hour).Milliseconds())
}
