package soak_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// endlessControlSeconds is the duration of the run in CI, in seconds.
	endlessControlSeconds = 4
	// smallAgentMemory is the memory limit of an agent on a small host, in bytes.
	smallAgentMemory = 152 << 20
	// versionsPerRound is the number of versions that are activated while control answers have no end.
	versionsPerRound = 3
)

// endlessControlSeeds run in CI: a first seed, and each seed that ever failed, with the cause of the failure.
//
// 2: bodies without an end from an engine; its agent read 64 MiB of each answer, several at once.
// 13, 14, 15, 21, 24, 28: one header without an end from a peer; the head of a control connection was read without a limit.
var endlessControlSeeds = []uint64{2, 13, 14, 15, 21, 24, 28}

// controlForms are the forms of control answers without an end.
var controlForms = []standin.Fault{
	standin.EndlessHeader, standin.EndlessHeaders, standin.EndlessInformation, standin.EndlessBody, standin.EndlessChunks, standin.EndlessChunkExtension,
	standin.EndlessTrailer, standin.TrickleHeader, standin.TrickleBody,
}

// endless is what can answer without an end in a form, or as usual if it is empty.
type endless interface{ Set(form standin.Fault) }

// endlessControlRound has engines and a peer, and at times the store or the origin, answer without an end for a while in which versions are activated.
func (s *soak) endlessControlRound(i *injector, peer endless) {
	controls := []endless{peer}
	for _, e := range s.engines() {
		if len(controls) == 1 || i.random.IntN(2) == 0 {
			controls = append(controls, &e.Weights.Endless)
		}
	}
	switch i.random.IntN(3) {
	case 0:
		controls = append(controls, &s.fleet.Origin.Endless)
	case 1:
		controls = append(controls, &s.fleet.Store.Endless)
	}
	form := pick(i, controlForms)
	for _, c := range controls {
		c.Set(form)
	}
	for range versionsPerRound {
		s.activateNextVersion()
		i.pause()
	}
	for _, c := range controls {
		c.Set("")
	}
	s.t.Logf("%s from %d servers", form, len(controls))
}

// TestSoakControlAnswersWithoutEnd guards against agents and entries that outgrow the memory of their hosts on answers of engines, peers, the store
// and the origin that have no end, fast or at a trickle, while versions are activated.
func TestSoakControlAnswersWithoutEnd(t *testing.T) {
	hosts, seconds := intFromEnv(t, hostsVariable, endlessHosts), intFromEnv(t, secondsVariable, endlessControlSeconds)
	for _, seed := range seedsToRun(t, endlessControlSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := startSoak(t, hosts, &soak{t: t, fleet: standin.NewFleet(t), version: 1, agentMemory: smallAgentMemory})
			peer := s.fleet.AddEndlessPeer("i-peer")
			s.awaitServed()
			injector := s.newInjector(seed, seed, 0, 0)
			for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end); {
				s.endlessControlRound(injector, peer)
				injector.pause()
			}
			for i := range s.hosts {
				agent, entry := s.agents[i].peakMemory(), s.entries[i].peakMemory()
				t.Logf("agent %d: %d MB at its peak, entry %d MB", i, agent>>20, entry>>20)
				require.Less(t, agent, int64(smallAgentMemory))
				require.Less(t, entry, s.hosts[i].MemoryBytes)
				require.Equal(t, 1, s.agents[i].instances())
				require.Equal(t, 1, s.entries[i].instances())
			}
			s.verify()
		})
	}
}
