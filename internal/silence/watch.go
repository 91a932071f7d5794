package silence

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/connend"
)

// Watch limits how long the other side of a connection may be silent during one call. A connection without a Watch has a nil one, which sets no
// limit and counts nothing.
type Watch struct {
	// onSilent is called at most once, before the read that found the other side silent returns.
	onSilent func()
	// onLateRead is called for a read that would have been given up, had it not found data that was already there. It may be nil.
	onLateRead func()

	mu sync.Mutex
	// limit is how long the other side may be silent; 0 means without a limit.
	limit time.Duration
	// counterSlice is the length of the slices of a counter; 0 for a Watch with a limit.
	counterSlice time.Duration
	// giveUp is called in place of onSilent once a counter finds the other side silent; nil unless GiveUp was called since the last progress.
	giveUp func()
	// silent is the silence counted since the last progress.
	silent time.Duration
	// notice is the silence after which onNotice is called, once until the next progress; 0 for never. The Watch goes on. noticed is set once
	// it was called.
	notice   time.Duration
	onNotice func()
	noticed  bool
	// conn is the connection of the call, nil before it is known and after Stop.
	conn *Conn
	// used is the connection of the call, also after Stop; nil before it is known.
	used *Conn
	// slowConnect is what NotifyConnecting set.
	slowConnect connecting
	// sent is set once something may have been sent on the connection, and sendForbidden once nothing may be any more.
	sent, sendForbidden bool
	// stopped is set by Stop and once the other side was found silent; expired only by the latter.
	stopped, expired bool
}

// NewWatch returns a Watch with a limit, which may be 0 for none. onSilent is called once if the other side is silent for that long.
func NewWatch(limit time.Duration, onSilent func()) *Watch {
	return &Watch{limit: limit, onSilent: onSilent}
}

// NewCounter returns a Watch without a limit, which counts the silence of the other side in slices of the given length. Something else decides
// how much is too much, and then calls GiveUp.
func NewCounter(slice time.Duration) *Watch { return &Watch{counterSlice: slice} }

// OnLateRead sets a function that is called when data was found that had already arrived when the limit passed: this process was late, not
// the other side. It is set before the Watch is used.
func (w *Watch) OnLateRead(f func()) { w.onLateRead = f }

// watchKey is the key of the Watch of a call in its context.
type watchKey struct{}

// WithWatch returns a context with which an HTTP call attaches w to the connection that it uses. The call's transport must dial with a
// function that Dialer returned.
func WithWatch(ctx context.Context, w *Watch) context.Context {
	ctx = context.WithValue(ctx, watchKey{}, w)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := find(info.Conn)
		if !ok {
			panic("silence: the call's transport does not dial with a function of Dialer, so nothing would limit the call")
		}
		w.Attach(c)
	}})
}

// Attach lets w limit the reads of c until Stop. It does nothing after Stop.
func (w *Watch) Attach(c *Conn) {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.conn, w.used = c, c
	w.mu.Unlock()
	c.attach(w)
}

// Progress records that what was waited for has arrived, and sets the limit for what comes next; 0 means without a limit.
func (w *Watch) Progress(limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = limit
	w.silent = 0
	w.noticed = false
	w.giveUp = nil
}

// Notify sets a function that is called once the other side was silent for d since the last progress; 0 for never. It is called at most once
// until the next progress, before the read that found the silence goes on. Unlike the limit, it ends nothing.
func (w *Watch) Notify(d time.Duration, onNotice func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notice, w.onNotice, w.noticed = d, onNotice, false
}

// connecting is how a connection is made that takes longer than the limit of its Dialer: it is given up after limit, onNotice is called at the
// Dialer's limit, and onConnected after that, once there is a connection. The zero value leaves it to the Dialer.
type connecting struct {
	limit                 time.Duration
	onNotice, onConnected func()
}

// NotifyConnecting lets a connection that is made for the call go on beyond the limit of its Dialer, at which onNotice is called, and gives it up
// after limit. onConnected is called if there is a connection after all. It is called before the call.
func (w *Watch) NotifyConnecting(limit time.Duration, onNotice, onConnected func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowConnect = connecting{limit: limit, onNotice: onNotice, onConnected: onConnected}
}

