package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// silentFaults are faults with the fields that FreezeFor uses.
type silentFaults struct {
	Freeze   bool  `json:"freeze"`
	SilentMS int64 `json:"silent_ms"`
}

// TestSilentStandInGoesOn guards against a stand-in that falls silent for good, not at all, or once more when another fault is set.
func TestSilentStandInGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := NewFaults(silentFaults{})
		f.OnMerge = func() {
			FreezeFor(f, func(v *silentFaults) (freeze *bool, silentMS *int64) { return &v.Freeze, &v.SilentMS })
		}
		require.NoError(t, f.Merge([]byte(`{"silent_ms":1500}`)))
		require.Equal(t, silentFaults{Freeze: true}, f.Get())
		startedAt := time.Now()
		require.NoError(t, f.WaitWhile(context.Background(), func(v silentFaults) bool { return v.Freeze }))
		require.Equal(t, 1500*time.Millisecond, time.Since(startedAt))
		require.NoError(t, f.Merge([]byte(`{}`)))
		require.False(t, f.Get().Freeze)
	})
}
