package attribution_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/attribution"
)

// newQuarantined returns an established process that has just quarantined the crasher.
func newQuarantined(t *testing.T, id uint32) *process {
	p := newEstablishedProcess(t, id)
	for upstream := range uint32(3) {
		p.crash(upstream, common, crasher)
	}
	require.True(t, p.Quarantined(crasher))
	return p
}

// report sends the report of one process to others at the time of the sender.
func (p *process) report(others ...*process) []attribution.Change {
	var changes []attribution.Change
	r := encoded(p.t, p.Report(p.now))
	for _, o := range others {
		o.now = p.now
		changes = append(changes, o.Merge(p.now, r)...)
	}
	return changes
}

// encoded returns a report as it arrives in a datagram.
func encoded(t require.TestingT, r attribution.Report) attribution.Report {
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	var out attribution.Report
	require.NoError(t, json.Unmarshal(raw, &out))
	return out
}

// No process sees more than one of the crashes. If each counted its own only, the part would crash upstreams without limit.
func TestCrashesAreCountedOverAllProcesses(t *testing.T) {
	a, b, c := newEstablishedProcess(t, 1), newEstablishedProcess(t, 2), newEstablishedProcess(t, 3)
	a.request, b.request, c.request = 10, 20, 30
	a.crash(1, common, crasher)
	a.report(b, c)
	b.crash(2, common, crasher)
	b.report(a, c)
	changes := append(c.crash(3, common, crasher), c.wait(100*time.Millisecond)...)
	require.Equal(t, []attribution.Part{crasher}, parts(changes, attribution.Started))
	require.Equal(t, []attribution.Part{crasher, crasher}, parts(c.report(a, b), attribution.Reported))
	require.Empty(t, c.report(a, b), "a report changes something once")
}

// A process that passes on reports knows no answers, so it must not decide.
func TestProcessThatOnlyPassesOnReportsDoesNotDecide(t *testing.T) {
	relay := attribution.NewTable(attribution.Observer{})
	p := newEstablishedProcess(t, 1)
	p.crash(1, crasher)
	p.crash(2, crasher)
	relay.Merge(p.now, p.Report(p.now))
	p.crash(3, crasher)
	relay.Merge(p.now, attribution.Report{Crashes: p.Report(p.now).Crashes})
	require.Empty(t, relay.Decide(p.now.Add(time.Minute)))
	require.False(t, relay.Quarantined(crasher))
	started := newProcess(t, 2)
	started.now = p.now
	require.Empty(t, started.Merge(p.now, relay.Report(p.now)), "its answers may still be reported")
	require.Equal(t, []attribution.Part{crasher}, parts(started.wait(2*time.Second), attribution.Started))
}

// What a clearing says must reach processes that never see an answer to a request with the part; otherwise they quarantine a part that
// others answer.
func TestClearingIsReported(t *testing.T) {
	a, b := newEstablishedProcess(t, 1), newEstablishedProcess(t, 2)
	for upstream := range uint32(2) {
		a.crash(upstream, other)
	}
	a.report(b)
	require.Empty(t, a.answer(a.now, other))
	a.report(b)
	require.Empty(t, b.crash(3, other))
	require.Empty(t, b.wait(time.Minute))
}

// A part that some customer's requests share is answered at one process, and requests that crash upstreams bring it to another one, which has
// never seen an answer to it. The first one must tell, before it knows of an answer that was sent after the crashes.
func TestPartThatIsProvenElsewhereIsNotBlamed(t *testing.T) {
	knows, sees := newEstablishedProcess(t, 1), newEstablishedProcess(t, 2)
	require.Empty(t, knows.answer(knows.now.Add(-time.Second), common, other))
	changes := sees.crash(0, common, other, crasher)
	before := knows.Contributions()
	sees.report(knows)
	require.Equal(t, before, knows.Contributions(), "each crash has suspects; in a large fleet, all entries would tell what they know of each")
	changes = append(changes, sees.crash(1, common, other, crasher)...)
	sees.report(knows)
	require.Greater(t, knows.Contributions(), before)
	told := knows.Contributions()
	sees.report(knows)
	require.Equal(t, told, knows.Contributions(), "it is told once")
	changes = append(changes, sees.crash(2, common, other, crasher)...)
	require.Empty(t, changes, "two parts explain the same crashes")
	knows.report(sees)
	require.Equal(t, []attribution.Part{crasher}, parts(sees.wait(time.Minute), attribution.Started))
}

