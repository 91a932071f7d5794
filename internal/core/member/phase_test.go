package member_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/setting"
)

func drawUpstream(t *rapid.T, name string) member.Upstream {
	return member.Upstream{
		Name: name, Team: "karrakin", Service: rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "service"), Kind: setting.Engine,
		Phase:      rapid.SampledFrom([]member.Phase{member.Idle, member.Loading, member.Serving, member.Down}).Draw(t, "phase"),
		Digest:     rapid.SampledFrom([]string{"", "d1", strings.Repeat("0a", 32), strings.Repeat("0B", 32), strings.Repeat("f0", 32)}).Draw(t, "digest"),
		Generation: rapid.SampledFrom([]uint64{0, 1, 1 << 40, 1<<64 - 1}).Draw(t, "generation"),
		Role:       rapid.SampledFrom([]setting.Role{"", setting.RoleBoth, setting.RoleDecode, setting.RolePrefill}).Draw(t, "role"),
	}
}

// receive returns the advertisement that a process holds of a host after it has received both parts.
func receive(t require.TestingT, fixed, phases any) *member.Advert {
	s := member.NewState("10.0.1.1:1")
	for prefix, part := range map[string]any{member.AdvertPrefix: fixed, record.PhasePrefix: phases} {
		value, err := json.Marshal(part)
		require.NoError(t, err)
		s.ApplyRecords([]record.Record{{Key: prefix + "a:1", Version: record.Version{Major: 1}, Value: value}})
	}
	return s.Hosts["a:1"].Advert
}

// TestPhasesRoundTrip checks that an entry decodes exactly what the agent encoded, including the full digest. Entries
// compare digests to choose the engine that continues a response, so a shortened one could mix two versions.
func TestPhasesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := member.Advert{Host: "h", Address: "a:1", Role: member.Agent, Incarnation: 7, Leaving: rapid.Bool().Draw(t, "leaving")}
		for i := range rapid.IntRange(0, 5).Draw(t, "upstreams") {
			a.Upstreams = append(a.Upstreams, drawUpstream(t, fmt.Sprintf("engine-%d", i)))
		}
		require.Equal(t, a, *receive(t, a.Fixed(), a.Phases()))
	})
}

// TestPhasesAreOnlyAppliedToTheirFixedPart guards against phases that are applied to the wrong upstreams. After a
// restart, an agent's new phases may arrive before its new fixed part. Phases are assigned by position, so an engine of
// one service could get the requests of another.
func TestPhasesAreOnlyAppliedToTheirFixedPart(t *testing.T) {
	offer := func(services ...string) member.Advert {
		a := member.Advert{Host: "h", Address: "a:1"}
		for _, service := range services {
			a.Upstreams = append(a.Upstreams, member.Upstream{Name: "e", Team: "karrakin", Service: service, Phase: member.Serving})
		}
		return a
	}
	previous, current := offer("summary", "lookup"), offer("lookup", "summary")
	for _, u := range receive(t, previous.Fixed(), current.Phases()).Upstreams {
		require.Empty(t, u.Phase)
	}
	require.Equal(t, member.Serving, receive(t, current.Fixed(), current.Phases()).Upstreams[0].Phase)
}

// TestMalformedPhasesMakeNoUpstreamServe checks that a corrupted or foreign record neither makes an upstream a candidate
// for requests nor crashes the process.
func TestMalformedPhasesMakeNoUpstreamServe(t *testing.T) {
	a := member.Advert{Host: "h", Address: "a:1", Upstreams: []member.Upstream{{Name: "e", Service: "s", Phase: member.Serving, Digest: "d1"}}}
	for _, words := range []string{"", "s s", "x", "s.1", "s.-1", "s.x", "s.0.!", ".", "s.0.zzzzzzzzzzzzzzzzzzz"} {
		p := a.Phases()
		p.Upstreams = words
		require.Empty(t, receive(t, a.Fixed(), p).Upstreams[0].Phase, words)
	}
	p := a.Phases()
	p.Digests = []string{"short"}
	require.Empty(t, receive(t, a.Fixed(), p).Upstreams[0].Phase)
}

// TestPhasesFitIn150Bytes limits the encoded phases of four engines that serve one version to 150 bytes. Each change of
// them is sent to every entry.
func TestPhasesFitIn150Bytes(t *testing.T) {
	a := member.Advert{Host: "h", Address: "a:1"}
	for i := range 4 {
		a.Upstreams = append(a.Upstreams, member.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Team: "karrakin", Service: "summary", Kind: setting.Engine,
			Phase: member.Serving, Digest: strings.Repeat("0a", 32), Generation: uint64(time.Second),
		})
	}
	value, err := json.Marshal(a.Phases())
	require.NoError(t, err)
	require.LessOrEqual(t, len(value), 150, string(value))
}
