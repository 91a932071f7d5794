package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/explain"
)

// TestRefusalNamesWhatWasAheadAndWhatWasSent guards against an explanation of a refusal that leaves out the predicted wait, or shows
// requests of other entries, of other services or from before the last second as those that were served in its place.
func TestRefusalNamesWhatWasAheadAndWhatWasSent(t *testing.T) {
	sent := func(second int, host, id, route, upstream string) string {
		return line(second, "entry", host, fmt.Sprintf(`"event":4007,"request":%q,"route":%q,"upstream":%q,"sends":1`, id, route, upstream))
	}
	end := func(id, route, account string, priority int) string {
		return line(40, "entry", "edge-1", fmt.Sprintf(`"event":4008,"request":%q,"route":%q,"account":%q,"priority":%d,"outcome":"answered"`, id, route, account, priority))
	}
	entry := sent(20, "edge-1", "early", "bulk", "i-1") + sent(29, "edge-1", "first", "urgent", "i-1") + sent(30, "edge-1", "second", "bulk", "i-1") +
		sent(30, "edge-1", "elsewhere", "plain", "i-9") + sent(30, "edge-2", "other", "urgent", "i-1") + end("first", "urgent", "large", 1) +
		line(30, "entry", "edge-1", `"event":4001,"request":"abc","code":2003,"ran":"not run","route":"bulk","account":"small","priority":7,"held_ms":2,"retry_after_ms":1500,`+
			`"why":"refused: room expected in 1.333s; a wait could last 160ms (priority 7, 4.2s of work ahead, room in 1.333s by the completions of the last second)"`)
	v, ok := read(t, entry, "").Explain("abc")
	require.True(t, ok)
	require.Equal(t, "1.333s", v.Refusal.PredictedWait)
	require.Equal(t, "160ms", v.Refusal.WaitLimit)
	require.Equal(t, "4.2s", v.Refusal.WorkAhead)
	require.Len(t, v.Refusal.Sent, 2)
	require.Equal(t, "first", v.Refusal.Sent[0].Request)
	var out strings.Builder
	require.NoError(t, v.Print(&out))
	require.Contains(t, out.String(), "priority 7, account small, held for 2ms, Retry-After 1.5s")
	require.Contains(t, out.String(), "      1  priority 1, account large")
	require.Contains(t, out.String(), "work ahead of it: 4.2s")
	require.Contains(t, out.String(), "second to i-1: priority and account unknown")

	full := line(30, "entry", "edge-1", `"event":4001,"request":"abc","code":2003,"ran":"not run","route":"bulk","priority":7,"why":"every upstream of m is full (priority 7, 3 requests with 1.2s of work ahead): 3 registered"`)
	v, _ = read(t, full, "").Explain("abc")
	require.Equal(t, "3", v.Refusal.RequestsAhead)
	require.Equal(t, "1.2s", v.Refusal.WorkAhead)
	require.Empty(t, v.Refusal.PredictedWait)

	v, _ = read(t, line(30, "entry", "edge-1", `"event":4001,"request":"abc","code":1011,"ran":"not run"`), "").Explain("abc")
	require.Nil(t, v.Refusal, "it does not depend on the upstreams")
}

// TestLossesByClassCountRefusalsByPrediction guards against losses that don't tell requests refused on arrival from those whose wait was
// ended, and both from refusals without a prediction.
func TestLossesByClassCountRefusalsByPrediction(t *testing.T) {
	var log strings.Builder
	for i, why := range []string{
		"refused: room expected in 3s; a wait could last 1s (2 of 8 engines of m usable)", "ended: its turn no longer comes within 1s (2 of 8 engines of m usable)",
		"shed: the memory is needed (2 of 8 engines of m usable)", "every upstream of m is full",
	} {
		log.WriteString(line(1, "entry", "edge-1", fmt.Sprintf(`"event":4001,"request":"%d","route":"r","priority":2,"code":2003,"ran":"not run","why":%q`, i, why)))
	}
	require.Equal(t, []explain.ClassLosses{{Class: explain.Class{Property: "priority", Value: "2"}, Ended: 4, Refused: 4, OnArrival: 1, WaitsEnded: 2}},
		read(t, log.String(), "").Losses().ByClass)
}
