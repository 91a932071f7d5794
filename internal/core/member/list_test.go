package member_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
)

// TestUnchangedHostListProducesNoRecords guards against new versions of records whose host list line did not change.
// The control codec writes the fields of a value in another order, so a comparison of the encoded bytes would find a
// difference at every read of the list.
func TestUnchangedHostListProducesNoRecords(t *testing.T) {
	host := member.Listed{Address: "10.0.0.1:7070", Role: member.Agent, Place: "perth-a", Region: "west", State: "live"}
	first := member.ListChanges(nil, []member.Listed{host})
	require.Len(t, first, 1)
	known := map[string]record.Record{}
	var fields map[string]any
	require.NoError(t, json.Unmarshal(first[0].Value, &fields))
	var err error
	first[0].Value, err = json.Marshal(fields)
	require.NoError(t, err)
	known[first[0].Key] = first[0]
	require.Empty(t, member.ListChanges(known, []member.Listed{host}))
	host.State = member.Leaving
	require.Len(t, member.ListChanges(known, []member.Listed{host}), 1)
	require.True(t, member.ListChanges(known, nil)[0].Deleted)
}
