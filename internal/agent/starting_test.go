package agent

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/frame"
)

// TestResumeAwaitsRunThatIsStarting guards against a request that is refused with an unknown outcome although it did not run: its agent was
// silent, and read the run's first message, the end of its connection and the call that resumes it at once. The core had started the run, and the
// shell had not discarded it yet.
func TestResumeAwaitsRunThatIsStarting(t *testing.T) {
	t.Parallel()
	a := servedAgent(t, silentService(nil))
	env := runEnvelope(a, "starting")
	id := message(env).ID
	a.Loop.Step(run.StartRequested{Message: message(env), Upstream: env.Upstream})
	require.Equal(t, 1, a.runCount())
	time.AfterFunc(10*startPollInterval, func() { a.Loop.Step(run.Finished{ID: id, Ran: code.NotRun}) })
	kind, payload := nextFrame(t, frame.NewReader(callAgent(t, a, frame.ResumePath, env).Body))
	require.Equal(t, frame.TypeFail, kind)
	var failed frame.Fail
	require.NoError(t, json.Unmarshal(payload, &failed))
	require.Equal(t, code.AttemptFenced, failed.Code)
	require.Equal(t, code.NotRun, failed.Ran)
}
