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

// step is an event of the reducer.
type step = corestep.Event

// partition runs the reducer of one partition.
type partition struct {
	number  int
	objects *objectapi.Client
	log     zerolog.Logger
	// timeout bounds one call to the platform.
	timeout time.Duration

	mu    sync.Mutex
	state *claim.State
	ops   uint64
	// answers maps an op to the channel on which its answer is awaited.
	answers map[uint64]chan claim.Reply
	timer   *time.Timer
}

func newPartition(number int, writer string, c Config) *partition {
	return &partition{
		number: number, objects: c.Objects, log: c.Log, timeout: c.Timing.Platform,
		state:   claim.NewState(number, writer, c.Claims),
		answers: map[uint64]chan claim.Reply{},
	}
}

// do hands the reducer an event with a fresh op number and waits for its answer; ok is false when ctx ended first.
func (p *partition) do(ctx context.Context, event func(op uint64) step) (a claim.Reply, ok bool) {
	answer := make(chan claim.Reply, 1)
	p.mu.Lock()
	p.ops++
	op := p.ops
	p.answers[op] = answer
	p.reduce(event(op))
	p.mu.Unlock()
	select {
	case a := <-answer:
		return a, true
	case <-ctx.Done():
		p.mu.Lock()
		delete(p.answers, op)
		p.mu.Unlock()
		return claim.Reply{}, false
	}
}

func (p *partition) step(ev step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reduce(ev)
}

// reduce carries out the effects of one event; the caller holds mu.
func (p *partition) reduce(ev step) {
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

func (p *partition) deliver(e claim.Reply) {
	if answer, waits := p.answers[e.Op]; waits {
		answer <- e
		delete(p.answers, e.Op)
	}
}

func (p *partition) wakeAt(at time.Time) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = time.AfterFunc(time.Until(at), func() { p.step(claim.Woken{}) })
}

func (p *partition) commit(e claim.Commit) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	p.step(p.write(ctx, e))
}

// write returns the event that tells what became of the commit.
func (p *partition) write(ctx context.Context, e claim.Commit) step {
	for _, segment := range e.Segments {
		if err := p.writeSegment(ctx, segment); err != nil {
			// The head was not written, whatever became of the segment.
			p.failed(err, "write")
			return claim.Refused{RetryAfter: retryAfter(err)}
		}
	}
	value, err := json.Marshal(e.Head)
	if err != nil {
		p.failed(err, "encode")
		return claim.Refused{}
	}
	item, err := p.objects.Put(ctx, claim.HeadKey(p.number), value, e.IfVersion)
	if err == nil {
		return claim.Committed{Version: item.Version}
	}
	return p.notWritten(err)
}

func (p *partition) notWritten(err error) step {
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return claim.Conflicted{}
	}
	p.failed(err, "write")
	if certainlyRefused(err) {
		return claim.Refused{RetryAfter: retryAfter(err)}
	}
	return claim.Uncertain{}
}

// certainlyRefused tells whether the platform itself said that it did nothing. Other errors, such as a gateway's,
// may come after the write took effect.
func certainlyRefused(err error) bool {
	var refused *objectapi.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestEntityTooLarge:
		return true
	}
	return false
}

func retryAfter(err error) time.Duration {
	var refused *objectapi.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	return 0
}

// writeSegment writes an object that nobody else writes; a conflict says that it is there already.
func (p *partition) writeSegment(ctx context.Context, s claim.NewSegment) error {
	value, err := json.Marshal(s.Value)
	if err != nil {
		return errors.Wrapf(err, "encode %s", s.Name)
	}
	_, err = p.objects.Put(ctx, s.Name, value, 0)
	var conflict *objectapi.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return errors.Wrapf(err, "write %s", s.Name)
}

func (p *partition) sweep(e claim.Sweep) {
	for _, name := range e.Names {
		p.sweepOne(name)
	}
}

func (p *partition) sweepOne(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	item, err := p.objects.Get(ctx, name)
	if err != nil {
		return
	}
	_, _ = p.objects.Delete(ctx, name, item.Version)
}

func (p *partition) failed(err error, what string) {
	logevent.Warn(p.log, logevent.ClaimFailed).Int("partition", p.number).Str("what", what).Err(err).Msg("claim failed")
}
