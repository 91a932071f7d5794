package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// restoreHold is longer than what is known from before a restore is kept against what the restored store says.
const restoreHold = 11 * time.Second

func inEra(era, number int64) storerev.Revision {
	return storerev.Revision{Era: era, Number: number}
}

func manifestRead(revision storerev.Revision, version int64) catalog.ManifestRead {
	return catalog.ManifestRead{Revision: revision, Manifest: catalog.NewManifest(version, nil, nil)}
}

func registered(id string, revision storerev.Revision) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "model", Address: "10.0.0.1:80", Revision: revision}
}

func listed(revision storerev.Revision, upstreams ...*catalog.Upstream) catalog.UpstreamsListed {
	return catalog.UpstreamsListed{Revision: revision, Upstreams: upstreams}
}

// TestManifestOfARestoredStoreDoesNotRegress guards against a process that goes back to the older manifest which a restored store has until
// the operator's is written again, and against one that ignores that and later ones because their revisions are lower.
func TestManifestOfARestoredStoreDoesNotRegress(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, manifestRead(inEra(1, 44), 30)))
	s.Reduce(at(0, manifestRead(inEra(2, 3), 24)))
	require.Equal(t, int64(30), s.Manifest.Version, "the copy has an older one")
	s.Reduce(at(0, manifestRead(inEra(2, 4), 27)))
	require.Equal(t, int64(30), s.Manifest.Version, "an older one is written again")
	s.Reduce(at(0, manifestRead(inEra(2, 5), 30)))
	s.Reduce(at(0, manifestRead(inEra(2, 6), 32)))
	require.Equal(t, int64(32), s.Manifest.Version)
	s.Reduce(at(0, manifestRead(inEra(1, 45), 31)))
	require.Equal(t, int64(32), s.Manifest.Version, "a delayed answer of the earlier era")
	s.Reduce(at(0, manifestRead(inEra(2, 7), 31)))
	require.Equal(t, int64(31), s.Manifest.Version, "within an era the operator's last write is in force")
}

// TestManifestThatFollowsTheLostOneTakesEffect guards against a process that waits for the manifest in force to be written again, when the
// operator goes on with a later version.
func TestManifestThatFollowsTheLostOneTakesEffect(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, manifestRead(inEra(1, 44), 30)))
	s.Reduce(at(0, manifestRead(inEra(2, 3), 32)))
	require.Equal(t, int64(32), s.Manifest.Version)
}

// TestManifestThatOnlyAPeerKnowsTakesEffect guards against a process that starts after a restore and serves the older manifest that the store
// has, although another process has told it the one in force.
func TestManifestThatOnlyAPeerKnowsTakesEffect(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, manifestRead(inEra(2, 3), 27)))
	s.Reduce(at(0, manifestRead(inEra(1, 44), 30)))
	require.Equal(t, int64(30), s.Manifest.Version)
	s.Reduce(at(0, manifestRead(inEra(2, 4), 27)))
	require.Equal(t, int64(30), s.Manifest.Version)
	s.Reduce(at(0, manifestRead(inEra(2, 5), 30)))
	require.Equal(t, inEra(2, 5), s.ManifestRevision())
}

// TestRestoreIsReportedOnce guards against a restore of which operators see nothing, or one line for each object that is read afterwards.
func TestRestoreIsReportedOnce(t *testing.T) {
	s := catalog.NewState()
	restores := func(events ...step.Event) int {
		n := 0
		for _, ev := range events {
			for _, e := range s.Reduce(at(0, ev)) {
				if _, ok := e.(catalog.StoreRestored); ok {
					n++
				}
			}
		}
		return n
	}
	require.Zero(t, restores(manifestRead(inEra(7, 44), 30), listed(inEra(7, 45))), "the first era that is read is no restore")
	require.Equal(t, 1, restores(listed(inEra(8, 3)), manifestRead(inEra(8, 2), 30), manifestRead(inEra(7, 46), 31)))
}

