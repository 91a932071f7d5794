package claim_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/step"
)

// partitionDriver sends events to one partition's reducer. It records the verdicts and the pending call to the
// platform.
type partitionDriver struct {
	t            *testing.T
	s            *claim.State
	now          time.Time
	platform     fakePlatform
	pendingCall  step.Effect
	verdicts     map[uint64]claim.Verdict
	sweptObjects []string
	commitCount  int
	opCount      uint64
}

func newPartitionDriver(t *testing.T, c claim.Config) *partitionDriver {
	return &partitionDriver{
		t: t, s: claim.NewState(0, "w", c), now: time.UnixMilli(1_800_000_000_000),
		platform: fakePlatform{segments: map[string][]byte{}}, verdicts: map[uint64]claim.Verdict{},
	}
}

func (d *partitionDriver) step(ev step.Event) {
	for _, e := range d.s.Reduce(step.Input{Now: d.now, Event: ev}) {
		switch e := e.(type) {
		case claim.Load:
			d.pendingCall = e
		case claim.Commit:
			d.pendingCall = e
			d.commitCount++
		case claim.Reply:
			d.verdicts[e.Op] = e.Verdict
		case claim.Sweep:
			d.sweptObjects = append(d.sweptObjects, e.Names...)
		}
	}
}

func (d *partitionDriver) advance(by time.Duration) {
	d.now = d.now.Add(by)
	d.step(claim.Woken{})
}

func (d *partitionDriver) claim(key, request string) uint64 {
	d.opCount++
	c := claim.Claim{Key: claim.HashKey("t", "s", key), RequestID: request, Fingerprint: 1, KeyTime: d.now.UnixMilli(), RunTimeoutMS: 1000}
	d.step(claim.ClaimRequested{Op: d.opCount, Claim: c, Deadline: d.now.Add(time.Second)})
	return d.opCount
}

func (d *partitionDriver) settle(key, request string, status claim.Status, answer *claim.StoredResponse) uint64 {
	d.opCount++
	s := claim.Settlement{Key: claim.HashKey("t", "s", key), RequestID: request, Status: status, Answer: answer}
	d.step(claim.SettlementRequested{Op: d.opCount, Settlement: s, Deadline: d.now.Add(time.Minute)})
	return d.opCount
}

// completeCall carries out the pending call to the platform.
func (d *partitionDriver) completeCall() {
	call := d.pendingCall
	d.pendingCall = nil
	switch call := call.(type) {
	case claim.Load:
		d.step(d.platform.load(call))
	case claim.Commit:
		if d.platform.apply(call) {
			d.step(claim.Committed{Version: d.platform.version})
			return
		}
		d.step(claim.Conflicted{})
	default:
		d.t.Fatal("no call to the platform")
	}
}

// load makes the reducer read the head and commit once, and advances the clock by 1 s so that the next commit is not
// delayed.
func (d *partitionDriver) load() *partitionDriver {
	op := d.settle("warm", "warm", claim.Released, nil)
	d.completeCall()
	d.completeCall()
	require.Equal(d.t, claim.Settled, d.verdicts[op])
	d.advance(time.Second)
	return d
}

// TestClaimsWithinTheIntervalShareACommit guards against one write per claim, which the platform's write rate does not
// allow. The first claim is written immediately; those that arrive during the interval share the next commit.
func TestClaimsWithinTheIntervalShareACommit(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	before := d.commitCount
	first := d.claim("a", "r0")
	require.Equal(t, before+1, d.commitCount, "the first claim is written immediately")
	d.completeCall()
	require.Equal(t, claim.Granted, d.verdicts[first])
	var later []uint64
	for i := range 5 {
		later = append(later, d.claim(fmt.Sprint("b", i), "r"))
	}
	require.Equal(t, before+1, d.commitCount)
	d.advance(claim.DefaultCommitInterval)
	require.Equal(t, before+2, d.commitCount)
	d.completeCall()
	for _, op := range later {
		require.Equal(t, claim.Granted, d.verdicts[op])
	}
}

