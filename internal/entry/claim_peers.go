package entry

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
)

// entryListTTL is how long a cached list of entries is used.
const entryListTTL = 100 * time.Millisecond

// claimPeers lets the claims service find and call the other entries.
type claimPeers struct {
	entry *Entry

	mu      sync.Mutex
	entries []string
	expires time.Time
}

// newClaims returns the claims service and registers its handlers for calls of other entries.
func (e *Entry) newClaims() *claims.Service {
	s := claims.New(claims.Config{
		Self: e.Address(), Objects: e.Objects, Peers: &claimPeers{entry: e}, Log: e.Log, Claims: e.config.Claims,
	})
	s.AddHandlers(e.Handlers)
	return s
}

// Entries returns the addresses of the live entries, including this one.
func (p *claimPeers) Entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.expires) {
		return p.entries
	}
	p.entry.Loop.View(func(s *core.State) { p.entries = s.Entries(now) })
	p.expires = now.Add(entryListTTL)
	return p.entries
}

// Call calls a method of an entry. It reports a failed call to the core, which treats the entry as unreachable for a
// while.
func (p *claimPeers) Call(ctx context.Context, address, method string, params, answer any) error {
	err := p.entry.Pool.Call(ctx, address, method, params, answer)
	if err != nil {
		p.entry.Loop.Step(member.CallFailed{Address: address})
		p.invalidate()
	}
	return err
}

// invalidate makes the next call of Entries read the list again.
func (p *claimPeers) invalidate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expires = time.Time{}
}
