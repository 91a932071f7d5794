// Package balance plans which part of each data centre's requests goes to which data centre, from the demand and the supply of all of
// them. Every entry computes the plan by itself; plans of entries with slightly different inputs differ slightly, and none needs
// another's. The package is pure: see package step.
//
// A plan has two steps. The first finds the parts of the demand that can be served: everything if there is room, else the largest equal
// parts within the homes. The second finds where these parts are served with the least traffic between data centres and regions.
package balance

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// freshDemand is the age up to which demand counts in full. Older demand is halved each second: a data centre that was cut off most
	// likely still has the demand that it had, but nobody knows for how long.
	freshDemand = 3 * time.Second
	// dampingInterval and dampingFactor bound the change of a plan: at most this part of the difference in each interval. Reports are up to
	// 0.9 s late, and an entry that followed each of them at once would move demand back and forth.
	dampingInterval = 500 * time.Millisecond
	dampingFactor   = 0.25
	// MaxHomes is the maximum number of bound sets of one data centre that are planned for; the rest of its demand counts as unbound.
	MaxHomes = 16
	// maxRegions bounds the time of a plan, which grows with the number of subsets of the regions.
	maxRegions = 8
	// maxDataCentres bounds the memory of a plan, which grows with the square of the number of data centres.
	maxDataCentres = 64
	// minFraction is the part below which nothing is moved, because damped parts approach zero and never reach it.
	minFraction = 1e-4
	// minWork is the work per second below which demand is neglected.
	minWork = 1e-4
)

// Demand is what the callers of one data centre ask for, bound to a set of home regions or unbound.
type Demand struct {
	DataCentre string
	// Homes are the regions in which the requests may be; empty for any.
	Homes []string
	// Work is the work that arrives per second, in seconds of a slot.
	Work float64
	// At is when the demand was measured.
	At time.Time
}

// Supply is what the engines of one data centre can serve.
type Supply struct {
	DataCentre, Region string
	// Work is the work per second, in seconds of a slot, which is the number of slots of the usable engines.
	Work      float64
	Evacuated bool
}

// Shares is a plan. The zero value has no opinion on any request.
type Shares struct {
	at     time.Time
	splits map[origin]split
	loads  map[string]Load
}

// split is the parts of one kind of demand by data centre, its own data centre first, so that a small change of that part changes the
// choice for few requests.
type split []part

type part struct {
	dataCentre string
	fraction   float64
}

// at returns the part for a data centre.
func (s split) at(dataCentre string) float64 {
	for _, p := range s {
		if p.dataCentre == dataCentre {
			return p.fraction
		}
	}
	return 0
}

// origin is one kind of demand: the callers' data centre and the canonical form of the homes.
type origin struct{ dataCentre, homes string }

// Load is what a plan sends to a data centre, in work per second, including what can't be served there.
type Load struct {
	// Own is the work of callers of the same data centre, Moved that of others.
	Own, Moved float64
	Supply     float64
}

// Known reports whether the plan is based on any demand.
func (s Shares) Known() bool { return len(s.splits) > 0 }

// Load returns what the plan sends to a data centre.
func (s Shares) Load(dataCentre string) Load { return s.loads[dataCentre] }

// Fraction returns the part of the demand of a data centre and a set of homes that the plan sends to a data centre.
func (s Shares) Fraction(from string, homes []string, to string) float64 {
	return s.splits[origin{from, homesKey(homes)}].at(to)
}

// Covers reports whether the plan has an opinion on the demand of a data centre and a set of homes.
func (s Shares) Covers(from string, homes []string) bool {
	return len(s.splits[origin{from, homesKey(homes)}]) > 0
}

// splitOf returns the split of one kind of demand: without a plan, it stays in its own data centre.
func (s Shares) splitOf(o origin) split {
	if parts := s.splits[o]; len(parts) > 0 {
		return parts
	}
	return split{{o.dataCentre, 1}}
}

