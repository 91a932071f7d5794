package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/watch"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// maxPropagation is the required maximum time until a change is in force at all processes.
	maxPropagation = 18 * time.Second
	tick           = step.TickInterval
)

var fourPlaces = []string{"west-a", "west-b", "east-a", "east-b"}

// newSettledCluster returns a cluster in which all processes are ready and have two settings in force.
func newSettledCluster(t *testing.T, seed uint64, places []string, perPlace int) *cluster {
	c := newCluster(t, seed, places, perPlace)
	c.changeSetting("s0")
	c.changeSetting("s1")
	c.runUntil(maxPropagation, "start", func() bool { return c.allReady() && c.inForceEverywhere(nil) })
	c.run(5*time.Second, tick)
	return c
}

// TestChangesReachAllProcessesDespiteMessageLoss checks that 21 settings changes are in force at all processes in time
// although the network drops 10% of the messages. Pushes are not acknowledged, so the exchanges must repair lost ones.
func TestChangesReachAllProcessesDespiteMessageLoss(t *testing.T) {
	c := newSettledCluster(t, 1, fourPlaces, 20)
	c.loss = 0.1
	for n := range 20 {
		c.changeSetting(fmt.Sprintf("s%d", n%5))
		c.run(300*time.Millisecond, tick)
	}
	c.deleteSetting("s4")
	took := c.runUntil(maxPropagation, "changes", func() bool { return c.inForceEverywhere(nil) })
	t.Logf("the last of 21 changes was in force on 80 processes after %v", took)
}

// TestPlatformCallRateIsBoundedForLargeDataCentres checks that the rate of calls to the platform hardly grows with the
// number of processes. If every process read the platform itself, a large cluster would overload the object API.
func TestPlatformCallRateIsBoundedForLargeDataCentres(t *testing.T) {
	t.Parallel()
	rates := map[int]float64{}
	for _, perPlace := range []int{5, 20, 60} {
		c := newSettledCluster(t, 2, fourPlaces, perPlace)
		calls := c.platformCalls
		c.run(15*time.Second, tick)
		rates[perPlace] = float64(c.platformCalls-calls) / 15
	}
	t.Logf("calls per second by processes per data centre, with 4 data centres: %v", rates)
	require.Less(t, rates[60], 1.5*rates[5], "12 times as many processes must make less than 1.5 times as many calls")
}

// TestChangesPropagateAfterAllWatchersFail stops or freezes all processes that read the platform at once. The next ones
// in rank must take over, or no later change would reach any process.
func TestChangesPropagateAfterAllWatchersFail(t *testing.T) {
	for _, failure := range []string{"die", "freeze"} {
		t.Run(failure, func(t *testing.T) {
			c := newSettledCluster(t, 3, fourPlaces, 10)
			for _, p := range c.procs {
				if p.state.Members.Rank() < watch.WatchersPerDataCentre {
					p.dead = failure == "die"
					p.frozen = true
				}
			}
			c.changeSetting("s1")
			took := c.runUntil(maxPropagation, "take-over", func() bool { return c.inForceEverywhere(nil) })
			t.Logf("in force after %v", took)
		})
	}
}

// findAgent returns an agent that watches the platform, or one that does not. It never returns departingHost.
func (c *cluster) findAgent(watches bool) *proc {
	for _, address := range c.order {
		p := c.procs[address]
		if p.listed.Role == member.Agent && (p.state.Members.Rank() < watch.WatchersPerDataCentre) == watches && address != departingHost {
			return p
		}
	}
	return nil
}

// departingHost is the address of the host that leaves in TestReturningStaleProcessRevertsNothing.
const departingHost = "10.2.0.4:7070"

