package transfer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLinkSlowsDownWhileWritesAreSlow checks that slow writes decrease the rate down to its
// minimum, once per interval, and that fast writes restore it. Without this, uploads over a
// narrowed link would delay live requests.
func TestLinkSlowsDownWhileWritesAreSlow(t *testing.T) {
	l := NewLink(1 << 20)
	l.recordWrite(2 * slowWrite)
	require.InDelta(t, decreaseFactor*float64(1<<20), float64(l.limiter.Limit()), 1)
	l.recordWrite(2 * slowWrite)
	require.InDelta(t, decreaseFactor*float64(1<<20), float64(l.limiter.Limit()), 1, "slow writes within the interval do not decrease the rate again")
	for range 100 {
		l.recordWrite(time.Millisecond)
	}
	require.InDelta(t, float64(1<<20), float64(l.limiter.Limit()), 1)
	for range 20 {
		l.lastDecrease = time.Time{}
		l.recordWrite(2 * slowWrite)
	}
	require.InDelta(t, minRateFactor*float64(1<<20), float64(l.limiter.Limit()), 1)
	l.SetShare(0.5)
	require.InDelta(t, 0.5*minRateFactor*float64(1<<20), float64(l.limiter.Limit()), 1)
}

// TestPriorityReadDoesNotWaitForTheLimit reads 100,000 bytes over a link of 1 byte per second,
// which would take a day with the rate limit. Later transfers must wait for the bytes read.
func TestPriorityReadDoesNotWaitForTheLimit(t *testing.T) {
	l := NewLink(1)
	data := make([]byte, 100_000)
	require.NoError(t, l.ReadPriority(bytes.NewReader(make([]byte, len(data))), data))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.Error(t, l.Wait(ctx, 1), "the limiter rejects a wait beyond the deadline of the context immediately")
}
