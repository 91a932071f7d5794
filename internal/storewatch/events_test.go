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
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/storewatch"
	"samphireweir.example/samphireweir/platform"
)

func object(name string, revision int64, spec string) platform.Object {
	return platform.Object{Name: name, Revision: storerev.Revision{Number: revision}, Spec: json.RawMessage(spec)}
}

const validUpstream = `{"service":"model","address":"10.0.0.9:8080","zone":"perth-a","slots":16,"state":"ready"}`

// TestUpstreamIsRemovedWhenItsObjectIsMalformed guards against an upstream that stays in use after its object was
// overwritten with malformed content, as seen by a watch and by a list. This also holds shortly after an outage of the
// store, when upstreams that are missing from the store are still kept. The malformed object is logged once, the other
// upstreams stay, and the upstream returns when it writes its object again.
func TestUpstreamIsRemovedWhenItsObjectIsMalformed(t *testing.T) {
	for _, byList := range []bool{false, true} {
		state, now := catalog.NewState(), time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		var log bytes.Buffer
		events := storewatch.Decoder{Log: zerolog.New(&log), Step: func(ev step.Event) { state.Reduce(step.Input{Now: now, Event: ev}) }}
		f := events.Follower(nil, platform.ServerKind)
		f.OnList(storerev.Revision{Number: 5}, []platform.Object{object("i-1", 3, validUpstream), object("i-2", 4, validUpstream)})
		require.Len(t, state.Upstreams, 2)
		f.OnFailure(catalog.StoreFailed{})
		now = now.Add(4 * time.Second)
		f.OnResponse(catalog.StoreAnswered{})
		malformed := object("i-1", 6, `{"service":7}`)
		for range 3 {
			if byList {
				f.OnList(storerev.Revision{Number: 7}, []platform.Object{malformed, object("i-2", 4, validUpstream)})
			} else {
				f.OnChanges([]platform.Object{malformed})
			}
		}
		require.Nil(t, state.Upstreams["i-1"])
		require.NotNil(t, state.Upstreams["i-2"])
		require.Equal(t, 1, strings.Count(log.String(), "malformed object"))
		f.OnChanges([]platform.Object{object("i-1", 8, validUpstream)})
		require.NotNil(t, state.Upstreams["i-1"], "the upstream wrote its object again")
	}
}
