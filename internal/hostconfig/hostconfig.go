// Package hostconfig defines what a process on the platform reads about its host from its settings file.
package hostconfig

import "time"

// Host describes one host.
type Host struct {
	// Name is the unique name of the host.
	Name string
	// IP is the address of the host, without a port.
	IP string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Region is the region of that data centre.
	Region string
	// Regions maps each data centre to its region.
	Regions map[string]string
	// PeerPort is the port on which the system's processes reach one another on every host.
	PeerPort int
	// Seeds are the addresses, IP:PeerPort, of a few hosts on which an entry may run. They may be outdated.
	Seeds []string
	// CallersListen is the address at which callers connect; empty on hosts that don't serve callers.
	CallersListen string
	// ReadinessListen is the address at which the load balancer checks readiness; empty like CallersListen.
	ReadinessListen string
	// Engine is the address of the engine on this host; empty on hosts without one.
	Engine string
	// EngineService is the service of that engine; empty like Engine.
	EngineService string
	// Store is the address of the platform's object store.
	Store string
	// StoreReadsPerSecond is the number of reads per second that the store allows all processes together; 0 when the platform does
	// not specify it.
	StoreReadsPerSecond float64
	// MemoryBytes is the memory limit of a process, in bytes; 0 when the platform sets none. See MemoryLimit.
	MemoryBytes int64
	// LinkBytesPerSecond is the bandwidth of the host's network link, in bytes per second.
	LinkBytesPerSecond int64
	// ShutdownGrace is the time between the signal to stop and the kill of the process.
	ShutdownGrace time.Duration
	// VersionLifetime is how long requests may still start on a version after a newer one was activated.
	VersionLifetime time.Duration
	// ManifestTime is the maximum time from a write of the configuration manifest to the store until the change is in force on every host.
	// DrainTime is the maximum time from the write of an upstream's drain to the store until the upstream gets no more
	// requests. Each is 0 when the platform does not specify it.
	ManifestTime, DrainTime time.Duration
	// EvacuationTime is the maximum time from a write of the evacuation of a data centre to the store until every host
	// applies it; 0 when the platform has no evacuations.
	EvacuationTime time.Duration
	// SettleTime is the time after its start or after a disturbance within which a host may not know yet what is in force; 0
	// when the platform does not specify it.
	SettleTime time.Duration
	// Retries is the retry budget of a service.
	Retries RetryBudget
	// UnevenEngines has an entry predict the speed of each engine and decide by it; see package speed. The platform's settings file does
	// not have it: it is a flag of the entry.
	UnevenEngines bool
}

// AssumedVersionAge returns the age that a process assumes at its start for a version of weights that it finds in the store. With
// this age, the version becomes required SettleTime after the start, when the host must know the active versions. A version that
// was activated long ago is then required in time, even if no other process can report when it was activated. A version
// that was activated a moment ago is required up to VersionLifetime - SettleTime too early, until a process reports its age.
func (h Host) AssumedVersionAge() time.Duration {
	if h.SettleTime <= 0 {
		return 0
	}
	return max(0, h.VersionLifetime-h.SettleTime)
}

// KnowsDataCentre reports whether the settings name a data centre.
func (h Host) KnowsDataCentre(name string) bool {
	_, known := h.Regions[name]
	return known || name == h.DataCentre
}

// KnownRegions returns the regions that the settings name; none if the settings don't map data centres to regions.
func (h Host) KnownRegions() map[string]bool {
	known := map[string]bool{}
	for _, region := range h.Regions {
		known[region] = true
	}
	if len(known) > 0 && h.Region != "" {
		known[h.Region] = true
	}
	return known
}

// KnowsRegion reports whether the settings name a region.
func (h Host) KnowsRegion(name string) bool {
	if name == h.Region {
		return true
	}
	for _, region := range h.Regions {
		if region == name {
			return true
		}
	}
	return false
}

// ChangeTime returns the maximum time for a process to receive any change in the store: the shorter of ManifestTime and
// DrainTime, or the one that the platform specifies if it specifies only one.
func (h Host) ChangeTime() time.Duration {
	if h.ManifestTime <= 0 || h.DrainTime <= 0 {
		return max(h.ManifestTime, h.DrainTime)
	}
	return min(h.ManifestTime, h.DrainTime)
}

// RetryBudget is a retry budget. It bounds the retries that all entries together may send to a service in a Window: Ratio
// times the number of requests in the Window, plus Base.
type RetryBudget struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Base is the number of retries that are allowed in addition.
	Base float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

// defaultMemoryBytes is the assumed memory of a process when the platform sets no limit.
const defaultMemoryBytes = 256 << 20

// MemoryLimit returns the memory of a process, in bytes, of which its budgets are parts.
func (h Host) MemoryLimit() int64 {
	if h.MemoryBytes <= 0 {
		return defaultMemoryBytes
	}
	return h.MemoryBytes
}
