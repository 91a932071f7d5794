package hostagent_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/platform/standin"
)

// longBodyBytes is the length of a body that a server's window does not hold.
const longBodyBytes = 4_000_000

// TestAnswerResetBesideItsBodyIsAnError guards against taking a part of an engine's, the store's or a peer's answer for the whole one: its
// connection is reset while the request's body is sent.
func TestAnswerResetBesideItsBodyIsAnError(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddService("i-1")
	client := hostagent.NewClient()
	for n, end := range []standin.EarlyEnd{standin.EarlyReset, standin.EarlyWhole, standin.EarlyReset, standin.EarlyReset, standin.EarlyReset} {
		fleet.Early.Set(end, 1, http.StatusOK, 0)
		req, err := standin.NewPut(fleet.AddressOf("i-1"), string(rune('a'+n)), strings.Repeat("x", longBodyBytes))
		require.NoError(t, err)
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		require.Equal(t, end == standin.EarlyWhole, err == nil, "%s: %v", end, err)
	}
}
