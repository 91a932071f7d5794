package node_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/node"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestBurstViewQueriesHosts guards the burst view of an entry: the progress of agents that answer is shown, and an
// agent that does not answer is counted as unanswered instead of being left out.
func TestBurstViewQueriesHosts(t *testing.T) {
	s := newSite(t, 5)
	s.awaitReady(s.procs...)
	value, err := json.Marshal(setting.Setting{
		Kind: setting.Engine, Model: "m", Adapter: "none", Version: "v1", Digest: strings.Repeat("0a", 32), Policy: setting.TimeFirst,
		Places: map[string]int{"place-0": 2, "place-1": 1}, MaxUnavailable: 1,
	})
	require.NoError(t, err)
	r := record.Record{Key: setting.Key("karrakin", "portal"), Version: record.Version{Major: 1 << 40}, Value: value}
	s.procs[0].Loop.Step(record.Published{Records: []record.Record{r}})
	read := func() (view core.BurstView) {
		resp, err := http.Get("http://" + s.procs[0].OperatorsAddress() + node.BurstsPath)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&view))
		return view
	}
	require.Eventually(t, func() bool {
		hosts := 0
		view := read()
		for _, b := range view.Bursts {
			for _, p := range b.Places {
				hosts += p.Hosts
			}
		}
		return hosts == 3 && view.Unanswered == 0
	}, limit, 50*time.Millisecond)
	unreachable := "127.0.0.1:1"
	s.list(unreachable, member.Agent, "place-0")
	advert := member.Advert{Host: "dead", Upstreams: []member.Upstream{{Name: "p1", Team: "karrakin", Service: "portal"}}}
	value, err = json.Marshal(advert.Fixed())
	require.NoError(t, err)
	r = record.Record{Key: member.AdvertPrefix + unreachable, Version: record.Version{Major: 1}, Value: value}
	s.procs[0].Loop.Step(record.Published{Records: []record.Record{r}})
	require.Eventually(t, func() bool { return read().Unanswered == 1 }, limit, 50*time.Millisecond)
}
