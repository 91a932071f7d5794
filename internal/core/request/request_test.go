package request

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
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/suspect"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261202")
	_ = flag.Set("rapid.nofailfile", "true")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.checks", "1000")
	os.Exit(m.Run())
}

// environment is a fake Directory and a fake SuspectStatuses.
type environment struct {
	candidates []member.Candidate
	status     suspect.Status
}

// Candidates returns the upstreams.
func (e *environment) Candidates(time.Time, string, string) []member.Candidate { return e.candidates }

// Status returns the same status for every fingerprint.
func (e *environment) Status(time.Time, string) suspect.Status { return e.status }

// Remaining returns a fixed duration.
func (e *environment) Remaining(time.Time, string) time.Duration { return time.Minute }

func newEnvironment(n int) *environment {
	env := &environment{}
	for i := range n {
		env.candidates = append(env.candidates, member.Candidate{
			Address:  fmt.Sprintf("10.0.0.%d:1", i),
			Upstream: member.Upstream{Name: "e", Phase: member.Serving, Digest: "d"},
		})
	}
	return env
}

// lifecycle drives one request from its receipt to its end and checks each effect.
type lifecycle struct {
	t          require.TestingT
	now        time.Time
	state      *State
	env        *environment
	atMostOnce bool
	last       step.Effect
	// ran holds the run status of each attempt that failed or was answered.
	ran      []code.Ran
	attempt  int
	began    bool
	executed int
	// declinesAfterRun counts the attempts that found an upstream full or reserved after an earlier one may have run.
	declinesAfterRun int
	settled          bool
	resumes          int
}

func receive(t require.TestingT, env *environment, atMostOnce bool) *lifecycle {
	l := &lifecycle{t: t, now: time.Unix(1000, 0), state: NewState(), env: env, atMostOnce: atMostOnce}
	ev := Received{
		ID: "r", Team: "t", Service: "s", Deadline: l.now.Add(time.Minute), Key: "k", AtMostOnce: atMostOnce,
		Replayable: true, Fingerprint: "f", Terms: Terms{Account: "c", Weight: 1},
	}
	l.step(ev)
	return l
}

func (l *lifecycle) step(ev step.Event) {
	for _, e := range l.state.Reduce(step.Input{Now: l.now, Rand: uint64(l.attempt) * 7919, Event: ev}, l.env, l.env) {
		require.False(l.t, l.settled, "an effect after the request was settled: %#v", e)
		l.last = e
		l.check(e)
	}
}

func (l *lifecycle) check(e step.Effect) {
	switch e := e.(type) {
	case Send:
		require.Greater(l.t, e.Number, l.attempt, "an attempt number was used twice")
		l.attempt = e.Number
		l.resumes = 0
		require.Equal(l.t, l.began, e.Continue)
		require.NotEqual(l.t, suspect.Quarantined, l.env.status)
		require.Equal(l.t, l.env.status == suspect.Suspect, e.Exclusive)
		require.Less(l.t, l.executed, MaxExecutedAttempts)
		require.LessOrEqual(l.t, e.Number-l.declinesAfterRun, MaxTotalAttempts)
		require.LessOrEqual(l.t, e.Delay, MaxRetryDelay)
		require.True(l.t, l.declinesAfterRun < MaxTotalAttempts || e.Delay == MaxRetryDelay, "too many attempts in a short time")
		require.False(l.t, l.atMostOnce && l.combinedRan() != code.NotRun, "a call that may have run was sent again")
	case Resume:
		l.resumes++
		require.LessOrEqual(l.t, l.resumes, MaxResumes)
	case Refuse:
		l.settled = true
		require.False(l.t, l.began, "a refusal after the answer began")
		require.Equal(l.t, l.combinedRan(), e.Ran, "%v", e.Code)
	case Abort:
		l.settled = true
		require.True(l.t, l.began)
		require.Equal(l.t, code.DidRun, e.Ran)
	}
}

// combinedRan returns the run status of all attempts together.
func (l *lifecycle) combinedRan() code.Ran {
	combined := code.NotRun
	for _, ran := range l.ran {
		combined = CombineRan(combined, ran)
	}
	return combined
}

func (l *lifecycle) fail(c code.Code, ran code.Ran) {
	if ran == code.NotRun && l.combinedRan() != code.NotRun && (c == code.Overloaded || c == code.UpstreamReserved) {
		l.declinesAfterRun++
	}
	l.ran = append(l.ran, ran)
	if ran != code.NotRun {
		l.executed++
	}
	if l.began {
		l.step(AnswerFailed{ID: "r", Attempt: l.attempt, Code: c, Ran: ran})
		return
	}
	l.step(AttemptFailed{ID: "r", Attempt: l.attempt, Code: c, Ran: ran})
}

