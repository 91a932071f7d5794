package capacity

import (
	"encoding/json"
	"fmt"
	"strings"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/setting"
)

// Bytes holds the encoded sizes, in bytes, of the records that every process or every entry stores.
type Bytes struct {
	Setting, Listed, Advert, Phase int
}

// recordSizes encodes one typical record of each kind in the same way as the processes do.
func recordSizes(size Size) Bytes {
	perHost := (size.Engines + size.Nodes - 1) / size.Nodes
	address := "10.11.112.213:7070"
	fixed := member.Advert{
		Host: "host-1234", Address: address, Place: "karratha-a", Region: "west", Role: member.Agent, Incarnation: 1 << 40,
	}
	for i := range perHost {
		fixed.Upstreams = append(fixed.Upstreams, member.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Team: "karrakin", Service: "summary-model", Kind: setting.Engine,
			Phase: member.Serving, Digest: strings.Repeat("a", 64), Generation: 1 << 40,
		})
	}
	return Bytes{
		Setting: encodedSize(setting.Key("karrakin", "summary-model"), typicalSetting(size)),
		Listed: encodedSize(member.ListPrefix+address, member.Listed{
			Address: address, Role: member.Agent, Place: "karratha-a", Region: "west", State: "live",
		}),
		Advert: encodedSize(member.AdvertPrefix+address, fixed.Fixed()),
		Phase:  encodedSize(record.PhasePrefix+address, fixed.Phases()),
	}
}

func typicalSetting(size Size) setting.Setting {
	s := setting.Setting{
		Kind: setting.Engine, Model: "risk", Adapter: "none", Version: "v12", Digest: strings.Repeat("a", 64),
		Places: map[string]int{}, Policy: setting.TimeFirst, MaxUnavailable: 4, NonIdempotent: []string{"POST"},
		Clients: map[string]setting.Limits{"default": {Weight: 1}}, Fencing: setting.FencingChecked,
		Change: "0b5c2f2e-8a51-4c7e-9a0c-0d4e5ad0f6b1", Author: "ann", At: "2026-12-02T19:00:00Z",
	}
	for p := range size.Places {
		s.Places[fmt.Sprintf("place-%d", p)] = 12
	}
	return s
}

func encodedSize(key string, v any) int {
	value, err := json.Marshal(v)
	if err != nil {
		return 0
	}
	raw, err := json.Marshal(record.Record{Key: key, Version: record.Version{Major: 1 << 40, Minor: 1 << 20}, Value: value})
	if err != nil {
		return 0
	}
	return len(raw)
}
