// Package residency decides in which regions a request may be served, cached and stored. Operators restrict routes and client
// accounts to regions. Code that sends a request or stores any part of it checks the request's Bound first. The package is pure: see
// package step.
package residency

import (
	"fmt"
	"slices"
	"strings"
)

// Regions are the regions that an operator restricts a route or a client account to. An empty list means no restriction.
type Regions []string

// Bound is the set of regions in which one request may be served, cached and stored: the regions that both its route and its client
// account allow. The zero value allows every region.
type Bound struct{ route, account Regions }

// NewBound returns the bound of a request with the given restrictions of its route and its client account.
func NewBound(route, account Regions) Bound { return Bound{route: route, account: account} }

// Unrestricted reports whether the request may be in any region.
func (b Bound) Unrestricted() bool { return len(b.route) == 0 && len(b.account) == 0 }

// Allows reports whether the request may be in a region.
func (b Bound) Allows(region string) bool { return b.route.allow(region) && b.account.allow(region) }

// Empty reports whether no region is allowed because the route and the client account have no region in common.
func (b Bound) Empty() bool {
	if len(b.route) == 0 || len(b.account) == 0 {
		return false
	}
	return !slices.ContainsFunc(b.route, b.account.allow)
}

// String lists the regions of the route and those of the client account, for logs. It is empty for a request that may be in any region.
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

// allow reports whether the list permits a region.
func (r Regions) allow(region string) bool { return len(r) == 0 || slices.Contains(r, region) }
