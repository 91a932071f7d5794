package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestMain fixes the seed, so that each run tests the same histories.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// process is one of several processes that all act as the partition's owner.
type process struct {
	state *claim.State
	// skew is the difference of its clock from the simulation's clock.
	skew time.Duration
	// pendingCall is its call to the platform; nil if there is none.
	pendingCall step.Effect
	ops         map[uint64]*callerRequest
	restarts    int
}

// callerRequest is a caller's request, as seen by the entry that serves it.
type callerRequest struct {
	id          string
	key         int
	fingerprint uint64
	attempts    int
	// try is the number of the latest try to record its claim.
	try     int
	granted bool
	// ended is set when the entry no longer uses a grant.
	ended bool
	// outcome is the status that the entry settles the claim with; 0 until it is known.
	outcome claim.Status
	// notRecorded is set if the verdict on its only claim was NotRecorded.
	notRecorded bool
}

// keyModel is the true state of one idempotency key.
type keyModel struct {
	key      claim.Key
	time     int64
	runCount int
	// holder is the request that may run the call of the key now.
	holder *callerRequest
	ran    bool
}

// simulation is a partition with several owners, and callers that claim its keys.
type simulation struct {
	now      time.Time
	platform fakePlatform
	owners   []*process
	keys     []*keyModel
	requests []*callerRequest
	opCount  uint64
	verdicts map[claim.Verdict]int
}

func simulationConfig() claim.Config {
	return claim.Config{Retention: 20 * time.Second, SealBytes: 600, CommitInterval: 50 * time.Millisecond}
}

func newSimulation() *simulation {
	sim := &simulation{
		now: time.Date(2026, 12, 2, 10, 0, 0, 0, time.UTC), platform: fakePlatform{segments: map[string][]byte{}},
		verdicts: map[claim.Verdict]int{},
	}
	for i, skew := range []time.Duration{0, 4 * time.Second, -4 * time.Second} {
		o := &process{skew: skew}
		sim.owners = append(sim.owners, o)
		sim.restart(i)
	}
	for i := range 4 {
		sim.addKey(i%2 == 0)
	}
	return sim
}

func (sim *simulation) addKey(timed bool) {
	text := fmt.Sprintf("key-%d", len(sim.keys))
	if timed {
		var id uuid.UUID
		ms := sim.now.UnixMilli()
		for b := range 6 {
			id[b] = byte(ms >> (40 - 8*b))
		}
		id[6], id[8], id[15] = 0x70, 0x80, byte(len(sim.keys))
		text = id.String()
	}
	sim.keys = append(sim.keys, &keyModel{key: claim.HashKey("t", "s", text), time: claim.KeyTimestamp(text)})
}

func (sim *simulation) restart(i int) {
	o := sim.owners[i]
	o.restarts++
	o.state = claim.NewState(0, fmt.Sprintf("w%d.%d", i, o.restarts), simulationConfig())
	o.pendingCall = nil
	o.ops = map[uint64]*callerRequest{}
}

func (sim *simulation) step(t require.TestingT, o *process, ev step.Event) {
	for _, e := range o.state.Reduce(step.Input{Now: sim.now.Add(o.skew), Event: ev}) {
		switch e := e.(type) {
		case claim.Load, claim.Commit:
			require.Nil(t, o.pendingCall, "two calls to the platform at once")
			o.pendingCall = e
		case claim.Sweep:
			for _, name := range e.Names {
				delete(sim.platform.segments, name)
			}
		case claim.Reply:
			sim.checkReply(t, o, e)
		}
	}
}