// Processes receive evidence in any order, repeatedly, and some of it late. All must come to hold the same, so that they decide alike.
func TestEvidenceMergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const processes = 3
		sum := func(p *process) map[attribution.Part]int { return p.Uncleared() }
		list := make([]*process, processes)
		for i := range list {
			list[i] = newProcess(t, uint32(i))
		}
		for step := range rapid.IntRange(1, 25).Draw(rt, "steps") {
			p := list[rapid.IntRange(0, processes-1).Draw(rt, "process")]
			p.now = start.Add(time.Duration(step) * time.Second)
			part := attribution.Part(rapid.IntRange(1, 4).Draw(rt, "part"))
			sentAt := p.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(rt, "event") {
			case 0:
				a := attribution.Attempt{Parts: []attribution.Part{part, part + 4}, Request: 7, SentAt: sentAt}
				p.Crashed(p.now, uint32(rapid.IntRange(1, 6).Draw(rt, "upstream")), p.now, a)
			case 1:
				p.answer(sentAt, part)
			default:
				p.report(list[rapid.IntRange(0, processes-1).Draw(rt, "to")])
			}
		}
		at := start.Add(30 * time.Second)
		for range 4 {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(rt, "order") {
				list[i].now = at
				list[i].report(list...)
			}
		}
		for _, p := range list[1:] {
			require.Equal(rt, sum(list[0]), sum(p))
		}
	})
}

// However long requests with the part keep coming, they must not be sent again. A quarantine of fixed length ends while they still come.
func TestQuarantineHoldsWhileRequestsCome(t *testing.T) {
	a, b := newQuarantined(t, 1), newEstablishedProcess(t, 2)
	b.now = a.now
	for range 6 * 60 {
		a.now = a.now.Add(time.Minute)
		b.now = a.now
		a.Refused(a.now, crasher) // The requests reach one process only.
		require.Empty(t, a.Expire(a.now))
		a.report(b)
		require.Empty(t, b.Expire(b.now))
		require.True(t, a.Quarantined(crasher) && b.Quarantined(crasher))
	}
}

// Once nobody asks any more, all processes must forget the part, although reports age on their way and might renew each other.
func TestQuarantineEndsWhenNoRequestComes(t *testing.T) {
	const latency = 400 * time.Millisecond
	list := []*process{newQuarantined(t, 1), newEstablishedProcess(t, 2), newEstablishedProcess(t, 3)}
	now := list[0].now
	for end := now.Add(11 * time.Minute); now.Before(end); now = now.Add(latency) {
		var sent []attribution.Report
		for _, p := range list {
			sent = append(sent, p.Report(now))
		}
		for i, p := range list {
			p.Expire(now.Add(latency))
			p.Merge(now.Add(latency), sent[(i+1)%len(list)])
		}
	}
	for _, p := range list {
		require.False(t, p.Quarantined(crasher))
		require.True(t, p.Report(now).Empty())
	}
}

