package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestServicesWithoutWaitsAreForgotten guards against memory that grows with each service that was ever declared and was full once.
func TestServicesWithoutWaitsAreForgotten(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	s := NewState(Self{}, catalog.NewState())
	s.lastQueuedAt["old"], s.lastQueuedAt["new"] = now.Add(-s.Self.Policy.ReserveFor), now.Add(-s.Self.Policy.ReserveFor+1)
	s.Reduce(step.Input{Now: now, Event: step.Tick{}})
	require.Len(t, s.lastQueuedAt, 1)
	require.Contains(t, s.lastQueuedAt, "new")
}