// checkReply checks a verdict against the true state of its key.
func (sim *simulation) checkReply(t require.TestingT, o *process, e claim.Reply) {
	sim.verdicts[e.Verdict]++
	req := o.ops[e.Op]
	delete(o.ops, e.Op)
	if req == nil {
		return
	}
	k := sim.keys[req.key]
	switch e.Verdict {
	case claim.Granted:
		if req.granted || req.ended {
			return
		}
		require.Nil(t, k.holder, "key %d granted to %s while another holds it", req.key, req.id)
		require.False(t, k.ran, "key %d granted to %s after it ran", req.key, req.id)
		req.granted = true
		k.holder = req
	case claim.Replayed, claim.AlreadyRan:
		require.True(t, k.ran, "the verdict says that the call ran, but it did not")
	case claim.KeyReused:
		require.True(t, sim.keyUsedByOtherRequest(req), "KeyReused on a key that was used with one request only")
	case claim.NotRecorded:
		req.notRecorded = req.attempts == 1 && !req.granted
		require.False(t, req.notRecorded && sim.platform.claimedBy(k.key, req.id), "the verdict is NotRecorded, but the claim is recorded")
	}
}

// keyUsedByOtherRequest reports whether the key was used with a request of different content.
func (sim *simulation) keyUsedByOtherRequest(req *callerRequest) bool {
	for _, other := range sim.requests {
		if other.key == req.key && other.fingerprint != req.fingerprint {
			return true
		}
	}
	return false
}

func (sim *simulation) sendClaim(t require.TestingT, o *process, req *callerRequest, within time.Duration) {
	sim.opCount++
	req.attempts++
	o.ops[sim.opCount] = req
	k := sim.keys[req.key]
	c := claim.Claim{Key: k.key, RequestID: req.id, Fingerprint: req.fingerprint, KeyTime: k.time, RunTimeoutMS: 2000, Try: req.try}
	sim.step(t, o, claim.ClaimRequested{Op: sim.opCount, Claim: c, Deadline: sim.now.Add(o.skew + within)})
}

func (sim *simulation) sendSettlement(t require.TestingT, o *process, req *callerRequest) {
	sim.opCount++
	k := sim.keys[req.key]
	s := claim.Settlement{Key: k.key, RequestID: req.id, KeyTime: k.time, Status: req.outcome}
	if req.outcome == claim.Ran && req.key%3 != 0 {
		s.Answer = &claim.StoredResponse{Status: 200, Body: []byte(req.id)}
	}
	sim.step(t, o, claim.SettlementRequested{Op: sim.opCount, Settlement: s, Deadline: sim.now.Add(time.Hour)})
}

// endRequest ends the entry's work on a request with an outcome.
func (sim *simulation) endRequest(req *callerRequest, outcome claim.Status) {
	k := sim.keys[req.key]
	req.ended = true
	req.outcome = outcome
	switch {
	case !req.granted:
		req.outcome = claim.Released // The entry gave up before it sent the call.
	case outcome == claim.Released:
		k.holder = nil // The agent fenced the call: it certainly did not run.
	default:
		k.ran = k.ran || outcome == claim.Ran
		k.runCount++
	}
}

func (sim *simulation) completeCall(t require.TestingT, o *process, fate int) {
	switch p := o.pendingCall.(type) {
	case claim.Load:
		o.pendingCall = nil
		if fate == 0 {
			sim.step(t, o, claim.LoadFailed{})
			return
		}
		sim.step(t, o, sim.platform.load(p))
	case claim.Commit:
		o.pendingCall = nil
		sim.step(t, o, sim.commit(p, fate))
	}
}

// commit carries out a write with the given fate: 0 loses the response, 1 loses the write, 2 delays the write until
// after its sender has given up, 3 refuses it, and any other value completes it.
func (sim *simulation) commit(c claim.Commit, fate int) step.Event {
	switch fate {
	case 0:
		sim.platform.apply(c)
		return claim.Uncertain{}
	case 1:
		return claim.Uncertain{}
	case 2:
		sim.platform.lateCommits = append(sim.platform.lateCommits, c)
		return claim.Uncertain{}
	case 3:
		return claim.Refused{RetryAfter: time.Second}
	}
	if sim.platform.apply(c) {
		return claim.Committed{Version: sim.platform.version}
	}
	return claim.Conflicted{}
}

func (sim *simulation) crash(i int, writeArrives bool) {
	if c, ok := sim.owners[i].pendingCall.(claim.Commit); ok && writeArrives {
		sim.platform.lateCommits = append(sim.platform.lateCommits, c)
	}
	sim.restart(i)
}