// A wrong decision must heal by itself: a single request is tried after a while, by one process only, and an answer lifts the quarantine
// everywhere. If it crashes an upstream, there is only one more trial: each costs an upstream.
func TestTrialsAreFewAndByOneProcess(t *testing.T) {
	owner, b := newQuarantined(t, 1), newEstablishedProcess(t, 2)
	owner.report(b)
	trials := 0
	for range 12 * 60 {
		owner.now = owner.now.Add(5 * time.Second)
		b.now = owner.now
		require.False(t, b.TakeTrial(b.now, crasher), "the owner is first")
		if owner.TakeTrial(owner.now, crasher) {
			trials++
		}
		owner.Refused(owner.now, crasher)
		owner.report(b)
	}
	require.Equal(t, 2, trials)
	require.True(t, b.Quarantined(crasher))
	require.Equal(t, []attribution.Part{crasher}, parts(owner.answer(owner.now.Add(-time.Second), crasher), attribution.Lifted))
	require.Equal(t, []attribution.Part{crasher}, parts(owner.report(b), attribution.Lifted))
	require.Empty(t, owner.wait(time.Minute), "the crashes before don't count again")
	require.Empty(t, b.wait(time.Minute))
	require.Empty(t, b.report(owner))
}

// Two processes may decide at the same moment. Both would make trials if they did not agree on one of them.
func TestProcessesThatDecideAtOnceAgreeOnOneForTrials(t *testing.T) {
	a, b := newQuarantined(t, 1), newQuarantined(t, 2)
	a.report(b)
	b.report(a)
	a.now = a.now.Add(2 * time.Minute)
	require.False(t, b.TakeTrial(a.now, crasher))
	require.True(t, a.TakeTrial(a.now, crasher))
	require.False(t, a.TakeTrial(a.now, crasher))
}

// The process that decided may be gone, or may get no such request. A wrong quarantine must heal nevertheless, with few trials of all others.
func TestOthersMakeTrialsIfTheOwnerDoesNot(t *testing.T) {
	owner := newQuarantined(t, 1)
	var others []*process
	for id := range uint32(40) {
		others = append(others, newProcess(t, 2+id))
	}
	owner.report(others...)
	trials := 0
	for now := owner.now; now.Before(owner.now.Add(9 * time.Minute)); now = now.Add(500 * time.Millisecond) {
		for _, p := range others {
			p.now = now
			p.Refused(now, crasher)
			if p.TakeTrial(now, crasher) {
				trials++
				p.report(others...)
			}
		}
	}
	require.Equal(t, 1, trials)
}

// Answers that were on their way when a sound part was quarantined must lift the quarantine at once.
func TestAnswersThatWereOnTheirWayLiftAWrongQuarantine(t *testing.T) {
	p := newQuarantined(t, 1)
	require.Equal(t, []attribution.Part{crasher}, parts(p.answer(p.now.Add(-100*time.Millisecond), crasher), attribution.Lifted))
	require.Empty(t, p.wait(time.Minute))
}

// The answer to a request that was sent before the part began to crash upstreams must not lift the quarantine.
func TestAnswerToAnEarlierRequestDoesNotLiftAQuarantine(t *testing.T) {
	p := newQuarantined(t, 1)
	require.Empty(t, p.answer(p.now.Add(-10*time.Second), crasher))
	require.True(t, p.Quarantined(crasher))
}

// An operator must be able to lift a quarantine everywhere, and new crashes must be able to start it again.
func TestOperatorLiftsAQuarantineEverywhere(t *testing.T) {
	a, b := newQuarantined(t, 1), newEstablishedProcess(t, 2)
	a.report(b)
	lifted := a.records(nil)
	lifted[0].Lifted = true
	require.Equal(t, []attribution.Part{crasher}, parts(b.MergeRecorded(b.now, lifted, false), attribution.Lifted))
	require.Empty(t, b.MergeRecorded(b.now, lifted, false))
	require.Equal(t, []attribution.Part{crasher}, parts(b.report(a), attribution.Lifted))
	require.Empty(t, a.report(b), "a report that is older must not start it again")
	b.request = 50
	for upstream := uint32(20); upstream < 22; upstream++ {
		require.Empty(t, b.crash(upstream, crasher))
	}
	require.Equal(t, []attribution.Part{crasher}, parts(b.crash(22, crasher), attribution.Started))
	require.Equal(t, []attribution.Part{crasher}, parts(b.report(a), attribution.Reported))
}

