// Package residency decides in which regions a request may be served, cached and stored. Operators bind routes and client accounts
// to regions; whoever sends a request, or keeps anything of it, asks the request's Bound first. It is pure: see package step.
package residency

import (
	"fmt"
	"slices"
	"strings"
)

// Regions are those to which an operator binds a route or a client account. An empty list binds to none.
type Regions []string

// Bound is where one request may be: where both its route and its client account are bound, in the regions that they have in common. Its zero
// value is that of a request which may be anywhere.
type Bound struct{ route, account Regions }

// Of returns the bound of a request.
func Of(route, account Regions) Bound { return Bound{route: route, account: account} }

// Free tells whether the request may be anywhere.
func (b Bound) Free() bool { return len(b.route) == 0 && len(b.account) == 0 }

// Allows tells whether the request may be in a region.
func (b Bound) Allows(region string) bool { return b.route.allow(region) && b.account.allow(region) }

// Nowhere tells whether the request may be in no region, since its route and its client account have none in common.
func (b Bound) Nowhere() bool {
	if len(b.route) == 0 || len(b.account) == 0 {
		return false
	}
	return !slices.ContainsFunc(b.route, b.account.allow)
}

// String names the regions for logs; it is empty for a request that may be anywhere.
func (b Bound) String() string {
	var parts []string
	if len(b.route) > 0 {
		parts = append(parts, fmt.Sprintf("route: %s", strings.Join(b.route, " ")))
	}
	if len(b.account) > 0 {
		parts = append(parts, fmt.Sprintf("account: %s", strings.Join(b.account, " ")))
	}
	return strings.Join(parts, "; ")
}

func (r Regions) allow(region string) bool { return len(r) == 0 || slices.Contains(r, region) }