// connecting returns what NotifyConnecting set.
func (w *Watch) connecting() connecting {
	if w == nil {
		return connecting{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.slowConnect
}

// ForbidSend lets all writes of the call fail from now on. It reports false, and forbids nothing, if something may have been sent before.
func (w *Watch) ForbidSend() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sendForbidden = !w.sent
	return w.sendForbidden
}

// Silence returns the silence counted since the last progress. It reports false while the Watch is attached to no connection.
func (w *Watch) Silence() (silent time.Duration, attached bool) {
	if w == nil {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.silent, w.conn != nil && !w.stopped
}

// GiveUp lets a counter give up the other side if at least the given silence is counted: at the end of the slice in progress the connection is
// looked at a last time, and if that finds nothing, onSilent is called and the read returns ErrSilent. Progress withdraws it.
func (w *Watch) GiveUp(silence time.Duration, onSilent func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silent >= silence {
		w.giveUp = onSilent
	}
}

// Stop ends the Watch for good and detaches it from its connection.
func (w *Watch) Stop() {
	w.mu.Lock()
	c := w.conn
	w.conn = nil
	w.stopped = true
	w.mu.Unlock()
	if c != nil {
		c.detach(w)
	}
}

// End returns how the connection of the call ended, as its reads have found so far.
func (w *Watch) End() connend.End {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.used == nil {
		return connend.End{}
	}
	return w.used.End()
}

// Abandon ends the Watch, closes its connection, and reports whether anything of the call may have been sent before.
func (w *Watch) Abandon() (sent bool) {
	w.mu.Lock()
	c := w.conn
	w.mu.Unlock()
	if c != nil {
		_ = c.Close() // The call has failed, whatever closing it says.
	}
	w.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// recordSend records that something may be sent on the connection. It reports false, and records nothing, after ForbidSend.
func (w *Watch) recordSend() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sendForbidden {
		return false
	}
	w.sent = true
	return true
}

// slice returns the length of the next slice of the limit; 0 means without a limit.
func (w *Watch) slice() time.Duration {
	if w == nil {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return 0
	}
	return w.sliceLength()
}

// sliceLength returns the length of a slice; 0 means without a limit. The caller holds mu. A notice that is still to be given has slices of its
// own length, and the last slice before the limit ends with it.
func (w *Watch) sliceLength() time.Duration {
	switch {
	case w.counterSlice > 0:
		return w.counterSlice
	case w.notice <= 0:
		return w.limit / slicesPerLimit
	case w.limit <= 0 && w.noticed:
		return 0
	case w.limit <= 0:
		return w.notice / slicesPerLimit
	}
	return max(minSlice, min(w.notice/slicesPerLimit, w.limit-w.silent))
}

// countSlice counts a slice in which a read found nothing, and reports whether the limit is reached. Before something was sent, nothing counts:
// the other side has nothing to answer.
func (w *Watch) countSlice() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.sent {
		return false
	}
	w.silent += w.sliceLength()
	return w.overLimit()
}

// takeNotice calls the function of Notify if the silence counted has reached its time. It is called at the end of a slice.
func (w *Watch) takeNotice() {
	if w == nil {
		return
	}
	w.mu.Lock()
	due := !w.stopped && !w.noticed && w.notice > 0 && w.silent >= w.notice/slicesPerLimit*slicesPerLimit
	onNotice := w.onNotice
	w.noticed = w.noticed || due
	w.mu.Unlock()
	if due {
		onNotice()
	}
}

// overLimit reports whether the silence counted has reached the limit, or a counter is to give up. The caller holds mu.
func (w *Watch) overLimit() bool {
	if w.counterSlice > 0 {
		return !w.stopped && w.giveUp != nil
	}
	slice := w.limit / slicesPerLimit
	return !w.stopped && slice > 0 && w.silent >= slice*slicesPerLimit
}

// minSlice is the shortest slice of a Watch with a notice. Without it, the rest of a limit could be arbitrarily short.
const minSlice = 10 * time.Millisecond

// expire calls onSilent if the limit is still reached, and reports whether it did so. Progress may have been recorded, or the Watch stopped,
// since the limit was found reached.
func (w *Watch) expire() bool {
	w.mu.Lock()
	expired := w.overLimit()
	onSilent := w.onSilent
	if expired {
		w.stopped, w.expired = true, true
		if w.giveUp != nil {
			onSilent = w.giveUp
		}
	}
	w.mu.Unlock()
	if expired {
		onSilent()
	}
	return expired
}

// Expired reports whether the other side was found silent for the limit.
func (w *Watch) Expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// recordLateRead records that data was found which had already arrived when the limit passed.
func (w *Watch) recordLateRead() {
	if w.onLateRead != nil {
		w.onLateRead()
	}
}
