package claims

import (
	"context"
	"encoding/json"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/claim"
)

// The methods on the control channel.
const (
	claimMethod  = "claim.make"
	settleMethod = "claim.settle"
)

// claimMessage is the message that forwards a claim to its partition's owner.
type claimMessage struct {
	Claim claim.Claim `json:"claim"`
	// TimeoutMS is how long the calling process waits for the verdict, in milliseconds.
	TimeoutMS int64 `json:"within_ms"`
}

// AddHandlers adds the handlers for claims and settlements of other processes to h.
func (s *Service) AddHandlers(h control.Handlers) {
	h[claimMethod] = s.handleClaim
	h[settleMethod] = s.handleSettle
}

func (s *Service) handleClaim(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var m claimMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	timeout := min(time.Duration(m.TimeoutMS)*time.Millisecond, s.config.Timing.OwnerTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.ClaimAsOwner(ctx, m.Claim), nil
}

func (s *Service) handleSettle(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var t claim.Settlement
	if err := control.Decode(params, &t); err != nil {
		return nil, err
	}
	return Result{Verdict: s.settleAsOwner(ctx, t)}, nil
}
