// Package claims is the shell of the reducer in package claim (internal/core/claim), which decides the claims of
// idempotency keys. It calls the platform for the partitions that this process owns, and forwards claims of other
// partitions to their owners over the control channel.
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

// Peers lists the processes that can own partitions, and calls them.
type Peers interface {
	// Entries returns the addresses of the live entries, this process's own included.
	Entries() []string
	// Call calls a method of the process at address.
	Call(ctx context.Context, address, method string, params, answer any) error
}

// Config is the configuration of a Service.
type Config struct {
	// Self is this process's address among its peers.
	Self    string
	Objects *objectapi.Client
	Peers   Peers
	Log     zerolog.Logger
	// Claims sets the limits of the partitions; zero fields take the defaults.
	Claims claim.Config
	// Timing sets the timeouts; zero fields take the defaults.
	Timing Timing
}

// Service claims idempotency keys and records the outcomes of their calls.
type Service struct {
	config     Config
	partitions [claim.PartitionCount]*partition
	// background counts the settlements that are still being recorded.
	background sync.WaitGroup

	mu           sync.Mutex
	ownerBackoff *claim.OwnerBackoff
}

// New returns a service. It makes no call before the first claim or settlement.
func New(c Config) *Service {
	c.Timing = c.Timing.withDefaults()
	s := &Service{config: c, ownerBackoff: claim.NewOwnerBackoff()}
	writer := uuid.NewString()
	for i := range s.partitions {
		s.partitions[i] = newPartition(i, writer, c)
	}
	return s
}

// Result is the result of a claim.
type Result struct {
	Verdict claim.Verdict `json:"verdict"`
	// RetryAfterMS is the delay after which the caller may repeat its request, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// TimedOut is set if the claim is not recorded because a time limit ended, see claim.Reply.
	TimedOut bool `json:"timed_out,omitempty"`
	// StoredResponse is the stored response to replay; nil unless the verdict is Replayed.
	StoredResponse *claim.StoredResponse `json:"kept,omitempty"`
}

// Claim claims a key. Unless the verdict is Granted, the call must not be sent, neither then nor later.
func (s *Service) Claim(ctx context.Context, c claim.Claim) Result {
	deadline := time.Now().Add(time.Duration(c.RunTimeoutMS) * time.Millisecond)
	a := s.tryClaim(ctx, c)
	for s.pauseBeforeTry(ctx, c, a, deadline) {
		c.Try++
		c.RunTimeoutMS = time.Until(deadline).Milliseconds()
		earlier := a.Verdict
		a = s.tryClaim(ctx, c)
		if earlier == claim.MaybeRecorded && a.Verdict == claim.NotRecorded {
			a.Verdict = claim.MaybeRecorded
		}
	}
	if a.Verdict == claim.MaybeRecorded {
		s.Settle(claim.Settlement{Key: c.Key, RequestID: c.RequestID, KeyTime: c.KeyTime, Status: claim.Released})
	}
	return a
}

// tryClaim makes one try to record a claim, which may take Timing.ClaimTimeout.
func (s *Service) tryClaim(ctx context.Context, c claim.Claim) Result {
	// A caller that disconnects must not cancel the call to an owner: that would close the connection, which other claims share.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.config.Timing.ClaimTimeout)
	defer cancel()
	a := s.claimFromOwners(ctx, c)
	if a.Verdict == claim.Granted && ctx.Err() != nil {
		return givenUp()
	}
	return a
}

// givenUp returns the result of a claim whose time limit has ended.
func givenUp() Result {
	return Result{Verdict: claim.MaybeRecorded, RetryAfterMS: claim.MinRetryAfter.Milliseconds(), TimedOut: true}
}

// pauseBeforeTry waits before another try of a claim whose call must end at deadline. It reports false if no other try is to be made.
func (s *Service) pauseBeforeTry(ctx context.Context, c claim.Claim, a Result, deadline time.Time) bool {
	pause := max(claim.MinRetryAfter, time.Duration(a.RetryAfterMS)*time.Millisecond)
	left := time.Until(deadline) - pause
	if !claim.TryAgain(claim.Failure{Verdict: a.Verdict, TimedOut: a.TimedOut, Try: c.Try}, left, s.config.Timing.ClaimTimeout) {
		return false
	}
	sleep(ctx, pause)
	return ctx.Err() == nil
}

// claimFromOwners sends the claim to the partition's owner and, if that does not answer, to the owners after it. An
// owner that did not answer may have recorded the claim. The next owner then finds the request's own id in the key's record.
func (s *Service) claimFromOwners(ctx context.Context, c claim.Claim) Result {
	maybeRecorded := false
	for _, address := range s.ownersToCall(c.Key) {
		if !s.mayCall(address) {
			continue
		}
		a, err := s.claimFrom(ctx, address, c)
		if err != nil {
			maybeRecorded = maybeRecorded || !dialFailed(err)
			continue
		}
		if maybeRecorded && a.Verdict == claim.NotRecorded {
			a.Verdict = claim.MaybeRecorded
		}
		return a
	}
	return givenUp()
}