func (l *lifecycle) answer() {
	l.began = true
	l.ran = append(l.ran, code.DidRun)
	l.step(AnswerStarted{ID: "r", Attempt: l.attempt, Continuable: true, Digest: "d"})
}

// TestEachRequestSettlesOnceWithTrueRunStatus drives one request with random events in random order, including late and
// duplicate ones. It guards against a second final effect, a run status that is false for some attempt, a second run of
// an at-most-once call, and unbounded attempts or resumes.
func TestEachRequestSettlesOnceWithTrueRunStatus(t *testing.T) {
	codes := []code.Code{code.UpstreamDied, code.UpstreamSilent, code.AgentRestarted, code.UpstreamNotServing, code.UpstreamReserved}
	rapid.Check(t, func(t *rapid.T) {
		env := newEnvironment(rapid.IntRange(1, 6).Draw(t, "upstreams"))
		env.status = rapid.SampledFrom([]suspect.Status{suspect.Clear, suspect.Clear, suspect.Suspect}).Draw(t, "verdict")
		l := receive(t, env, rapid.Bool().Draw(t, "once"))
		if _, claims := l.last.(Claim); claims {
			l.step(ClaimSettled{ID: "r", Outcome: ClaimGranted})
		}
		ongoing := func(t *rapid.T) {
			if l.settled || l.attempt == 0 {
				t.Skip()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"fail": func(t *rapid.T) {
				ongoing(t)
				l.fail(rapid.SampledFrom(codes).Draw(t, "code"), rapid.SampledFrom([]code.Ran{code.NotRun, code.Unknown}).Draw(t, "ran"))
			},
			"answer": func(t *rapid.T) {
				ongoing(t)
				l.answer()
			},
			"break": func(t *rapid.T) {
				ongoing(t)
				if l.began {
					if l.resumes == maxResumes(l.state.Requests["r"]) {
						l.executed++
					}
					l.step(AnswerInterrupted{ID: "r", Attempt: l.attempt})
				}
			},
			"silent": func(t *rapid.T) {
				ongoing(t)
				ran := code.Unknown
				if !l.began {
					ran = rapid.SampledFrom([]code.Ran{code.NotRun, code.Unknown}).Draw(t, "ran if silent")
				}
				l.step(UpstreamSilent{ID: "r", Attempt: l.attempt, Ran: ran})
				if _, givenUp := l.last.(GiveUp); givenUp {
					l.fail(code.UpstreamSilent, ran)
					require.IsType(t, Send{}, l.last, "an attempt was given up and not replaced")
				}
			},
			"late event of an earlier attempt": func(t *rapid.T) {
				if before := l.last; l.attempt > 1 {
					l.step(AttemptFailed{ID: "r", Attempt: l.attempt - 1, Code: code.UpstreamDied, Ran: code.NotRun})
					l.step(AnswerFailed{ID: "r", Attempt: l.attempt - 1, Code: code.UpstreamDied, Ran: code.NotRun})
					require.Equal(t, before, l.last, "a late event had an effect")
				}
			},
			"convicted": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					env.status = suspect.Quarantined
				}
			},
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 10000).Draw(t, "ms")) * time.Millisecond)
				l.step(step.Tick{})
			},
		})
		l.step(Ended{ID: "r"})
		require.Empty(t, l.state.Requests)
	})
}

// TestUnknownOutcomeIsKeptInLaterRefusals guards against a refusal that reports only the last attempt. An earlier
// attempt may have run, so the caller must not be told that the request did not run.
func TestUnknownOutcomeIsKeptInLaterRefusals(t *testing.T) {
	l := receive(t, newEnvironment(2), false)
	l.fail(code.UpstreamDied, code.Unknown)
	l.fail(code.UpstreamNotServing, code.NotRun)
	assert.Equal(t, Refuse{ID: "r", Code: code.UpstreamNotServing, Ran: code.Unknown}, l.last)
}

// TestResumeDelayDoubles checks the delays between resumes, and that the answer is aborted after MaxResumes of them.
func TestResumeDelayDoubles(t *testing.T) {
	l := receive(t, newEnvironment(1), true)
	l.step(ClaimSettled{ID: "r", Outcome: ClaimGranted})
	l.answer()
	var delays []time.Duration
	for range MaxResumes {
		l.step(AnswerInterrupted{ID: "r", Attempt: 1})
		delays = append(delays, l.last.(Resume).Delay)
	}
	assert.Equal(t, []time.Duration{0, InitialResumeDelay, 2 * InitialResumeDelay, 4 * InitialResumeDelay}, delays)
	l.step(AnswerInterrupted{ID: "r", Attempt: 1})
	assert.Equal(t, Abort{ID: "r", Code: code.StreamBroken, Ran: code.DidRun}, l.last)
}

