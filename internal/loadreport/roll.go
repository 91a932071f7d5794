package loadreport

import (
	"net/netip"
	"time"
)

// Roll is who greeted of late, by data centre. Its zero value is empty; it is not safe for concurrent use.
type Roll struct {
	greeted map[netip.AddrPort]greeting
}

type greeting struct {
	dataCentre string
	at         time.Time
}

// rollKeep is how long an entry stays on the roll without another greeting. Entries greet seeds each three seconds.
const rollKeep = 7 * time.Second

// Note notes a greeting of an entry.
func (r *Roll) Note(now time.Time, from netip.AddrPort, dataCentre string) {
	if r.greeted == nil {
		r.greeted = map[netip.AddrPort]greeting{}
	}
	r.greeted[from] = greeting{dataCentre: dataCentre, at: now}
}

// Entries returns the addresses of a data centre's entries.
func (r *Roll) Entries(now time.Time, dataCentre string) []string {
	var list []string
	for address, g := range r.greeted {
		if now.Sub(g.at) > rollKeep {
			delete(r.greeted, address)
		} else if g.dataCentre == dataCentre {
			list = append(list, address.String())
		}
	}
	return list
}