// dialFailed reports whether no connection was made, so that the call certainly had no effect.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// mayCall reports whether the owner at address may be called. Owners that did not answer recently are skipped; this
// process itself is never skipped.
func (s *Service) mayCall(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return address == s.config.Self || s.ownerBackoff.MayCall(time.Now(), address, s.config.Timing.ForwardTimeout)
}

// call calls another owner and records whether it answered.
func (s *Service) call(ctx context.Context, address, method string, params, answer any) error {
	err := s.config.Peers.Call(ctx, address, method, params, answer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.ownerBackoff.RecordFailure(time.Now(), address)
	} else {
		s.ownerBackoff.RecordSuccess(address)
	}
	return err
}

// ownersToCall returns the owners to call for a key, in order. This process itself is always the last one.
func (s *Service) ownersToCall(k claim.Key) []string {
	const maxFailovers = 2
	ranked := claim.RankOwners(k.Partition(), s.config.Peers.Entries())
	var owners []string
	for _, address := range ranked {
		if address == s.config.Self {
			return append(owners, address)
		}
		if len(owners) < maxFailovers {
			owners = append(owners, address)
		}
	}
	return append(owners, s.config.Self)
}

// claimFrom sends the claim to one owner.
func (s *Service) claimFrom(ctx context.Context, address string, c claim.Claim) (Result, error) {
	if address == s.config.Self {
		return s.ClaimAsOwner(ctx, c), ctx.Err()
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, s.config.Timing.ForwardTimeout)
	defer cancel()
	timeout := min(s.config.Timing.OwnerTimeout, time.Until(deadline))
	var a Result
	err := s.call(ctx, address, claimMethod, claimMessage{Claim: c, TimeoutMS: timeout.Milliseconds()}, &a)
	return a, err
}

// ClaimAsOwner claims a key with this process as the partition's owner.
func (s *Service) ClaimAsOwner(ctx context.Context, c claim.Claim) Result {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(s.config.Timing.ClaimTimeout)
	}
	p := s.partitions[c.Key.Partition()]
	e, ok := p.submit(ctx, func(op uint64) event { return claim.ClaimRequested{Op: op, Claim: c, Deadline: deadline} })
	if !ok {
		return givenUp()
	}
	a := Result{Verdict: e.Verdict, RetryAfterMS: e.RetryAfter.Milliseconds(), TimedOut: e.TimedOut, StoredResponse: e.Answer}
	if e.Verdict == claim.Replayed && a.StoredResponse == nil {
		a = s.readStoredAnswer(ctx, c.Key, e.AnswersName)
	}
	return a
}

// readStoredAnswer reads a stored response from its AnswerSegment object. If it can't be read, the verdict is
// AlreadyRan.
func (s *Service) readStoredAnswer(ctx context.Context, k claim.Key, segment string) Result {
	var kept claim.AnswerSegment
	item, err := s.config.Objects.Get(ctx, segment)
	if err != nil || json.Unmarshal(item.Value, &kept) != nil || kept.Answers[k] == nil {
		return Result{Verdict: claim.AlreadyRan}
	}
	return Result{Verdict: claim.Replayed, StoredResponse: kept.Answers[k]}
}

// Settle records how the call of a claim ended. It returns immediately and retries in the background for
// Timing.SettleTimeout. If that fails, repeats of the key are refused because its outcome is unknown.
func (s *Service) Settle(t claim.Settlement) {
	s.background.Add(1)
	go func() {
		defer s.background.Done()
		ctx, cancel := context.WithTimeout(context.Background(), s.config.Timing.SettleTimeout)
		defer cancel()
		for !s.settleOnce(ctx, t) && ctx.Err() == nil {
			sleep(ctx, s.config.Timing.SettleRetryInterval)
		}
	}()
}

// Wait waits until all settlements are recorded or abandoned, or ctx ends.
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

// settleOnce makes one attempt to record a settlement and reports whether it is recorded.
func (s *Service) settleOnce(ctx context.Context, t claim.Settlement) bool {
	for _, address := range s.ownersToCall(t.Key) {
		if !s.mayCall(address) {
			continue
		}
		if address == s.config.Self {
			return s.settleAsOwner(ctx, t) == claim.Settled
		}
		var a Result
		err := s.call(ctx, address, settleMethod, t, &a)
		if err == nil {
			return a.Verdict == claim.Settled
		}
	}
	return false
}

// settleAsOwner records a settlement with this process as the partition's owner.
func (s *Service) settleAsOwner(ctx context.Context, t claim.Settlement) claim.Verdict {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timing.SettleAttemptTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	p := s.partitions[t.Key.Partition()]
	e, ok := p.submit(ctx, func(op uint64) event { return claim.SettlementRequested{Op: op, Settlement: t, Deadline: deadline} })
	if !ok {
		return claim.NotRecorded
	}
	return e.Verdict
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
