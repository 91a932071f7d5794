package claim

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
)

const decideNow = int64(1_800_000_000_000)

// TestDecideClaim covers each decision on a claim. A wrong one lets a call run twice or refuses a call for no reason.
func TestDecideClaim(t *testing.T) {
	asked := Claim{RequestID: "mine", Fingerprint: 1, KeyTime: decideNow, RunTimeoutMS: 1000}
	held := func(status Status, change func(*Record)) *Record {
		r := &Record{RequestID: "other", Status: status, Fingerprint: 1, Deadline: decideNow + 1}
		if change != nil {
			change(r)
		}
		return r
	}
	cases := []struct {
		name    string
		claim   func(*Claim)
		facts   decisionInput
		want    Verdict
		written bool
	}{
		{name: "new key", want: Granted, written: true},
		{name: "below the horizon", facts: decisionInput{horizon: decideNow + 1}, want: KeyTooOld},
		{name: "at the horizon", facts: decisionInput{horizon: decideNow}, want: Granted, written: true},
		{name: "no time, any horizon", claim: func(c *Claim) { c.KeyTime = 0 }, facts: decisionInput{horizon: decideNow}, want: Granted, written: true},
		{name: "too far ahead", claim: func(c *Claim) { c.KeyTime += MaxKeyAhead.Milliseconds() + 1 }, want: KeyAhead},
		{name: "ahead as clocks differ", claim: func(c *Claim) { c.KeyTime += MaxKeyAhead.Milliseconds() }, want: Granted, written: true},
		{name: "no time and full", claim: func(c *Claim) { c.KeyTime = 0 }, facts: decisionInput{untimedFull: true}, want: NotRecorded},
		{name: "timed and full", facts: decisionInput{untimedFull: true}, want: Granted, written: true},
		{name: "running", facts: decisionInput{current: held(Claimed, nil)}, want: StillRunning},
		{name: "past its deadline", facts: decisionInput{current: held(Claimed, func(r *Record) { r.Deadline = decideNow })}, want: OutcomeUnknown},
		{name: "unknown", facts: decisionInput{current: held(Unknown, nil)}, want: OutcomeUnknown},
		{name: "ran", facts: decisionInput{current: held(Ran, nil)}, want: AlreadyRan},
		{name: "ran and kept in the head", facts: decisionInput{current: held(Ran, func(r *Record) { r.Answer = &StoredResponse{} })}, want: Replayed},
		{name: "ran and kept in a segment", facts: decisionInput{current: held(Ran, func(r *Record) { r.AnswersName = "x" })}, want: Replayed},
		{name: "released", facts: decisionInput{current: held(Released, nil)}, want: Granted, written: true},
		{name: "released, another request", facts: decisionInput{current: held(Released, func(r *Record) { r.Fingerprint = 2 })}, want: Granted, written: true},
		{name: "another request", facts: decisionInput{current: held(Claimed, func(r *Record) { r.Fingerprint = 2 })}, want: KeyReused},
		{name: "another request ran", facts: decisionInput{current: held(Ran, func(r *Record) { r.Fingerprint = 2 })}, want: KeyReused},
		{name: "unknown, from a settlement alone", facts: decisionInput{current: held(Unknown, func(r *Record) { r.Fingerprint = 0 })}, want: OutcomeUnknown},
		{name: "ran, from a settlement alone", facts: decisionInput{current: held(Ran, func(r *Record) { r.Fingerprint = 0 })}, want: AlreadyRan},
		{name: "its own, read back", facts: decisionInput{current: held(Claimed, func(r *Record) { r.RequestID = "mine" })}, want: Granted},
		{name: "its own, given up", facts: decisionInput{current: held(Released, func(r *Record) { r.RequestID = "mine" })}, want: NotRecorded},
		{name: "its own, over", facts: decisionInput{current: held(Ran, func(r *Record) { r.RequestID = "mine" })}, want: NotRecorded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			asked := asked
			if c.claim != nil {
				c.claim(&asked)
			}
			c.facts.now = decideNow
			d := decideClaim(asked, c.facts)
			require.Equal(t, c.want, d.verdict)
			require.Equal(t, c.written, d.record != nil)
			if c.written {
				require.Equal(t, Claimed, d.record.Status)
				require.Equal(t, "mine", d.record.RequestID)
			}
		})
	}
}

