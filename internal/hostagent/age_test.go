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
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// agentSelf is the agent's own address among the peers.
	agentSelf = "127.0.0.1:7700"
	// longVersionTime is so long that no turn ends by itself within a test.
	longVersionTime = 10 * time.Minute
)

// quietAgent is an agent that does not run: it takes events and answers nobody. Its engine holds version 1.
func quietAgent(log zerolog.Logger) *hostagent.Agent {
	a := hostagent.New(hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionTime: longVersionTime, Memory: 64 << 20, Link: 1 << 20},
		log, telemetry.NewMetrics(), nil)
	a.Step(install.EngineRead{Born: 1, Loaded: map[string]int64{"m": 1}})
	return a
}

// greeting is an entry's word on versions, by their ages.
func greeting(ages map[int64]time.Duration) loadreport.Message {
	m := loadreport.Message{DataCentre: "perth-a"}
	for version, age := range ages {
		m.Named = append(m.Named, loadreport.Naming{Model: "m", Version: version, Revision: 50 + version, AgeMS: age.Milliseconds()})
	}
	return m
}

var entryAddress = netip.MustParseAddrPort("127.0.0.9:7700")

// last returns a peer before which this agent's engine has its turn at an even version, so that the agent's comes half a version's time later.
func last(t *testing.T) string {
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

// TestAnAgentThatStartsTakesAVersionsAgeFromItsEntries has an agent start anew when a version is due, find it in the store's list, and hear from
// an entry a moment later how long ago it was named.
//
// What is seen: the engine keeps the old version, on which entries send it nothing any more, for most of a version's time beyond the start.
// How it comes about: the turn is reckoned from the list, as if the version had been named then. The entry's word arrives and changes nothing.
// Cause: what is believed of the version takes the age in without saying so, so that the turns never hear of it; and a turn that was reckoned
// stays when the version proves to be older.
func TestAnAgentThatStartsTakesAVersionsAgeFromItsEntries(t *testing.T) {
	var log standin.Log
	a := quietAgent(zerolog.New(&log))
	a.Step(install.PeersChanged{Peers: []string{agentSelf, last(t)}})
	a.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 52})
	a.Step(install.Resolved{Model: "m", Version: 2, Digest: "d2"})
	a.Step(install.Complete{Digest: "d2"})
	a.Step(step.Tick{})
	require.Equal(t, 1, log.Count(`"the engine holds another version"`), "the engine waits for its turn")
	require.Zero(t, log.Count(`"its turn"`), "as far as this agent knows, the version was named just now")

	a.Hear(entryAddress, greeting(map[int64]time.Duration{2: longVersionTime}))
	a.Step(step.Tick{})
	require.Equal(t, 1, log.Count(`"its turn"`), "the version is due: the engine loads it now")
}

// TestAnAgentPassesOnAVersionThatWasOvertaken has an entry tell an agent of two versions whose times both run; see TestAnEntryThatStartsLearnsOfAVersionThatWasOvertaken.
func TestAnAgentPassesOnAVersionThatWasOvertaken(t *testing.T) {
	a := quietAgent(zerolog.Nop())
	a.Hear(entryAddress, greeting(map[int64]time.Duration{2: 5 * time.Second, 3: 2 * time.Second}))
	ages := map[int64]int64{}
	for _, n := range a.Named() {
		ages[n.Version] = n.AgeMS
	}
	require.GreaterOrEqual(t, ages[2], (5 * time.Second).Milliseconds())
	require.GreaterOrEqual(t, ages[3], (2 * time.Second).Milliseconds())
}

// TestAnAgentThatStartsTellsAnAgeThatItAssumesAsSuch has an agent find a version in the store when it starts.
func TestAnAgentThatStartsTellsAnAgeThatItAssumesAsSuch(t *testing.T) {
	a := hostagent.New(hostconfig.Host{
		Name: "a", IP: "127.0.0.1", PeerPort: 7700, VersionTime: 8 * time.Hour, Settle: 3 * time.Hour, Memory: 64 << 20, Link: 1 << 20,
	}, zerolog.Nop(), telemetry.NewMetrics(), nil)
	a.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 60, Listed: true})
	named := a.Named()
	require.Len(t, named, 1)
	require.True(t, named[0].Assumed)
	require.GreaterOrEqual(t, named[0].AgeMS, (5 * time.Hour).Milliseconds())
}
