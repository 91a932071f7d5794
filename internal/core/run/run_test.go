package run

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
	"samphireweir.example/samphireweir/internal/setting"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.checks", "500")
	os.Exit(m.Run())
}

// statuses holds the statuses on fingerprints in a test.
type statuses map[string]suspect.Status

// Status returns the status on a fingerprint.
func (m statuses) Status(_ time.Time, fingerprint string) suspect.Status { return m[fingerprint] }

func upstreams() *rollout.State {
	return rollout.NewState([]rollout.Upstream{{Upstream: member.Upstream{Name: "p", Kind: setting.Plain}}})
}

// network models entries that send attempts to one agent. Connections delay, reorder and duplicate messages, and the
// agent may restart. The model records whether each attempt started and whether it was reported as not run.
type network struct {
	t           *rapid.T
	now         time.Time
	incarnation uint64
	agent       *State
	upstreams   *rollout.State
	statuses    statuses
	sequence    uint64
	calls       uint64
	inFlight    []StartRequested
	sent        []Message
	started     map[ID]int
	notRun      map[ID]bool
	running     []ID
	// receivedBy maps each attempt to the incarnation of the agent that received its message first.
	receivedBy map[ID]uint64
	// waiting are the calls that have not been answered.
	waiting map[uint64]bool
}

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1000, 0), statuses: statuses{"suspect": suspect.Suspect}, started: map[ID]int{}, notRun: map[ID]bool{}, receivedBy: map[ID]uint64{}}
	n.restart()
	return n
}

func (n *network) restart() {
	n.incarnation++
	n.agent = NewState(n.incarnation)
	n.upstreams = upstreams()
	n.running = nil
	n.waiting = map[uint64]bool{}
}

func (n *network) step(ev step.Event) {
	for _, e := range n.agent.Reduce(step.Input{Now: n.now, Event: ev}, n.upstreams, n.statuses) {
		n.recordEffect(e)
	}
	n.checkSuspectsRunAlone()
}

func (n *network) recordEffect(e step.Effect) {
	switch e := e.(type) {
	case Start:
		n.started[e.ID]++
		n.running = append(n.running, e.ID)
		n.recordAnswer(e.Call)
		require.Equal(n.t, 1, n.started[e.ID], "%v started twice", e.ID)
		require.False(n.t, n.notRun[e.ID], "%v started after it was reported as not run", e.ID)
	case Join:
		n.recordAnswer(e.Call)
	case Refuse:
		n.recordAnswer(e.Call)
		n.checkReported(e.ID, e.Ran)
	case FenceAnswer:
		n.checkReported(e.ID, e.Ran)
	}
}

func (n *network) recordAnswer(call uint64) {
	require.True(n.t, n.waiting[call], "call %d answered twice", call)
	delete(n.waiting, call)
}

func (n *network) checkReported(id ID, ran code.Ran) {
	if ran != code.NotRun {
		return
	}
	require.Zero(n.t, n.started[id], "%v ran but was reported as not run", id)
	n.notRun[id] = true
}

func (n *network) checkSuspectsRunAlone() {
	for _, id := range n.running {
		r := n.agent.Running[id]
		require.False(n.t, r.Exclusive && len(n.running) > 1, "a suspect runs along with another request")
	}
}

func (n *network) send(t *rapid.T) {
	n.sequence++
	fingerprint := rapid.SampledFrom([]string{"", "a", "suspect"}).Draw(t, "fingerprint")
	m := Message{ID: ID{fmt.Sprint(n.sequence), 1}, Incarnation: n.incarnation, Entry: "e", Sequence: n.sequence}
	n.sent = append(n.sent, m)
	n.inFlight = append(n.inFlight, StartRequested{Message: m, Upstream: "p", Fingerprint: fingerprint})
}

// deliver delivers a message that is in flight, and may leave a copy for later. Copies reach only the incarnation that
// received the first one: no entry sends an attempt twice, so no other incarnation receives it.
func (n *network) deliver(t *rapid.T) {
	if len(n.inFlight) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
	m := n.inFlight[i]
	duplicate := rapid.Bool().Draw(t, "doubled")
	if !duplicate {
		n.inFlight = append(n.inFlight[:i:i], n.inFlight[i+1:]...)
	}
	if first, copied := n.receivedBy[m.ID]; copied && first != n.incarnation {
		return
	}
	n.receivedBy[m.ID] = n.incarnation
	n.calls++
	m.Call = n.calls
	n.waiting[m.Call] = true
	n.step(m)
}

func (n *network) fence(t *rapid.T) {
	if len(n.sent) == 0 {
		t.Skip()
	}
	n.step(FenceRequested{Message: rapid.SampledFrom(n.sent).Draw(t, "try")})
}

