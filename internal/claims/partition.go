package claims

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/claim"
	corestep "samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/objectapi"
)

// event is an event of the claims reducer.
type event = corestep.Event

// partition is the shell of one partition's reducer, a claim.State: it carries out the reducer's effects.
type partition struct {
	number  int
	objects *objectapi.Client
	log     zerolog.Logger
	// callTimeout limits one call to the platform.
	callTimeout time.Duration

	mu    sync.Mutex
	state *claim.State
	// lastOp is the number of the latest claim or settlement that was passed to the reducer.
	lastOp uint64
	// replies maps the number of a claim or settlement to the channel that receives its reply.
	replies map[uint64]chan claim.Reply
	// timer is the timer of the scheduled claim.Woken event; nil before the first one.
	timer *time.Timer
}

func newPartition(number int, writer string, c Config) *partition {
	return &partition{
		number: number, objects: c.Objects, log: c.Log, callTimeout: c.Timing.PlatformTimeout,
		state:   claim.NewState(number, writer, c.Claims),
		replies: map[uint64]chan claim.Reply{},
	}
}

// submit sends the reducer an event with a new operation number and waits for the reply; ok is false if ctx ended
// first.
func (p *partition) submit(ctx context.Context, newEvent func(op uint64) event) (a claim.Reply, ok bool) {
	reply := make(chan claim.Reply, 1)
	p.mu.Lock()
	p.lastOp++
	op := p.lastOp
	p.replies[op] = reply
	p.reduce(newEvent(op))
	p.mu.Unlock()
	select {
	case a := <-reply:
		return a, true
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.replies, op)
		p.mu.Unlock()
		return claim.Reply{}, false
	}
}

// handle sends the reducer one event.
func (p *partition) handle(ev event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reduce(ev)
}

// reduce sends the reducer one event and carries out the effects; the caller holds mu.
func (p *partition) reduce(ev event) {
	for _, e := range p.state.Reduce(corestep.Input{Now: time.Now(), Event: ev}) {
		switch e := e.(type) {
		case claim.Reply:
			p.deliver(e)
		case claim.Load:
			go p.load(e)
		case claim.Commit:
			go p.commit(e)
		case claim.Sweep:
			go p.sweep(e)
		case claim.Wake:
			p.wakeAt(e.At)
		}
	}
}

// deliver passes a reply to the caller that waits for it, if there still is one.
func (p *partition) deliver(e claim.Reply) {
	if reply, waits := p.replies[e.Op]; waits {
		reply <- e
		delete(p.replies, e.Op)
	}
}

// wakeAt schedules a claim.Woken event; it replaces the one scheduled before.
func (p *partition) wakeAt(at time.Time) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(time.Until(at), func() { p.handle(claim.Woken{}) })
}

// commit carries out a claim.Commit effect and reports its result to the reducer. All its writes share one timeout.
func (p *partition) commit(e claim.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), p.callTimeout)
	defer cancel()
	p.handle(p.write(ctx, e))
}

// write writes the commit and returns the event that reports its result.
func (p *partition) write(ctx context.Context, e claim.Commit) event {
	for _, segment := range e.Segments {
		if err := p.writeSegment(ctx, segment); err != nil {
			// The head was not written, whether or not the segment was.
			p.logFailure(err, "write")
			return claim.Refused{RetryAfter: retryAfter(err), TimedOut: timedOut(err)}
		}
	}
	value, err := json.Marshal(e.Head)
	if err != nil {
		p.logFailure(err, "encode")
		return claim.Refused{}
	}
	item, err := p.objects.Put(ctx, claim.HeadKey(p.number), value, e.IfVersion)
	if err == nil {
		return claim.Committed{Version: item.Version}
	}
	return p.writeFailed(err)
}

// writeFailed returns the event for a write of the head that returned err.
func (p *partition) writeFailed(err error) event {
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return claim.Conflicted{}
	}
	p.logFailure(err, "write")
	if rejectedByPlatform(err) {
		return claim.Refused{RetryAfter: retryAfter(err)}
	}
	return claim.Uncertain{}
}

// rejectedByPlatform reports whether the platform itself refused the call, so that it certainly had no effect. Other
// errors, such as those of a gateway, may be returned after the write took effect.
func rejectedByPlatform(err error) bool {
	var refused *objectapi.RejectedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

// timedOut reports whether a call to the platform ended because no answer came in time.
func timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// retryAfter returns the Retry-After delay in the platform's refusal, or 0 if there is none.
func retryAfter(err error) time.Duration {
	var refused *objectapi.RejectedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}

// writeSegment writes an object whose name is unique to this process. A version conflict therefore means that an earlier
// attempt has written it.
func (p *partition) writeSegment(ctx context.Context, s claim.NewSegment) error {
	value, err := json.Marshal(s.Value)
	if err != nil {
		return errors.Wrapf(err, "encoding segment object %s", s.Name)
	}
	_, err = p.objects.Put(ctx, s.Name, value, 0)
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return errors.Wrapf(err, "writing segment object %s", s.Name)
}

// sweep deletes the objects of swept segments.
func (p *partition) sweep(e claim.Sweep) {
	for _, name := range e.Names {
		p.deleteObject(name)
	}
}

// deleteObject deletes an object if it can. A failure only leaves an unused object behind.
func (p *partition) deleteObject(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), p.callTimeout)
	defer cancel()
	item, err := p.objects.Get(ctx, name)
	if err != nil {
		return
	}
	_, _ = p.objects.Delete(ctx, name, item.Version)
}

func (p *partition) logFailure(err error, operation string) {
	logevent.Warn(p.log, logevent.ClaimFailed).Int("partition", p.number).Str("what", operation).Err(err).Msg("claim failed")
}
