package objectapi_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/objectapi"
	standin "samphireweir.example/samphireweir/internal/standin/objectapi"
)

// TestVersionsNeverGoBackAfterARestore guards against a version that is given twice, which would make two agents hold one fencing number, and
// against a conditional write or a watch that takes a revision of another era for its own.
func TestVersionsNeverGoBackAfterARestore(t *testing.T) {
	server := standin.NewServer(standin.Config{History: 100})
	listening := httptest.NewServer(server)
	t.Cleanup(listening.Close)
	c, ctx := objectapi.NewClient(listening.URL, listening.Client()), context.Background()
	write := func(value string, ifVersion uint64) uint64 {
		item, err := c.Put(ctx, "settings/a", []byte(value), ifVersion)
		require.NoError(t, err)
		return item.Version
	}
	first := write("1", 0)
	backup := server.Backup()
	lost := write("2", first)
	server.Restore(backup)

	_, err := c.Watch(ctx, "settings/", lost, 0)
	require.ErrorIs(t, err, objectapi.ErrGone)
	listing, err := c.List(ctx, "settings/")
	require.NoError(t, err)
	require.Greater(t, listing.Revision, lost)
	again := write("3", listing.Items[0].Version)
	require.Greater(t, again, lost)
	require.Equal(t, storerev.Unpack(lost).Number, storerev.Unpack(again).Number, "the same number is given out again")

	_, err = c.Put(ctx, "settings/a", []byte("4"), lost)
	var conflict *objectapi.ConflictError
	require.ErrorAs(t, err, &conflict, "the number is right and the era is not")
	require.Equal(t, again, conflict.Current.Version)
	require.JSONEq(t, "3", string(conflict.Current.Value))
}