// Choose returns the data centre that a request is to be tried at first. draw is a random number. The result is false if the plan has
// no opinion.
func (s Shares) Choose(dataCentre string, homes []string, draw uint64) (string, bool) {
	parts := s.splits[origin{dataCentre, homesKey(homes)}]
	if len(parts) == 0 {
		return "", false
	}
	left := float64(draw>>11) / (1 << 53)
	for _, p := range parts {
		if left -= p.fraction; left < 0 {
			return p.dataCentre, true
		}
	}
	return parts[len(parts)-1].dataCentre, true
}

// Difference returns the largest difference between the parts in two plans.
func (s Shares) Difference(o Shares) float64 {
	most := 0.0
	for _, pair := range [][2]Shares{{s, o}, {o, s}} {
		for k, parts := range pair[0].splits {
			other := pair[1].splitOf(k)
			for _, p := range parts {
				most = math.Max(most, math.Abs(p.fraction-other.at(p.dataCentre)))
			}
		}
	}
	return most
}

// homesKey returns the canonical form of a set of homes.
func homesKey(homes []string) string {
	switch len(homes) {
	case 0:
		return ""
	case 1:
		return homes[0]
	}
	if slices.IsSorted(homes) {
		return strings.Join(homes, "\n")
	}
	return strings.Join(slices.Sorted(slices.Values(homes)), "\n")
}

// Plan returns the plan that follows previous. It has no opinion if no demand is known. The result for a data centre under evacuation,
// or without supply, applies at once; every other change is damped.
func Plan(previous Shares, now time.Time, demand []Demand, supply []Supply) Shares {
	p := newProblem(now, demand, supply)
	if p == nil {
		return Shares{}
	}
	next := Shares{at: now, splits: map[origin]split{}}
	step := 1 - math.Pow(1-dampingFactor, now.Sub(previous.at).Seconds()/dampingInterval.Seconds())
	if previous.at.IsZero() {
		step = dampingFactor
	}
	step = math.Min(math.Max(step, 0), 1)
	target := p.solve()
	for i := range p.origins {
		o := &p.origins[i]
		if target[i] == nil {
			continue // Nothing of it can be served.
		}
		next.splits[o.origin] = p.damp(o, previous.splitOf(o.origin), target[i], step)
	}
	next.loads = p.loads(next.splits)
	return next
}

// loads returns what the splits send to each data centre.
func (p *problem) loads(splits map[origin]split) map[string]Load {
	loads := map[string]Load{}
	for _, c := range p.centres {
		loads[c.name] = Load{Supply: c.supply}
	}
	for _, o := range p.origins {
		for _, to := range splits[o.origin] {
			l := loads[to.dataCentre]
			if to.dataCentre == o.dataCentre {
				l.Own += o.work * to.fraction
			} else {
				l.Moved += o.work * to.fraction
			}
			loads[to.dataCentre] = l
		}
	}
	return loads
}

// damp returns the parts that lie a step from the previous ones towards the target. Parts at data centres that can't be used now follow the
// target at once.
func (p *problem) damp(o *demandOrigin, previous split, target []float64, step float64) split {
	kept := 0.0
	for i, c := range p.centres {
		if p.usable(o, i) {
			kept += previous.at(c.name)
		}
	}
	var next split
	for i, c := range p.centres {
		before := (1 - math.Min(1, kept)) * target[i]
		if p.usable(o, i) {
			before += previous.at(c.name)
		}
		if f := before + step*(target[i]-before); f > minFraction {
			next = append(next, part{c.name, f})
			if i == o.centre {
				own := len(next) - 1
				next[0], next[own] = next[own], next[0]
			}
		}
	}
	return next
}

// usable reports whether requests of the origin may be served in a data centre.
func (p *problem) usable(o *demandOrigin, centre int) bool {
	c := &p.centres[centre]
	return c.supply > 0 && o.mask&(1<<c.region) != 0
}

// Describe describes the parts of the demand of a data centre, for the log.
func (s Shares) Describe(dataCentre string) string {
	var lines []string
	for o, parts := range s.splits {
		if o.dataCentre != dataCentre {
			continue
		}
		homes := "unbound"
		if o.homes != "" {
			homes = "bound to " + strings.ReplaceAll(o.homes, "\n", " ")
		}
		line := homes + ":"
		for _, p := range parts {
			line += fmt.Sprintf(" %s %.2f", p.dataCentre, p.fraction)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return strings.Join(lines, "; ")
}
