package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestQuestionsStayOpenAsLongAsAnswersTakeOfLate guards against an upstream that is taken for frozen since the way to it, or this host, is slow.
func TestQuestionsStayOpenAsLongAsAnswersTakeOfLate(t *testing.T) {
	var p answerTimes
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, openFor, p.wait(now))
	p.note(now, 10*time.Millisecond)
	require.Equal(t, openFor, p.wait(now), "a frozen upstream is found as soon as before where answers are fast")
	p.note(now, 1500*time.Millisecond)
	p.note(now, 20*time.Millisecond)
	require.Equal(t, 4500*time.Millisecond, p.wait(now))
	p.note(now, time.Minute)
	require.Equal(t, openAtMost, p.wait(now))
	require.Equal(t, openFor, p.wait(now.Add(slowKept+time.Second)))
}

// TestAnEngineThatAnswersSlowlyIsNotSilent guards against an engine that is taken for frozen when a question takes a little longer than the one
// before, each of them longer than on a calm machine: a busy machine had whole fleets of engines die.
func TestAnEngineThatAnswersSlowlyIsNotSilent(t *testing.T) {
	t.Parallel()
	var asked atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		took := 1200 * time.Millisecond
		if asked.Add(1) > 1 {
			took = openFor + 400*time.Millisecond
		}
		time.Sleep(took)
		_, _ = io.WriteString(w, `{"boot_id":"b"}`)
	}))
	defer engine.Close()
	a := &Agent{prober: newProber()}
	start := run.Start{Kind: setting.Engine, URL: engine.URL}
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(start))
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(start))
}
