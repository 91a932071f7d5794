package catalog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// begin is the first moment of the tests' clock.
var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration, ev step.Event) step.Input {
	return step.Input{Now: begin.Add(d), Event: ev}
}

func upstream(id string, revision int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "model", Address: "10.0.0.1:80", Revision: revision}
}

func TestReadyNeedsAllTopics(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.ManifestRead{Revision: 1, Manifest: catalog.NewManifest(1, nil, nil)}))
	require.False(t, s.Ready())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.UpstreamTopic}))
	require.False(t, s.Ready())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	require.True(t, s.Ready())
}

func TestAnOlderManifestNeverComesBack(t *testing.T) {
	s := catalog.NewState()
	newer := catalog.NewManifest(9, nil, nil)
	s.Reduce(at(0, catalog.ManifestRead{Revision: 7, Manifest: newer}))
	s.Reduce(at(0, catalog.ManifestRead{Revision: 6, Manifest: catalog.NewManifest(8, nil, nil)}))
	require.Same(t, newer, s.Manifest)
}

func TestARemovedUpstreamStaysRemovedWhateverAnOlderListSays(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 10, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "a", Revision: 12}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 11, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	require.Empty(t, s.Upstreams)
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 9, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	require.Empty(t, s.Upstreams)
}

func TestAListRemovesWhatItLacksButNotWhatIsNewer(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 10, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("b", 20)}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 15}))
	require.Nil(t, s.Upstreams["a"])
	require.NotNil(t, s.Upstreams["b"])
}

// TestAQuietStoreIsNoOutage has a store answer seldom, as it does when nothing changes. An upstream that leaves then is gone at
// once: taking the silence for an outage once kept it in use for two seconds more than allowed.
func TestAQuietStoreIsNoOutage(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.StoreHeard{}))
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 10, Upstreams: []*catalog.Upstream{upstream("a", 4)}}))
	s.Reduce(at(4*time.Second, catalog.StoreHeard{}))
	s.Reduce(at(4*time.Second, catalog.UpstreamRemoved{ID: "a", Revision: 12}))
	require.Empty(t, s.Upstreams)
}

func TestEntriesThatLapsedInAnOutageHaveTimeToComeBack(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamsListed{Revision: 10, Upstreams: []*catalog.Upstream{upstream("a", 4), upstream("b", 5)}}))
	s.Reduce(at(time.Second, catalog.StoreFailed{}))
	s.Reduce(at(5*time.Second, catalog.StoreHeard{}))
	s.Reduce(at(5*time.Second, catalog.UpstreamsListed{Revision: 30}))
	require.Len(t, s.Upstreams, 2)
	s.Reduce(at(6*time.Second, catalog.UpstreamChanged{Upstream: upstream("a", 33)}))
	s.Reduce(at(7*time.Second, step.Tick{}))
	require.NotNil(t, s.Upstreams["a"])
	require.Nil(t, s.Upstreams["b"], "what is still missing two seconds after the outage is gone")
}

func TestADrainingUpstreamThatLapsedIsGone(t *testing.T) {
	s := catalog.NewState()
	leaving := upstream("a", 4)
	leaving.Draining = true
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: leaving}))
	s.Reduce(at(0, catalog.StoreFailed{}))
	s.Reduce(at(5*time.Second, catalog.StoreHeard{}))
	s.Reduce(at(5*time.Second, catalog.UpstreamRemoved{ID: "a", Revision: 12}))
	require.Empty(t, s.Upstreams)
}

// TestEachVersionHasItsOwnTime names a version before the time of the one before is over: that one stays due.
func TestEachVersionHasItsOwnTime(t *testing.T) {
	s := catalog.NewState()
	within := 6 * time.Second
	s.Reduce(at(0, catalog.VersionNamed{Model: "m", Version: 2, Revision: 5}))
	s.Reduce(at(2*time.Second, catalog.VersionNamed{Model: "m", Version: 3, Revision: 6}))
	require.Equal(t, int64(0), s.RequiredVersion("m", begin.Add(5*time.Second), within))
	require.Equal(t, int64(2), s.RequiredVersion("m", begin.Add(7*time.Second), within))
	require.Equal(t, int64(3), s.RequiredVersion("m", begin.Add(8*time.Second), within))
	require.Equal(t, int64(3), s.Versions["m"].Version)
}

func TestAVersionIsAsOldAsTheFirstThatKnewIt(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(9*time.Second, catalog.VersionNamed{Model: "m", Version: 2, Revision: 5}))
	s.Reduce(at(9*time.Second, catalog.VersionNamed{Model: "m", Version: 2, Revision: 5, Age: 9 * time.Second}))
	require.Equal(t, int64(2), s.RequiredVersion("m", begin.Add(9*time.Second), 6*time.Second))
	s.Reduce(at(10*time.Second, catalog.VersionNamed{Model: "m", Version: 1, Revision: 2}))
	require.Equal(t, int64(2), s.Versions["m"].Version, "an older version never comes back")
}

func TestAnAddressBelongsToTheLastThatRegistered(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("old", 4)}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: upstream("new", 6)}))
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "old", Revision: 8}))
	require.Equal(t, "new", s.At("10.0.0.1:80", 0).ID)
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "new", Revision: 9}))
	require.Nil(t, s.At("10.0.0.1:80", 0))
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
		count[r.Pick(draw)]++
	}
	require.Equal(t, map[string]int{"a": 90, "b": 10}, count)
}

