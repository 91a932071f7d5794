package routing

import "sort"

const (
	// MinSubset is the minimum number of upstreams of a data centre that an entry uses, if there are that many.
	MinSubset = 32
	// Coverage is the minimum number of entries that use each upstream. With two, an upstream still gets work while one of
	// them is down.
	Coverage = 2
)

// SubsetSize returns how many of the n upstreams of a data centre each of its e entries uses.
func SubsetSize(n, e int) int {
	size := (Coverage*n + e - 1) / e
	return min(n, max(MinSubset, size))
}

// Subset returns the indices of the upstreams that the entry self uses. It orders the upstreams by hash on a ring and
// takes an arc of it. The arc's start is proportional to the entry's position in the sorted list of entries. For any two
// upstreams, the numbers of arcs that include them differ by at most one. Every process computes the same arcs.
func Subset(self string, entries []string, n int, hash func(i int) uint64) []int {
	e := max(1, len(entries))
	size := SubsetSize(n, e)
	if size == n {
		all := make([]int, n)
		for i := range all {
			all[i] = i
		}
		return all
	}
	ring := make([]int, n)
	for i := range ring {
		ring[i] = i
	}
	sort.Slice(ring, func(a, b int) bool { return hash(ring[a]) < hash(ring[b]) })
	start := sort.SearchStrings(entries, self) * n / e
	arc := make([]int, 0, size)
	for i := 0; i < size; i++ {
		arc = append(arc, ring[(start+i)%n])
	}
	return arc
}
