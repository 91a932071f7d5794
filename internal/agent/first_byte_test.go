package agent

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/frame"
)

// TestHeadCarriesTheUpstreamsTime guards against an agent that does not report how long its upstream took for the first byte, so that an
// entry that is late itself can't tell slow upstreams from others.
func TestHeadCarriesTheUpstreamsTime(t *testing.T) {
	// The difference covers a delay of this process between the write and the note of its time.
	const upstreamTime, atLeast = 600 * time.Millisecond, 100 * time.Millisecond
	a := servedAgent(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(upstreamTime)
		w.WriteHeader(http.StatusOK)
	}))
	frames := frame.NewReader(callAgent(t, a, frame.RunPath, runEnvelope(a, "request-1")).Body)
	for {
		kind, payload, err := frames.Next()
		require.NoError(t, err)
		if kind != frame.TypeHead {
			continue
		}
		var head frame.Head
		require.NoError(t, json.Unmarshal(payload, &head))
		require.GreaterOrEqual(t, head.Load.FirstByteTime(), atLeast)
		require.Less(t, head.Load.FirstByteTime(), time.Minute)
		return
	}
}
