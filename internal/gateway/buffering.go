package gateway

import (
	"context"
	"io"
	"net/http"
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
	// reserve requests memory for n bytes that were read; see accountedBody and accountedResponse. reserved counts those bytes.
	reserve  func(n int) error
	reserved int
}

// Read implements io.Reader.
func (r *accountedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if reserveErr := r.reserve(n); reserveErr != nil {
			return n, reserveErr
		}
		r.reserved += n
	}
	return n, err
}

// accountedBody reads a caller's request body. It fails with membudget.ErrFull if there is no free memory: nothing was sent yet, so the
// request can be refused.
func accountedBody(body io.Reader, r *membudget.Reservation) io.Reader {
	return &accountedReader{Reader: body, reserve: func(n int) error {
		r.AwaitCaller()
		return r.GrowBody(n)
	}}
}

// accountedResponse reads a response and waits while there is no free memory for it.
func accountedResponse(ctx context.Context, body io.Reader, r *membudget.Reservation) *accountedReader {
	return &accountedReader{Reader: body, reserve: func(n int) error { return growWhenFree(ctx, r, n) }}
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
