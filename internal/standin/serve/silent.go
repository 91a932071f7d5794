package serve

import "time"

// FreezeFor applies the fault of a stand-in that falls silent for a time and goes on. fields returns two fields of the faults: the flag that
// freezes the stand-in, and the time in milliseconds. If the time is above 0, FreezeFor resets it, sets the flag, and clears the flag once the
// time has passed.
func FreezeFor[T any](f *Faults[T], fields func(*T) (freeze *bool, silentMS *int64)) {
	var silent time.Duration
	f.Set(func(value *T) {
		freeze, silentMS := fields(value)
		if *silentMS <= 0 {
			return
		}
		silent = Milliseconds(*silentMS)
		*silentMS = 0
		*freeze = true
	})
	if silent == 0 {
		return
	}
	time.AfterFunc(silent, func() {
		f.change(func(value *T) {
			freeze, _ := fields(value)
			*freeze = false
		})
	})
}