func (n *network) finish(t *rapid.T) {
	if len(n.running) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(n.running)-1).Draw(t, "run")
	id := n.running[i]
	n.running = append(n.running[:i:i], n.running[i+1:]...)
	n.step(Finished{ID: id, Ran: code.DidRun, Complete: true})
}

func (n *network) advanceTime(t *rapid.T) {
	n.now = n.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
	n.step(step.Tick{})
}

// TestNotRunIsNeverReportedForStartedAttempt guards against executing a request twice: an entry may repeat an attempt
// that was reported as not run. Messages are late, duplicated and reordered, the agent restarts, and waits exceed the
// time for which outcomes are kept.
func TestNotRunIsNeverReportedForStartedAttempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		t.Repeat(map[string]func(*rapid.T){
			"send": n.send, "send more": n.send, "deliver": n.deliver, "deliver more": n.deliver,
			"fence": n.fence, "finish": n.finish, "pass": n.advanceTime,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					n.restart()
				}
			},
			"crash": func(t *rapid.T) {
				if len(n.running) > 0 {
					n.step(Crashed{ID: rapid.SampledFrom(n.running).Draw(t, "run")})
				}
			},
		})
	})
}

func sendAttempt(s *State, u *rollout.State, sequence uint64, alone bool) []step.Effect {
	m := Message{ID: ID{fmt.Sprint(sequence), 1}, Incarnation: 1, Entry: "e", Sequence: sequence}
	ev := StartRequested{Call: sequence, Message: m, Upstream: "p", Exclusive: alone}
	return s.Reduce(step.Input{Now: time.Unix(1000, 0), Event: ev}, u, statuses{})
}

// TestSuspectsWaitForIdleUpstream guards against a suspect that runs along with other requests, which its crash would
// fail as well. Queued suspects run one by one, and the upstream refuses other requests meanwhile.
func TestSuspectsWaitForIdleUpstream(t *testing.T) {
	s, u := NewState(1), upstreams()
	finish := func(n uint64) []step.Effect {
		return s.Reduce(step.Input{Now: time.Unix(1000, 0), Event: Finished{ID: ID{fmt.Sprint(n), 1}}}, u, statuses{})
	}
	require.IsType(t, Start{}, sendAttempt(s, u, 1, false)[0])
	require.Empty(t, sendAttempt(s, u, 2, true), "a suspect must wait")
	require.Empty(t, sendAttempt(s, u, 3, true), "the next suspect must wait, too")
	refusal := sendAttempt(s, u, 4, false)[0].(Refuse)
	assert.Equal(t, code.UpstreamReserved, refusal.Code)
	assert.Equal(t, ID{"2", 1}, finish(1)[0].(Start).ID)
	assert.Equal(t, ID{"3", 1}, finish(2)[0].(Start).ID)
	assert.Empty(t, finish(3))
	assert.IsType(t, Start{}, sendAttempt(s, u, 5, false)[0])
}

// TestStoppingAgentRefusesQueuedSuspects guards against queued suspects that stay unanswered when the agent shuts down.
func TestStoppingAgentRefusesQueuedSuspects(t *testing.T) {
	s, u := NewState(1), upstreams()
	sendAttempt(s, u, 1, false)
	sendAttempt(s, u, 2, true)
	s.Reduce(step.Input{Event: StopRequested{}}, u, statuses{})
	effects := s.Reduce(step.Input{Now: time.Unix(1000, 0), Event: step.Tick{}}, u, statuses{})
	require.Len(t, effects, 1)
	assert.Equal(t, Refuse{Call: 2, ID: ID{"2", 1}, Code: code.Stopping, Ran: code.NotRun}, effects[0])
}

// TestDiagnose guards against mistaking a failed connection or a hanging upstream for a crash, and the other way round.
func TestDiagnose(t *testing.T) {
	cases := map[string]struct {
		kind           setting.Kind
		previousBootID string
		probe          Probe
		want           Health
	}{
		"same life":                    {setting.Engine, "b1", Probe{BootID: "b1"}, Alive},
		"another life":                 {setting.Engine, "b1", Probe{BootID: "b2"}, Crashing},
		"no life yet":                  {setting.Engine, "b1", Probe{}, Crashing},
		"nothing listens":              {setting.Engine, "b1", Probe{Refused: true}, Crashing},
		"no answer":                    {setting.Engine, "b1", Probe{TimedOut: true}, Unanswered},
		"the life before is not known": {setting.Engine, "", Probe{BootID: "b1"}, Alive},
		"plain and listening":          {setting.Plain, "", Probe{}, Alive},
		"plain and gone":               {setting.Plain, "", Probe{Refused: true}, Crashing},
		"plain and frozen":             {setting.Plain, "", Probe{TimedOut: true}, Unanswered},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, Diagnose(c.kind, c.previousBootID, c.probe))
		})
	}
}
