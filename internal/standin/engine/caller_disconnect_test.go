package engine

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/standin/serve"
)

// disconnectingWriter simulates a caller that disconnects while a token is written to it. The write returns after 5 ms, when more tokens
// are available, so that the handler finds a token and the disconnect at the same time.
type disconnectingWriter struct {
	*httptest.ResponseRecorder
	disconnect context.CancelFunc
}

// WriteString disconnects the caller and then accepts the token.
func (w disconnectingWriter) WriteString(text string) (int, error) {
	w.disconnect()
	time.Sleep(5 * time.Millisecond)
	return w.ResponseRecorder.WriteString(text)
}

// TestCallerDisconnectDuringTokenWriteEndsRun guards against a run that continues to its last token after its caller has disconnected. This
// happens if the handler's select finds a token and the disconnect ready at once, and only one of its branches cancels the run. The fault
// also made TestClientDisconnectCancelsRun fail occasionally, with a run that never ended.
func TestCallerDisconnectDuringTokenWriteEndsRun(t *testing.T) {
	e := newEngine("e1", testConfig(), &serve.Log[any]{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.digest, e.generation = "d1", 1
	go e.loop(ctx)
	const callers = 20
	for range callers {
		call, disconnect := context.WithTimeout(context.Background(), waitTimeout) // A run that isn't cancelled would occupy the batch.
		r := httptest.NewRequestWithContext(call, http.MethodPost, "/v1/generate", strings.NewReader(generateBody("p", endlessTokens, true)))
		e.generate(disconnectingWriter{httptest.NewRecorder(), disconnect}, r)
		disconnect()
		require.Zero(t, e.counts().Running)
	}
	require.EqualValues(t, callers, e.counts().Runs)
}
