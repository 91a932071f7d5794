package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/record"
)

const f = "fingerprint"

var now = time.Unix(1_000_000, 0)

// crash applies the mark of a crash, which it expects, and returns it.
func crash(t *testing.T, s *State, alone bool) record.Record {
	t.Helper()
	r, ok := s.Crashed(now, f, alone)
	require.True(t, ok)
	s.Apply(now, []record.Record{r})
	return r
}

// A crash with several requests in flight does not show which of them caused it. A suspect that only shares crashes must
// not be quarantined.
func TestSecondCrashQuarantinesOnlyARequestThatRanAlone(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	assert.Equal(t, Suspect, s.Status(now, f))
	_, more := s.Crashed(now, f, false)
	assert.False(t, more, "a second crash with other requests in flight must not start a quarantine")
	crash(t, s, true)
	assert.Equal(t, Quarantined, s.Status(now, f))
	assert.Equal(t, QuarantineDuration, s.Remaining(now, f))
}

// An innocent request that was in flight at a crash must not stay a suspect for the whole of SuspectDuration.
func TestSuspectThatCompletesAloneIsCleared(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	r, ok := s.Cleared(now, f)
	require.True(t, ok)
	s.Apply(now, []record.Record{r})
	assert.Equal(t, Clear, s.Status(now, f))
	crash(t, s, true)
	assert.Equal(t, Suspect, s.Status(now, f), "a crash after the clearing starts a new episode")
}

// A mark that never expired would isolate or refuse its request forever.
func TestMarksExpire(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	assert.Equal(t, Clear, s.Status(now.Add(SuspectDuration), f))
	crash(t, s, true)
	assert.Equal(t, Quarantined, s.Status(now.Add(QuarantineDuration-time.Second), f))
	assert.Equal(t, Clear, s.Status(now.Add(QuarantineDuration), f))
}

// Two copies of a suspect may end differently at the same time. The quarantine must win over the clearing, in whichever
// order a process receives the two marks.
func TestQuarantineWinsOverClearing(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	cleared, _ := s.Cleared(now, f)
	quarantined, _ := s.Crashed(now, f, true)
	assert.True(t, cleared.Version.Less(quarantined.Version))
}

// A copy of the request crashes the upstream of an agent that has not received the suspect mark, after another agent
// quarantined the request. The new suspect mark must not replace the quarantine, in whichever order the two arrive. After
// the quarantine has ended, a crash starts a new episode.
func TestQuarantineWinsOverLaterEpisodes(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	quarantine := crash(t, s, true)
	for _, later := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond, time.Minute, QuarantineDuration - time.Millisecond} {
		first, ok := NewState().Crashed(now.Add(later), f, false)
		require.True(t, ok)
		assert.True(t, first.Version.Less(quarantine.Version), "first crash %v after the quarantine started", later)
	}
	next, ok := s.Crashed(now.Add(QuarantineDuration), f, false)
	require.True(t, ok)
	assert.True(t, quarantine.Version.Less(next.Version))
	unaware, ok := NewState().Crashed(now.Add(QuarantineDuration+time.Millisecond), f, false)
	require.True(t, ok)
	assert.True(t, quarantine.Version.Less(unaware.Version), "an ended quarantine must not hide a new suspect mark")
}

// A process whose clock is ahead starts an episode with a number above the end of the quarantine. The quarantine of that
// episode must still have the higher version, or the suspect mark would replace it.
func TestQuarantineWinsOverAnEpisodeOfAFastClock(t *testing.T) {
	s := NewState()
	first, ok := s.Crashed(now.Add(2*QuarantineDuration), f, false)
	require.True(t, ok)
	s.Apply(now, []record.Record{first})
	quarantine := crash(t, s, true)
	assert.True(t, first.Version.Less(quarantine.Version))
	assert.Equal(t, Quarantined, s.Status(now, f))
}

// Further crashes during a quarantine must not prolong it, and a request without a fingerprint must get no mark.
func TestCrashDuringQuarantinePublishesNothing(t *testing.T) {
	s := NewState()
	crash(t, s, true)
	crash(t, s, true)
	_, more := s.Crashed(now, f, true)
	assert.False(t, more)
	_, withoutFingerprint := s.Crashed(now, "", true)
	assert.False(t, withoutFingerprint)
}

// A mark whose value is no valid JSON must not quarantine a request.
func TestMalformedMarkIsIgnored(t *testing.T) {
	s := NewState()
	s.Apply(now, []record.Record{{Key: Prefix + f, Value: []byte("{"), Version: record.Version{Major: 1, Minor: 3}}})
	assert.Equal(t, Clear, s.Status(now, f))
}

// names returns the names of n upstreams, in order and reversed.
func names(n int) (upstreams, reversed []string) {
	for i := range n {
		upstreams = append(upstreams, fmt.Sprint("u", i))
		reversed = append([]string{fmt.Sprint("u", i)}, reversed...)
	}
	return upstreams, reversed
}

