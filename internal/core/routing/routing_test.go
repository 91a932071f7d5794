package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/step"
)

const svcKey = "settings/karrakin/summary-model"

var epoch = time.Unix(1000, 0)

// candidates returns n upstreams in a data centre, each on its own host.
func candidates(place, region string, n int) []member.Candidate {
	var list []member.Candidate
	for i := range n {
		name := fmt.Sprintf("%s-e%d", place, i)
		list = append(list, member.Candidate{Address: name, Place: place, Region: region, Upstream: member.Upstream{Name: "e", Generation: 1}})
	}
	return list
}

func newTestState(policy Policy) *State {
	return NewState(Self{Name: "entry-0", Place: "perth-a", Region: "west", Policy: policy})
}

// driver sends requests through a State with a simulated clock.
type driver struct {
	t      *testing.T
	s      *State
	random *rand.Rand
	now    time.Time
	all    []member.Candidate
}

func newDriver(t *testing.T, all []member.Candidate) *driver {
	return &driver{t: t, s: newTestState(Affinity), random: rand.New(rand.NewPCG(1, 1)), now: epoch, all: all}
}

func (d *driver) pick(prefix uint64) member.Candidate {
	c, availability := d.s.Pick(step.Input{Now: d.now, Rand: d.random.Uint64()}, Query{Service: svcKey, Prefix: prefix}, d.all)
	require.Equal(d.t, Found, availability)
	return c
}

// send sends a request whose first-byte time is what took returns, and returns where it went.
func (d *driver) send(prefix uint64, took func(member.Candidate) time.Duration) member.Candidate {
	c := d.pick(prefix)
	d.s.Sent(d.now, Query{Service: svcKey, Prefix: prefix}, c)
	d.now = d.now.Add(5 * time.Millisecond)
	d.s.FirstByte(d.now, svcKey, c, took(c), 0)
	d.s.Ended(d.now, svcKey, c, 0)
	return c
}

func steady(member.Candidate) time.Duration { return 20 * time.Millisecond }

// TestPrefixGoesToOneUpstream guards against requests with one prefix that are spread over several caches, and against
// different prefixes that all go to a few upstreams.
func TestPrefixGoesToOneUpstream(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 12))
	seen := map[string]bool{}
	for prefix := uint64(1); prefix <= 60; prefix++ {
		first := d.send(prefix, steady)
		seen[first.Address] = true
		for range 3 {
			require.Equal(t, first.Address, d.send(prefix, steady).Address)
		}
	}
	require.GreaterOrEqual(t, len(seen), 10)
}

// TestPrefixLoadIsBounded guards against one popular prefix that overloads its owner while other upstreams are idle.
func TestPrefixLoadIsBounded(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 8))
	counts := map[string]int{}
	for range 80 {
		c := d.pick(7)
		d.s.Sent(d.now, Query{Service: svcKey, Prefix: 7}, c)
		counts[c.Address]++
	}
	for address, n := range counts {
		require.LessOrEqual(t, n, 14, "%s got %v", address, counts)
	}
}

// TestSlowUpstreamsAreEjectedAndReturn guards against upstreams that answer ten times slower than their peers without
// any error. They must be ejected, and must get their share of the requests again once they are fast.
func TestSlowUpstreamsAreEjectedAndReturn(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 12))
	slow := func(c member.Candidate) bool { return c.Address < "perth-a-e3" } // e0, e1, e10, e11, e2
	brownout := func(c member.Candidate) time.Duration {
		if slow(c) && c.Address != "perth-a-e10" {
			return 200 * time.Millisecond
		}
		return 20 * time.Millisecond
	}
	for range 2000 {
		d.send(0, steady)
	}
	share := func(n int, took func(member.Candidate) time.Duration) float64 {
		hits := 0
		for range n {
			if c := d.send(0, took); slow(c) && c.Address != "perth-a-e10" {
				hits++
			}
		}
		return float64(hits) / float64(n)
	}
	share(400, brownout)
	require.Less(t, share(1000, brownout), 0.06, "only probes go to slow upstreams")
	share(10000, steady) // They are fast again, and their probes succeed.
	require.Greater(t, share(1000, steady), 0.25)
}

// TestEjectionIsBounded guards against ejecting so many slow upstreams that the others are overloaded.
func TestEjectionIsBounded(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 10))
	for range 5000 {
		d.send(0, func(c member.Candidate) time.Duration {
			if c.Address < "perth-a-e5" {
				return time.Second
			}
			return 10 * time.Millisecond
		})
	}
	ejected := 0
	for _, u := range d.s.service(svcKey).byKey {
		if u.health != inService {
			ejected++
		}
	}
	require.LessOrEqual(t, ejected, 4)
}

