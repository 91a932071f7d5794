package core

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestBurstsAreCountedByDataCentre checks that the view of a burst aggregates the hosts of each data centre separately. It
// must use the progress that a host reported, and the advertisement of a host that did not report.
func TestBurstsAreCountedByDataCentre(t *testing.T) {
	s := NewState(Self{Host: "entry-1", Address: "10.0.0.9:1", Place: "perth-a", Region: "west", Role: member.Entry}, nil)
	now := time.Unix(0, 0)
	reduce := func(ev step.Event) { s.Reduce(step.Input{Now: now, Event: ev}) }
	value, err := json.Marshal(setting.Setting{
		Kind: setting.Engine, Model: "m", Version: "v1", Digest: "d1", Policy: setting.TimeFirst, MaxUnavailable: 1,
		Places: map[string]int{"perth-a": 2, "karratha-a": 1},
	})
	require.NoError(t, err)
	reduce(record.Published{Records: []record.Record{{Key: setting.Key("karrakin", "summary"), Version: record.Version{Major: 1}, Value: value}}})
	var listed []member.Listed
	progress := map[string][]weights.Summary{}
	addHost := func(host, place string, phase member.Phase, digest string, w ...weights.Summary) {
		a := member.Advert{Host: host, Address: host + ":1", Place: place, Region: "west", Role: member.Agent}
		if w[0].BlockedBy != 0 {
			a.Weights = w
		} else {
			progress[a.Address] = w
		}
		a.Upstreams = []member.Upstream{{Name: "e", Team: "karrakin", Service: "summary", Kind: setting.Engine, Phase: phase, Digest: digest}}
		for prefix, part := range map[string]any{member.AdvertPrefix: a.Fixed(), record.PhasePrefix: a.Phases()} {
			value, err := json.Marshal(part)
			require.NoError(t, err)
			reduce(record.Published{Records: []record.Record{{Key: prefix + a.Address, Version: record.Version{Major: 1}, Value: value}}})
		}
		listed = append(listed, member.Listed{Address: a.Address, Role: member.Agent, Place: place, Region: "west"})
	}
	addHost("h1", "perth-a", member.Serving, "d1", weights.Summary{Digest: "d1", Percent: 100, From: [4]int64{1, 2, 3, 4}})
	addHost("h2", "perth-a", member.Idle, "", weights.Summary{Digest: "d1", Percent: 50, Rate: 10, LeftMS: 700})
	addHost("h3", "karratha-a", member.Idle, "", weights.Summary{Digest: "d1", BlockedBy: code.MemoryTooSmall})
	reduce(member.ListRead{Hosts: listed})
	require.ElementsMatch(t, []string{"h1:1", "h2:1", "h3:1"}, s.BurstHosts())
	places := s.Bursts(now, progress).Bursts[0].Places
	require.Equal(t, "karratha-a", places[0].Place)
	require.Equal(t, []StuckHost{{Host: "h3", Code: code.MemoryTooSmall, Text: code.MemoryTooSmall.Describe().Help}}, places[0].Stuck)
	perth := places[1]
	require.Equal(t, PlaceBurst{
		Place: "perth-a", Region: "west", Wanted: 2, Hosts: 2, Holding: 1, Serving: 1, Percent: 75, Rate: 10, LeftMS: 700,
		From: [4]int64{1, 2, 3, 4},
	}, perth)
}
