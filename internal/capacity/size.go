// Package capacity generates docs/CAPACITY.md and docs/CAPACITY-FIRST.md, which estimate what each role stores, sends and uses at the size that the
// users expect. The first page is computed from days of deployments that were run at several sizes (docs/data/sweep). The second, on the product's own
// path, is computed from the other measurements in docs/data and from the encoded size of the messages.
package capacity

// Size is the size and load of a fleet.
type Size struct {
	// Nodes is the number of processes of the system: entries and agents.
	Nodes        int
	Engines      int
	Accelerators int
	// RequestsPerSecond and TokensPerSecond are the peak rates.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// FirstTokenSeconds and BetweenTokensSeconds are limits for the 95th percentile.
	FirstTokenSeconds    float64
	BetweenTokensSeconds float64
	// BurstHosts is the number of hosts that get new weights within minutes.
	BurstHosts     int
	Regions        int
	Places         int
	ChangesPerDay  float64
	InForceSeconds float64
	FailuresPerDay float64
	RestartsPerDay float64
}

// TargetSize is the size that the users expect within two years.
var TargetSize = Size{
	Nodes: 1500, Engines: 5800, Accelerators: 46_000, RequestsPerSecond: 92_000, TokensPerSecond: 26e6,
	FirstTokenSeconds: 0.82, BetweenTokensSeconds: 0.060, BurstHosts: 920, Regions: 4, Places: 12,
	ChangesPerDay: 7200, InForceSeconds: 18, FailuresPerDay: 36, RestartsPerDay: 2000,
}

// Budget is what a node may use for control.
type Budget struct {
	CPUPercent     float64
	MiB            float64
	BytesPerSecond float64
}

// TargetBudget is the budget that the users set for a node.
var TargetBudget = Budget{CPUPercent: 2.9, MiB: 64, BytesPerSecond: 7000}

// Rate limits of the platform in calls a second. The users state them as several hundred writes and about two thousand reads a second.
const (
	PlatformReads  = 2000
	PlatformWrites = 400
)

const secondsPerDay = 86400

// Assumptions where the users give no number.
const (
	// AssumedServices is the number of services with a setting.
	AssumedServices = 600
	// AssumedEntries is the number of entries among the nodes.
	AssumedEntries = 100
	// BurstSeconds is the assumed meaning of "within minutes".
	BurstSeconds = 300
)
