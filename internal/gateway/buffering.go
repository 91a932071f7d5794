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

// capacityRetryInterval is the delay before memory for a response is requested again. Memory may become free at any time, since a request
// whose caller does not read can be evicted after half a second.
const capacityRetryInterval = 20 * time.Millisecond

// openReservation returns the memory reservation of a request. When the reservation is evicted, the caller's connection is of no further
// use. Its deadlines are then set to the past, so that reads and writes on it fail at once.
func (g *Gateway) openReservation(w http.ResponseWriter, key string) *membudget.Reservation {
	callerConn := http.NewResponseController(w)
	return g.memory.Open(key, func() {
		past := time.Now().Add(-time.Second)
		for _, err := range []error{callerConn.SetReadDeadline(past), callerConn.SetWriteDeadline(past)} {
			if err != nil {
				logevent.Warn(g.log, logevent.ServerError).Err(err).Msg("setting the deadline of a slow caller's connection failed")
			}
		}
	})
}

// accountedReader charges the bytes it reads to a reservation.
type accountedReader struct {
	io.Reader
	reservation *membudget.Reservation
	// reserve requests memory for n bytes that were read; see accountedBody and accountedResponse.
	reserve func(n int) error
}

// Read implements io.Reader.
func (r accountedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.reservation.Progress()
		if reserveErr := r.reserve(n); reserveErr != nil {
			return n, reserveErr
		}
	}
	return n, err
}

// accountedBody reads a caller's request body. It fails with membudget.ErrFull if there is no free memory: nothing was sent yet, so the
// request can be refused.
func accountedBody(body io.Reader, r *membudget.Reservation) io.Reader {
	return accountedReader{Reader: body, reservation: r, reserve: r.Grow}
}

// accountedResponse reads a response and waits while there is no free memory for it.
func accountedResponse(ctx context.Context, body io.Reader, r *membudget.Reservation) io.Reader {
	return accountedReader{Reader: body, reservation: r, reserve: func(n int) error { return growWhenFree(ctx, r, n) }}
}

// growWhenFree reserves n bytes for a response and waits until they are free or ctx ends.
func growWhenFree(ctx context.Context, r *membudget.Reservation, n int) error {
	for {
		err := r.Grow(n)
		if !errors.Is(err, membudget.ErrFull) {
			return err
		}
		periodic.Sleep(ctx, capacityRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// eventQueue holds the events of a stream that were read but not yet passed on, so that the upstream is read at full speed however slowly
// the caller reads.
type eventQueue struct {
	mu     sync.Mutex
	events []event
	// err is returned after the last event; it is io.EOF for a complete stream.
	err error
	// added holds a token when an event or the end was added.
	added chan struct{}
}

func newEventQueue() *eventQueue { return &eventQueue{added: make(chan struct{}, 1)} }

func (q *eventQueue) push(e event) { q.add(func() { q.events = append(q.events, e) }) }

// close ends the queue with err after the events it holds.
func (q *eventQueue) close(err error) { q.add(func() { q.err = err }) }

func (q *eventQueue) add(change func()) {
	q.mu.Lock()
	change()
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// pop waits for the next event and returns it, or the error that ended the queue.
func (q *eventQueue) pop() (event, error) {
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

// readEvents reads a stream to its end as fast as it arrives. It stops when the attempt's context ends, since that ends the response body.
func (a *attempt) readEvents(ctx context.Context, body io.Reader, q *eventQueue) {
	events := newEventReader(body)
	for {
		e, err := events.next()
		if err != nil {
			a.silence.Stop()
			q.close(err)
			return
		}
		a.silence.Progress(a.decision.GapTimeout)
		if err := growWhenFree(ctx, a.x.reservation, len(e.raw)); err != nil {
			q.close(err)
			return
		}
		q.push(e)
	}
}
