package gateway

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/membudget"
)

// TestTooLargeResponseIsNotCut guards against a response that is cut at the limit and passed on as complete.
func TestTooLargeResponseIsNotCut(t *testing.T) {
	for size, tooLarge := range map[int]bool{maxBufferedResponse: false, maxBufferedResponse + 1: true, maxBufferedResponse + 2<<20: true} {
		budget := membudget.New(1<<30, time.Now)
		a := &attempt{x: &exchange{reservation: budget.Open("a", func() {})}}
		body, err := a.readAll(t.Context(), &http.Response{Body: io.NopCloser(bytes.NewReader(make([]byte, size)))})
		if tooLarge {
			require.ErrorIs(t, err, boundedread.ErrTooLarge, "%d bytes", size)
			continue
		}
		require.NoError(t, err)
		require.Len(t, body, size)
	}
}