// TestStaleReportIsIgnored guards against a load estimate from a report older than ReportMaxAge, which would keep
// requests from an upstream that has free capacity by now. This entry's own requests always count.
func TestStaleReportIsIgnored(t *testing.T) {
	all := candidates("perth-a", "west", 1)
	s := newTestState(Affinity)
	q := Query{Service: svcKey}
	in := step.Input{Now: epoch}
	_, availability := s.Pick(in, q, all)
	require.Equal(t, Found, availability)
	s.Reported(epoch, svcKey, all[0], Report{Running: 10, Limit: 10})
	_, availability = s.Pick(in, q, all)
	require.Equal(t, Full, availability)
	// A request of this entry that ends frees capacity before the next report arrives.
	s.Sent(epoch, q, all[0])
	s.Ended(epoch, svcKey, all[0], 0)
	s.Ended(epoch, svcKey, all[0], 0)
	_, availability = s.Pick(in, q, all)
	require.Equal(t, Found, availability)
	s.Reported(epoch, svcKey, all[0], Report{Running: 10, Limit: 10})
	_, availability = s.Pick(step.Input{Now: epoch.Add(ReportMaxAge + time.Millisecond)}, q, all)
	require.Equal(t, Found, availability, "a report older than ReportMaxAge is ignored")
}

// TestNearestUpstreamsAreUsedFirst checks that an upstream of another data centre, or of another region, gets requests
// only when all nearer ones are at their limit.
func TestNearestUpstreamsAreUsedFirst(t *testing.T) {
	all := append(candidates("mackay-b", "north", 2), candidates("karratha-a", "west", 2)...)
	all = append(all, candidates("perth-a", "west", 2)...)
	s := newTestState(Affinity)
	var order []string
	for range 6 * DefaultLimit {
		c, availability := s.Pick(step.Input{Now: epoch}, Query{Service: svcKey}, all)
		require.Equal(t, Found, availability)
		s.Sent(epoch, Query{Service: svcKey}, c)
		if len(order) == 0 || order[len(order)-1] != c.Place {
			order = append(order, c.Place)
		}
	}
	require.Equal(t, []string{"perth-a", "karratha-a", "mackay-b"}, order)
	_, availability := s.Pick(step.Input{Now: epoch}, Query{Service: svcKey}, all)
	require.Equal(t, Full, availability)
}

// TestLeavingUpstreamIsSkippedUntilReloaded guards against requests to an agent that reported its shutdown while the
// host list still shows it as serving. The upstream gets requests again when its weights are loaded again.
func TestLeavingUpstreamIsSkippedUntilReloaded(t *testing.T) {
	all := candidates("perth-a", "west", 2)
	d := newDriver(t, all)
	d.pick(0)
	d.s.AgentLeaving(d.now, all[0])
	for range 50 {
		require.Equal(t, all[1].Address, d.pick(0).Address)
	}
	reloaded := append([]member.Candidate(nil), all...)
	reloaded[0].Upstream.Generation++
	d.all = reloaded
	seen := map[string]bool{}
	for range 50 {
		seen[d.pick(0).Address] = true
	}
	require.True(t, seen[all[0].Address])
}

// TestAgentRestartedAtItsAddressGetsRequests guards against a restarted agent that gets no requests because its
// previous instance reported a shutdown. The new instance adopts the engine's weights, so only its incarnation differs.
// Reports of the previous instance that arrive late must not apply to it.
func TestAgentRestartedAtItsAddressGetsRequests(t *testing.T) {
	all := candidates("perth-a", "west", 2)
	d := newDriver(t, all)
	d.pick(0)
	previous := all[0]
	d.s.AgentLeaving(d.now, previous)
	d.all = append([]member.Candidate(nil), all...)
	d.all[0].Incarnation++
	picked := func() bool {
		seen := map[string]bool{}
		for range 50 {
			seen[d.pick(0).Address] = true
		}
		return seen[previous.Address]
	}
	require.True(t, picked())
	d.s.AgentLeaving(d.now, previous)
	d.s.Reported(d.now, svcKey, previous, Report{Leaving: true})
	require.True(t, picked())
	d.s.AgentLeaving(d.now, d.all[0])
	require.False(t, picked())
}

// TestFastFailingUpstreamIsEjected guards against an upstream that attracts requests because its errors are fast. It
// must be ejected after a few errors, its requests must go to other data centres, and successful probes must return it.
func TestFastFailingUpstreamIsEjected(t *testing.T) {
	local, others := candidates("perth-a", "west", 1), candidates("bunbury-a", "west", 2)
	d := newDriver(t, append(local, others...))
	bad, down := local[0].Address, true
	send := func() string {
		c := d.pick(0)
		d.s.Sent(d.now, Query{Service: svcKey}, c)
		d.now = d.now.Add(50 * time.Millisecond)
		if c.Address == bad && down {
			d.s.Failed(d.now, svcKey, c)
		} else {
			d.s.FirstByte(d.now, svcKey, c, 20*time.Millisecond, 0)
		}
		d.s.Ended(d.now, svcKey, c, 0)
		return c.Address
	}
	failed := 0
	for range 100 { // 100 requests take 5 seconds.
		if send() == bad {
			failed++
		}
	}
	require.LessOrEqual(t, failed, FailuresToEject+2)
	down = false
	for range 200 {
		send()
	}
	require.Equal(t, bad, send())
}

