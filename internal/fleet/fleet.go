// Package fleet defines the messages in which a process reports its view of the complete fleet to operators.
package fleet

// HTTP paths of a process's operator interface.
const (
	StatusPath  = "/status"
	InForcePath = "/inforce"
	PreviewPath = "/preview"
)

// MaxNames is the maximum number of names in each list of an InForce. The counts include processes that are not named.
const MaxNames = 20

// InForce counts the processes that have a revision of a setting in force.
type InForce struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Processes is the number of processes in the host list, and Current the number of those that have the revision in
	// force.
	Processes int `json:"processes"`
	Current   int `json:"current"`
	// Lagging holds the addresses of processes that responded and do not have the revision in force, and Unresponsive those of
	// processes that did not respond. Each holds at most MaxNames addresses.
	Lagging      []string `json:"lagging,omitempty"`
	Unresponsive []string `json:"silent,omitempty"`
	// LaggingCount and UnresponsiveCount are the numbers of all such processes, named or not.
	LaggingCount      int `json:"lagging_count"`
	UnresponsiveCount int `json:"silent_count"`
}

// Everywhere reports whether every listed process has the revision in force. It is false if there are no processes.
func (f InForce) Everywhere() bool { return f.Processes > 0 && f.Current == f.Processes }

// Add adds the counts of another part of the fleet.
func (f *InForce) Add(part InForce) {
	f.Processes += part.Processes
	f.Current += part.Current
	f.LaggingCount += part.LaggingCount
	f.UnresponsiveCount += part.UnresponsiveCount
	f.Lagging = truncated(append(f.Lagging, part.Lagging...))
	f.Unresponsive = truncated(append(f.Unresponsive, part.Unresponsive...))
}

// truncated returns the first MaxNames names.
func truncated(names []string) []string { return names[:min(len(names), MaxNames)] }

// Preview describes what would change if a setting were in force.
type Preview struct {
	// Load holds the upstreams that would load weights, and Drop those that would no longer serve. Both name them as
	// HOST/UPSTREAM.
	Load []string `json:"load,omitempty"`
	Drop []string `json:"drop,omitempty"`
	// Keep is the number of upstreams that would not change.
	Keep int `json:"keep"`
	// Hosts is the number of hosts that would need a new copy of the weights.
	Hosts int `json:"hosts"`
	// Shortages holds the data centres with fewer upstreams of the service than the setting requests.
	Shortages []Shortage `json:"short,omitempty"`
	// Services holds the other services with an upstream on the hosts that would change. They share the links of those
	// hosts.
	Services []string `json:"services,omitempty"`
}

// Shortage is a data centre with fewer upstreams than requested.
type Shortage struct {
	// Place is the data centre.
	Place string `json:"place"`
	// Requested is the requested number of upstreams, and Have the actual one.
	Requested int `json:"want"`
	Have      int `json:"have"`
}

// Status is one process's view of the fleet.
type Status struct {
	Process  Process   `json:"process"`
	Hosts    Hosts     `json:"hosts"`
	Services []Service `json:"services"`
	// Problems holds the problems that the process sees, the most severe first.
	Problems []Problem `json:"problems,omitempty"`
}

// Process describes the process that sent the status.
type Process struct {
	Name   string `json:"name"`
	Role   string `json:"role"`
	Place  string `json:"place"`
	Region string `json:"region"`
	Ready  bool   `json:"ready"`
	// CompleteTo is the revision of the object API up to which the process knows all settings.
	CompleteTo uint64 `json:"complete_to"`
	// PlatformDataAgeMS is the time since the process last received data of the platform, directly or through other
	// processes, in milliseconds.
	PlatformDataAgeMS int64 `json:"platform_silent_ms"`
	// ControlIn and ControlOut are the numbers of bytes that the process received and sent over control connections since it
	// started.
	ControlIn  int64 `json:"control_in"`
	ControlOut int64 `json:"control_out"`
	// Unreachable holds the processes that did not respond to it.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Hosts holds the numbers of the processes in the host list by state.
type Hosts struct {
	Live    int `json:"live"`
	Leaving int `json:"leaving"`
	// NotAdvertised is the number of live processes that have not advertised what they offer. Live includes them.
	NotAdvertised int `json:"unheard"`
	// Places is the number of live processes by data centre.
	Places map[string]int `json:"places,omitempty"`
}

// Service is the requested and the actual state of a service.
type Service struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Kind     string `json:"kind"`
	// Weights names the model, adapter and version that the setting requests.
	Weights string `json:"weights,omitempty"`
	// Places holds the requested and the serving upstreams by data centre.
	Places []PlaceCount `json:"places,omitempty"`
}

// PlaceCount holds the numbers of a service's upstreams in one data centre.
type PlaceCount struct {
	// Place is the data centre.
	Place string `json:"place"`
	// Requested is the requested number of upstreams, and Serving the number of those that serve the requested version.
	Requested int `json:"want"`
	Serving   int `json:"serving"`
	// Loading is the number of upstreams that are loading the requested version, and Other of those that serve another one.
	Loading int `json:"loading,omitempty"`
	Other   int `json:"other,omitempty"`
}

// Problem describes a problem and how to resolve it.
type Problem struct {
	// What says what is wrong, and Next what to do next.
	What string `json:"what"`
	Next string `json:"next"`
}
