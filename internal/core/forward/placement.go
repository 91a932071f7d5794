package forward

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

// placement is one attempt of a request at an upstream; the zero value is none.
type placement struct {
	// number counts the attempts of the request from 1; see Send.
	number int
	// instance is the upstream that the request is with; zero if none.
	instance catalog.Instance
	// sentAt is when the attempt was sent.
	sentAt time.Time
	// awaitingFirstEvent is set until the upstream sends the first event.
	awaitingFirstEvent bool
	// unreported is set if the request is with an engine without a load report, and firstEventLate if the first event was late
	// there.
	unreported, firstEventLate bool
	// version is the version that the attempt requires; 0 for none.
	version int64
	speed   requestSpeed
	// stalled is set while the upstream sends nothing of the attempt, from the attempt's timeout on.
	stalled bool
	// unsent is set while it stalls without a connection.
	unsent bool
}

// withAttempt calls f with an open attempt of the request as its newest one. A number that is not that of the attempt beside the newest one
// stands for the newest one.
func (r *request) withAttempt(number int, f func()) {
	if r.beside == nil || r.beside.number != number {
		f()
		return
	}
	r.placement, *r.beside = *r.beside, r.placement
	f()
	r.placement, *r.beside = *r.beside, r.placement
}

// isAt reports whether the attempt with a number is open.
func (r *request) isAt(number int) bool {
	return r.isOpen() && (r.number == number || r.beside != nil && r.beside.number == number)
}

// eachAttempt calls f once for each open attempt of the request, with that attempt as its newest one.
func (r *request) eachAttempt(f func()) {
	f()
	if r.beside != nil {
		r.withAttempt(r.beside.number, f)
	}
}

// leaveAttempt takes an attempt that has ended off the request. Another one that is open becomes the newest one. It reports whether there is
// one.
func (r *request) leaveAttempt(number int) (open bool) {
	if r.beside == nil {
		return false
	}
	if r.beside.number != number {
		r.placement = *r.beside
	}
	r.beside = nil
	return true
}

// isOpen reports whether the request is with an upstream.
func (r *request) isOpen() bool { return r.instance != (catalog.Instance{}) }