// A process that starts during a quarantine must learn of it with the first report.
func TestStartedProcessLearnsOfQuarantines(t *testing.T) {
	p := newQuarantined(t, 1)
	p.now = p.now.Add(5 * time.Minute)
	p.Refused(p.now, crasher)
	started := newProcess(t, 2)
	require.Equal(t, []attribution.Part{crasher}, parts(p.report(started), attribution.Reported))
}

// Reports must fit into a datagram beside the rest, whatever is known, and repeated ones must bring all of it to other processes.
func TestReportsAreBoundedAndGoThroughEverything(t *testing.T) {
	const maxBytes = 1800
	p, o := newEstablishedProcess(t, 1<<32-1), newEstablishedProcess(t, 2)
	for i := range uint32(24) {
		for j := range uint64(40) {
			p.request++
			a := attribution.Attempt{Parts: []attribution.Part{attribution.Part(1<<63 + uint64(i)*40 + j)}, Request: p.request, SentAt: p.now.Add(-time.Minute)}
			p.Crashed(p.now, 1<<31+i, p.now, a)
		}
		p.now = p.now.Add(10 * time.Millisecond)
	}
	for i := range uint64(20) {
		for upstream := range uint32(3) {
			p.crash(1000+3*uint32(i)+upstream, attribution.Part(1<<62+i))
		}
	}
	for range 2000 {
		raw, err := json.Marshal(p.Report(p.now))
		require.NoError(t, err)
		require.LessOrEqual(t, len(raw), maxBytes)
		p.report(o)
	}
	for i := range uint64(20) {
		require.True(t, o.Quarantined(attribution.Part(1<<62+i)))
	}
	require.Equal(t, p.Uncleared(), o.Uncleared())
}

// Hundreds of parts may be in play at a crash. The one that is at several crashes must be reported at once, not when its turn comes: other
// processes decide by it.
func TestPartAtSeveralCrashesIsReportedFirst(t *testing.T) {
	p, o := newEstablishedProcess(t, 1), newEstablishedProcess(t, 2)
	const last attribution.Part = 1 << 60
	for upstream := range uint32(2) {
		var many []attribution.Part
		for i := range 80 {
			many = append(many, attribution.Part(1000+100*int(upstream)+i))
		}
		p.crash(upstream, append(many, last)...)
	}
	p.report(o)
	require.Equal(t, 2, o.Uncleared()[last])
}

// Whatever another process sends must not break a table.
func TestMalformedReportsAreIgnored(t *testing.T) {
	p := newEstablishedProcess(t, 1)
	require.Empty(t, p.Merge(p.now, attribution.Report{
		Crashes: []attribution.CrashReport{{Upstream: 1, AgeMS: -5, Suspects: make([]byte, 24)}, {Upstream: 2, AgeMS: 1 << 60, Suspects: make([]byte, 24)}, {Upstream: 3, Suspects: make([]byte, 5)}},
		Quarantines: []attribution.QuarantineReport{
			{Part: crasher, Generation: 0}, {Part: crasher, Generation: 1, AgeMS: -1}, {Part: crasher, Generation: 1, SeenMS: 1 << 50}, {Part: crasher, Generation: 1 << 31},
		},
	}))
	require.False(t, p.Quarantined(crasher))
}

// records returns the records that a process writes to a store that holds a list.
func (p *process) records(list []attribution.Recorded) []attribution.Recorded {
	writes, _ := p.RecordChanges(p.now, list)
	return writes
}

