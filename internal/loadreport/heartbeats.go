package loadreport

import (
	"net/netip"
	"time"
)

// HeartbeatRegistry keeps the entries that recently sent a heartbeat, with their data centres. Its zero value is empty
// and ready to use. It is not safe for concurrent use.
type HeartbeatRegistry struct {
	heartbeats map[netip.AddrPort]heartbeat
}

// heartbeat is the last heartbeat of one entry.
type heartbeat struct {
	dataCentre string
	receivedAt time.Time
}

// heartbeatTTL is how long an entry stays registered after its last heartbeat. Entries send a heartbeat to the seeds
// every 3 seconds, so an entry stays registered when one heartbeat is lost.
const heartbeatTTL = 7 * time.Second

// Record records a heartbeat that arrived at now from the entry at address from.
func (r *HeartbeatRegistry) Record(now time.Time, from netip.AddrPort, dataCentre string) {
	if r.heartbeats == nil {
		r.heartbeats = map[netip.AddrPort]heartbeat{}
	}
	r.heartbeats[from] = heartbeat{dataCentre: dataCentre, receivedAt: now}
}

// Entries returns the addresses of the registered entries of a data centre, in no particular order. It drops all
// entries whose last heartbeat is older than 7 seconds.
func (r *HeartbeatRegistry) Entries(now time.Time, dataCentre string) []string {
	var list []string
	for address, h := range r.heartbeats {
		if now.Sub(h.receivedAt) > heartbeatTTL {
			delete(r.heartbeats, address)
		} else if h.dataCentre == dataCentre {
			list = append(list, address.String())
		}
	}
	return list
}
