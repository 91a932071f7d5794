package agent

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestPanicFailsOnlyItsRun guards against a panic in one run that ends the process. The run must fail with an unknown
// outcome, since the upstream may have executed it.
func TestPanicFailsOnlyItsRun(t *testing.T) {
	a := &Agent{Process: &node.Process{Telemetry: telemetry.New(nil), Log: zerolog.Nop()}}
	f := a.withPanicRecovery(func() *failure { panic("a fault") })
	require.Equal(t, &failure{code: code.InternalFault, ran: code.Unknown}, f)
	require.EqualValues(t, 1, a.Telemetry.Metrics.Panics.Value("run"))
	require.Nil(t, a.withPanicRecovery(func() *failure { return nil }))
}
