package faults

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Streams of random numbers: each part draws from its own, so that one part's draws don't change those of another.
const (
	streamSchedule = 101
	streamPairs    = 102
	streamVictims  = 103
)

// Group holds the names of faults that are injected together.
type Group []string

// String joins the names with "+".
func (g Group) String() string { return strings.Join(g, "+") }

func singles(names []string) []Group {
	groups := make([]Group, 0, len(names))
	for _, name := range names {
		groups = append(groups, Group{name})
	}
	return groups
}

// DrawPairs draws pairs of different faults without repetition. The order depends only on the seed.
func DrawPairs(seed uint64, names []string, skip, count int) []Group {
	var all []Group
	for i, first := range names {
		for _, second := range names[i+1:] {
			all = append(all, Group{first, second})
		}
	}
	random := rand.New(rand.NewPCG(seed, streamPairs))
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	skip = min(skip, len(all))
	return all[skip:min(len(all), skip+count)]
}

// schedule returns the groups in shuffled rounds.
type schedule struct {
	random    *rand.Rand
	groups    []Group
	remaining []Group
}

func newSchedule(seed uint64, groups []Group) *schedule {
	return &schedule{random: rand.New(rand.NewPCG(seed, streamSchedule)), groups: groups}
}

func (s *schedule) next() Group {
	if len(s.remaining) == 0 {
		s.remaining = slices.Clone(s.groups)
		s.random.Shuffle(len(s.remaining), func(i, j int) { s.remaining[i], s.remaining[j] = s.remaining[j], s.remaining[i] })
	}
	group := s.remaining[0]
	s.remaining = s.remaining[1:]
	return group
}
