package step

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a member for a key in rendezvous hashing: the members of a key are ordered by their weights, and
// each key has its own order. When a member is added or removed, the first member changes only for those keys for which it
// has the highest weight.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Rank returns the members ordered by their Score for key, the highest first.
func Rank(key string, members []string) []string {
	ranked := make([]string, len(members))
	copy(ranked, members)
	scores := make(map[string]uint64, len(members))
	for _, m := range members {
		scores[m] = Score(key, m)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := scores[ranked[i]], scores[ranked[j]]
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Position returns the index of member in Rank(key, members), or -1 when it is not one of them.
func Position(key, member string, members []string) int {
	own := Score(key, member)
	found := false
	position := 0
	for _, m := range members {
		if m == member {
			found = true
			continue
		}
		s := Score(key, m)
		if s > own || (s == own && m < member) {
			position++
		}
	}
	if !found {
		return -1
	}
	return position
}
