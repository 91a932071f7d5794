package forward_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// TestEngineGetsNoMoreTokensThanItsMemoryHolds guards against an engine with free slots that runs out of memory because of long
// prompts and answers.
func TestEngineGetsNoMoreTokensThanItsMemoryHolds(t *testing.T) {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{MemoryTokens: 1000}}
	r.add("m1", "model", "perth-a", 12)
	arrived := func(id uint64, prompt, answer int) forward.Arrived {
		return forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", PromptTokens: prompt, MaxAnswerTokens: answer}
	}
	only[forward.Send](t, r.step(arrived(1, 300, 200)))
	r.step(forward.Started{ID: 1, Version: 1})
	require.Empty(t, sentIDs(r.step(arrived(2, 400, 200))), "the first request's answer takes memory, too")
	require.Len(t, sentIDs(r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})), 1)
	refuse := only[forward.Refuse](t, r.step(arrived(3, 900, 200)))
	require.Equal(t, code.NoUpstream, refuse.Code, "no engine has enough memory, so it is refused at once")
	require.Equal(t, code.NotRun, refuse.Ran)
}
