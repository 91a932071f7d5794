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

// begin is the start of the tests' clock.
var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration, ev step.Event) step.Input {
	return step.Input{Now: begin.Add(d), Event: ev}
}

func upstream(id string, revision int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "model", Address: "10.0.0.1:80", Revision: storerev.Revision{Number: revision}}
}

// TestReadyNeedsAllTopics guards against a process that accepts requests before it has read the manifest, the upstreams and the versions.
func TestReadyNeedsAllTopics(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: catalog.NewManifest(1, nil, nil)}))
	require.False(t, s.Ready())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.UpstreamTopic}))
	require.False(t, s.Ready())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	require.True(t, s.Ready())
}

// TestOlderManifestIsIgnored guards against a delayed read of the store that restores an older manifest.
func TestOlderManifestIsIgnored(t *testing.T) {
	s := catalog.NewState()
	newer := catalog.NewManifest(9, nil, nil)
	s.Reduce(at(0, catalog.ManifestRead{Revision: storerev.Revision{Number: 7}, Manifest: newer}))
	older := catalog.ManifestRead{Revision: storerev.Revision{Number: 6}, Manifest: catalog.NewManifest(8, nil, nil)}
	ignored := []step.Effect{catalog.ManifestIgnored{Version: 8, Revision: storerev.Revision{Number: 6}, InForce: 9, InForceRevision: storerev.Revision{Number: 7}}}
	require.Equal(t, ignored, s.Reduce(at(0, older)))
	require.Same(t, newer, s.Manifest)
	require.Empty(t, s.Reduce(at(0, older)), "one log line for each manifest")
}

// TestRemovedUpstreamIsNotRestoredByAnOlderList guards against a list that was read before a removal but arrives after it.
func TestRemovedUpstreamIsNotRestoredByAnOlderList(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 10}, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "a", Revision: storerev.Revision{Number: 12}}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 11}, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	require.Empty(t, s.Upstreams)
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 9}, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	require.Empty(t, s.Upstreams)
}

// TestListRemovesMissingUpstreamsUnlessNewer has a list lack two upstreams: one whose registration is older than the list, and
// one that registered after the list was read and must stay.
func TestListRemovesMissingUpstreamsUnlessNewer(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 10}, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("b", 20)}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 15}}))
	require.Nil(t, s.Upstreams["a"])
	require.NotNil(t, s.Upstreams["b"])
}

// TestIdleStoreIsNotAnOutage has a store that answers rarely because nothing changes. An upstream that is removed then must be dropped at
// once: if the silence counts as an outage, the upstream stays in use for 2 s longer than allowed.
func TestIdleStoreIsNotAnOutage(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.StoreAnswered{}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 10}, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(4*time.Second, catalog.StoreAnswered{}))
	s.Reduce(at(4*time.Second, catalog.UpstreamRemoved{ID: "a", Revision: storerev.Revision{Number: 12}}))
	require.Empty(t, s.Upstreams)
}

// TestRegistrationsExpiredInAnOutageHaveAGracePeriod guards against dropping all upstreams after an outage of the store, in which their
// registrations expired because nobody could renew them.
func TestRegistrationsExpiredInAnOutageHaveAGracePeriod(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 10}, Upstreams: []*catalog.Upstream{upstream("a", 4), upstream("b", 5)}}))
	s.Reduce(at(time.Second, catalog.StoreFailed{}))
	s.Reduce(at(5*time.Second, catalog.StoreAnswered{}))
	s.Reduce(at(5*time.Second, catalog.UpstreamsListed{Revision: storerev.Revision{Number: 30}}))
	require.Len(t, s.Upstreams, 2)
	s.Reduce(at(6*time.Second, catalog.UpstreamChanged{Upstream: upstream("a", 33)}))
	s.Reduce(at(7*time.Second, step.Tick{}))
	require.NotNil(t, s.Upstreams["a"])
	require.Nil(t, s.Upstreams["b"], "a registration still missing 2 s after the outage is dropped")
}

// TestDrainingUpstreamIsDroppedWithoutGracePeriod covers a draining upstream whose registration is gone after an outage: it won't
// register again.
func TestDrainingUpstreamIsDroppedWithoutGracePeriod(t *testing.T) {
	s := catalog.NewState()
	draining := upstream("a", 4)
	draining.Draining = true
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: draining}))
	s.Reduce(at(0, catalog.StoreFailed{}))
	s.Reduce(at(5*time.Second, catalog.StoreAnswered{}))
	s.Reduce(at(5*time.Second, catalog.UpstreamRemoved{ID: "a", Revision: storerev.Revision{Number: 12}}))
	require.Empty(t, s.Upstreams)
}

