package core

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestOnlyReplicasShareABurst uses a setting that asks for replicas on two of five hosts. Each host must compute the same
// two, and a replica must share the burst with the other replica only. Other hosts would be relied on to fetch chunks that
// they never fetch. A previous process of each host is still listed under another address and must not count.
func TestOnlyReplicasShareABurst(t *testing.T) {
	const hosts = 5
	value, err := json.Marshal(setting.Setting{
		Kind: setting.Engine, Model: "m", Version: "v1", Digest: "d1", Policy: setting.TimeFirst, MaxUnavailable: 1,
		Places: map[string]int{"perth-a": 2},
	})
	require.NoError(t, err)
	key := setting.Key("karrakin", "summary")
	records := []record.Record{{Key: key, Version: record.Version{Major: 1}, Value: value}}
	var listed []member.Listed
	for i := range hosts {
		a := member.Advert{Host: fmt.Sprint("h", i), Address: fmt.Sprint("10.0.0.", i, ":1"), Place: "perth-a", Region: "west", Role: member.Agent, Incarnation: 2}
		a.Upstreams = []member.Upstream{{Name: "e", Team: "karrakin", Service: "summary", Kind: setting.Engine}}
		fixed, err := json.Marshal(a.Fixed())
		require.NoError(t, err)
		records = append(records, record.Record{Key: member.AdvertPrefix + a.Address, Version: record.Version{Major: 1}, Value: fixed})
		listed = append(listed, member.Listed{Address: a.Address, Role: member.Agent, Place: a.Place, Region: a.Region})
	}
	// A previous process of each host is still listed.
	for i := range hosts {
		previous := member.Advert{Host: fmt.Sprint("h", i), Address: fmt.Sprint("10.0.1.", i, ":1"), Place: "perth-a", Region: "west", Role: member.Agent, Incarnation: 1}
		previous.Upstreams = []member.Upstream{{Name: "e", Team: "karrakin", Service: "summary", Kind: setting.Engine}}
		fixed, err := json.Marshal(previous.Fixed())
		require.NoError(t, err)
		records = append(records, record.Record{Key: member.AdvertPrefix + previous.Address, Version: record.Version{Major: 1}, Value: fixed})
		listed = append(listed, member.Listed{Address: previous.Address, Role: member.Agent, Place: previous.Place, Region: previous.Region})
	}
	peersOf := map[string][]weights.Peer{}
	for i := range hosts {
		u := rollout.Upstream{Upstream: member.Upstream{Name: "e", Team: "karrakin", Service: "summary", Kind: setting.Engine}}
		s := NewState(Self{Host: fmt.Sprint("h", i), Address: listed[i].Address, Place: "perth-a", Region: "west", Role: member.Agent, Incarnation: 2}, []rollout.Upstream{u})
		in := step.Input{Now: time.Unix(0, 0)}
		s.Reduce(withEvent(in, member.ListRead{Hosts: listed}))
		s.Reduce(withEvent(in, record.Published{Records: records}))
		s.replan = true
		s.plan(in)
		if replicas := s.replicas(); replicas.has(key, listed[i].Address, "e") {
			peersOf[listed[i].Address] = s.want(s.Settings[key].Setting, replicas.hosts(s.Settings, "d1")).Peers
			require.Len(t, s.Weights.Bursts, 1)
			continue
		}
		require.Empty(t, s.Weights.Bursts)
	}
	require.Len(t, peersOf, 2)
	for address, peers := range peersOf {
		require.Len(t, peers, 1, "only the other replica")
		require.NotEqual(t, address, peers[0].Address)
		require.Contains(t, peersOf, peers[0].Address)
	}
}
