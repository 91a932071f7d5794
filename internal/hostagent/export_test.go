package hostagent

import (
	"net/netip"
	"time"

	"samphireweir.example/samphireweir/internal/loadreport"
)

// Hear takes a message.
func (a *Agent) Hear(from netip.AddrPort, m loadreport.Message) { a.heard(from, m) }

// Named are the versions that a report tells now.
func (a *Agent) Named() []loadreport.Naming {
	_, named := a.loadNow(time.Now())
	return named
}
