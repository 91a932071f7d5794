package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// TestEvacuationsFollowTheRevision guards against a delayed answer of the store that ends or restores an evacuation although a later
// revision is known.
func TestEvacuationsFollowTheRevision(t *testing.T) {
	s := catalog.NewState()
	require.NotEmpty(t, s.Reduce(at(0, catalog.EvacuationStarted{DataCentre: "a", Revision: storerev.Revision{Number: 5}})))
	require.True(t, s.Evacuated("a"))
	s.Reduce(at(0, catalog.EvacuationsListed{Revision: storerev.Revision{Number: 4}}))
	require.True(t, s.Evacuated("a"), "the list is older")
	require.NotEmpty(t, s.Reduce(at(0, catalog.EvacuationEnded{DataCentre: "a", Revision: storerev.Revision{Number: 7}})))
	require.False(t, s.Evacuated("a"))
	s.Reduce(at(0, catalog.EvacuationStarted{DataCentre: "a", Revision: storerev.Revision{Number: 5}}))
	require.False(t, s.Evacuated("a"), "the event is older than the end of the evacuation")
	s.Reduce(at(0, catalog.EvacuationsListed{Revision: storerev.Revision{Number: 6}, DataCentres: []string{"a"}}))
	require.False(t, s.Evacuated("a"), "the list is older than the end of the evacuation")
	s.Reduce(at(0, catalog.EvacuationsListed{Revision: storerev.Revision{Number: 9}, DataCentres: []string{"a", "b"}}))
	require.True(t, s.Evacuated("a"))
	require.True(t, s.Evacuated("b"))
	s.Reduce(at(0, catalog.EvacuationsListed{Revision: storerev.Revision{Number: 10}, DataCentres: []string{"b"}}))
	require.False(t, s.Evacuated("a"), "the event that ended it was lost")
}

// TestNotReadyBeforeEvacuationsAreKnown guards against an entry that starts during an evacuation and sends requests to the evacuated
// data centre.
func TestNotReadyBeforeEvacuationsAreKnown(t *testing.T) {
	s := catalog.NewState()
	s.FollowsEvacuations = true
	s.Reduce(at(0, catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: catalog.NewManifest(1, nil, nil)}))
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.UpstreamTopic}))
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	require.False(t, s.Ready())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.EvacuationTopic}))
	require.True(t, s.Ready())
}
