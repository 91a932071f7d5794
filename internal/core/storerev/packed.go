package storerev

// numberBits is the number of bits of a packed revision that hold the number. A store with 1,000 changes a second counts that far in 34 years.
const numberBits = 40

// Packed returns r as one number with the same order, for messages and interfaces that have room for one. In era 0 it is the number itself.
func (r Revision) Packed() uint64 { return uint64(r.Era)<<numberBits | uint64(r.Number) }

// Unpack returns the revision that Packed packed.
func Unpack(packed uint64) Revision {
	return Revision{Era: int64(packed >> numberBits), Number: int64(packed & (1<<numberBits - 1))}
}
