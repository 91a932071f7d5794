package agent

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/run"
)

// TestOnlySilentUpstreamIsFrozen guards against a run that is cancelled because one probe timed out after 2 s, although
// a later probe or a byte of the response showed that the upstream is alive.
func TestOnlySilentUpstreamIsFrozen(t *testing.T) {
	for name, c := range map[string]struct {
		health run.Health
		// alive is how long ago a later probe was answered, and silent how long ago the last byte was received.
		alive, silent time.Duration
		cause         error
	}{
		"nothing came":                {run.Unanswered, 5 * time.Second, 5 * time.Second, errFrozen},
		"a later question's answer":   {run.Unanswered, time.Second, 5 * time.Second, nil},
		"a byte of the run's answer":  {run.Unanswered, 5 * time.Second, time.Second, nil},
		"its answer, late":            {run.Alive, 5 * time.Second, 5 * time.Second, nil},
		"another process answers now": {run.Crashing, time.Second, time.Second, errCrashed},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			x := &execution{ctx: ctx, cancel: cancel}
			now := time.Now()
			x.applyProbe(probeResult{sentAt: now.Add(-minProbeTimeout), health: c.health}, now.Add(-c.alive), c.silent)
			require.ErrorIs(t, context.Cause(ctx), c.cause)
		})
	}
}
