package agent

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/frame"
)

// silentDeadline is the deadline of a run whose upstream is found silent after half of it, at the next check.
const silentDeadline = 3 * time.Second

// silentService returns a plain service that says nothing until goOn is closed.
func silentService(goOn <-chan struct{}) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-goOn:
			_, _ = io.WriteString(w, "answer")
		case <-r.Context().Done():
		}
	})
}

// nextFrame returns the next frame that is no heartbeat.
func nextFrame(t *testing.T, frames *frame.Reader) (frame.Type, []byte) {
	t.Helper()
	for {
		kind, payload, err := frames.Next()
		require.NoError(t, err)
		if kind != frame.TypeHeartbeat {
			return kind, payload
		}
	}
}

// TestSilentRunGoesOnUntilEntryGivesItUp guards against a run that is ended because its upstream is silent although the entry has no other
// upstream for it, and against one that goes on although the entry has.
func TestSilentRunGoesOnUntilEntryGivesItUp(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reported, goesOn, givenUp bool
		last                      frame.Type
	}{
		"the upstream goes on":                {true, true, false, frame.TypeEnd},
		"the entry gives it up":               {true, false, true, frame.TypeFail},
		"the upstream goes on before that":    {true, true, true, frame.TypeEnd},
		"an entry that takes no such reports": {false, false, false, frame.TypeFail},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			goOn := make(chan struct{})
			a := servedAgent(t, silentService(goOn))
			env := runEnvelope(a, "silent")
			env.DeadlineMS, env.ReportSilence = silentDeadline.Milliseconds(), c.reported
			frames := frame.NewReader(callAgent(t, a, frame.RunPath, env).Body)
			var kind frame.Type
			var payload []byte
			if c.reported {
				kind, payload = nextFrame(t, frames)
				require.Equal(t, frame.TypeSilent, kind)
				var silent frame.Silent
				require.NoError(t, json.Unmarshal(payload, &silent))
				require.Equal(t, frame.Silent{Request: "silent", Attempt: 1, Ran: code.Unknown}, silent)
			}
			if c.goesOn {
				close(goOn)
				require.Eventually(t, func() bool { return a.runCount() == 0 }, waitTimeout, waitInterval)
			}
			if c.givenUp {
				callAgent(t, a, frame.GiveUpPath, env)
			}
			for kind != frame.TypeEnd && kind != frame.TypeFail {
				kind, payload = nextFrame(t, frames)
			}
			require.Equal(t, c.last, kind)
			if c.last == frame.TypeFail {
				var failed frame.Fail
				require.NoError(t, json.Unmarshal(payload, &failed))
				require.Equal(t, code.UpstreamSilent, failed.Code)
				require.Equal(t, code.Unknown, failed.Ran)
			}
		})
	}
}

// TestRunThatIsNotSilentIsNotGivenUp guards against a late call for a run whose upstream was never silent.
func TestRunThatIsNotSilentIsNotGivenUp(t *testing.T) {
	t.Parallel()
	goOn := make(chan struct{})
	a := servedAgent(t, silentService(goOn))
	env := runEnvelope(a, "slow")
	env.ReportSilence = true
	frames := frame.NewReader(callAgent(t, a, frame.RunPath, env).Body)
	callAgent(t, a, frame.GiveUpPath, env)
	close(goOn)
	kind, _ := nextFrame(t, frames)
	require.Equal(t, frame.TypeHead, kind)
}
