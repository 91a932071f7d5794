package boundedread_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/boundedread"
)

// bodies is a transport whose answers have the length that the request's path says in dots.
type bodies struct{}

// RoundTrip implements http.RoundTripper.
func (bodies) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(r.Host))}, nil
}

// open reads an answer of n bytes to its end, without closing it.
func open(t *testing.T, b *boundedread.Budget, n int) (io.Closer, error) {
	resp, err := b.Transport(bodies{}).RoundTrip(&http.Request{Host: strings.Repeat("x", n)})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Body, err
}

// TestAnswersShareABudget guards against answers that exceed the memory together, and against large ones that leave no room for small ones.
func TestAnswersShareABudget(t *testing.T) {
	const limit = 3200
	b := boundedread.NewBudget(limit)
	first, err := open(t, b, 2000)
	require.NoError(t, err)
	second, err := open(t, b, 1000)
	require.ErrorIs(t, err, boundedread.ErrFull, "large ones have three quarters")
	require.EqualValues(t, 2000, b.Used())
	small, err := open(t, b, 100)
	require.NoError(t, err, "a small one beside them")
	for _, c := range []io.Closer{first, second, small, first} {
		require.NoError(t, c.Close())
	}
	require.Zero(t, b.Used())
	_, err = open(t, b, 1000)
	require.NoError(t, err)
}
