package request

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

// TestSilentUpstreamIsGivenUpOnlyForReplacement guards against an attempt that ends because its upstream is silent, although nothing can take
// its place, and against one that goes on although another upstream can.
func TestSilentUpstreamIsGivenUpOnlyForReplacement(t *testing.T) {
	answering := func(l *lifecycle) { l.answer() }
	for name, c := range map[string]struct {
		upstreams  int
		atMostOnce bool
		prepare    func(*lifecycle)
		ran        code.Ran
		givenUp    bool
	}{
		"another upstream":                    {2, false, nil, code.Unknown, true},
		"the only upstream":                   {1, false, nil, code.Unknown, false},
		"a call that runs once":               {2, true, nil, code.Unknown, false},
		"a call that runs once, nothing sent": {2, true, nil, code.NotRun, true},
		"an answer that can be continued":     {2, false, answering, code.Unknown, true},
		"the only upstream, answering":        {1, false, answering, code.Unknown, false},
		"no upstream of the version": {2, false, func(l *lifecycle) {
			l.answer()
			for i := range l.env.candidates {
				l.env.candidates[i].Upstream.Digest = "other"
			}
		}, code.Unknown, false},
		"all others tried":             {2, false, func(l *lifecycle) { l.fail(code.UpstreamDied, code.Unknown) }, code.Unknown, false},
		"another one restarted before": {2, false, func(l *lifecycle) { l.fail(code.AgentRestarted, code.NotRun) }, code.Unknown, true},
		"a body that can't be sent again": {2, false, func(l *lifecycle) {
			l.state.Requests["r"].replayable = false
		}, code.Unknown, false},
		"no budget": {2, false, func(l *lifecycle) {
			budget := l.state.budget(l.state.Requests["r"].serviceKey())
			for budget.Take() {
			}
		}, code.Unknown, false},
		"quarantined":   {2, false, func(l *lifecycle) { l.env.status = suspect.Quarantined }, code.Unknown, false},
		"deadline over": {2, false, func(l *lifecycle) { l.now = l.state.Requests["r"].Deadline }, code.Unknown, false},
		"an earlier attempt's": {2, false, func(l *lifecycle) {
			l.fail(code.AgentRestarted, code.NotRun)
			l.state.Requests["r"].Attempt++
		}, code.Unknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := receive(t, newEnvironment(c.upstreams), c.atMostOnce)
			if c.atMostOnce {
				l.step(ClaimSettled{ID: "r", Outcome: ClaimGranted})
			}
			if c.prepare != nil {
				c.prepare(l)
			}
			l.last = nil
			l.step(UpstreamSilent{ID: "r", Attempt: l.attempt, Ran: c.ran})
			if c.givenUp {
				require.IsType(t, GiveUp{}, l.last)
				require.Equal(t, l.attempt, l.last.(GiveUp).Number)
				return
			}
			require.Nil(t, l.last)
		})
	}
}

// TestSilentAgentThatNothingReplacesIsAskedUntilDeadline guards against an answer that is aborted because its agent is silent, although no other
// upstream can continue it, and against a silent agent that is asked on although another upstream can.
func TestSilentAgentThatNothingReplacesIsAskedUntilDeadline(t *testing.T) {
	interrupt := func(l *lifecycle, n int) {
		for range n {
			l.resumes = 0
			l.step(AnswerInterrupted{ID: "r", Attempt: 1, Silent: true})
			require.IsType(t, Resume{}, l.last)
		}
	}
	alone := receive(t, newEnvironment(1), false)
	alone.answer()
	interrupt(alone, 3*MaxResumes)
	alone.now = alone.state.Requests["r"].Deadline
	alone.step(AnswerInterrupted{ID: "r", Attempt: 1, Silent: true})
	require.IsType(t, Abort{}, alone.last)
	replaced := receive(t, newEnvironment(2), false)
	replaced.answer()
	interrupt(replaced, MaxContinuableResumes)
	replaced.ran = append(replaced.ran, code.DidRun)
	replaced.step(AnswerInterrupted{ID: "r", Attempt: 1, Silent: true})
	require.IsType(t, Send{}, replaced.last)
}
