package versionplan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core/versionplan"
)

// TestVersionThatCannotBeCompletedDoesNotHoldBackTheNewest guards against a fetch order whose first version lacks chunks that neither the
// fleet nor the origin will send, and against a prediction that waits for it.
func TestVersionThatCannotBeCompletedDoesNotHoldBackTheNewest(t *testing.T) {
	for _, resolved := range []bool{true, false} {
		in := versionplan.Inputs{
			Versions: []versionplan.Version{
				{Number: 2, UsableUntil: begin.Add(8 * s), FleetLacks: size / 10, HostLacks: size / 5, Size: size, Resolved: resolved, Gone: true},
				{Number: 3, FleetLacks: size, HostLacks: size, Size: size, Resolved: true},
			},
			OriginRate: originRate, LinkRate: linkRate, LoadTime: 2 * s, IdleLoadTime: idleLoadTime,
		}
		plan := versionplan.Decide(begin, in)
		assert.Equal(t, int64(3), plan.FetchOrder[0])
		assert.Equal(t, int64(3), plan.ReadyVersion)
		assert.Less(t, plan.ReadyAt.Sub(begin), 3500*ms)
	}
}

// TestMemoryHoldsTheVersionsThatAreFetched guards against two incomplete versions that do not fit into the chunk memory beside the complete
// ones, so that neither is ever complete.
func TestMemoryHoldsTheVersionsThatAreFetched(t *testing.T) {
	for _, c := range []struct {
		memory int64
		sized  bool
		want   []int64
	}{{3 * size, true, []int64{2, 3}}, {3*size - 1, true, []int64{3}}, {3 * size, false, []int64{2, 3}}, {3*size - 1, false, []int64{3}}} {
		in := versionplan.Inputs{
			Versions: []versionplan.Version{
				{Number: 1, UsableUntil: begin.Add(8 * s), Complete: true, Size: size, Resolved: true},
				{Number: 2, UsableUntil: begin.Add(10 * s), FleetLacks: size / 20, HostLacks: size / 10, Size: size, Resolved: true},
				{Number: 3, FleetLacks: size, HostLacks: size, Size: size, Resolved: true},
			},
			Held: 1, HeldUntil: begin.Add(8 * s), OriginRate: originRate, LinkRate: linkRate, LoadTime: 2 * s, IdleLoadTime: idleLoadTime, Memory: c.memory,
		}
		if !c.sized {
			in.Versions[2] = versionplan.Version{Number: 3}
		}
		assert.Equal(t, c.want, versionplan.Decide(begin, in).FetchOrder, "memory %d, sized %v", c.memory, c.sized)
	}
}

// TestEmptyEngineLoadsWhatIsUsable guards against an engine without weights beside a complete version that can still be used, whatever is
// predicted of the next one, on either half of the hosts.
func TestEmptyEngineLoadsWhatIsUsable(t *testing.T) {
	for _, half := range []bool{false, true} {
		for _, away := range []bool{false, true} {
			for _, use := range []time.Duration{1100 * ms, 3 * s, 9 * s} {
				for _, lacks := range []int64{0, size / 2, size} {
					in := versionplan.Inputs{
						Versions: []versionplan.Version{
							{Number: 2, UsableUntil: begin.Add(use), Complete: true, Size: size, Resolved: true},
							{Number: 3, FleetLacks: lacks, HostLacks: lacks + 1, Size: size, Resolved: true},
						},
						OriginRate: originRate, LinkRate: linkRate, OriginAway: away, LoadTime: 2 * s, IdleLoadTime: idleLoadTime, SecondHalf: half, TurnTime: 5 * s,
					}
					assert.Equal(t, int64(2), versionplan.Decide(begin, in).Load, "%v %v %v %d", half, away, use, lacks)
				}
			}
		}
	}
}

// TestHalfLoadAVersionWhenTurnsAreTooShort guards against engines that all wait for a version which leaves too little time to load it in turns:
// nearly all would be away together. Turns take 5 s, and the held version can be used for 5 s.
func TestHalfLoadAVersionWhenTurnsAreTooShort(t *testing.T) {
	for _, c := range []struct {
		heldFor    time.Duration
		secondHalf bool
		want       int64
	}{{5 * s, false, 2}, {5 * s, true, 0}, {8 * s, false, 0}, {8 * s, true, 0}} {
		in := versionplan.Inputs{
			Versions: []versionplan.Version{
				{Number: 2, UsableUntil: begin.Add(c.heldFor + 2*s), Complete: true, Size: size, Resolved: true},
				{Number: 3, FleetLacks: size / 2, HostLacks: size / 2, Size: size, Resolved: true},
			},
			Held: 1, HeldUntil: begin.Add(c.heldFor), OriginRate: originRate, LinkRate: linkRate, LoadTime: 2500 * ms, IdleLoadTime: idleLoadTime, TurnTime: 5 * s,
			Serving: true, SecondHalf: c.secondHalf,
		}
		assert.Equal(t, c.want, versionplan.Decide(begin, in).Load, "%+v", c)
	}
}

// TestFleetGetsTheRestOfAnOlderVersionFirst guards against a version of which the fleet lacks a single chunk when the origin goes away, since the
// newest version came first for the few tenths of a second in which the origin could have sent the rest.
func TestFleetGetsTheRestOfAnOlderVersionFirst(t *testing.T) {
	const chunk, chunks = 49152, 48
	now := time.Unix(1000, 0)
	in := versionplan.Inputs{
		Held: 1, HeldUntil: now.Add(6400 * time.Millisecond), OriginRate: 9e6 / 8, LinkRate: 0.8 * 9.4e6 / 8, LoadTime: 2500 * time.Millisecond,
		IdleLoadTime: 500 * time.Millisecond, TurnTime: 5 * time.Second, Serving: true,
		Versions: []versionplan.Version{
			{Number: 1, ActivatedAt: now.Add(-time.Minute), UsableUntil: now.Add(6400 * time.Millisecond), Complete: true, Resolved: true, Size: chunks * chunk},
			{Number: 2, ActivatedAt: now.Add(-2 * time.Second), UsableUntil: now.Add(8400 * time.Millisecond), FleetLacks: 6 * chunk, HostLacks: 29 * chunk, Resolved: true, Size: chunks * chunk},
			{Number: 3, ActivatedAt: now},
		},
	}
	assert.Equal(t, []int64{2, 3}, versionplan.Decide(now, in).FetchOrder)
	in.Versions[1].FleetLacks = 0
	assert.Equal(t, []int64{3, 2}, versionplan.Decide(now, in).FetchOrder, "the fleet holds it, and the newest is whole soon enough")
	in.OriginAway = true
	assert.Equal(t, []int64{2, 3}, versionplan.Decide(now, in).FetchOrder, "the hosts complete it without the origin")
}
