// Package claims carries out the reducer of package claim in a process: it calls the platform for the partitions
// that this process owns, and passes claims for other partitions on to their owners over the control channel.
package claims

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/claim"
	"samphireweir.example/samphireweir/internal/objectapi"
)

// Peers tells which processes can own partitions, and how to call them.
type Peers interface {
	// Entries returns the addresses of the live entries, this process's own included.
	Entries() []string
	// Call calls a method of the process at address.
	Call(ctx context.Context, address, method string, params, answer any) error
}

// Config is what a Service needs.
type Config struct {
	// Self is this process's address among its peers.
	Self    string
	Objects *objectapi.Client
	Peers   Peers
	Log     zerolog.Logger
	// Claims sets the bounds; zero fields take the defaults.
	Claims claim.Config
	// Timing bounds the calls; zero fields take the defaults.
	Timing Timing
}

// Service makes claims.
type Service struct {
	config     Config
	partitions [claim.Partitions]*partition
	// background counts settlements that are not recorded yet.
	background sync.WaitGroup

	mu      sync.Mutex
	silence *claim.OwnerBackoff
}

// New returns a service. It makes no call before it is asked for a claim.
func New(c Config) *Service {
	c.Timing = c.Timing.withDefaults()
	s := &Service{config: c, silence: claim.NewOwnerBackoff()}
	writer := uuid.NewString()
	for i := range s.partitions {
		s.partitions[i] = newPartition(i, writer, c)
	}
	return s
}

// Answer is the answer to a claim.
type Answer struct {
	Verdict claim.Verdict `json:"verdict"`
	// RetryAfterMS is when it is worth asking again, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Kept is the answer to replay.
	Kept *claim.Answer `json:"kept,omitempty"`
}

// Make claims a key. When the verdict is not Granted, the call must not be sent: not then and not later.
func (s *Service) Make(ctx context.Context, c claim.Claim) Answer {
	// A caller that goes away must not cut the connection to an owner, which other claims share.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Timing.Claim)
	defer cancel()
	a := s.ask(ctx, c)
	if a.Verdict == claim.Granted && ctx.Err() != nil {
		a = Answer{Verdict: claim.Unsure}
	}
	if a.Verdict == claim.Unsure {
		s.Settle(claim.Settlement{Key: c.Key, Request: c.Request, KeyTime: c.KeyTime, Status: claim.Released})
	}
	return a
}

// ask asks the partition's owner and, when it does not answer, those next in line. The record tells by the
// request's id whether one that did not answer had made the claim.
func (s *Service) ask(ctx context.Context, c claim.Claim) Answer {
	unsure := false
	for _, address := range s.owners(c.Key) {
		if !s.mayAsk(address) {
			continue
		}
		a, err := s.askOne(ctx, address, c)
		if err != nil {
			unsure = unsure || !neverAsked(err)
			continue
		}
		if unsure && a.Verdict == claim.NotRecorded {
			a.Verdict = claim.Unsure
		}
		return a
	}
	return Answer{Verdict: claim.Unsure, RetryAfterMS: claim.MinRetryAfter.Milliseconds()}
}

// neverAsked tells whether the call did not even reach a process.
func neverAsked(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// mayAsk passes over owners that did not answer lately; this process itself may always be asked.
func (s *Service) mayAsk(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return address == s.config.Self || s.silence.MayCall(time.Now(), address, s.config.Timing.Forward)
}

// call calls another owner, and remembers whether it answered.
func (s *Service) call(ctx context.Context, address, method string, params, answer any) error {
	err := s.config.Peers.Call(ctx, address, method, params, answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.silence.RecordFailure(time.Now(), address)
	} else {
		s.silence.RecordSuccess(address)
	}
	return err
}

// owners returns whom to ask, in order; this process itself is the last resort.
func (s *Service) owners(k claim.Key) []string {
	const takeOvers = 2
	ranked := claim.RankOwners(k.Partition(), s.config.Peers.Entries())
	var owners []string
	for _, address := range ranked {
		if address == s.config.Self {
			return append(owners, address)
		}
		if len(owners) < takeOvers {
			owners = append(owners, address)
		}
	}
	return append(owners, s.config.Self)
}

func (s *Service) askOne(ctx context.Context, address string, c claim.Claim) (Answer, error) {
	if address == s.config.Self {
		return s.Own(ctx, c), ctx.Err()
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, s.config.Timing.Forward)
	defer cancel()
	within := min(s.config.Timing.Owner, time.Until(deadline))
	var a Answer
	err := s.call(ctx, address, makeMethod, makeMessage{Claim: c, WithinMS: within.Milliseconds()}, &a)
	return a, err
}

// Own claims a key as the partition's owner.
func (s *Service) Own(ctx context.Context, c claim.Claim) Answer {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(s.config.Timing.Claim)
	}
	p := s.partitions[c.Key.Partition()]
	e, ok := p.do(ctx, func(op uint64) step { return claim.ClaimRequested{Op: op, Claim: c, Deadline: deadline} })
	if !ok {
		return Answer{Verdict: claim.Unsure}
	}
	a := Answer{Verdict: e.Verdict, RetryAfterMS: e.RetryAfter.Milliseconds(), Kept: e.Answer}
	if e.Verdict == claim.Replayed && a.Kept == nil {
		a = s.readKept(ctx, c.Key, e.AnswersName)
	}
	return a
}

// readKept reads a kept answer from its segment.
func (s *Service) readKept(ctx context.Context, k claim.Key, segment string) Answer {
	var kept claim.AnswerSegment
	item, err := s.config.Objects.Get(ctx, segment)
	if err != nil || json.Unmarshal(item.Value, &kept) != nil || kept.Answers[k] == nil {
		return Answer{Verdict: claim.AlreadyRan}
	}
	return Answer{Verdict: claim.Replayed, Kept: kept.Answers[k]}
}

// Settle records how the call of a claim ended. It returns at once and goes on trying for Timing.Settle; when it
// does not succeed, the key's outcome is told as unknown.
func (s *Service) Settle(t claim.Settlement) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), s.config.Timing.Settle)
		defer cancel()
		for !s.settleOnce(ctx, t) && ctx.Err() == nil {
			wait(ctx, s.config.Timing.SettleRetry)
		}
	}()
}

// Wait waits until all settlements are recorded or given up, or ctx ends.
func (s *Service) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.background.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Service) settleOnce(ctx context.Context, t claim.Settlement) bool {
	for _, address := range s.owners(t.Key) {
		if !s.mayAsk(address) {
			continue
		}
		if address == s.config.Self {
			return s.ownSettle(ctx, t) == claim.Settled
		}
		var a Answer
		err := s.call(ctx, address, settleMethod, t, &a)
		if err == nil {
			return a.Verdict == claim.Settled
		}
	}
	return false
}

func (s *Service) ownSettle(ctx context.Context, t claim.Settlement) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timing.SettleTry)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p := s.partitions[t.Key.Partition()]
	e, ok := p.do(ctx, func(op uint64) step { return claim.SettlementRequested{Op: op, Settlement: t, Deadline: deadline} })
	if !ok {
		return claim.NotRecorded
	}
	return e.Verdict
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