// TestClaimIsGrantedOnlyAfterItsWrite guards against a call that runs without a record: a claim gets no verdict while
// its write is in flight.
func TestClaimIsGrantedOnlyAfterItsWrite(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "r")
	require.NotContains(t, d.verdicts, op)
	again := d.claim("a", "r2")
	require.Equal(t, claim.StillRunning, d.verdicts[again], "a repeat gets its verdict immediately")
	d.completeCall()
	require.Equal(t, claim.Granted, d.verdicts[op])
}

// TestUncertainWriteIsReadBack guards against a claim that is refused or repeated although its write took effect and
// only the platform's response was lost. The head is read, and the claim is found there by its request id.
func TestUncertainWriteIsReadBack(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "r")
	require.True(t, d.platform.apply(d.pendingCall.(claim.Commit)))
	d.step(claim.Uncertain{})
	require.IsType(t, claim.Load{}, d.pendingCall)
	d.completeCall()
	require.Equal(t, claim.Granted, d.verdicts[op])
}

// TestUncertainClaimIsNotReportedAsUnrecorded guards against the verdict NotRecorded while the write of the claim may
// still arrive: the key would stay claimed, as nobody would release it.
func TestUncertainClaimIsNotReportedAsUnrecorded(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "r")
	d.step(claim.Uncertain{})
	d.step(claim.LoadFailed{})
	require.Equal(t, claim.MaybeRecorded, d.verdicts[op])
}

// TestPausedOwnerLosesTheConditionalWrite guards against two owners that both grant a key. While one owner is paused,
// another writes the head; the write of the first then conflicts, and its claim is decided on the new head.
func TestPausedOwnerLosesTheConditionalWrite(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "mine")
	other := newPartitionDriver(t, claim.Config{})
	other.platform, other.now = d.platform, d.now
	theirs := other.claim("a", "theirs")
	other.completeCall()
	other.completeCall()
	require.Equal(t, claim.Granted, other.verdicts[theirs])
	d.platform = other.platform
	d.completeCall()
	d.completeCall()
	require.Equal(t, claim.StillRunning, d.verdicts[op])
}

// TestClaimIsNotGrantedAfterItsDeadline guards against a grant that arrives when the asking process no longer waits
// for it, because the write took too long.
func TestClaimIsNotGrantedAfterItsDeadline(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "r")
	d.now = d.now.Add(2 * time.Second)
	d.completeCall()
	require.Equal(t, claim.MaybeRecorded, d.verdicts[op])
}

// TestReleaseBlocksItsLateClaim guards against a claim that arrives after its own release and is granted though nobody
// uses it. The key stays free for another request.
func TestReleaseBlocksItsLateClaim(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	released := d.settle("a", "r", claim.Released, nil)
	d.completeCall()
	require.Equal(t, claim.Settled, d.verdicts[released])
	late := d.claim("a", "r")
	require.Equal(t, claim.NotRecorded, d.verdicts[late])
	fresh := d.claim("a", "r2")
	d.advance(time.Second / 2)
	d.completeCall()
	require.Equal(t, claim.Granted, d.verdicts[fresh])
}

// TestRefusedWriteRejectsClaimsImmediately guards against claims that wait until their deadline after the platform refused a write.
// They are rejected until the platform may be called again, while settlements wait and are not lost.
func TestRefusedWriteRejectsClaimsImmediately(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	op := d.claim("a", "r")
	settled := d.settle("b", "r", claim.Ran, nil)
	d.step(claim.Refused{RetryAfter: 2 * time.Second})
	require.Equal(t, claim.NotRecorded, d.verdicts[op])
	next := d.claim("c", "r")
	require.Equal(t, claim.NotRecorded, d.verdicts[next])
	require.NotContains(t, d.verdicts, settled)
	d.advance(2 * time.Second)
	d.completeCall()
	require.Equal(t, claim.Settled, d.verdicts[settled])
}

// TestSlowPlatformRejectsFurtherClaims guards against claims that queue behind a slow call to the platform until their
// deadline.
func TestSlowPlatformRejectsFurtherClaims(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	d.claim("a", "r")
	d.now = d.now.Add(claim.SlowCallThreshold + time.Millisecond)
	next := d.claim("b", "r")
	require.Equal(t, claim.NotRecorded, d.verdicts[next])
}

