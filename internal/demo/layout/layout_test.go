package layout_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"samphireweir.example/samphireweir/internal/demo/layout"
)

// TestHostsHaveUniqueAddressesAndAlternateDataCentres guards against two processes that listen on the same address, and
// against data centres without hosts.
func TestHostsHaveUniqueAddressesAndAlternateDataCentres(t *testing.T) {
	hosts := layout.Hosts(600)
	addresses := map[string]bool{}
	for _, host := range hosts {
		addresses[host.Address] = true
	}
	for _, entry := range layout.Entries() {
		addresses[entry.Address] = true
	}
	assert.Len(t, addresses, 602)
	assert.Equal(t, "127.1.1.1", hosts[0].Address)
	assert.Equal(t, "127.1.2.1", hosts[250].Address)
	assert.Equal(t, "karratha-a", hosts[2].Place.Name)
	assert.Equal(t, hosts[0].Place, hosts[3].Place)
}

// TestEntriesAreInTwoRegions guards against a run in which all requests enter through the same region.
func TestEntriesAreInTwoRegions(t *testing.T) {
	entries := layout.Entries()
	assert.Len(t, entries, 2)
	assert.NotEqual(t, entries[0].Place.Region, entries[1].Place.Region)
}

// TestUpstreamsFlagListsEngineAndPlainService guards against an agent that is started with an upstream of another host, or
// without one of its own.
func TestUpstreamsFlagListsEngineAndPlainService(t *testing.T) {
	hosts := layout.Hosts(2)
	both := "karrakin/summary-model=engine@http://127.0.0.1:1/e1,karrakin/buyer-portal=plain@http://127.0.0.1:2/p1"
	assert.Equal(t, both, hosts[0].Upstreams("127.0.0.1:1", "127.0.0.1:2"))
	assert.Equal(t, "karrakin/summary-model=engine@http://127.0.0.1:1/e2", hosts[1].Upstreams("127.0.0.1:1", "127.0.0.1:2"))
	assert.Equal(t, []string{"e1", "e2"}, layout.EngineNames(hosts))
	assert.Equal(t, []string{"p1"}, layout.PlainNames(hosts))
}

// TestModelSettingHasOneReplicaPerHost guards against a setting that leaves hosts without the model, or that has no limit
// of unavailable replicas because a small number of hosts rounds down to 0.
func TestModelSettingHasOneReplicaPerHost(t *testing.T) {
	setting := layout.ModelSetting(layout.Hosts(5), "v1", "time")
	assert.Equal(t, map[string]int{"perth-a": 2, "bunbury-a": 2, "karratha-a": 1}, setting.Places)
	assert.Equal(t, 1, setting.MaxUnavailable)
	assert.NotEmpty(t, setting.Change)
}
