package storerev_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

// TestErasOrderBeforeNumbers guards against a revision number that is compared with one of another era of the store.
func TestErasOrderBeforeNumbers(t *testing.T) {
	ordered := []storerev.Revision{{}, {Number: 44}, {Era: 1}, {Era: 1, Number: 3}, {Era: 1, Number: 44}, {Era: 2}, {Era: 2, Number: 3}}
	require.True(t, slices.IsSortedFunc(ordered, storerev.Revision.Compare))
	for i, a := range ordered {
		for j, b := range ordered {
			require.Equal(t, i < j, a.Before(b))
			require.Equal(t, i > j, a.After(b))
			require.Equal(t, ordered[max(i, j)], storerev.Max(a, b))
		}
	}
	require.True(t, ordered[5].IsStart())
	require.Equal(t, ordered[5], ordered[6].Start())
	require.Equal(t, "1/44", ordered[4].String())
	require.False(t, ordered[4].SameEra(ordered[6]))
}

// TestPackedRevisionsKeepTheOrder guards against packed revisions that compare otherwise than the revisions themselves.
func TestPackedRevisionsKeepTheOrder(t *testing.T) {
	ordered := []storerev.Revision{{}, {Number: 44}, {Number: 1<<40 - 1}, {Era: 1}, {Era: 1, Number: 3}, {Era: 200, Number: 2}}
	for i, r := range ordered {
		require.Equal(t, r, storerev.Unpack(r.Packed()))
		if i > 0 {
			require.Greater(t, r.Packed(), ordered[i-1].Packed())
		}
	}
	require.Equal(t, uint64(44), storerev.Revision{Number: 44}.Packed(), "without eras the number itself")
}