// TestPendingOpsAreBounded guards against a queue that grows without limit: a claim above MaxPending is rejected
// immediately.
func TestPendingOpsAreBounded(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{MaxPending: 3})
	for i := range 3 {
		require.NotContains(t, d.verdicts, d.claim(fmt.Sprint(i), "r"))
	}
	require.Equal(t, claim.NotRecorded, d.verdicts[d.claim("more", "r")])
}

// TestUntimedRecordsAreBounded guards against unlimited records of keys without a timestamp. Above the limit, claims
// of new keys are refused; older records are not swept early, since their calls could then run twice.
func TestUntimedRecordsAreBounded(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{MaxUntimed: 1})
	d.settle("first", "r", claim.Unknown, nil) // The driver's settlements have no KeyTime.
	d.completeCall()
	d.completeCall()
	d.opCount++
	d.step(claim.ClaimRequested{Op: d.opCount, Claim: claim.Claim{Key: claim.HashKey("t", "s", "x"), RequestID: "r"}, Deadline: d.now.Add(time.Second)})
	require.Equal(t, claim.NotRecorded, d.verdicts[d.opCount])
}

// TestRecordsAreSealedAndSweptAfterRetention guards against records that are lost when they move from a full head to
// segments, and against segments that are deleted before the horizon that covers their keys is written: a process that
// read the older head could then grant such a key again.
func TestRecordsAreSealedAndSweptAfterRetention(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{SealBytes: 500, Retention: time.Minute}).load()
	answer := &claim.StoredResponse{Status: 200, Body: []byte("kept")}
	begin := d.now.UnixMilli()
	for i := range 8 {
		key := fmt.Sprint("k", i)
		d.claim(key, "r")
		d.completeCall()
		d.advance(time.Second)
		d.settle(key, "r", claim.Ran, answer)
		d.completeCall()
		d.advance(time.Second)
	}
	require.NotEmpty(t, d.platform.segments)
	head := decode[claim.Head](d.platform.head)
	require.NotEmpty(t, head.Segments)
	require.NotEmpty(t, head.Segments[0].AnswersName)
	repeat := d.claim("k0", "r2")
	require.Equal(t, claim.Replayed, d.verdicts[repeat])

	fresh := newPartitionDriver(t, claim.Config{SealBytes: 500, Retention: time.Minute})
	fresh.platform, fresh.now = d.platform, d.now
	repeat = fresh.claim("k1", "r2")
	fresh.completeCall()
	require.Equal(t, claim.Replayed, fresh.verdicts[repeat], "a new owner reads the sealed records")

	d.now = d.now.Add(2 * time.Minute)
	d.claim("new", "r")
	require.Empty(t, d.sweptObjects, "nothing is deleted before the horizon is written")
	d.completeCall()
	require.NotEmpty(t, d.sweptObjects)
	d.opCount++
	old := claim.Claim{Key: claim.HashKey("t", "s", "k0"), RequestID: "r9", Fingerprint: 1, KeyTime: begin}
	d.step(claim.ClaimRequested{Op: d.opCount, Claim: old, Deadline: d.now.Add(time.Second)})
	require.Equal(t, claim.KeyTooOld, d.verdicts[d.opCount])
}

// TestStaleOwnerDoesNotReportKeyReuse guards against a false KeyReused. It occurs if a process gets a settlement
// without having read its claim, so that it does not know the fingerprint, and then gets a repeat of the request.
func TestStaleOwnerDoesNotReportKeyReuse(t *testing.T) {
	d := newPartitionDriver(t, claim.Config{}).load()
	other := newPartitionDriver(t, claim.Config{})
	other.platform, other.now = d.platform, d.now
	theirs := other.claim("a", "theirs")
	other.completeCall()
	other.completeCall()
	require.Equal(t, claim.Granted, other.verdicts[theirs])
	d.settle("a", "theirs", claim.Ran, nil)
	repeat := d.claim("a", "repeat")
	require.Equal(t, claim.AlreadyRan, d.verdicts[repeat])
}