// TestEachVersionIsRequiredAtItsOwnTime activates a version before the previous one is required. The newer activation must not postpone
// the time at which the previous version is required.
func TestEachVersionIsRequiredAtItsOwnTime(t *testing.T) {
	s := catalog.NewState()
	within := 6 * time.Second
	s.Reduce(at(0, catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 5}}))
	s.Reduce(at(2*time.Second, catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 6}}))
	require.Equal(t, int64(0), s.RequiredVersion("m", begin.Add(5*time.Second), within))
	require.Equal(t, int64(2), s.RequiredVersion("m", begin.Add(7*time.Second), within))
	require.Equal(t, int64(3), s.RequiredVersion("m", begin.Add(8*time.Second), within))
	require.Equal(t, int64(3), s.Versions["m"].Version)
}

// TestEarliestKnownActivationTimeOfAVersionWins has another process report that a version was activated earlier than this process assumes.
// The earlier time must determine when the version is required.
func TestEarliestKnownActivationTimeOfAVersionWins(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(9*time.Second, catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 5}}))
	s.Reduce(at(9*time.Second, catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 5}, Age: 9 * time.Second}))
	require.Equal(t, int64(2), s.RequiredVersion("m", begin.Add(9*time.Second), 6*time.Second))
	s.Reduce(at(10*time.Second, catalog.VersionActivated{Model: "m", Version: 1, Revision: storerev.Revision{Number: 2}}))
	require.Equal(t, int64(2), s.Versions["m"].Version, "an older version is never restored")
}

// TestAddressBelongsToTheLatestRegistration guards against a removal of an earlier registration that hides the one now at its address.
func TestAddressBelongsToTheLatestRegistration(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("old", 4)}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("new", 6)}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "old", Revision: storerev.Revision{Number: 8}}))
	require.Equal(t, "new", s.UpstreamAt("10.0.0.1:80", 0).ID)
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "new", Revision: storerev.Revision{Number: 9}}))
	require.Nil(t, s.UpstreamAt("10.0.0.1:80", 0))
}

func TestRoutesByHostAndLongestPrefix(t *testing.T) {
	short := &catalog.Route{Name: "short", Host: "a.example", Prefix: "/x/"}
	long := &catalog.Route{Name: "long", Host: "a.example", Prefix: "/x/y/"}
	m := catalog.NewManifest(1, []*catalog.Route{short, long}, nil)
	require.Same(t, long, m.Route("a.example", "/x/y/z"))
	require.Same(t, short, m.Route("a.example", "/x/yz"))
	require.Nil(t, m.Route("a.example", "/x"))
	require.Nil(t, m.Route("b.example", "/x/y/z"))
}

func TestSplitsFollowTheirWeights(t *testing.T) {
	r := &catalog.Route{Shares: []catalog.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for draw := range uint64(100) {
		count[r.PickService(draw)]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, count)
}

// TestLatestRevisionWinsInAnyEventOrder delivers the changes of one upstream in any order, possibly repeated, and ends with the latest one.
// A delayed or repeated event must not restore an older state.
func TestLatestRevisionWinsInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "changes")
		removedLast := rapid.Bool().Draw(t, "removed last")
		var events []step.Event
		for revision := 1; revision <= n; revision++ {
			events = append(events, catalog.UpstreamChanged{Upstream: upstream("a", int64(revision))})
		}
		if removedLast {
			events = append(events, catalog.UpstreamRemoved{ID: "a", Revision: storerev.Revision{Number: int64(n + 1)}})
		}
		s := catalog.NewState()
		s.Reduce(at(0, events[0]))
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(events)-1), 0, 12).Draw(t, "order") {
			s.Reduce(at(0, events[i]))
		}
		s.Reduce(at(0, events[len(events)-1]))
		if removedLast {
			require.Nil(t, s.Upstreams["a"])
		} else {
			require.Equal(t, storerev.Revision{Number: int64(n)}, s.Upstreams["a"].Revision)
		}
	})
}

