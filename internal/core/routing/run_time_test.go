package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
)

// sendAll sends n requests with a first-byte time by this entry's measurement and one by the agent's, and returns how many each upstream got.
func sendAll(d *driver, n int, own, run func(member.Candidate) time.Duration) map[string]int {
	sent := map[string]int{}
	for range n {
		c := d.pick(0)
		d.s.Sent(d.now, Query{Service: svcKey}, c)
		d.now = d.now.Add(5 * time.Millisecond)
		d.s.FirstByte(d.now, svcKey, c, own(c), run(c))
		d.s.Ended(d.now, svcKey, c, 0)
		sent[c.Address]++
	}
	return sent
}

// TestOwnDelayHidesNoSlowUpstream guards against slow engines that keep their share of the requests while this process is late by two
// seconds in all its calls: load on the entry's host, with a third of the engines slow.
func TestOwnDelayHidesNoSlowUpstream(t *testing.T) {
	all := candidates("perth-a", "west", 6)
	slow := map[string]bool{all[0].Address: true, all[1].Address: true}
	run := func(c member.Candidate) time.Duration {
		if slow[c.Address] {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	own := func(c member.Candidate) time.Duration { return 2*time.Second + run(c) }
	sent := sendAll(newDriver(t, all), 400, own, run)
	require.Less(t, sent[all[0].Address]+sent[all[1].Address], 60, "%v", sent)
}

// TestRunTimesAreComparedWithRunTimes guards against agents that are taken as slow because they report no run time, while the others'
// run times are far below what the entry measures: a rolling update of the agents.
func TestRunTimesAreComparedWithRunTimes(t *testing.T) {
	all := candidates("perth-a", "west", 6)
	run := func(c member.Candidate) time.Duration {
		if c.Address == all[0].Address {
			return 0
		}
		return time.Millisecond
	}
	own := func(member.Candidate) time.Duration { return 100 * time.Millisecond }
	sent := sendAll(newDriver(t, all), 400, own, run)
	require.Greater(t, sent[all[0].Address], 30, "%v", sent)
}

// TestHangingUpstreamIsEjectedWithRunTimes guards against an upstream that answers nothing any more and keeps its share, since its agent
// measures no run time without an answer.
func TestHangingUpstreamIsEjectedWithRunTimes(t *testing.T) {
	all := candidates("perth-a", "west", 6)
	d := newDriver(t, all)
	brief := func(member.Candidate) time.Duration { return 5 * time.Millisecond }
	sendAll(d, 200, brief, brief)
	hanging := 0
	for range 200 {
		c := d.pick(0)
		d.s.Sent(d.now, Query{Service: svcKey}, c)
		d.now = d.now.Add(5 * time.Millisecond)
		if c.Address == all[0].Address {
			hanging++
			d.s.Ended(d.now, svcKey, c, time.Second)
			continue
		}
		d.s.FirstByte(d.now, svcKey, c, 5*time.Millisecond, 5*time.Millisecond)
		d.s.Ended(d.now, svcKey, c, 0)
	}
	require.Less(t, hanging, 20)
}

// TestImplausibleRunTimeIsIgnored guards against a reported run time that is negative or beyond every deadline.
func TestImplausibleRunTimeIsIgnored(t *testing.T) {
	var none *Report
	require.Zero(t, none.FirstByteTime())
	require.Zero(t, (&Report{FirstByteUS: -1}).FirstByteTime())
	require.Zero(t, (&Report{FirstByteUS: 1 << 62}).FirstByteTime())
	require.Equal(t, 3*time.Millisecond, (&Report{FirstByteUS: 3000}).FirstByteTime())
}

// TestRunTimesEndWithTheirAgent guards against the run times of an agent that stand for those of its successor: one of an earlier release
// reports none, and its slow engine would keep its share by the fast times from before.
func TestRunTimesEndWithTheirAgent(t *testing.T) {
	all := candidates("perth-a", "west", 6)
	d := newDriver(t, all)
	brief := func(member.Candidate) time.Duration { return 5 * time.Millisecond }
	sendAll(d, 200, brief, brief)
	d.all = append([]member.Candidate(nil), all...)
	d.all[0].Incarnation++
	own := func(c member.Candidate) time.Duration {
		if c.Address == all[0].Address {
			return 200 * time.Millisecond
		}
		return 5 * time.Millisecond
	}
	run := func(c member.Candidate) time.Duration {
		if c.Address == all[0].Address {
			return 0
		}
		return 5 * time.Millisecond
	}
	sent := sendAll(d, 400, own, run)
	require.Less(t, sent[all[0].Address], 30, "%v", sent)
}