// TestUpstreamThatLeftStaysOutAfterARestore guards against requests to an upstream whose leaving is known and which a restored store has
// as ready again: one that drained, and one that was removed.
func TestUpstreamThatLeftStaysOutAfterARestore(t *testing.T) {
	s := catalog.NewState()
	draining := registered("drains", inEra(1, 40))
	draining.Draining = true
	s.Reduce(at(0, listed(inEra(1, 20), registered("drains", inEra(1, 4)), registered("left", inEra(1, 5)))))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: draining}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "left", Revision: inEra(1, 41)}))
	for number := int64(6); number < 60; number += 20 {
		s.Reduce(at(time.Second, listed(inEra(2, number), registered("drains", inEra(2, 4)), registered("left", inEra(2, 5)))))
		require.True(t, s.Upstreams["drains"].Draining)
		require.Nil(t, s.Upstreams["left"])
	}
	s.Reduce(at(time.Second, catalog.UpstreamRemoved{ID: "left", Revision: inEra(2, 61)}))
	s.Reduce(at(time.Second+restoreHold, step.Tick{}))
	require.Nil(t, s.Upstreams["left"], "its removal was written again")
	require.True(t, s.Upstreams["drains"].Draining, "an instance that drains never becomes ready again")
}

// TestColdUpstreamStaysColdAfterARestore guards against the full load on an upstream that has become cold, because the copy from which the
// store was restored is from before.
func TestColdUpstreamStaysColdAfterARestore(t *testing.T) {
	s := catalog.NewState()
	cold := registered("a", inEra(1, 40))
	cold.ColdRemaining = 5 * time.Second
	s.Reduce(at(0, listed(inEra(1, 20), registered("a", inEra(1, 4)))))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: cold}))
	s.Reduce(at(time.Second, listed(inEra(2, 6), registered("a", inEra(2, 4)))))
	require.Equal(t, begin.Add(5*time.Second), s.Upstreams["a"].ColdUntil)
	s.Reduce(at(2*time.Second, catalog.UpstreamChanged{Upstream: registered("a", inEra(2, 7))}))
	require.Zero(t, s.Upstreams["a"].ColdUntil, "the upstream itself says that it is warm")
}

// TestUpstreamThatStillRunsReturnsAfterARestore guards against an upstream that stays out for good because its registration was once
// removed: its registration is still there when all lost ones have expired. A later instance is used at once.
func TestUpstreamThatStillRunsReturnsAfterARestore(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, listed(inEra(1, 20), registered("a", inEra(1, 4)), registered("b", inEra(1, 5)))))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "a", Revision: inEra(1, 41)}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "b", Revision: inEra(1, 42)}))
	later := registered("b", inEra(2, 5))
	later.StartedAt = 100
	s.Reduce(at(time.Second, listed(inEra(2, 6), registered("a", inEra(2, 4)), later)))
	require.Nil(t, s.Upstreams["a"])
	require.NotNil(t, s.Upstreams["b"])
	s.Reduce(at(time.Second, catalog.UpstreamRemoved{ID: "a", Revision: inEra(1, 41)}))
	s.Reduce(at(time.Second+restoreHold, step.Tick{}))
	require.NotNil(t, s.Upstreams["a"], "the removal that arrives again is from before the restore")
	require.Equal(t, inEra(2, 4), s.Upstreams["a"].Revision)
}

// TestUpstreamMissingAfterARestoreHasTimeToRegisterAgain guards against an entry that drops running upstreams because the copy from which
// the store was restored is from before their registration, also when the store was away only shortly, and against one that keeps
// them for good. A second restore starts the time anew.
func TestUpstreamMissingAfterARestoreHasTimeToRegisterAgain(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, listed(inEra(1, 44), registered("running", inEra(1, 30)), registered("gone", inEra(1, 31)))))
	s.Reduce(at(time.Second, listed(inEra(2, 3))))
	s.Reduce(at(2500*time.Millisecond, listed(inEra(3, 3))))
	s.Reduce(at(4*time.Second, step.Tick{}))
	require.Len(t, s.Upstreams, 2)
	s.Reduce(at(4*time.Second, catalog.UpstreamChanged{Upstream: registered("running", inEra(3, 4))}))
	s.Reduce(at(5*time.Second, step.Tick{}))
	require.NotNil(t, s.Upstreams["running"])
	require.Nil(t, s.Upstreams["gone"])
	s.Reduce(at(5*time.Second, catalog.UpstreamChanged{Upstream: registered("gone", inEra(3, 5))}))
	require.NotNil(t, s.Upstreams["gone"], "it registered late")
}

