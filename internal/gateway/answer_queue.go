package gateway

import (
	"net/http"
	"sync"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	outcome forward.Outcome
	// err is nil for forward.Answered.
	err error
	// answer is the answer, or the upstream's own failure, if it was buffered. It is nil for a stream.
	answer *response
	// instance is what a check found of the upstream's instance; empty if there was none.
	instance instanceState
}

// answerQueue holds what was read of one attempt's answer and not yet passed on, so that the upstream is read at full speed however slowly the
// caller reads.
type answerQueue struct {
	mu     sync.Mutex
	events []event
	// status and header are those of a stream.
	status int
	header http.Header
	// end is set once the attempt has ended.
	end *attemptEnd
	// added gets a token when an event or the end was added. The attempts of a request share it.
	added chan struct{}
}

// newAnswerQueue returns an empty queue. added has a capacity of one.
func newAnswerQueue(added chan struct{}) *answerQueue { return &answerQueue{added: added} }

// setHead sets the status and the headers of a stream. It is called before the first event is added.
func (q *answerQueue) setHead(status int, header http.Header) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.status, q.header = status, header
}

// head returns what setHead set.
func (q *answerQueue) head() (status int, header http.Header) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.status, q.header
}

func (q *answerQueue) push(e event) { q.add(func() { q.events = append(q.events, e) }) }

// close ends the queue after the events it holds.
func (q *answerQueue) close(end attemptEnd) { q.add(func() { q.end = &end }) }

func (q *answerQueue) add(change func()) {
	q.mu.Lock()
	change()
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// pop removes and returns the next event. Without one, it returns the end of the attempt, or neither if nothing has been added.
func (q *answerQueue) pop() (e event, found bool, end *attemptEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.events) == 0 {
		return event{}, false, q.end
	}
	e = q.events[0]
	q.events = q.events[1:]
	return e, true, nil
}
