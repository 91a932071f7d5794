package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// readManifest reads a manifest with one route and one account with the given terms, and returns both as they are in force.
func readManifest(s *catalog.State, version int64, priority int, accountPriority *int, homes, accountHomes residency.Regions, weight int) (*catalog.Route, *catalog.ClientAccount, []catalog.FieldKept) {
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/r/", Priority: priority, HomeRegions: homes, Shares: []catalog.Share{{Service: "a", Weight: weight}, {Service: "b", Weight: 5}}}
	m := catalog.NewManifest(version, []*catalog.Route{route}, map[string]*catalog.ClientAccount{
		"k1": {Name: "acme", Priority: accountPriority, HomeRegions: accountHomes},
	})
	m.MaxBody = version
	var kept []catalog.FieldKept
	for _, e := range s.Reduce(step.Input{Event: catalog.ManifestRead{Revision: storerev.Revision{Number: version}, Manifest: m}}) {
		if k, ok := e.(catalog.FieldKept); ok {
			kept = append(kept, k)
		}
	}
	return s.Manifest.Route("h", "/r/x"), s.Manifest.Account("k1"), kept
}

// TestInvalidFieldsKeepTheirLastGoodValue guards against a manifest that is lost as a whole because of one field, against an invalid value in
// force, and against home regions that vanish, which would let requests leave their homes.
func TestInvalidFieldsKeepTheirLastGoodValue(t *testing.T) {
	s, three, twelve := catalog.NewState(), 3, 12
	s.Regions = map[string]bool{"perth": true, "southwest": true}
	route, account, kept := readManifest(s, 1, 17, &twelve, residency.Regions{"atlantis", "perth"}, residency.Regions{"atlantis"}, -1)
	require.Len(t, kept, 5)
	require.Equal(t, 9, route.Priority, "the nearest")
	require.Equal(t, 9, *account.Priority)
	require.Equal(t, residency.Regions{"perth"}, route.HomeRegions)
	require.Equal(t, residency.Regions{"atlantis"}, account.HomeRegions, "an empty list would allow all regions")
	require.Zero(t, route.Shares[0].Weight)
	require.True(t, s.Manifest.HasHomes())
	route, account, kept = readManifest(s, 2, 2, &three, residency.Regions{"southwest"}, nil, 7)
	require.Empty(t, kept)
	require.Equal(t, 2, route.Priority)
	require.Equal(t, 3, *account.Priority)
	route, account, kept = readManifest(s, 3, -4, &twelve, residency.Regions{"atlantis"}, residency.Regions{"mu"}, -7)
	require.Len(t, kept, 5)
	require.Equal(t, catalog.FieldKept{Name: "r", Field: catalog.PriorityField, Invalid: "-4", Value: "2", Version: 3}, kept[0])
	require.Equal(t, 2, route.Priority)
	require.Equal(t, 3, *account.Priority)
	require.Equal(t, residency.Regions{"atlantis"}, route.HomeRegions, "the earlier homes may allow a region that the operator no longer does")
	require.Equal(t, residency.Regions{"mu"}, account.HomeRegions, "which the earlier homes of the account, none, do")
	require.Equal(t, 7, route.Shares[0].Weight)
	require.Equal(t, int64(3), s.Manifest.MaxBody, "the rest is applied")
}
