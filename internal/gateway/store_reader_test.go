package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestOneEntryReadsTheStoreForALargeDataCentre guards against load on the store that grows with the entries of a data centre, and against
// entries that miss changes when the entry they read through stops. It starts as many entries as make a data centre large.
func TestOneEntryReadsTheStoreForALargeDataCentre(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddService("i-desk")
	ips := make([]string, source.MinEntries)
	addresses := make([]string, source.MinEntries)
	for i := range ips {
		ips[i] = standin.NextIP()
		addresses[i] = net.JoinHostPort(ips[i], strconv.Itoa(standin.PeerPort))
	}
	entries := map[string]*entry{}
	logs := map[string]*standin.Log{}
	for i, ip := range ips {
		host := fleet.Host(ip, false)
		host.Seeds = addresses[:1]
		log := &standin.Log{}
		g := gateway.New(host, zerolog.New(log), telemetry.NewMetrics(), nil)
		logs[addresses[i]] = log
		entries[addresses[i]] = &entry{Caller: standin.Caller{Address: host.CallersListen, Name: ip}, host: host, stop: fleet.Run(g.Run)}
	}
	reader := source.EntryCandidates("perth-a", addresses)[0]
	for address, log := range logs {
		if address != reader {
			require.Eventually(t, func() bool { return log.Contains(`"what":"source","value":"` + reader + `"`) }, testTimeout, 10*time.Millisecond)
		}
	}
	requireRouteActive := func(prefix string) {
		fleet.AddRoute(prefix)
		for _, e := range entries {
			require.Eventually(t, func() bool {
				return e.Do(context.Background(), standin.Request{Path: prefix}).Status == http.StatusOK
			}, testTimeout, 20*time.Millisecond)
		}
	}
	requireRouteActive("/added/")
	entries[reader].stop()
	delete(entries, reader)
	requireRouteActive("/added-later/")
}

// TestRestoredStoreReachesEntriesThatReadThroughOthers guards against entries of a large data centre that keep a manifest from before the
// store came back from a backup: one entry notices it, and the others read through that one.
func TestRestoredStoreReachesEntriesThatReadThroughOthers(t *testing.T) {
	t.Parallel()
	fleet := &restoredFleet{Fleet: standin.NewFleet(t)}
	fleet.AddService("i-desk")
	hosts := make([]hostconfig.Host, source.MinEntries)
	for i := range hosts {
		hosts[i] = fleet.Host(standin.NextIP(), false)
		hosts[i].Seeds = []string{net.JoinHostPort(hosts[0].IP, strconv.Itoa(standin.PeerPort))}
	}
	var entries []*entry
	for _, host := range hosts {
		entries = append(entries, startHost(t, fleet.Fleet, host))
	}
	requireStatus := func(status int) {
		t.Helper()
		for _, e := range entries {
			require.Eventually(t, func() bool { return e.Post("/added/1").Status == status }, testTimeout, pollInterval)
		}
	}
	fleet.backup = fleet.Store.Backup()
	for range 10 {
		fleet.WriteManifest()
	}
	fleet.AddRoute("/added/")
	requireStatus(http.StatusOK)
	restoreStore(fleet)
	fleet.Store.SetDown(false)
	time.Sleep(storeDowntime)
	requireStatus(http.StatusOK)
	removeLastRoute(fleet)
	requireStatus(http.StatusNotFound)
}
