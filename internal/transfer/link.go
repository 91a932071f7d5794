package transfer

import (
	"context"
	"io"

	"golang.org/x/time/rate"
)

// pieceSize is how many bytes pass the pacing at a time.
const pieceSize = 8 << 10

// Link paces one direction of a host's link.
type Link struct {
	limiter *rate.Limiter
	rate    float64
}

// NewLink returns a link of bytesPerSecond; 0 for no pacing.
func NewLink(bytesPerSecond int64) *Link {
	if bytesPerSecond <= 0 {
		return &Link{}
	}
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), 2*pieceSize), rate: float64(bytesPerSecond)}
}

// SetShare lets transfers use a share of the link only.
func (l *Link) SetShare(share float64) {
	if l.limiter != nil {
		l.limiter.SetLimit(rate.Limit(l.rate * share))
	}
}

// Wait waits until n bytes may pass; n is at most pieceSize.
func (l *Link) Wait(ctx context.Context, n int) error {
	if l.limiter == nil {
		return nil
	}
	return l.limiter.WaitN(ctx, n)
}

// Write writes p to w at the link's pace.
func (l *Link) Write(ctx context.Context, w io.Writer, p []byte) error {
	for len(p) > 0 {
		n := min(pieceSize, len(p))
		if err := l.Wait(ctx, n); err != nil {
			return err
		}
		if _, err := w.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// ReadFull fills p from r at the link's pace.
func (l *Link) ReadFull(ctx context.Context, r io.Reader, p []byte) error {
	for len(p) > 0 {
		n := min(pieceSize, len(p))
		if err := l.Wait(ctx, n); err != nil {
			return err
		}
		if _, err := io.ReadFull(r, p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}
