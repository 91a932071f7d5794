package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// completions is a heap of the requests in flight, ordered by the time at which they complete.
type completions []struct {
	at time.Time
	id string
}

func (h completions) Len() int           { return len(h) }
func (h completions) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completions) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completions) Push(x any) {
	*h = append(*h, x.(struct {
		at time.Time
		id string
	}))
}
func (h *completions) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation serves the requests of a gate with a fixed concurrency and a simulated clock.
type simulation struct {
	gate        *Gate
	now         time.Time
	concurrency int
	running     completions
	serviceTime time.Duration
	// answered and sent count requests by client account.
	answered, sent map[string]int
}

func (s *simulation) start(id string) {
	heap.Push(&s.running, struct {
		at time.Time
		id string
	}{s.now.Add(s.serviceTime), id})
}

// advance moves the clock to the given time. It completes the requests that are due and admits waiting ones.
func (s *simulation) advance(to time.Time) {
	for len(s.running) > 0 && !s.running[0].at.After(to) {
		done := heap.Pop(&s.running).(struct {
			at time.Time
			id string
		})
		s.now = done.at
		s.gate.Remove(done.id, true)
		s.answered[clientOf(done.id)]++
		s.gate.Sweep(s.now)
		if id, ok := s.gate.Next(equalFit); ok {
			s.start(id)
		}
	}
	s.now = to
	s.gate.Sweep(to)
}

func clientOf(id string) string {
	var client string
	var n int
	_, _ = fmt.Sscanf(id, "%s %d", &client, &n)
	return client
}

// TestFloodInSteadyState guards against a client account that floods the service for a long time. The large account
// sends three times the capacity, and nine small accounts send a third of their share each. Every request of the small
// accounts must be answered, and at least 98% of the capacity must be used.
func TestFloodInSteadyState(t *testing.T) {
	s := &simulation{
		gate: NewGate(), now: epoch, concurrency: 40, serviceTime: 100 * time.Millisecond,
		answered: map[string]int{}, sent: map[string]int{},
	}
	random := rand.New(rand.NewPCG(1, 1))
	const capacity = 400 // requests per second
	for range 60000 {
		s.advance(s.now.Add(time.Duration(random.ExpFloat64() / (3.3 * capacity) * float64(time.Second))))
		client := "large"
		if random.Float64() < 0.3/3.3 {
			client = fmt.Sprint("small", random.IntN(9))
		}
		s.sent[client]++
		id := fmt.Sprint(client, " ", s.sent[client])
		a := Ask{ID: id, Account: client, Priority: DefaultPriority, Weight: 1, Deadline: s.now.Add(time.Minute)}
		if admitted, _ := s.gate.Admit(s.now, a, len(s.running) < s.concurrency); admitted {
			s.start(id)
		}
	}
	elapsed := s.now.Sub(epoch).Seconds()
	s.advance(s.now.Add(time.Second))
	total := 0
	for client, n := range s.sent {
		total += s.answered[client]
		if client != "large" {
			require.Equal(t, n, s.answered[client], client)
		}
	}
	require.Greater(t, float64(total), 0.98*capacity*elapsed, "capacity is idle")
	require.Less(t, s.answered["large"], s.sent["large"])
}
