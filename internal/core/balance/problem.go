package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// problem is the input of one plan in a form with indexes.
type problem struct {
	regions []string
	centres []centre
	origins []demandOrigin
}

// centre is a data centre.
type centre struct {
	name   string
	region int
	supply float64
}

// demandOrigin is one kind of demand.
type demandOrigin struct {
	origin
	centre int
	// mask has a bit for each region in which the demand may be served.
	mask uint
	work float64
}

// newProblem returns the problem of one plan, or nil if no demand is known or a bound is exceeded.
func newProblem(now time.Time, demand []Demand, supply []Supply) *problem {
	p := &problem{}
	for _, s := range supply {
		p.regions = append(p.regions, s.Region)
	}
	slices.Sort(p.regions)
	p.regions = slices.Compact(p.regions)
	if len(p.regions) > maxRegions || len(supply) > maxDataCentres {
		return nil
	}
	sorted := slices.SortedFunc(slices.Values(supply), func(a, b Supply) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	index := map[string]int{}
	for _, s := range sorted {
		if _, double := index[s.DataCentre]; double {
			continue
		}
		c := centre{name: s.DataCentre, region: slices.Index(p.regions, s.Region)}
		if !s.Evacuated && s.Work > 0 && !math.IsInf(s.Work, 0) {
			c.supply = s.Work
		}
		index[s.DataCentre] = len(p.centres)
		p.centres = append(p.centres, c)
	}
	p.addDemand(now, demand, index)
	if len(p.origins) == 0 {
		return nil
	}
	return p
}

// addDemand adds the demand, summed by its origin and in a fixed order.
func (p *problem) addDemand(now time.Time, demand []Demand, index map[string]int) {
	sums := map[origin]*demandOrigin{}
	count := map[string]int{}
	for _, d := range demand {
		i, known := index[d.DataCentre]
		work := d.Work * Aged(now.Sub(d.At))
		if !known || !(work > minWork) || math.IsInf(work, 0) {
			continue
		}
		o := origin{d.DataCentre, homesKey(d.Homes)}
		mask := p.mask(d.Homes)
		if sums[o] == nil && o.homes != "" {
			if count[d.DataCentre]++; count[d.DataCentre] > MaxHomes {
				o, mask = origin{dataCentre: d.DataCentre}, p.mask(nil)
			}
		}
		if sums[o] == nil {
			sums[o] = &demandOrigin{origin: o, centre: i, mask: mask}
		}
		sums[o].work += work
	}
	for _, o := range sums {
		p.origins = append(p.origins, *o)
	}
	slices.SortFunc(p.origins, func(a, b demandOrigin) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.homes, b.homes))
	})
}

// Aged returns the part of demand of an age that still counts.
func Aged(age time.Duration) float64 {
	if age <= freshDemand {
		return 1
	}
	return math.Pow(0.5, (age - freshDemand).Seconds())
}

// mask returns the regions that homes allow.
func (p *problem) mask(homes []string) uint {
	if len(homes) == 0 {
		return 1<<len(p.regions) - 1
	}
	mask := uint(0)
	for i, r := range p.regions {
		if slices.Contains(homes, r) {
			mask |= 1 << i
		}
	}
	return mask
}

// solve returns the target of each origin: the part of it for each data centre; nil for one that can't be served at all.
func (p *problem) solve() [][]float64 {
	supply := make([]float64, len(p.regions))
	for _, c := range p.centres {
		supply[c.region] += c.supply
	}
	byMask := map[uint]float64{}
	for _, o := range p.origins {
		byMask[o.mask] += o.work
	}
	served := servedParts(byMask, supply)
	f := newFlow(supply)
	groups := map[groupKey]float64{}
	for _, o := range p.origins {
		groups[groupKey{p.centres[o.centre].region, o.mask}] += o.work * served[o.mask]
	}
	f.solve(groups)
	return p.spread(served, f)
}

// servedParts returns, for each set of regions in which demand may be served, the part of it that can be served. The parts are the
// largest equal ones: no part can grow but at the cost of one that is smaller or equal.
//
// Demand can be served if, for each set T of regions, the demand that must be within T is no more than the supply of T. The set that
// allows the smallest part therefore decides the part of all demand that must be within it; the rest of the demand can't use these
// regions any more, and the search goes on with the other regions.
func servedParts(demand map[uint]float64, supply []float64) map[uint]float64 {
	served := map[uint]float64{}
	open := uint(1)<<len(supply) - 1
	for open != 0 {
		part, tightest := 1.0, uint(0)
		for t := uint(1); t <= open; t++ {
			if t&^open != 0 {
				continue
			}
			within, available := 0.0, 0.0
			for mask, work := range demand {
				if _, done := served[mask]; !done && mask&open != 0 && mask&open&^t == 0 {
					within += work
				}
			}
			for r, s := range supply {
				if t&(1<<r) != 0 {
					available += s
				}
			}
			if within > minWork && available/within < part {
				part, tightest = available/within, t
			}
		}
		if tightest == 0 {
			break
		}
		for mask := range demand {
			if _, done := served[mask]; !done && mask&open&^tightest == 0 {
				served[mask] = part
			}
		}
		open &^= tightest
	}
	for mask := range demand {
		if _, done := served[mask]; !done && mask != 0 {
			served[mask] = 1
		}
	}
	return served
}

// spread divides what each region serves over its data centres. Callers are served in their own data centre first. What remains of the
// region's supply serves the others, each data centre in proportion to its remaining supply.
func (p *problem) spread(served map[uint]float64, f *flow) [][]float64 {
	stay := make([]float64, len(p.centres))
	for _, o := range p.origins {
		home := p.centres[o.centre].region
		stay[o.centre] += o.work * served[o.mask] * f.part(groupKey{home, o.mask}, home)
	}
	rest, regionRest := make([]float64, len(p.centres)), make([]float64, len(p.regions))
	for i, c := range p.centres {
		rest[i] = math.Max(0, c.supply-stay[i])
		regionRest[c.region] += rest[i]
	}
	target := make([][]float64, len(p.origins))
	for n, o := range p.origins {
		home, total := p.centres[o.centre].region, 0.0
		split := make([]float64, len(p.centres))
		for i, c := range p.centres {
			part := f.part(groupKey{home, o.mask}, c.region)
			own := 0.0
			if c.region == home && stay[o.centre] > 0 {
				own = math.Min(1, p.centres[o.centre].supply/stay[o.centre])
			}
			if i == o.centre {
				split[i] += part * own
			}
			if regionRest[c.region] > 0 {
				split[i] += part * (1 - own) * rest[i] / regionRest[c.region]
			}
			total += split[i]
		}
		if total <= 0 {
			continue
		}
		for i := range split {
			split[i] /= total
		}
		target[n] = split
	}
	return target
}
