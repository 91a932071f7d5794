package run

import "samphireweir.example/samphireweir/internal/setting"

// Health is the diagnosis of an upstream after a connection to it failed or timed out.
type Health int

// Values of Health.
const (
	// Alive means that the upstream is still the same process. Only the connection failed, or the answer is slow.
	Alive Health = iota
	// Crashing means that the process that had the request no longer exists.
	Crashing
	// Unanswered means that the probe timed out. The upstream hangs or is unreachable.
	Unanswered
)

// Probe is the result of a health probe of an upstream over a new connection.
type Probe struct {
	// Refused is set when the connection was refused.
	Refused bool
	// TimedOut is set when the probe timed out.
	TimedOut bool
	// BootID identifies the engine's current instance; empty when the engine reported none.
	BootID string
}

// Diagnose distinguishes a crash of the upstream from a connection failure alone. previousBootID is the boot ID of
// the engine when the run started, or empty when it is unknown. A plain service has no boot ID, so only a refused
// connection proves that it is gone.
func Diagnose(kind setting.Kind, previousBootID string, p Probe) Health {
	switch {
	case p.Refused:
		return Crashing
	case p.TimedOut:
		return Unanswered
	case kind != setting.Engine:
		return Alive
	case p.BootID == "" || (previousBootID != "" && p.BootID != previousBootID):
		// An engine that answers without a boot ID is restarting.
		return Crashing
	}
	return Alive
}
