package storewatch_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

func entry(name string, revision int64, spec string) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: json.RawMessage(spec)}
}

const goodEntry = `{"service":"model","address":"10.0.0.9:8080","zone":"perth-a","slots":16,"state":"ready"}`

// TestAnEntryThatTurnsUnreadableNamesNoUpstream has somebody overwrite the entry of an upstream that is in use, as seen by a watch and by a
// list, also while entries that are missing after an outage are still waited for. It is said once, and the other entries hold.
func TestAnEntryThatTurnsUnreadableNamesNoUpstream(t *testing.T) {
	for _, byList := range []bool{false, true} {
		state, now := catalog.NewState(), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		var log bytes.Buffer
		beliefs := storewatch.Beliefs{Log: zerolog.New(&log), Step: func(ev step.Event) { state.Reduce(step.Input{Now: now, Event: ev}) }}
		f := beliefs.Follower(nil, platform.ServerKind)
		f.Listed(5, []platform.Object{entry("i-1", 3, goodEntry), entry("i-2", 4, goodEntry)})
		require.Len(t, state.Upstreams, 2)
		f.Failed()
		now = now.Add(4 * time.Second)
		f.Heard()
		spoilt := entry("i-1", 6, `{"service":7}`)
		for range 3 {
			if byList {
				f.Listed(7, []platform.Object{spoilt, entry("i-2", 4, goodEntry)})
			} else {
				f.Changed([]platform.Object{spoilt})
			}
		}
		require.Nil(t, state.Upstreams["i-1"])
		require.NotNil(t, state.Upstreams["i-2"])
		require.Equal(t, 1, strings.Count(log.String(), "bad entry"))
		f.Changed([]platform.Object{entry("i-1", 8, goodEntry)})
		require.NotNil(t, state.Upstreams["i-1"], "the upstream writes its entry again")
	}
}
