package residency_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/residency"
)

// TestBoundAllowsOnlyRegionsOfRouteAndAccount guards against a request that is served or stored in a region that either its route or its
// client account forbids.
func TestBoundAllowsOnlyRegionsOfRouteAndAccount(t *testing.T) {
	for _, c := range []struct {
		route, account residency.Regions
		allowed        []string
		nowhere        bool
		text           string
	}{
		{allowed: []string{"", "a", "b", "c"}},
		{route: residency.Regions{"a"}, allowed: []string{"a"}, text: "route: a"},
		{account: residency.Regions{"a", "b"}, allowed: []string{"a", "b"}, text: "account: a b"},
		{route: residency.Regions{"a", "c"}, account: residency.Regions{"c", "b"}, allowed: []string{"c"}, text: "route: a c; account: c b"},
		{route: residency.Regions{"a"}, account: residency.Regions{"b"}, nowhere: true, text: "route: a; account: b"},
	} {
		b := residency.NewBound(c.route, c.account)
		var allowed []string
		for _, region := range []string{"", "a", "b", "c"} {
			if b.Allows(region) {
				allowed = append(allowed, region)
			}
		}
		require.Equal(t, c.allowed, allowed, "%v", b)
		require.Equal(t, c.nowhere, b.Empty(), "%v", b)
		require.Equal(t, len(c.allowed) == 4, b.Unrestricted(), "%v", b)
		require.Equal(t, c.text, b.String())
	}
}
