package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/membudget"
	"samphireweir.example/samphireweir/internal/periodic"
)

// roomRetry is the wait before room for an answer is asked for again: somebody who does not read is ended after half a second.
const roomRetry = 20 * time.Millisecond

// openHolder returns the holder of what is held for a request. When its caller is ended to make room for others, the connection is of no use any more:
// reads and writes on it end at once.
func (g *Gateway) openHolder(w http.ResponseWriter, key string) *membudget.Reservation {
	caller := http.NewResponseController(w)
	return g.memory.Open(key, func() {
		past := time.Now().Add(-time.Second)
		for _, err := range []error{caller.SetReadDeadline(past), caller.SetWriteDeadline(past)} {
			if err != nil {
				logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("a slow caller can't be ended")
			}
		}
	})
}

// heldReader reads something that is held in memory.
type heldReader struct {
	io.Reader
	holder *membudget.Reservation
	// room takes room for what was read; see heldBody and heldAnswer.
	room func(n int) error
}

// Read reads a part.
func (r heldReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.holder.Progress()
		if full := r.room(n); full != nil {
			return n, full
		}
	}
	return n, err
}

// heldBody reads the body of a caller's request: one that finds no room can be refused.
func heldBody(body io.Reader, h *membudget.Reservation) io.Reader {
	return heldReader{Reader: body, holder: h, room: h.Grow}
}

// heldAnswer reads an answer, which waits for room.
func heldAnswer(ctx context.Context, answer io.Reader, h *membudget.Reservation) io.Reader {
	return heldReader{Reader: answer, holder: h, room: func(n int) error { return growOnceThereIsRoom(ctx, h, n) }}
}

// growOnceThereIsRoom takes room for n bytes of an answer.
func growOnceThereIsRoom(ctx context.Context, h *membudget.Reservation, n int) error {
	for {
		err := h.Grow(n)
		if !errors.Is(err, membudget.ErrFull) {
			return err
		}
		periodic.Sleep(ctx, roomRetry)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// eventQueue holds the events that were read of a stream and not passed on yet, so that its upstream is read however slowly its caller reads.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	// err ends the queue; io.EOF for a stream that is whole.
	err error
	// added has a token when something was added.
	added chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{added: make(chan struct{}, 1)} }

func (q *eventQueue) put(e event) { q.add(func() { q.events = append(q.events, e) }) }

// end ends the queue after the events that it holds.
func (q *eventQueue) end(err error) { q.add(func() { q.err = err }) }

func (q *eventQueue) add(change func()) {
	q.mu.Lock()
	change()
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// next waits for the next event, or for the end.
func (q *eventQueue) next() (event, error) {
	for {
		q.mu.Lock()
		if len(q.events) > 0 {
			e := q.events[0]
			q.events = q.events[1:]
			q.mu.Unlock()
			return e, nil
		}
		err := q.err
		q.mu.Unlock()
		if err != nil {
			return event{}, err
		}
		<-q.added
	}
}

// readEvents reads a stream to its end as fast as it comes. It ends with the attempt's context, by which the answer's body ends.
func (a *attempt) readEvents(ctx context.Context, body io.Reader, q *eventQueue) {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			a.stopPatience()
			q.end(err)
			return
		}
		a.progress()
		if err := growOnceThereIsRoom(ctx, a.x.holder, len(e.raw)); err != nil {
			q.end(err)
			return
		}
		q.put(e)
	}
}
