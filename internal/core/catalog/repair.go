package catalog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
)

// MaxPriority is the number of the least urgent priority; the most urgent is 0.
const MaxPriority = 9

// validPriority reports whether a priority exists.
func validPriority(p int) bool { return p >= 0 && p <= MaxPriority }

// Field is a field of a route or a client account that is checked.
type Field int

// The fields that are checked.
const (
	PriorityField Field = iota
	HomesField
	WeightField
)

// FieldKept has the shell log that an invalid value in the manifest was not put in force: another value of the field was.
type FieldKept struct {
	// Account is set for a field of a client account, and not for one of a route. Name is the name of either.
	Account bool
	Name    string
	Field   Field
	// Invalid describes the value in the manifest, Value the one in force.
	Invalid, Value string
	// Version is the manifest's version.
	Version int64
}

// Effect marks the type as an effect.
func (FieldKept) Effect() {}

// repairManifest replaces the invalid values of a manifest that was read: by the last good value of the same route or account, or else by
// the nearest valid one. Of home regions only those that don't exist are left out, since earlier homes could allow a region that the
// operator no longer does. The rest of the manifest stays as it is, so that a mistake in one field doesn't hold up the others. The previous
// manifest was repaired itself, and so has good values only.
func (s *State) repairManifest(m *Manifest) []step.Effect {
	r := repair{version: m.Version, known: s.Regions}
	routes, accounts := map[string]*Route{}, map[string]*ClientAccount{}
	if s.Manifest != nil {
		for _, route := range s.Manifest.allRoutes() {
			routes[route.Name] = route
		}
		for _, account := range s.Manifest.accounts {
			accounts[account.Name] = account
		}
	}
	for _, route := range m.allRoutes() {
		r.repairRoute(route, routes[route.Name])
	}
	for _, account := range m.allAccounts() {
		r.repairAccount(account, accounts[account.Name])
	}
	m.noteHomes()
	m.prioritized = prioritizedServices(m.allRoutes(), m.accounts)
	effects := make([]step.Effect, 0, len(r.fields))
	for _, field := range r.fields {
		effects = append(effects, field)
	}
	return effects
}

// InvalidFields returns the fields of a new manifest's routes and client accounts that a process would repair, and puts the values that
// it would put in force into them. regions are the regions that exist; home regions are not checked if there are none.
func InvalidFields(routes []*Route, accounts []*ClientAccount, regions []string) []FieldKept {
	r := repair{known: map[string]bool{}}
	for _, region := range regions {
		r.known[region] = true
	}
	for _, route := range routes {
		r.repairRoute(route, nil)
	}
	for _, account := range accounts {
		r.repairAccount(account, nil)
	}
	return r.fields
}

// repair repairs the fields of one manifest.
type repair struct {
	version int64
	// known are the regions that exist; empty if that is unknown.
	known map[string]bool
	// fields are the fields that were repaired.
	fields []FieldKept
}

func (r *repair) kept(account bool, name string, f Field, invalid, value any) {
	r.fields = append(r.fields, FieldKept{Account: account, Name: name, Field: f, Invalid: fmt.Sprint(invalid), Value: fmt.Sprint(value), Version: r.version})
}

func (r *repair) repairRoute(route, last *Route) {
	if !validPriority(route.Priority) {
		value := ClampPriority(route.Priority)
		if last != nil {
			value = last.Priority
		}
		r.kept(false, route.Name, PriorityField, route.Priority, value)
		route.Priority = value
	}
	if slices.ContainsFunc(route.Shares, func(s Share) bool { return s.Weight < 0 }) {
		value := make([]Share, 0, len(route.Shares))
		for _, s := range route.Shares {
			value = append(value, Share{Service: s.Service, Weight: max(0, s.Weight)})
		}
		if last != nil {
			value = last.Shares
		}
		r.kept(false, route.Name, WeightField, route.Shares, value)
		route.Shares = value
	}
	if !r.exist(route.HomeRegions) {
		value := r.nearestHomes(route.HomeRegions)
		r.kept(false, route.Name, HomesField, route.HomeRegions, value)
		route.HomeRegions = value
	}
}

func (r *repair) repairAccount(account, last *ClientAccount) {
	if account.Priority != nil && !validPriority(*account.Priority) {
		value := ClampPriority(*account.Priority)
		kept := &value
		if last != nil {
			kept = last.Priority
		}
		r.kept(true, account.Name, PriorityField, *account.Priority, describePriority(kept))
		account.Priority = kept
	}
	if !r.exist(account.HomeRegions) {
		value := r.nearestHomes(account.HomeRegions)
		r.kept(true, account.Name, HomesField, account.HomeRegions, value)
		account.HomeRegions = value
	}
}

func describePriority(p *int) string {
	if p == nil {
		return "that of the route"
	}
	return fmt.Sprint(*p)
}

// ClampPriority returns the priority nearest to the given number.
func ClampPriority(p int) int { return min(max(p, 0), MaxPriority) }

func (r *repair) exist(homes residency.Regions) bool {
	return len(r.known) == 0 || !slices.ContainsFunc(homes, func(region string) bool { return !r.known[region] })
}

// nearestHomes returns the homes that exist. If none does, the list stays as it is and allows no region: an empty one would allow all.
func (r *repair) nearestHomes(homes residency.Regions) residency.Regions {
	var existing residency.Regions
	for _, region := range homes {
		if r.known[region] {
			existing = append(existing, region)
		}
	}
	if len(existing) == 0 {
		return homes
	}
	return existing
}

// allRoutes returns the routes in a fixed order.
func (m *Manifest) allRoutes() []*Route {
	var list []*Route
	for _, host := range slices.Sorted(maps.Keys(m.routes)) {
		list = append(list, m.routes[host]...)
	}
	return list
}

// allAccounts returns the client accounts by name, each once.
func (m *Manifest) allAccounts() []*ClientAccount {
	list := slices.SortedFunc(maps.Values(m.accounts), func(a, b *ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	return slices.Compact(list)
}

// noteHomes notes whether a route or a client account has home regions.
func (m *Manifest) noteHomes() {
	m.hasHomes = slices.ContainsFunc(m.allRoutes(), func(r *Route) bool { return len(r.HomeRegions) > 0 }) ||
		slices.ContainsFunc(m.allAccounts(), func(a *ClientAccount) bool { return len(a.HomeRegions) > 0 })
}