// TestDecideSettlement covers each decision on a settlement. A wrong one frees the key of a call that ran or may have
// run, so that a repeat runs it again.
func TestDecideSettlement(t *testing.T) {
	cases := []struct {
		name    string
		status  Status
		present *Record
		want    Status // of the record written; 0 for none
	}{
		{"ran", Ran, &Record{RequestID: "mine", Status: Claimed}, Ran},
		{"released", Released, &Record{RequestID: "mine", Status: Claimed}, Released},
		{"unknown", Unknown, &Record{RequestID: "mine", Status: Claimed}, Unknown},
		{"unknown turns out as run", Ran, &Record{RequestID: "mine", Status: Unknown}, Ran},
		{"unknown is not released", Released, &Record{RequestID: "mine", Status: Unknown}, 0},
		{"run is not released", Released, &Record{RequestID: "mine", Status: Ran}, 0},
		{"released stays", Ran, &Record{RequestID: "mine", Status: Released}, 0},
		{"another request holds the key", Released, &Record{RequestID: "other", Status: Claimed}, 0},
		{"before its claim came", Released, nil, Released},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := decideSettlement(Settlement{RequestID: "mine", Status: c.status}, decisionInput{now: decideNow, current: c.present})
			require.Equal(t, Settled, d.verdict)
			if c.want == 0 {
				require.Nil(t, d.record)
				return
			}
			require.Equal(t, c.want, d.record.Status)
		})
	}
}

// TestEndingMatchesWhatIsKnownOfTheCall guards against settling a claim with an outcome that is not known: released
// though the call was sent and may have run, or unknown though the agent refused it before it ran.
func TestEndingMatchesWhatIsKnownOfTheCall(t *testing.T) {
	require.Equal(t, Released, SettlementStatus(false, false, ""), "never sent")
	require.Equal(t, Released, SettlementStatus(true, false, code.NotRun), "fenced by the agent")
	require.Equal(t, Unknown, SettlementStatus(true, false, ""), "caller gone, or the answer aborted")
	require.Equal(t, Unknown, SettlementStatus(true, false, code.Unknown))
	require.Equal(t, Ran, SettlementStatus(true, false, code.DidRun), "its answer was withheld")
	require.Equal(t, Ran, SettlementStatus(true, true, ""))
}

// TestOnlyGrantedAndSettledAreNotRefusals guards against a verdict that lets a call run without a grant. Each refusal
// needs a code of the 3000 range, which belongs to claims, and an HTTP status.
func TestOnlyGrantedAndSettledAreNotRefusals(t *testing.T) {
	for v := Granted; v <= MaybeRecorded; v++ {
		r, refuses := v.Refusal()
		require.Equal(t, v != Granted && v != Settled, refuses)
		if refuses {
			require.Equal(t, 3, int(r.Code)/1000)
			require.NotZero(t, r.Code.Describe().Status)
		}
	}
}

// TestTimeIsReadFromUUIDv7KeysOnly guards against a timestamp that is read from another kind of key: its record could
// be swept too early, and a repeat would run again.
func TestTimeIsReadFromUUIDv7KeysOnly(t *testing.T) {
	before := time.Now().UnixMilli()
	got := KeyTimestamp(uuid.Must(uuid.NewV7()).String())
	require.GreaterOrEqual(t, got, before)
	require.LessOrEqual(t, got, time.Now().UnixMilli()+1)
	for _, key := range []string{uuid.NewString(), "", "order-17", "urn:uuid:" + uuid.Must(uuid.NewV7()).String()} {
		require.Zero(t, KeyTimestamp(key), key)
	}
}

// TestHashKeySeparatesServices guards against two services that share a record because their callers use the same
// key. It also checks that the text form of a key is decoded to the same key.
func TestHashKeySeparatesServices(t *testing.T) {
	require.NotEqual(t, HashKey("a", "b", "k"), HashKey("a", "c", "k"))
	require.Equal(t, HashKey("a", "b", "k"), HashKey("a", "b", "k"))
	k := HashKey("a", "b", "k")
	text, err := k.MarshalText()
	require.NoError(t, err)
	var back Key
	require.NoError(t, back.UnmarshalText(text))
	require.Equal(t, k, back)
	require.Error(t, back.UnmarshalText([]byte("short")))
}