// TestSuccessorIsTheEarliestActivationOfANewerVersion receives the activations of two versions out of order. The expiry of a version
// must be counted from the earliest activation of a newer one.
func TestSuccessorIsTheEarliestActivationOfANewerVersion(t *testing.T) {
	s := catalog.NewState()
	_, ok := s.Successor("m", 1)
	require.False(t, ok)
	s.Reduce(step.Input{Now: begin.Add(time.Second), Event: catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 2}}})
	s.Reduce(step.Input{Now: begin.Add(2 * time.Second), Event: catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 1}, Age: 2 * time.Second}})
	first, ok := s.Successor("m", 1)
	require.True(t, ok)
	require.Equal(t, int64(2), first.Version)
	last, ok := s.Successor("m", 2)
	require.True(t, ok)
	require.Equal(t, int64(3), last.Version)
	_, ok = s.Successor("m", 3)
	require.False(t, ok)
}

// activated returns a report of the activation of version 2 with its age.
func activated(age time.Duration, assumed bool) catalog.VersionActivated {
	return catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 9}, Age: age, Assumed: assumed}
}

// TestKnownAgeReplacesAnAssumedOne has a process find a version when it starts and then receive reports of its age. A known age
// must replace an assumed one, and an assumed age must never replace a known one.
func TestKnownAgeReplacesAnAssumedOne(t *testing.T) {
	s := catalog.NewState()
	s.ListedActivatedAt = begin.Add(-5 * time.Second)
	found := catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 9}, Way: catalog.Listed}
	age := func() time.Duration { return begin.Sub(s.Versions["m"].ActivatedAt) }
	discovered := s.Reduce(at(0, found))
	require.Len(t, discovered, 2)
	require.True(t, s.Versions["m"].Assumed)
	require.Equal(t, 5*time.Second, age())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	require.Empty(t, s.Reduce(at(2*time.Second, found)), "a later list changes nothing")
	require.True(t, s.Versions["m"].Assumed)
	require.Equal(t, 5*time.Second, age())

	s.Reduce(at(0, activated(6*time.Second, true)))
	require.Equal(t, 6*time.Second, age(), "the older of two assumed ages wins")
	require.True(t, s.ReportedActivations(begin, time.Hour)[0].Assumed, "an assumed age is reported as assumed")

	effects := s.Reduce(at(0, activated(2*time.Second, false)))
	require.Len(t, effects, 1, "the corrected age changes the engines' load turns")
	require.Equal(t, 2*time.Second, age(), "a known age replaces an assumed one")
	s.Reduce(at(0, activated(7*time.Second, true)))
	require.Equal(t, 2*time.Second, age())
	require.Empty(t, s.Reduce(at(0, activated(2*time.Second+time.Millisecond, false))), "a difference within datagram latency is no change")
	s.Reduce(at(3*time.Second, found))
	require.False(t, s.Versions["m"].Assumed)
	require.Equal(t, 2*time.Second+time.Millisecond, age())
}

// TestVersionFirstSeenInALaterListIsAssumedNew has a process find a version only in its second list, as when it reads stale lists, while
// other processes assume that the version is older. It is not there since the start, so it counts from the moment of the second list until
// an older age is reported.
func TestVersionFirstSeenInALaterListIsAssumedNew(t *testing.T) {
	s := catalog.NewState()
	s.ListedActivatedAt = begin.Add(-5 * time.Second)
	s.Reduce(at(0, catalog.VersionActivated{Model: "m", Version: 1, Revision: storerev.Revision{Number: 3}, Way: catalog.Listed}))
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	s.Reduce(at(2*time.Second, catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 9}, Way: catalog.Listed}))
	require.Equal(t, begin.Add(2*time.Second), s.Versions["m"].ActivatedAt)
	s.Reduce(at(3*time.Second, activated(6*time.Second, true)))
	require.Equal(t, begin.Add(-3*time.Second), s.Versions["m"].ActivatedAt, "the older assumed age, which others reported, wins")
}

// TestReportedActivationsMayStillBeRequired activates three versions in sequence. A process that starts needs every version that may still
// be required, but none that has been superseded.
func TestReportedActivationsMayStillBeRequired(t *testing.T) {
	s := catalog.NewState()
	for version := int64(1); version <= 3; version++ {
		s.Reduce(at(time.Duration(version)*time.Second, catalog.VersionActivated{Model: "m", Version: version, Revision: storerev.Revision{Number: version}}))
	}
	reported := func(now time.Duration) []int64 {
		var versions []int64
		for _, n := range s.ReportedActivations(begin.Add(now), 8*time.Second) {
			versions = append(versions, n.Version)
		}
		return versions
	}
	require.Equal(t, []int64{3, 2, 1}, reported(4*time.Second))
	require.Equal(t, []int64{3, 2}, reported(10500*time.Millisecond), "version 2 is required, and version 3 isn't yet")
	require.Equal(t, []int64{3}, reported(11*time.Second))
}
