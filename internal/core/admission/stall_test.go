package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stallTest drives a gate whose service completes 100 requests a second until the time since epoch that its method stall gets.
type stallTest struct {
	t   *testing.T
	g   *Gate
	now time.Time
}

func newStallTest(t *testing.T) *stallTest {
	s := &stallTest{t: t, g: NewGate(), now: epoch}
	for i := range 300 {
		id := fmt.Sprint("done", i)
		admitted, _ := s.g.Admit(s.now, newAsk(id, "a", 1), true)
		require.True(t, admitted)
		s.answer(id)
		s.pass(10 * time.Millisecond)
	}
	return s
}

// answer records the end of a request.
func (s *stallTest) answer(id string) {
	s.g.Remove(id, true)
	s.g.Answered(s.now)
}

// pass lets time pass and returns the refusals of the gate.
func (s *stallTest) pass(d time.Duration) []Refusal {
	s.now = s.now.Add(d)
	return s.g.Sweep(s.now)
}

// wait queues n requests and returns the refusals of the gate.
func (s *stallTest) wait(n int) []Refusal {
	var all []Refusal
	for i := range n {
		_, refused := s.g.Admit(s.now, newAsk(fmt.Sprint("wait", i), "a", 1), false)
		all = append(all, refused...)
	}
	return all
}

// TestRequestsWaitThroughStall guards against requests that are refused while all upstreams are silent for a moment, or just after the silence,
// before there was time to admit them.
func TestRequestsWaitThroughStall(t *testing.T) {
	s := newStallTest(t)
	require.Empty(t, s.pass(MaxWait/2))
	require.Empty(t, s.wait(150), "as many as complete during the longest stall may wait")
	require.Empty(t, s.pass(MaxWait))
	require.Empty(t, s.pass(MaxStalledWait/2))
	s.answer("first after the stall")
	require.Empty(t, s.pass(MaxWait-time.Millisecond))
	s.answer("another")
	require.Len(t, s.pass(time.Millisecond), 150, "the service answers again, and is full")
}

// TestStallIsBounded guards against requests that wait without an end for a service that is dead, and against a queue without a bound.
func TestStallIsBounded(t *testing.T) {
	s := newStallTest(t)
	require.Empty(t, s.pass(MaxWait))
	require.NotEmpty(t, s.wait(MaxQueueCapacity+1))
	require.Empty(t, s.pass(MaxStalledWait-time.Millisecond))
	require.Len(t, s.pass(time.Millisecond), s.g.queueCapacity(s.now))
	require.LessOrEqual(t, s.g.queueCapacity(s.now), MaxQueueCapacity)
	require.Zero(t, s.g.Waiting())
}

// TestRequestPutBackWaitsFromItsFirstTime guards against a request that is put back into the queue again and again and waits for longer than others.
func TestRequestPutBackWaitsFromItsFirstTime(t *testing.T) {
	s := newStallTest(t)
	ask := newAsk("back", "a", 1)
	for range 3 {
		s.g.Requeue(s.now, ask)
		if ask.Since.IsZero() {
			ask.Since = s.now
		}
		s.answer("another")
		require.Empty(t, s.pass(MaxWait/4))
	}
	s.answer("another")
	require.Len(t, s.pass(MaxWait/4), 1)
}