func (sim *simulation) applyLateCommit() {
	if len(sim.platform.lateCommits) == 0 {
		return
	}
	sim.platform.apply(sim.platform.lateCommits[0])
	sim.platform.lateCommits = sim.platform.lateCommits[1:]
}

func (sim *simulation) check(t require.TestingT) {
	for i, k := range sim.keys {
		require.LessOrEqual(t, k.runCount, 1, "key %d ran more than once", i)
	}
	for _, req := range sim.requests {
		if req.notRecorded && req.attempts == 1 {
			require.False(t, sim.platform.claimedBy(sim.keys[req.key].key, req.id), "%s: the verdict was NotRecorded, but the claim is recorded", req.id)
		}
	}
}

// TestNoKeyRunsTwiceInRandomHistories guards against any order of events in which a key's call runs twice. It runs
// random histories of several processes that all act as the owner of a partition, with clock skew. Writes are lost,
// delayed or refused, processes pause and crash, and callers resend to other processes.
func TestNoKeyRunsTwiceInRandomHistories(t *testing.T) {
	total := map[claim.Verdict]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(sim.actions())
		for v, n := range sim.verdicts {
			total[v] += n
		}
	})
	for v := claim.Granted; v <= claim.MaybeRecorded; v++ {
		if v == claim.KeyAhead {
			continue // No key of the simulation is ahead of time.
		}
		require.Positive(t, total[v], "verdict %d never occurred", v)
	}
}

func (sim *simulation) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *process { return sim.owners[rapid.IntRange(0, len(sim.owners)-1).Draw(t, "owner")] }
	return map[string]func(*rapid.T){
		"ask": func(t *rapid.T) {
			req := &callerRequest{id: fmt.Sprintf("r%d", len(sim.requests)), key: rapid.IntRange(0, len(sim.keys)-1).Draw(t, "key"), fingerprint: 1}
			if rapid.IntRange(0, 9).Draw(t, "other request") == 0 {
				req.fingerprint = 2
			}
			sim.requests = append(sim.requests, req)
			sim.sendClaim(t, pick(t), req, time.Duration(rapid.IntRange(20, 2000).Draw(t, "within ms"))*time.Millisecond)
		},
		"ask elsewhere": func(t *rapid.T) {
			for _, req := range sim.requests {
				if !req.granted && !req.ended && req.attempts < 3 && rapid.Bool().Draw(t, "this") {
					req.try = max(req.try, rapid.IntRange(0, claim.MaxTries-1).Draw(t, "try"))
					sim.sendClaim(t, pick(t), req, time.Second)
					return
				}
			}
		},
		"end": func(t *rapid.T) {
			outcome := rapid.SampledFrom([]claim.Status{claim.Ran, claim.Unknown, claim.Released}).Draw(t, "how")
			for _, req := range sim.requests {
				if !req.ended && rapid.Bool().Draw(t, "this") {
					sim.endRequest(req, outcome)
					return
				}
			}
		},
		"settle": func(t *rapid.T) {
			for _, req := range sim.requests {
				if req.ended && rapid.Bool().Draw(t, "this") {
					sim.sendSettlement(t, pick(t), req)
					return
				}
			}
		},
		"deliver": func(t *rapid.T) { sim.completeCall(t, pick(t), rapid.IntRange(0, 8).Draw(t, "fate")) },
		"deliver well": func(t *rapid.T) {
			o := pick(t)
			for range 4 {
				sim.completeCall(t, o, 9)
				sim.now = sim.now.Add(60 * time.Millisecond)
				sim.step(t, o, claim.Woken{})
			}
		},
		"late write": func(*rapid.T) { sim.applyLateCommit() },
		"time": func(t *rapid.T) {
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"wake": func(t *rapid.T) { sim.step(t, pick(t), claim.Woken{}) },
		"crash": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "crash") == 0 {
				sim.crash(rapid.IntRange(0, len(sim.owners)-1).Draw(t, "who"), rapid.Bool().Draw(t, "write arrives"))
			}
		},
		"new key": func(t *rapid.T) { sim.addKey(rapid.Bool().Draw(t, "timed")) },
		"":        func(t *rapid.T) { sim.check(t) },
	}
}
