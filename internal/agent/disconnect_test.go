package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/frame"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestRunOfDisconnectedEntryIsNotLeaked guards against runs that are neither executed nor ended, because the entry
// disconnected while the core decided, for example during a pause of the agent. Such a run would occupy capacity of its
// engine and block the agent's shutdown forever.
func TestRunOfDisconnectedEntryIsNotLeaked(t *testing.T) {
	const tries = 64 // It is random whether the decision or the end of the connection is noticed first.
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"})
	a.awaitServing("e1", v1)
	disconnected, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range tries {
		env := frame.Envelope{Request: fmt.Sprint("gone-", i), Attempt: 1, Upstream: "e1", Incarnation: a.selfIncarnation}
		r := httptest.NewRequestWithContext(disconnected, http.MethodPost, "/", nil)
		if start, handedOut := a.awaitDecision(httptest.NewRecorder(), r, env).(run.Start); handedOut {
			a.Loop.Step(run.Finished{ID: start.ID, Ran: code.NotRun})
		}
		require.Zero(t, a.runCount())
		require.Equal(t, code.NotRun, a.fence(env))
	}
}
