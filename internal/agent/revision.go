package agent

import (
	"context"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/setting"
)

// ensureRevision waits until this agent has the revision of the service's setting that the entry has, and reports
// whether it does. It is called before the request starts, so a failure means that the request was not executed.
func (a *Agent) ensureRevision(ctx context.Context, env frame.Envelope) bool {
	key := ""
	a.Loop.View(func(s *core.State) {
		if u := s.Rollout.Upstreams[env.Upstream]; u != nil {
			key = setting.Key(u.Team, u.Service)
		}
	})
	return key == "" || a.CatchUp(ctx, env.From, key, env.Revision)
}
