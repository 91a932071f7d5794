package transfer

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestALinkGoesSlowerWhilePiecesGetStuck tells a link of slow pieces, then of quick ones.
func TestALinkGoesSlowerWhilePiecesGetStuck(t *testing.T) {
	l := NewLink(1 << 20)
	l.wrote(2 * slowPiece)
	require.InDelta(t, narrowing*float64(1<<20), float64(l.limiter.Limit()), 1)
	l.wrote(2 * slowPiece)
	require.InDelta(t, narrowing*float64(1<<20), float64(l.limiter.Limit()), 1, "pieces that wait already are no news")
	for range 100 {
		l.wrote(time.Millisecond)
	}
	require.InDelta(t, float64(1<<20), float64(l.limiter.Limit()), 1)
	for range 20 {
		l.narrowed = time.Time{}
		l.wrote(2 * slowPiece)
	}
	require.InDelta(t, leastPace*float64(1<<20), float64(l.limiter.Limit()), 1)
	l.SetShare(0.5)
	require.InDelta(t, 0.5*leastPace*float64(1<<20), float64(l.limiter.Limit()), 1)
}

// TestWhatGoesFirstDoesNotWait reads over a link on which pacing alone would take a day. What comes after pays for it.
func TestWhatGoesFirstDoesNotWait(t *testing.T) {
	l := NewLink(1)
	data := make([]byte, 100_000)
	require.NoError(t, l.ReadFirst(bytes.NewReader(make([]byte, len(data))), data))
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.Error(t, l.Wait(ctx, 1), "the wait is longer than the limit, which the limiter tells at once")
}
