package admission

import (
	"math"
	"sort"
)

// DemandPrefix is the key prefix of the records in which entries publish the demand of their client accounts.
const DemandPrefix = "demand/"

// Demand is the record that one entry publishes. It holds the number of requests in flight, waiting or recently refused
// at this entry, by service and client account. Only client accounts with a fleet-wide limit are included.
type Demand struct {
	Entry    string                    `json:"entry"`
	Accounts map[string]map[string]int `json:"clients,omitempty"`
}

// Fleet holds the demand records of all entries of the fleet.
type Fleet struct {
	self    string
	entries []string
	demands map[string]Demand
}

// NewFleet returns a fleet whose only entry is self.
func NewFleet(self string) *Fleet {
	return &Fleet{self: self, entries: []string{self}, demands: map[string]Demand{}}
}

// SetEntries sets the names of the entries in the fleet and drops the demand records of all others.
func (f *Fleet) SetEntries(names []string) {
	f.entries = append([]string(nil), names...)
	sort.Strings(f.entries)
	for name := range f.demands {
		at := sort.SearchStrings(f.entries, name)
		if at == len(f.entries) || f.entries[at] != name {
			delete(f.demands, name)
		}
	}
}

// SetDemand stores the demand record that an entry published. Records of this entry are stored too.
func (f *Fleet) SetDemand(d Demand) { f.demands[d.Entry] = d }

// Cap returns how many requests of a client account this entry may have in flight, given the account's fleet-wide
// limit.
func (f *Fleet) Cap(service, accountName string, limit int) int {
	if len(f.entries) <= 1 {
		return limit
	}
	demand := make(map[string]int, len(f.demands))
	for entry, d := range f.demands {
		demand[entry] = d.Accounts[service][accountName]
	}
	return Share(limit, f.self, f.entries, demand)
}

// Share returns how many requests of a client account the entry self may have in flight. Half of the account's limit is
// split evenly and half by demand. The even half lets an entry without demand start requests at any time. The list of
// entries holds all entries of the fleet, including self. An entry whose demand is unknown is assumed to have the demand
// of self. If all entries compute with the same demands, the shares add up to exactly the limit.
func Share(limit int, self string, entries []string, demand map[string]int) int {
	if limit <= 0 || len(entries) == 0 {
		return 0
	}
	total := 0
	for _, e := range entries {
		total += demandOf(e, self, demand)
	}
	allocations := make([]allocation, 0, len(entries))
	allocated := 0
	for _, e := range entries {
		exact := float64(limit) / 2 / float64(len(entries))
		if total > 0 {
			exact += float64(limit) / 2 * float64(demandOf(e, self, demand)) / float64(total)
		} else {
			exact *= 2
		}
		floor := math.Floor(exact)
		allocated += int(floor)
		allocations = append(allocations, allocation{entry: e, floor: int(floor), fraction: exact - floor})
	}
	return roundedShare(allocations, limit-allocated, self)
}

func demandOf(entry, self string, demand map[string]int) int {
	if n, known := demand[entry]; known {
		return n
	}
	return demand[self]
}

// allocation is the exact share of one entry, split into its integer and its fractional part.
type allocation struct {
	entry    string
	floor    int
	fraction float64
}

// roundedShare returns the rounded share of self. The remainder goes to the entries with the largest fractions, one
// request each.
func roundedShare(allocations []allocation, remainder int, self string) int {
	sort.Slice(allocations, func(i, j int) bool {
		if allocations[i].fraction != allocations[j].fraction {
			return allocations[i].fraction > allocations[j].fraction
		}
		return allocations[i].entry < allocations[j].entry
	})
	for i, a := range allocations {
		if a.entry != self {
			continue
		}
		if i < remainder {
			return a.floor + 1
		}
		return a.floor
	}
	return 0
}

func sortedNames(accounts map[string]*account) []string {
	names := make([]string, 0, len(accounts))
	for name := range accounts {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