// TestBeliefsFollowTheStoreInAnyOrder delivers the changes of one upstream in any order, each maybe twice, and finds the last.
func TestBeliefsFollowTheStoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "changes")
		removedLast := rapid.Bool().Draw(t, "removed last")
		var events []step.Event
		for revision := 1; revision <= n; revision++ {
			events = append(events, catalog.UpstreamChanged{Upstream: upstream("a", int64(revision))})
		}
		if removedLast {
			events = append(events, catalog.UpstreamRemoved{ID: "a", Revision: int64(n + 1)})
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
			require.Equal(t, int64(n), s.Upstreams["a"].Revision)
		}
	})
}

func TestTheFirstNewerNamingEndsTheTimeOfAVersion(t *testing.T) {
	s := catalog.NewState()
	_, ok := s.Successor("m", 1)
	require.False(t, ok)
	s.Reduce(step.Input{Now: begin.Add(time.Second), Event: catalog.VersionNamed{Model: "m", Version: 3, Revision: 2}})
	s.Reduce(step.Input{Now: begin.Add(2 * time.Second), Event: catalog.VersionNamed{Model: "m", Version: 2, Revision: 1, Age: 2 * time.Second}})
	first, ok := s.Successor("m", 1)
	require.True(t, ok)
	require.Equal(t, int64(2), first.Version)
	last, ok := s.Successor("m", 2)
	require.True(t, ok)
	require.Equal(t, int64(3), last.Version)
	_, ok = s.Successor("m", 3)
	require.False(t, ok)
}

// named is a word on version 2 that says how old it is.
func named(age time.Duration, assumed bool) catalog.VersionNamed {
	return catalog.VersionNamed{Model: "m", Version: 2, Revision: 9, Age: age, Assumed: assumed}
}

// TestAnAssumedAgeGivesWayToAKnownOne has a process find a version when it starts, and hear of its age by several ways.
func TestAnAssumedAgeGivesWayToAKnownOne(t *testing.T) {
	s := catalog.NewState()
	s.ListedSince = begin.Add(-5 * time.Second)
	found := catalog.VersionNamed{Model: "m", Version: 2, Revision: 9, Listed: true}
	age := func() time.Duration { return begin.Sub(s.Versions["m"].Since) }
	only := s.Reduce(at(0, found))
	require.Len(t, only, 2)
	require.True(t, s.Versions["m"].Assumed)
	require.Equal(t, 5*time.Second, age())
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	require.Empty(t, s.Reduce(at(2*time.Second, found)), "a later list says nothing new")
	require.True(t, s.Versions["m"].Assumed)
	require.Equal(t, 5*time.Second, age())

	s.Reduce(at(0, named(6*time.Second, true)))
	require.Equal(t, 6*time.Second, age(), "of two assumptions the older one")
	require.True(t, s.Told(begin, time.Hour)[0].Assumed, "it is told as what it is")

	effects := s.Reduce(at(0, named(2*time.Second, false)))
	require.Len(t, effects, 1, "the turns of the engines must hear of it")
	require.Equal(t, 2*time.Second, age(), "who heard it being named knows better")
	s.Reduce(at(0, named(7*time.Second, true)))
	require.Equal(t, 2*time.Second, age())
	require.Empty(t, s.Reduce(at(0, named(2*time.Second+time.Millisecond, false))), "a datagram's way is no news")
	s.Reduce(at(3*time.Second, found))
	require.False(t, s.Versions["m"].Assumed)
	require.Equal(t, 2*time.Second+time.Millisecond, age())
}

// TestAVersionThatALaterListBringsIsAssumedToBeNew has a process that reads old lists find a version only in its second one, when the others
// take it to be older.
func TestAVersionThatALaterListBringsIsAssumedToBeNew(t *testing.T) {
	s := catalog.NewState()
	s.ListedSince = begin.Add(-5 * time.Second)
	s.Reduce(at(0, catalog.VersionNamed{Model: "m", Version: 1, Revision: 3, Listed: true}))
	s.Reduce(at(0, catalog.TopicListed{Topic: catalog.VersionTopic}))
	s.Reduce(at(2*time.Second, catalog.VersionNamed{Model: "m", Version: 2, Revision: 9, Listed: true}))
	require.Equal(t, begin.Add(2*time.Second), s.Versions["m"].Since)
	s.Reduce(at(3*time.Second, named(6*time.Second, true)))
	require.Equal(t, begin.Add(-3*time.Second), s.Versions["m"].Since, "the others' assumption is the older one")
}

// TestWhatIsToldIsWhatMayStillBeRequired names three versions one after the other.
func TestWhatIsToldIsWhatMayStillBeRequired(t *testing.T) {
	s := catalog.NewState()
	for version := int64(1); version <= 3; version++ {
		s.Reduce(at(time.Duration(version)*time.Second, catalog.VersionNamed{Model: "m", Version: version, Revision: version}))
	}
	told := func(now time.Duration) []int64 {
		var versions []int64
		for _, n := range s.Told(begin.Add(now), 8*time.Second) {
			versions = append(versions, n.Version)
		}
		return versions
	}
	require.Equal(t, []int64{3, 2, 1}, told(4*time.Second))
	require.Equal(t, []int64{3, 2}, told(10500*time.Millisecond), "version 2 is due, and version 3 is not yet")
	require.Equal(t, []int64{3}, told(11*time.Second))
}