// If suspects ran on any upstream, they could crash all of a service. At most a quarter of the upstreams is preferred for
// them, and the order doesn't depend on the order in which an entry lists the upstreams.
func TestIsolationPrefersAPartOfTheUpstreams(t *testing.T) {
	for n, maxPreferred := range map[int]int{1: 1, 3: 1, 12: 1, 16: 4, 40: 10, 400: 100} {
		upstreams, reversed := names(n)
		first := map[string]bool{}
		for i := range 100 {
			order := Isolation("t/s", fmt.Sprint(i), upstreams)
			require.Len(t, order, n)
			require.Equal(t, order, Isolation("t/s", fmt.Sprint(i), reversed))
			first[order[0]] = true
		}
		assert.LessOrEqual(t, len(first), maxPreferred, "of %d", n)
		if n >= 400 {
			assert.Greater(t, len(first), n/16, "a large service spreads its suspects over several upstreams, which run one each")
		}
	}
	assert.Empty(t, Isolation("t/s", "x", nil))
}

// An entry that knows that some upstreams crashed and one that doesn't know yet must agree on the order of the others.
// Otherwise each sends its copy of a suspect to a different upstream, and one more upstream crashes.
func TestIsolationOrderIgnoresMissingUpstreams(t *testing.T) {
	for _, n := range []int{3, 10, 15, 100} {
		upstreams, _ := names(n)
		for i := range 200 {
			order := Isolation("t/s", fmt.Sprint(i), upstreams)
			missing := map[string]bool{fmt.Sprint("u", i%n): true, fmt.Sprint("u", i*7%n): true, order[0]: true}
			var remaining, want []string
			for _, u := range upstreams {
				if !missing[u] {
					remaining = append(remaining, u)
				}
			}
			for _, u := range order {
				if !missing[u] {
					want = append(want, u)
				}
			}
			require.Equal(t, want, append([]string(nil), Isolation("t/s", fmt.Sprint(i), remaining)...), "of %d without %v", n, missing)
		}
	}
}

// Marks are deleted ExpiredRetention after they expired, so that they don't accumulate. The mark of a later crash must have a
// higher version than the deletion; otherwise processes that still hold the deletion would ignore it.
func TestExpiredMarksAreDeleted(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	quarantined := crash(t, s, true)
	expiry := now.Add(QuarantineDuration)
	require.Empty(t, s.Expired(expiry.Add(ExpiredRetention-time.Second)))
	deletions := s.Expired(expiry.Add(ExpiredRetention))
	require.Len(t, deletions, 1)
	require.True(t, quarantined.Version.Less(deletions[0].Version), "the deletion wins over the mark")
	s.Apply(now, deletions)
	require.Empty(t, s.Expired(expiry.Add(2*ExpiredRetention)), "no mark is left to delete")
	next, ok := s.Crashed(expiry.Add(ExpiredRetention), f, false)
	require.True(t, ok)
	require.True(t, deletions[0].Version.Less(next.Version), "a new episode wins over the deletion")
}

// A process whose clock is an hour ahead starts an episode with a number above that of a quarantine that it has not received. A process
// that holds the quarantine must keep it for the remaining time and publish it as part of that episode, so that it wins everywhere.
func TestQuarantineIsRenewedInAnEpisodeWithAHigherNumber(t *testing.T) {
	s := NewState()
	crash(t, s, false)
	crash(t, s, true)
	ahead := NewState()
	later, ok := ahead.Crashed(now.Add(time.Hour), f, false)
	require.True(t, ok)
	ahead.Apply(now.Add(time.Hour), []record.Record{later})

	elapsed := time.Minute
	renewed := s.Apply(now.Add(elapsed), []record.Record{later})
	require.Len(t, renewed, 1)
	assert.Equal(t, Quarantined, s.Status(now.Add(elapsed), f))
	assert.True(t, later.Version.Less(renewed[0].Version))
	assert.Empty(t, s.Apply(now.Add(elapsed), renewed), "the renewed mark itself must not be published again")
	assert.Equal(t, QuarantineDuration-elapsed, s.Remaining(now.Add(elapsed), f))

	ahead.Apply(now.Add(time.Hour+elapsed), renewed)
	assert.Equal(t, Quarantined, ahead.Status(now.Add(time.Hour+elapsed), f))
	assert.Equal(t, Clear, ahead.Status(now.Add(time.Hour+QuarantineDuration), f), "the renewed quarantine must not start its full duration again")
}

// A process whose clock is ahead by more than the duration of a mark must keep it as long as the others. With an absolute expiry time the
// mark would be expired on receipt.
func TestMarkDurationCountsFromReceipt(t *testing.T) {
	s, ahead := NewState(), NewState()
	crash(t, s, false)
	quarantine := crash(t, s, true)
	receivedAt := now.Add(2 * QuarantineDuration)
	ahead.Apply(receivedAt, []record.Record{quarantine})
	assert.Equal(t, Quarantined, ahead.Status(receivedAt.Add(QuarantineDuration-time.Second), f))
	assert.Equal(t, Clear, ahead.Status(receivedAt.Add(QuarantineDuration), f))
}