// TestChangesPropagateAfterPlatformWasSilent makes the platform leave all calls without an answer for a minute, so that each
// read fails by its timeout. The watchers must retry; a change at the end of that minute must be in force everywhere in
// time.
func TestChangesPropagateAfterPlatformWasSilent(t *testing.T) {
	c := newSettledCluster(t, 4, fourPlaces, 6)
	c.platformSilent = true
	c.run(time.Minute, tick)
	c.changeSetting("s1")
	c.platformSilent = false
	c.runUntil(maxPropagation, "after the silence", func() bool { return c.inForceEverywhere(nil) })
}

// TestPlatformCallRateIsBoundedDuringOutage limits the calls of all processes to a platform that is down to 20 per second,
// because retries without backoff would hinder its recovery. A change after the outage must still be in force in time.
func TestPlatformCallRateIsBoundedDuringOutage(t *testing.T) {
	t.Parallel()
	c := newSettledCluster(t, 5, fourPlaces, 20)
	c.platformDown = true
	c.run(30*time.Second, tick)
	calls := c.platformCalls
	c.run(2*time.Minute, tick)
	rate := float64(c.platformCalls-calls) / 120
	t.Logf("80 processes make %.1f calls per second to a platform that is down", rate)
	require.Less(t, rate, 20.0)
	c.changeSetting("s0")
	c.platformDown = false
	took := c.runUntil(maxPropagation, "after the outage", func() bool { return c.inForceEverywhere(nil) })
	t.Logf("in force %v after the outage", took)
}

// TestSettingsAreListedAgainAfterWatchWindow lets the platform drop the history that a watch would need. The processes must
// list all settings then; a watch from the present would miss the changes and the deletion in between.
func TestSettingsAreListedAgainAfterWatchWindow(t *testing.T) {
	c := newSettledCluster(t, 6, fourPlaces, 5)
	c.watchWindow = 3
	c.platformDown = true
	c.run(5*time.Second, tick)
	for n := range 10 {
		c.changeSetting(fmt.Sprintf("s%d", n))
	}
	c.deleteSetting("s1")
	c.platformDown = false
	c.runUntil(maxPropagation, "listing", func() bool { return c.inForceEverywhere(nil) })
}