// TestDelayedListOfAnEarlierEraIsIgnored guards against a list that was read before the restore and arrives after it: its revision number
// is higher than those of the restored store.
func TestDelayedListOfAnEarlierEraIsIgnored(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, listed(inEra(2, 3), registered("a", inEra(2, 2)))))
	s.Reduce(at(0, listed(inEra(1, 44))))
	require.NotNil(t, s.Upstreams["a"])
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "a", Revision: inEra(1, 45)}))
	require.NotNil(t, s.Upstreams["a"])
}

// TestEvacuationSurvivesARestore guards against requests to an evacuated data centre because the copy from which the store was restored is
// from before the evacuation. If it isn't written again, it ends.
func TestEvacuationSurvivesARestore(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.EvacuationStarted{DataCentre: "a", Revision: inEra(1, 40)}))
	s.Reduce(at(0, catalog.EvacuationStarted{DataCentre: "b", Revision: inEra(1, 41)}))
	s.Reduce(at(time.Second, catalog.EvacuationsListed{Revision: inEra(2, 3)}))
	require.True(t, s.Evacuated("a"))
	s.Reduce(at(2*time.Second, catalog.EvacuationStarted{DataCentre: "a", Revision: inEra(2, 4)}))
	s.Reduce(at(time.Second+restoreHold, step.Tick{}))
	require.True(t, s.Evacuated("a"))
	require.False(t, s.Evacuated("b"))
	s.Reduce(at(time.Minute, catalog.EvacuationEnded{DataCentre: "a", Revision: inEra(2, 5)}))
	require.False(t, s.Evacuated("a"))
}

// TestEvacuationThatTheOperatorEndsAfterARestoreEnds guards against an evacuation that outlasts the operator's end of it because it was
// held against the restored store.
func TestEvacuationThatTheOperatorEndsAfterARestoreEnds(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.EvacuationStarted{DataCentre: "a", Revision: inEra(1, 40)}))
	s.Reduce(at(time.Second, catalog.EvacuationsListed{Revision: inEra(2, 3)}))
	s.Reduce(at(time.Second, catalog.EvacuationStarted{DataCentre: "a", Revision: inEra(2, 4)}))
	s.Reduce(at(time.Second, catalog.EvacuationEnded{DataCentre: "a", Revision: inEra(2, 5)}))
	require.False(t, s.Evacuated("a"))
}

// TestRestoredStoreIsFollowedInAnyOrder has a store lose changes, take some of them up again and give revisions out again, several times,
// while its lists and changes are read. In the end the process knows the store's upstreams, and its manifest never regressed.
func TestRestoredStoreIsFollowedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := catalog.NewState(), time.Duration(0)
		store := map[string]storerev.Revision{}
		latest, version, highest := inEra(1, 1), int64(1), int64(1)
		backup, backupLatest, backupVersion := map[string]storerev.Revision{}, latest, version
		list := func() {
			var upstreams []*catalog.Upstream
			for id, revision := range store {
				upstreams = append(upstreams, registered(id, inEra(latest.Era, revision.Number)))
			}
			s.Reduce(at(now, listed(latest, upstreams...)))
			s.Reduce(at(now, manifestRead(latest, version)))
			require.GreaterOrEqual(t, s.Manifest.Version, version)
		}
		list()
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := s.Manifest.Version
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			latest.Number++
			switch rapid.SampledFrom([]string{"register", "remove", "manifest", "backup", "restore", "list", "wait"}).Draw(t, "step") {
			case "register":
				store[id] = latest
			case "remove":
				delete(store, id)
			case "manifest":
				highest++
				version = highest
			case "backup":
				backup, backupLatest, backupVersion = clone(store), latest, version
			case "restore":
				store, version = clone(backup), backupVersion
				latest = inEra(latest.Era+1, backupLatest.Number)
			case "list":
				list()
			case "wait":
				now += time.Second
				s.Reduce(at(now, step.Tick{}))
			}
			require.GreaterOrEqual(t, s.Manifest.Version, before)
		}
		version = highest // The operator's last manifest is written again.
		latest.Number++
		list()
		now += restoreHold
		s.Reduce(at(now, step.Tick{}))
		list()
		require.Equal(t, highest, s.Manifest.Version)
		require.Len(t, s.Upstreams, len(store))
		for id := range store {
			require.NotNil(t, s.Upstreams[id], id)
		}
	})
}

func clone(m map[string]storerev.Revision) map[string]storerev.Revision {
	c := map[string]storerev.Revision{}
	for k, v := range m {
		c[k] = v
	}
	return c
}
