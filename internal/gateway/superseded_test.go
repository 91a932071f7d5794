package gateway_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestStartingEntryLearnsOfSupersededVersion guards against an entry that starts requests on version 1 after version 2 has become required.
// It restarts after version 3 was activated and three seconds before version 2 becomes required, while all other processes run on. The
// store holds the newest version only. If heartbeats and reports also carry only the newest version with its age, the entry
// never learns of version 2 and accepts version 1 until version 3 becomes required.
func TestStartingEntryLearnsOfSupersededVersion(t *testing.T) {
	host := hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionLifetime: 8 * time.Second}
	newEntry := func() *gateway.Gateway { return gateway.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil) }
	running, starting := newEntry(), newEntry()
	running.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}, Age: 5 * time.Second})
	running.Step(catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 60}, Age: 2 * time.Second})
	require.Equal(t, int64(2), running.RequiredVersion("m", 4*time.Second, host.VersionLifetime), "the other entries require version 2 by then")

	starting.Step(catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 60}})
	// Agents report the versions that entries send them in the same form.
	starting.Receive(netip.MustParseAddrPort("127.0.0.2:7700"), loadreport.Message{Activations: running.Heartbeat().Activations})
	require.Equal(t, int64(2), starting.RequiredVersion("m", 4*time.Second, host.VersionLifetime), "four seconds on, version 2 is 9 s old and version 3 is 6 s old")
}

// TestStartingEntryAssumesAgeOfListedVersion guards against an entry that never requires a version which it finds in the store
// when it starts and whose age no process reports.
func TestStartingEntryAssumesAgeOfListedVersion(t *testing.T) {
	host := hostconfig.Host{Name: "a", IP: "127.0.0.1", PeerPort: 7700, DataCentre: "perth-a", VersionLifetime: 8 * time.Hour, SettleTime: 3 * time.Hour}
	starting := gateway.New(host, zerolog.Nop(), telemetry.NewMetrics(), nil)
	starting.Step(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 60}, Way: catalog.Listed})
	require.Zero(t, starting.RequiredVersion("m", 2*time.Hour, host.VersionLifetime))
	require.Equal(t, int64(2), starting.RequiredVersion("m", 3*time.Hour, host.VersionLifetime))
	reported := starting.Heartbeat().Activations
	require.Len(t, reported, 1)
	require.True(t, reported[0].Assumed)
}
