package balance

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"
)

const (
	// movedCost is the cost of work that is served in another region, and boundCost what is added for bound work, so that unbound work
	// moves first.
	movedCost = 1.0
	boundCost = 0.01
	// usedCost is added in proportion to the used part of a region's supply, so that moved work is divided over equally near regions. It
	// is small against the other costs.
	usedCost = 0.001
	// movedSteps is in how many steps the work of a group is placed outside its region. With more steps it is divided more evenly.
	movedSteps = 16
	// maxPaths bounds the steps of one group.
	maxPaths = 200
	// minFlow is the work that is neglected because of rounding.
	minFlow = 1e-7
)

// groupKey is a group of demand with the same region and the same homes.
type groupKey struct {
	region int
	mask   uint
}

// cost returns the cost of serving work of the group in a region.
func (g groupKey) cost(region, regions int) float64 {
	switch {
	case region == g.region:
		return 0
	case bits.OnesCount(g.mask) < regions:
		return movedCost + boundCost
	}
	return movedCost
}

// flow assigns the work of groups to regions at the least cost. It places the work of one group after the other along the cheapest path:
// to a region with room, or to one from which work that was placed before is moved on.
type flow struct {
	supply, used []float64
	placed       map[groupKey][]float64
	order        []groupKey
}

func newFlow(supply []float64) *flow {
	return &flow{supply: supply, used: make([]float64, len(supply)), placed: map[groupKey][]float64{}}
}

// part returns the part of a group's work that is served in a region.
func (f *flow) part(g groupKey, region int) float64 {
	total := 0.0
	for _, w := range f.placed[g] {
		total += w
	}
	if total <= 0 {
		return 0
	}
	return f.placed[g][region] / total
}

// solve places all groups, those with the fewest regions first.
func (f *flow) solve(groups map[groupKey]float64) {
	f.order = slices.SortedFunc(maps.Keys(groups), func(a, b groupKey) int {
		return cmp.Or(cmp.Compare(bits.OnesCount(a.mask), bits.OnesCount(b.mask)), cmp.Compare(a.mask, b.mask), cmp.Compare(a.region, b.region))
	})
	for _, g := range f.order {
		f.placed[g] = make([]float64, len(f.supply))
	}
	for _, g := range f.order {
		left := groups[g]
		step := left / movedSteps
		for paths := 0; left > minFlow && paths < maxPaths; paths++ {
			placed := f.place(g, left, math.Max(step, minFlow))
			if placed <= 0 {
				break
			}
			left -= placed
		}
	}
}

// hop is the last step of the cheapest path to a region: work of a group that is moved on from another region. from is -1 at the start of
// a path.
type hop struct {
	from  int
	group groupKey
}

// place places at most left of a group's work along the cheapest path, and no more than step outside the group's region. It returns how
// much it placed.
func (f *flow) place(g groupKey, left, step float64) float64 {
	if room := f.supply[g.region] - f.used[g.region]; room > minFlow && g.mask&(1<<g.region) != 0 {
		amount := math.Min(left, room) // No path costs less than the group's own region.
		f.used[g.region] += amount
		f.placed[g][g.region] += amount
		return amount
	}
	end, cost, hops := f.cheapestPath(g)
	if end < 0 {
		return 0
	}
	amount := math.Min(left, f.supply[end]-f.used[end])
	if cost >= movedCost/2 {
		amount = math.Min(amount, step)
	}
	visited := 0
	for r := end; hops[r].from >= 0; r = hops[r].from {
		amount = math.Min(amount, f.placed[hops[r].group][hops[r].from])
		if visited++; visited > len(f.supply) {
			return 0 // Rounding made a cycle.
		}
	}
	f.used[end] += amount
	for r := end; ; r = hops[r].from {
		h := hops[r]
		if h.from < 0 {
			f.placed[g][r] += amount
			return amount
		}
		f.placed[h.group][r] += amount
		f.placed[h.group][h.from] -= amount
	}
}

// cheapestPath returns the region with room at which the cheapest path for a group's work ends, its cost, and the last hop to each region.
// The region is -1 if no region that the group's work can reach has room.
func (f *flow) cheapestPath(g groupKey) (int, float64, []hop) {
	n := len(f.supply)
	cost, hops := make([]float64, n), make([]hop, n)
	for r := range n {
		cost[r], hops[r] = math.Inf(1), hop{from: -1}
		if g.mask&(1<<r) != 0 {
			cost[r] = g.cost(r, n)
		}
	}
	for range n {
		if !f.relax(cost, hops) {
			break
		}
	}
	end, best := -1, math.Inf(1)
	for r := range n {
		if f.supply[r]-f.used[r] <= minFlow {
			continue
		}
		if c := cost[r] + usedCost*f.used[r]/f.supply[r]; c < best {
			end, best = r, c
		}
	}
	return end, best, hops
}

// relax shortens the paths to all regions by one hop, and reports whether it changed any.
func (f *flow) relax(cost []float64, hops []hop) bool {
	changed := false
	for _, g := range f.order {
		for from, placed := range f.placed[g] {
			if placed <= minFlow || math.IsInf(cost[from], 1) {
				continue
			}
			for to := range cost {
				if to == from || g.mask&(1<<to) == 0 {
					continue
				}
				if c := cost[from] + g.cost(to, len(cost)) - g.cost(from, len(cost)); c < cost[to]-1e-9 {
					cost[to], hops[to] = c, hop{from: from, group: g}
					changed = true
				}
			}
		}
	}
	return changed
}
