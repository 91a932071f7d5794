package loadreport

import (
	"encoding/json"
	"math"
	"slices"

	"samphireweir.example/samphireweir/internal/core/schedule"
)

const (
	// maxDemandSets is the maximum number of bound sets in one list; unbound demand comes in addition.
	maxDemandSets = 16
	// maxDemandBytes limits the encoded demand of a heartbeat, and maxSumBytes the encoded sums of a load report. Crashes take up to 2,048
	// bytes of the 4,096 of a datagram.
	maxDemandBytes = 1024
	maxSumBytes    = 1024
	// maxDemandWork is the maximum work per second of one set. It is far beyond the slots of all engines.
	maxDemandWork = 1e6
	// maxDemandCount is the maximum number of waiting requests or of entries in a message.
	maxDemandCount = 1e6
	// maxDemandHomes is the maximum number of regions in one set, and maxDemandName the maximum length of a name in bytes.
	maxDemandHomes = 16
	maxDemandName  = 64
	// maxDemandAgeMS is the maximum age of a sum in milliseconds.
	maxDemandAgeMS = 60000
)

// Demand is the demand at one entry of the requests that are bound to one set of home regions, or unbound.
type Demand struct {
	// Homes are the regions in which the requests may be; absent for any.
	Homes []string `json:"h,omitempty"`
	// Work is the work that arrives per second, in seconds of an engine's slot.
	Work float64 `json:"w"`
	// Waiting is the number of requests that wait for capacity, and WaitingByPriority the same by priority, the most urgent first. Trailing
	// zeros are left out.
	Waiting           int   `json:"n,omitempty"`
	WaitingByPriority []int `json:"p,omitempty"`
}

// DemandSum is the demand of the entries of one data centre that an agent heard.
type DemandSum struct {
	DataCentre string `json:"d"`
	// Entries is the number of these entries, and AgeMS the mean age of what they said, in milliseconds.
	Entries int      `json:"n"`
	AgeMS   int64    `json:"a,omitempty"`
	Sets    []Demand `json:"s,omitempty"`
}

// round keeps the encoded numbers short.
func round(work float64) float64 { return math.Round(work*1000) / 1000 }

// FitDemand returns the list as it is sent in a heartbeat: with at most 16 bound sets and 1,024 bytes. The sets with the least work are
// summed as unbound.
func FitDemand(list []Demand) []Demand {
	fitted := []Demand{{}}
	bound := []Demand{}
	for _, d := range list {
		d.Work = round(d.Work)
		if len(d.Homes) == 0 {
			fitted[0].add(d)
		} else {
			bound = append(bound, d)
		}
	}
	slices.SortStableFunc(bound, func(a, b Demand) int {
		if a.Work != b.Work {
			return int(math.Copysign(1, b.Work-a.Work))
		}
		return slices.Compare(a.Homes, b.Homes)
	})
	size := 0
	for i, d := range bound {
		size += encodedSize(d)
		if i >= maxDemandSets || size > maxDemandBytes-encodedSize(fitted[0])-maxUnboundGrowth {
			fitted[0].add(d)
			continue
		}
		fitted = append(fitted, d)
	}
	return fitted
}

// maxUnboundGrowth is by how many bytes the unbound demand can grow when sets are added to it.
const maxUnboundGrowth = 100

// add adds other demand.
func (d *Demand) add(o Demand) {
	d.Work = round(d.Work + o.Work)
	d.Waiting += o.Waiting
	for i, n := range o.WaitingByPriority {
		if i >= len(d.WaitingByPriority) {
			d.WaitingByPriority = append(slices.Clone(d.WaitingByPriority), 0)
		}
		d.WaitingByPriority[i] += n
	}
}

// SumDemand returns the sum of the demand of several entries of a data centre. Numbers of waiting requests are left out.
func SumDemand(dataCentre string, ageMS int64, lists [][]Demand) DemandSum {
	var sets []Demand
	for _, list := range lists {
		for _, d := range list {
			i := slices.IndexFunc(sets, func(o Demand) bool { return slices.Equal(o.Homes, d.Homes) })
			if i < 0 {
				sets = append(sets, Demand{Homes: d.Homes, Work: d.Work})
			} else {
				sets[i].Work += d.Work
			}
		}
	}
	s := DemandSum{DataCentre: dataCentre, Entries: len(lists), AgeMS: ageMS}
	if len(sets) > 0 {
		s.Sets = FitDemand(sets)
	}
	return s
}

// FitSums returns as many of the sums as one load report carries, beginning with the first.
func FitSums(sums []DemandSum) []DemandSum {
	size := 0
	for i, s := range sums {
		if size += encodedSize(s); size > maxSumBytes+maxDemandBytes/2 || i > 0 && size > maxSumBytes {
			return sums[:i]
		}
	}
	return sums
}

// encodedSize returns the length of a value in a datagram.
func encodedSize(v any) int {
	raw, _ := json.Marshal(v) // Numbers that can't be encoded are refused on receipt and never computed.
	return len(raw)
}

// ValidDemand reports whether a list of a received message can be used. known reports whether a region exists.
func ValidDemand(list []Demand, known func(region string) bool) bool {
	if len(list) > maxDemandSets+1 {
		return false
	}
	return !slices.ContainsFunc(list, func(d Demand) bool { return !d.valid(known) })
}

func (d Demand) valid(known func(region string) bool) bool {
	if !(d.Work >= 0 && d.Work <= maxDemandWork) || d.Waiting < 0 || d.Waiting > maxDemandCount || len(d.Homes) > maxDemandHomes || len(d.WaitingByPriority) > schedule.Priorities {
		return false
	}
	if slices.ContainsFunc(d.WaitingByPriority, func(n int) bool { return n < 0 || n > maxDemandCount }) {
		return false
	}
	return !slices.ContainsFunc(d.Homes, func(r string) bool { return len(r) > maxDemandName || !known(r) })
}

// Valid reports whether a received sum can be used.
func (s DemandSum) Valid(known func(region string) bool) bool {
	return len(s.DataCentre) <= maxDemandName && s.Entries >= 0 && s.Entries <= maxDemandCount && s.AgeMS >= 0 && s.AgeMS <= maxDemandAgeMS && ValidDemand(s.Sets, known)
}
