package gateway_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestAnEntryThatStartsLearnsOfAVersionThatWasOvertaken has an entry start anew between the naming of version 3 and the end of the time of version
// 2, three seconds before it, while every other process goes on.
//
// What is seen: through that entry requests go on to begin on version 1 after the time of version 2, until that of version 3 is over.
// How it comes about: the store holds the newest version only, and so does each greeting and report, so that the entry never hears of version 2.
// Cause: each version has a time of its own, and only the newest is passed on with its age.
func TestAnEntryThatStartsLearnsOfAVersionThatWasOvertaken(t *testing.T) {
	host := hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionTime: 8 * time.Second}
	newEntry := func() *gateway.Gateway { return gateway.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil) }
	older, anew := newEntry(), newEntry()
	older.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 50, Age: 5 * time.Second})
	older.Step(catalog.VersionNamed{Model: "m", Version: 3, Revision: 60, Age: 2 * time.Second})
	require.Equal(t, int64(2), older.RequiredVersion("m", 4*time.Second, host.VersionTime), "the other entries insist on version 2 by then")

	anew.Step(catalog.VersionNamed{Model: "m", Version: 3, Revision: 60})
	// Agents pass on what entries tell them in the same words.
	anew.Hear(netip.MustParseAddrPort("127.0.0.2:7700"), loadreport.Message{Named: older.Greeting().Named})
	require.Equal(t, int64(2), anew.RequiredVersion("m", 4*time.Second, host.VersionTime), "four seconds on, version 2 is 9 s old and version 3 is 6 s old")
}

// TestAnEntryThatStartsRequiresAVersionOfUnknownAgeWhenItMustKnow has an entry find a version in the store when it starts, and nobody tell how
// old it is.
func TestAnEntryThatStartsRequiresAVersionOfUnknownAgeWhenItMustKnow(t *testing.T) {
	host := hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionTime: 8 * time.Hour, Settle: 3 * time.Hour}
	anew := gateway.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil)
	anew.Step(catalog.VersionNamed{Model: "m", Version: 2, Revision: 60, Listed: true})
	require.Zero(t, anew.RequiredVersion("m", 2*time.Hour, host.VersionTime))
	require.Equal(t, int64(2), anew.RequiredVersion("m", 3*time.Hour, host.VersionTime))
	told := anew.Greeting().Named
	require.Len(t, told, 1)
	require.True(t, told[0].Assumed)
}
