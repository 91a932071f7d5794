package gateway_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// storeDowntime is how long the store is away before it comes back from a backup.
const storeDowntime = 300 * time.Millisecond

// TestManifestWrittenAfterRestoreOfTheStoreTakesEffect guards against an entry that keeps an old manifest after the store came back from a
// backup: the revisions of later manifests are below that of the one in force until the store has counted past it.
func TestManifestWrittenAfterRestoreOfTheStoreTakesEffect(t *testing.T) {
	t.Parallel()
	fleet, e := startBeforeRestore(t)
	restoreStore(fleet)
	fleet.Store.SetDown(false)
	time.Sleep(storeDowntime)
	removeLastRoute(fleet)
	require.Eventually(t, func() bool { return e.Post("/added/1").Status == http.StatusNotFound }, testTimeout, pollInterval)
}

// TestManifestTakesEffectAlthoughRevisionsAreGivenOutAgain guards against an entry that misses a manifest because later writes took the
// restored store's revisions past the one that the entry knows, so that its watch goes on without being told that its revision is unknown.
func TestManifestTakesEffectAlthoughRevisionsAreGivenOutAgain(t *testing.T) {
	t.Parallel()
	fleet, e := startBeforeRestore(t)
	restoreStore(fleet)
	removeLastRoute(fleet)
	for version := range int64(20) {
		fleet.ActivateVersion(version + 1)
	}
	fleet.Store.SetDown(false)
	require.Eventually(t, func() bool { return e.Post("/added/1").Status == http.StatusNotFound }, testTimeout, pollInterval)
}

// TestEntryThatStartsAfterARestoreLearnsTheManifestInForce guards against an entry that serves an older manifest than the other entries: it
// starts after the store came back from a backup and before the operator's manifest is written again.
func TestEntryThatStartsAfterARestoreLearnsTheManifestInForce(t *testing.T) {
	t.Parallel()
	fleet, running := startBeforeRestore(t)
	fleet.Store.Restore(fleet.backup)
	host := fleet.Host(standin.NextIP(), false)
	host.Seeds = []string{net.JoinHostPort(standin.NextIP(), strconv.Itoa(standin.PeerPort)), net.JoinHostPort(running.host.IP, strconv.Itoa(standin.PeerPort))}
	starting := startHost(t, fleet.Fleet, host)
	require.Eventually(t, func() bool { return starting.Post("/added/1").Status == http.StatusOK }, testTimeout, pollInterval)
}

// startBeforeRestore starts an entry that serves a route whose manifest is ten revisions later than the store's backup.
func startBeforeRestore(t *testing.T) (*restoredFleet, *entry) {
	t.Helper()
	fleet := &restoredFleet{Fleet: standin.NewFleet(t)}
	fleet.AddService("i-desk")
	e := start(t, fleet.Fleet)
	fleet.backup = fleet.Store.Backup()
	for range 10 {
		fleet.WriteManifest()
	}
	fleet.AddRoute("/added/")
	require.Eventually(t, func() bool { return e.Post("/added/1").Status == http.StatusOK }, testTimeout, pollInterval)
	return fleet, e
}

// restoredFleet is a fleet whose store is restored from a backup.
type restoredFleet struct {
	*standin.Fleet
	backup standin.Backup
}

// restoreStore takes the store down, restores it and has everything written again. The store stays down.
func restoreStore(fleet *restoredFleet) {
	fleet.Store.SetDown(true)
	time.Sleep(storeDowntime)
	fleet.Store.Restore(fleet.backup)()
}

func removeLastRoute(fleet *restoredFleet) {
	fleet.Routes = fleet.Routes[:len(fleet.Routes)-1]
	fleet.WriteManifest()
}