// TestReplacedDataCentreStartsFromPeersDuringOutage restarts all processes of a data centre while the platform is down.
// They must become ready with the current settings of their peers instead of waiting for the platform.
func TestReplacedDataCentreStartsFromPeersDuringOutage(t *testing.T) {
	c := newSettledCluster(t, 7, fourPlaces, 8)
	last := c.changeSetting("s0")
	c.runUntil(maxPropagation, "change", func() bool { return c.inForceEverywhere(nil) })
	c.platformDown = true
	c.run(30*time.Second, tick)
	for _, address := range append([]string(nil), c.order...) {
		if p := c.procs[address]; p.listed.Place == "east-a" {
			c.add(address, "east-a", p.listed.Role, 2)
		}
	}
	took := c.runUntil(maxPropagation, "ready from peers", c.allReady)
	t.Logf("all processes of a data centre were ready without the platform after %v", took)
	require.True(t, c.inForceEverywhere(nil))
	for _, p := range c.procs {
		require.Equal(t, last, p.state.Settings[setting.Key("t", "s0")].Revision)
		require.GreaterOrEqual(t, len(p.state.Records.MergedPeers)+boolToInt(p.state.Watch.HasRead), 1)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// TestNewProcessIsNotReadyFromStalePeersAlone guards against a new process that serves with outdated settings because it
// has only merged the state of peers that are behind. It waits for the state of MinPeers peers. MinPeers-1 peers
// are stale here, so at least one of the merged states is up to date.
func TestNewProcessIsNotReadyFromStalePeersAlone(t *testing.T) {
	for seed := range uint64(20) {
		c := newSettledCluster(t, 100+seed, []string{"west-a", "east-a"}, 4)
		for i := range watch.MinPeers - 1 {
			c.add(fmt.Sprintf("10.8.0.%d:7070", i), "old-a", member.Agent, 1)
		}
		c.runUntil(maxPropagation, "start", func() bool { return c.allReady() && c.inForceEverywhere(nil) })
		// The stale peers can reach only each other and the new process.
		c.partitioned = func(a, b string) bool { return (a == "old-a") != (b == "old-a") && a != "new-a" && b != "new-a" }
		last := c.changeSetting("s0")
		c.runUntil(maxPropagation, "change", func() bool { return c.inForceEverywhere(func(p *proc) bool { return p.listed.Place != "old-a" }) })
		c.platformDown = true
		fresh := c.add("10.9.0.9:7070", "new-a", member.Agent, 1)
		c.runUntil(maxPropagation, "ready", func() bool { return fresh.state.Ready })
		require.Equal(t, last, fresh.state.Settings[setting.Key("t", "s0")].Revision, "seed %d", seed)
	}
}

// TestNoProcessIsReadyWithoutSettings starts a cluster while the platform is down. The processes exchange their empty
// states; none may take that for complete settings and become ready.
func TestNoProcessIsReadyWithoutSettings(t *testing.T) {
	c := newCluster(t, 8, []string{"west-a"}, 5)
	c.changeSetting("s0")
	c.platformDown = true
	c.run(time.Minute, tick)
	for _, p := range c.procs {
		require.False(t, p.state.Ready, "a process without any setting became ready")
	}
	c.platformDown = false
	c.runUntil(maxPropagation, "platform back", func() bool { return c.allReady() && c.inForceEverywhere(nil) })
}

// TestReturningStaleProcessRevertsNothing freezes a process for 25 hours. Meanwhile a setting is changed, another one is
// deleted, a host leaves, and the tombstones are swept. When the process returns with its old records, it must neither
// revert the change nor bring the deleted setting or the host back.
func TestReturningStaleProcessRevertsNothing(t *testing.T) {
	t.Parallel()
	t.Run("platform up", func(t *testing.T) { testReturningStaleProcess(t, false) })
	t.Run("platform down", func(t *testing.T) { testReturningStaleProcess(t, true) })
}

func testReturningStaleProcess(t *testing.T, platformDown bool) {
	c := newSettledCluster(t, 9, fourPlaces, 6)
	c.changeSetting("gone")
	c.runUntil(maxPropagation, "start", func() bool { return c.inForceEverywhere(nil) })
	stale := c.findAgent(false)
	stale.frozen = true
	departed := departingHost
	c.procs[departed].dead = true
	c.remove(departed)
	c.changeSetting("s0")
	c.deleteSetting("gone")
	c.run(time.Minute, tick)
	c.run(25*time.Hour, 2*time.Minute)
	c.run(30*time.Second, tick)
	tombstones := 0
	for _, p := range c.procs {
		if !p.dead && !p.frozen {
			tombstones += p.state.Records.Tombstones()
		}
	}
	require.Zero(t, tombstones, "all tombstones were swept")
	c.platformDown = platformDown
	stale.frozen = false
	c.run(maxPropagation, tick)
	require.True(t, c.inForceEverywhere(nil), "a deleted or older setting came back")
	entry := c.procs["10.0.0.0:7070"]
	require.Nil(t, entry.state.Members.Hosts[departed], "the departed host came back")
	for _, p := range c.procs {
		if !p.dead {
			_, held := p.state.Records.Records[setting.Key("t", "gone")]
			require.False(t, held && !p.state.Records.Records[setting.Key("t", "gone")].Deleted)
		}
	}
}

// TestPartitionedRegionsStayReadyAndMerge partitions two regions for an hour while settings change on the platform's side.
// Both sides must stay ready, the platform's side must get all changes, and the other side must catch up in time after
// the partition.
func TestPartitionedRegionsStayReadyAndMerge(t *testing.T) {
	t.Parallel()
	c := newSettledCluster(t, 10, fourPlaces, 5)
	c.partitioned = func(a, b string) bool { return region(a) != region(b) }
	for n := range 10 {
		c.changeSetting(fmt.Sprintf("s%d", n%3))
		c.run(5*time.Second, tick)
	}
	c.run(time.Hour, time.Second)
	west := func(p *proc) bool { return p.listed.Region == "west" }
	require.True(t, c.inForceEverywhere(west), "changes reach the platform's side")
	for _, p := range c.procs {
		require.True(t, p.state.Ready, "both sides stay ready")
	}
	c.partitioned = nil
	took := c.runUntil(maxPropagation, "merge", func() bool { return c.inForceEverywhere(nil) })
	t.Logf("merged %v after the partition", took)
}

// TestRestartedHostOverridesHigherIncarnation restarts a host whose clock was set back, so that its previous instance had
// a higher incarnation. The records of the new instance must still replace those of the previous one; otherwise entries
// would route by an outdated advertisement.
func TestRestartedHostOverridesHigherIncarnation(t *testing.T) {
	c := newCluster(t, 11, []string{"west-a"}, 4)
	c.changeSetting("s0")
	address := "10.0.0.2:7070"
	c.add(address, "west-a", member.Agent, 1_000_000)
	c.runUntil(maxPropagation, "start", func() bool { return c.allReady() && c.inForceEverywhere(nil) })
	c.run(5*time.Second, tick)
	fresh := c.add(address, "west-a", member.Agent, 5)
	c.runUntil(maxPropagation, "ready", func() bool { return fresh.state.Ready })
	c.run(5*time.Second, tick)
	own := fresh.state.Records.Records[record.PhasePrefix+address]
	entry := c.procs["10.0.0.0:7070"].state.Records.Records[record.PhasePrefix+address]
	require.Equal(t, own.Version, entry.Version, "the entry has the record of the new instance")
	require.Greater(t, own.Version.Major, uint64(1_000_000))
}

// TestRelistedHostIsKnownAgain takes a host off the platform's list for 20 seconds while its process keeps running. The
// tombstones of its records must not outlast its return: the host has to publish them again under a higher version.
func TestRelistedHostIsKnownAgain(t *testing.T) {
	c := newSettledCluster(t, 12, []string{"west-a", "west-b"}, 6)
	address := "10.1.0.3:7070"
	host := c.procs[address].listed
	c.remove(address)
	c.run(20*time.Second, tick)
	entry := c.procs["10.0.0.0:7070"]
	h := entry.state.Members.Hosts[address]
	require.True(t, h == nil || h.Listed.Address == "", "not listed, so no candidate")
	c.hosts = append(c.hosts, host)
	c.runUntil(maxPropagation, "advertisement of the host", func() bool {
		h := entry.state.Members.Hosts[address]
		return h != nil && h.Advert != nil && h.Advert.Upstreams[0].Phase == member.Serving
	})
}

// TestChangeReaches300ProcessesWithinThreeSeconds limits the time until a change is in force at 300 processes to 3 seconds.
// It guards the pushes, which spread a change before the periodic exchanges would. It logs the idle traffic.
func TestChangeReaches300ProcessesWithinThreeSeconds(t *testing.T) {
	t.Parallel()
	c := newSettledCluster(t, 13, fourPlaces, 75)
	bytes, messages := c.bytes, c.messages
	c.run(10*time.Second, tick)
	idleBytes, idleMessages := c.bytes-bytes, c.messages-messages
	last := c.changeSetting("s0")
	key := setting.Key("t", "s0")
	start := c.now
	upToDate := func() int {
		n := 0
		for _, p := range c.procs {
			if p.state.Settings[key].Revision == last {
				n++
			}
		}
		return n
	}
	took := c.runUntil(maxPropagation, "change", func() bool { return upToDate() == len(c.procs) })
	t.Logf("300 processes: idle %.0f bytes and %.2f messages per second and process (JSON payloads); a change was in force everywhere after %v (virtual time from %v)",
		float64(idleBytes)/10/300, float64(idleMessages)/10/300, took, start)
	require.Less(t, took, 3*time.Second)
}