// TestProgressResetsTheResumeCount guards against aborting a long answer whose connection breaks often but which
// advances between the breaks.
func TestProgressResetsTheResumeCount(t *testing.T) {
	l := receive(t, newEnvironment(1), false)
	l.answer()
	for range 3 * MaxResumes {
		l.resumes = 0
		l.step(AnswerInterrupted{ID: "r", Attempt: 1})
		require.IsType(t, Resume{}, l.last)
		l.step(AnswerProgressed{ID: "r", Attempt: 1})
	}
}

// TestLostStreamIsContinuedWithTheSameVersion guards against an answer that mixes versions. A lost answer is continued
// on an upstream with the same version and aborted if there is none.
func TestLostStreamIsContinuedWithTheSameVersion(t *testing.T) {
	env := newEnvironment(2)
	l := receive(t, env, false)
	l.answer()
	l.fail(code.UpstreamDied, code.DidRun)
	next := l.last.(Send)
	assert.True(t, next.Continue)
	assert.Equal(t, "d", next.Digest)
	env.candidates[0].Upstream.Digest = "other"
	env.candidates[1].Upstream.Digest = "other"
	l.fail(code.UpstreamDied, code.DidRun)
	assert.Equal(t, Abort{ID: "r", Code: code.UpstreamDied, Ran: code.DidRun}, l.last)
}

// TestAtMostOnceAnswerIsNotContinuedElsewhere guards against a second run of an at-most-once call, which continuing its
// answer on another upstream would cause.
func TestAtMostOnceAnswerIsNotContinuedElsewhere(t *testing.T) {
	l := receive(t, newEnvironment(3), true)
	l.step(ClaimSettled{ID: "r", Outcome: ClaimGranted})
	l.answer()
	l.fail(code.UpstreamDied, code.DidRun)
	assert.Equal(t, Abort{ID: "r", Code: code.UpstreamDied, Ran: code.DidRun}, l.last)
}

// TestReservedUpstreamIsRetriedWithBackoff guards against refusing a request at once because its only upstream is
// reserved for a suspect. The request is retried with a doubling delay, up to MaxTotalAttempts.
func TestReservedUpstreamIsRetriedWithBackoff(t *testing.T) {
	l := receive(t, newEnvironment(1), false)
	var delays []time.Duration
	for range MaxTotalAttempts - 1 {
		l.fail(code.UpstreamReserved, code.NotRun)
		delays = append(delays, l.last.(Send).Delay)
	}
	assert.Equal(t, InitialRetryDelay, delays[0])
	assert.Equal(t, 64*InitialRetryDelay, delays[len(delays)-1])
	l.fail(code.UpstreamReserved, code.NotRun)
	assert.Equal(t, Refuse{ID: "r", Code: code.UpstreamReserved, Ran: code.NotRun, RetryAfter: DefaultRetryAfter}, l.last)
}

// TestRequestThatMayHaveRunIsRetriedUntilItsDeadline guards against refusing a request with an unknown outcome for a
// temporary lack of capacity. After an attempt that may have run, full or reserved upstreams are retried until the
// deadline, with increasing delays.
func TestRequestThatMayHaveRunIsRetriedUntilItsDeadline(t *testing.T) {
	for _, c := range []code.Code{code.Overloaded, code.UpstreamReserved} {
		for _, began := range []bool{false, true} {
			l := receive(t, newEnvironment(2), false)
			if began {
				l.answer()
			}
			l.fail(code.UpstreamDied, code.Unknown)
			for l.now.Before(l.state.Requests["r"].Deadline) {
				require.IsType(t, Send{}, l.last, "%d, answer started: %v", c, began)
				l.now = l.now.Add(max(time.Millisecond, l.last.(Send).Delay))
				l.fail(c, code.NotRun)
			}
			assert.Less(t, l.attempt, 60, "attempts within one minute")
			if began {
				assert.Equal(t, Abort{ID: "r", Code: code.DeadlinePassed, Ran: code.DidRun}, l.last)
				continue
			}
			assert.Equal(t, Refuse{ID: "r", Code: code.DeadlinePassed, Ran: code.Unknown}, l.last)
		}
	}
}