// TestSubsetsCoverEvenly guards against upstreams that too few entries use. Each of 483 upstreams must be in the
// subsets of the same number of entries, with a difference of at most one, and of at least Coverage entries.
func TestSubsetsCoverEvenly(t *testing.T) {
	const n = 483
	hash := func(i int) uint64 { return step.Score(fmt.Sprint(i), "upstream") }
	for _, e := range []int{1, 2, 3, 8, 20} {
		var entries []string
		for i := range e {
			entries = append(entries, fmt.Sprintf("entry-%02d", i))
		}
		uses := make([]int, n)
		for _, self := range entries {
			subset := Subset(self, entries, n, hash)
			require.Len(t, subset, SubsetSize(n, e))
			for _, i := range subset {
				uses[i]++
			}
		}
		for _, u := range uses {
			require.InDelta(t, float64(SubsetSize(n, e)*e)/n, u, 1.01, "%d entries", e)
			require.GreaterOrEqual(t, u, min(e, Coverage))
		}
	}
}

// TestCacheEventsUpdatePrefixHolders guards against requests that follow an outdated view of the engines' caches.
// Eviction events must remove a holder unless they are older than its last use, and a gap must invalidate all that is
// known.
func TestCacheEventsUpdatePrefixHolders(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 6))
	owner := d.send(9, steady)
	other := d.all[0]
	if other.Address == owner.Address {
		other = d.all[1]
	}
	report := func(c member.Candidate, changes CacheChanges) {
		d.s.Reported(d.now, svcKey, c, Report{Cache: &changes})
	}
	report(other, CacheChanges{BootID: "b", Seq: 1, Events: []CacheEvent{{Prefix: 9}}})
	require.Equal(t, owner.Address, d.pick(9).Address, "the owner has it too")
	report(owner, CacheChanges{BootID: "a", Seq: 1, Events: []CacheEvent{{Prefix: 9, Evicted: true}}})
	require.Equal(t, owner.Address, d.pick(9).Address, "an eviction older than the last use is ignored")
	d.now = d.now.Add(MaxEventDelay + time.Second)
	report(owner, CacheChanges{BootID: "a", Seq: 2, Events: []CacheEvent{{Prefix: 9, Evicted: true}}})
	require.Equal(t, other.Address, d.pick(9).Address, "the owner evicted it, the other upstream has it")
	report(other, CacheChanges{BootID: "b", Seq: 600, Incomplete: true})
	require.Equal(t, owner.Address, d.pick(9).Address, "after a gap no holder is known, so the owner gets it")
	require.Equal(t, CachePosition{BootID: "b", Seq: 600}, d.s.CachePosition(svcKey, other))
}

// TestPrefixHolderExpires guards against a holder that is kept forever because the event of its eviction was lost.
func TestPrefixHolderExpires(t *testing.T) {
	d := newDriver(t, candidates("perth-a", "west", 6))
	owner := d.send(9, steady)
	svc := d.s.service(svcKey)
	isHolder := func() bool {
		return svc.prefixes.bestHolder(d.now, 9, func(u *upstream) bool { return Key(u.candidate) == Key(owner) }) != nil
	}
	require.True(t, isHolder())
	d.now = d.now.Add(HolderMaxAge + time.Second)
	require.False(t, isHolder())
}

// TestPromptPrefixOfCompleteAndTruncatedBodies checks that the same prompt has the same prefix hash whether the body is
// complete, truncated in an escape, or contains the word "prompt" elsewhere.
func TestPromptPrefixOfCompleteAndTruncatedBodies(t *testing.T) {
	long := ""
	for len(long) < 400 {
		long += "Vendor ä check "
	}
	want := PrefixHash(long)
	for _, body := range []string{
		`{"prompt":"` + long + ` one","max_tokens":3}`,
		`{"max_tokens":3, "note":"prompt", "prompt" : "` + long + ` two"}`,
		`{"prompt":"` + long + ` cut in an escape \u00`,
	} {
		require.Equal(t, want, PromptPrefix([]byte(body)), body)
	}
	require.Zero(t, PromptPrefix([]byte(`{"question":"x"}`)))
	require.Zero(t, PromptPrefix([]byte(`{"prompt":["a"]}`)))
	require.Equal(t, PrefixHash("say \"hi\"\n"), PromptPrefix([]byte(`{"prompt":"say \"hi\"\n"}`)))
}

// BenchmarkPick measures the choice of an upstream for one request.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 128, 483} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			all := candidates("perth-a", "west", n)
			s := newTestState(Affinity)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := Query{Service: svcKey, Prefix: mix(uint64(i % 500))}
				c, _ := s.Pick(step.Input{Now: epoch, Rand: mix(uint64(i))}, q, all)
				s.Sent(epoch, q, c)
				s.Ended(epoch, svcKey, c, 0)
			}
		})
	}
}