// A start of everything, after which no process knows anything, must not cost crashes again: the store holds the quarantines. Neither a stale
// read nor a store that came back from a copy may lift one.
func TestQuarantineIsKeptInTheStore(t *testing.T) {
	owner := newQuarantined(t, 1)
	recorded := owner.records(nil)
	require.Len(t, recorded, 1)
	require.Equal(t, crasher, recorded[0].Part)
	require.Empty(t, owner.records(recorded))
	require.Empty(t, newEstablishedProcess(t, 2).records(nil), "only the process that decided writes it")
	started := newProcess(t, 3)
	require.Equal(t, []attribution.Part{crasher}, parts(started.MergeRecorded(started.now, recorded, true), attribution.Reported))
	require.Empty(t, started.MergeRecorded(started.now, nil, false))
	require.True(t, started.Quarantined(crasher))
	require.Empty(t, owner.MergeRecorded(owner.now, nil, false))
	require.Equal(t, recorded, owner.records(nil), "it is written again to a store that has lost it")
	recorded[0].Lifted = true
	require.Equal(t, []attribution.Part{crasher}, parts(owner.MergeRecorded(owner.now, recorded, false), attribution.Lifted))
	require.Empty(t, owner.records(recorded))
	owner.request = 70
	for upstream := uint32(30); upstream < 33; upstream++ {
		owner.crash(upstream, crasher)
	}
	require.True(t, owner.Quarantined(crasher))
	require.Empty(t, owner.MergeRecorded(owner.now, recorded, false), "the record is of the quarantine before")
	require.Equal(t, uint32(2), owner.records(recorded)[0].Generation)
}

// Reads of the store must not make a quarantine last, nor bring its trials forward. One that has ended must not start again from its own
// record, which is removed a little later.
func TestRecordsDoNotProlongAQuarantine(t *testing.T) {
	p := newQuarantined(t, 1)
	recorded := p.records(nil)
	recorded[0].StartedAt = recorded[0].StartedAt.Add(-time.Hour) // By a clock that is wrong.
	for range 50 {
		require.Empty(t, p.MergeRecorded(p.now, recorded, false))
		require.False(t, p.TakeTrial(p.now, crasher))
		p.now = p.now.Add(time.Second)
	}
	p.now = p.now.Add(10 * time.Minute)
	require.Equal(t, []attribution.Part{crasher}, parts(p.Expire(p.now), attribution.Ended))
	for range 11 {
		require.Empty(t, p.MergeRecorded(p.now, recorded, false))
		require.False(t, p.Quarantined(crasher))
		writes, removals := p.RecordChanges(p.now, recorded)
		require.Empty(t, writes)
		require.Empty(t, removals, "it may not have ended at all processes yet")
		p.now = p.now.Add(5 * time.Second)
	}
	p.now = p.now.Add(5 * time.Second)
	for range 2 {
		_, removals := p.RecordChanges(p.now, recorded)
		require.Equal(t, recorded, removals, "until the store no longer has it")
	}
	_, removals := p.RecordChanges(p.now, nil)
	require.Empty(t, removals)
	require.False(t, p.HasRecords())
}

// The process that decided may be gone when its quarantine is lifted or ends. A record that stayed as it is would start the quarantine again
// at each process that starts.
func TestRecordOfAProcessThatIsGoneIsBroughtUpToDate(t *testing.T) {
	recorded := newQuarantined(t, 1).records(nil)
	other := newProcess(t, 2)
	other.MergeRecorded(other.now, recorded, true)
	other.now = other.now.Add(time.Second)
	require.Equal(t, []attribution.Part{crasher}, parts(other.answer(other.now, crasher), attribution.Lifted))
	writes := other.records(recorded)
	require.Len(t, writes, 1)
	require.True(t, writes[0].Lifted)
	ended := newProcess(t, 3)
	ended.MergeRecorded(ended.now, recorded, true)
	ended.now = ended.now.Add(11 * time.Minute)
	require.Equal(t, []attribution.Part{crasher}, parts(ended.Expire(ended.now), attribution.Ended))
	_, removals := ended.RecordChanges(ended.now.Add(time.Minute), recorded)
	require.Equal(t, recorded, removals)
}
