package core

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/member"
)

// Entries returns the addresses of this process and of the listed entries that are neither shutting down nor unreachable.
func (s *State) Entries(now time.Time) []string {
	found := []string{s.Self.Address}
	for _, address := range s.Members.Peers() {
		h := s.Members.Hosts[address]
		if h.Role == member.Entry && h.State != member.Leaving && !now.Before(h.UnreachableUntil) {
			found = append(found, address)
		}
	}
	return found
}
