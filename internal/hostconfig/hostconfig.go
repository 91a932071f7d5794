// Package hostconfig holds what a process on the platform knows of its host from its settings file.
package hostconfig

import "time"

// Host is one host, as its settings say.
type Host struct {
	Name       string
	IP         string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// PeerPort is where the system's processes reach one another.
	PeerPort int
	// Seeds are addresses, with that port, of a few hosts that an entry may run on; they may be stale.
	Seeds []string
	// Callers is where callers connect and Readiness where the balancer asks; empty on hosts that take no callers.
	Callers   string
	Readiness string
	// Engine is the address of the engine on this host, with its service; empty on hosts without one.
	Engine        string
	EngineService string
	// Store is the address of the platform's object store.
	Store string
	// StoreReads is how many reads a second the store allows all processes together; 0 when the platform does not say.
	StoreReads float64
	// Memory is the limit of a process in bytes.
	Memory int64
	// Link is the rate of the host's link in bytes a second.
	Link int64
	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// VersionTime is how long after the naming of a version requests may still begin on an older one.
	VersionTime time.Duration
	// ManifestTime and DrainTime are how long after the store took it a change of the manifest is in force on every host, and a leaving
	// upstream gets no more work; 0 when the platform does not say.
	ManifestTime, DrainTime time.Duration
	// EvacuationTime is how long after the store took it an evacuation of a data centre is in force on every host; 0 where the platform has
	// none.
	EvacuationTime time.Duration
	// Settle is how long after its start or a disturbance a host may be without knowledge of what is in force; 0 when the platform does not
	// say.
	Settle  time.Duration
	Retries Retries
}

// ListedAge is how old, at its start, a version of weights counts as that a process finds in the store: so old that it is due when the host
// must know what is in force. A version that was named long ago is thus required in time whoever is left to tell its age; one that
// was named a moment before is required up to VersionTime - Settle too early, until somebody tells.
func (h Host) ListedAge() time.Duration {
	if h.Settle <= 0 {
		return 0
	}
	return max(0, h.VersionTime-h.Settle)
}

// ChangeTime is how long a process may take to hear of any change in the store: the shorter of ManifestTime and DrainTime, of those that the
// platform says.
func (h Host) ChangeTime() time.Duration {
	if h.ManifestTime <= 0 || h.DrainTime <= 0 {
		return max(h.ManifestTime, h.DrainTime)
	}
	return min(h.ManifestTime, h.DrainTime)
}

// Retries bounds the repeats that all entries together may send to a service: Ratio of the requests in a Window, and
// Extra more.
type Retries struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}
