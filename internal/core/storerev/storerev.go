// Package storerev orders the states of the platform's store. The store counts its changes with a revision number, which goes back when the
// store is restored from a copy and is then given out again. It counts its restores with an era, so that era and number together never go
// back.
package storerev

import (
	"cmp"
	"strconv"
)

// Revision is a state of the store, or the change that led to it. The zero value is before every state that the store can have.
type Revision struct {
	// Era is the number of the era in which the state was read; 0 when the store doesn't tell it. What was read in an earlier era may
	// have been lost, and what a later era has may be a copy from before.
	Era int64
	// Number is the store's revision number within the era. An object that was copied from the era before keeps its number.
	Number int64
}

// Compare returns -1 if r is earlier than other, 1 if it is later, and 0 if they are the same. Every state of an era is later than all
// states of the eras before. That orders what the store says, not when something was written; see SameEra.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is earlier than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// After reports whether r is later than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// SameEra reports whether r and other were read in one era. Only then does their order tell which was written first.
func (r Revision) SameEra(other Revision) bool { return r.Era == other.Era }

// IsStart reports whether r is before all states of its era, so that everything must be read.
func (r Revision) IsStart() bool { return r.Number == 0 }

// Start returns the revision before all states of r's era.
func (r Revision) Start() Revision { return Revision{Era: r.Era} }

// String returns era and number, as in "2/31".
func (r Revision) String() string {
	return strconv.FormatInt(r.Era, 10) + "/" + strconv.FormatInt(r.Number, 10)
}

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if a.Before(b) {
		return b
	}
	return a
}
