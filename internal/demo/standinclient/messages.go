// Package standinclient is a client of the stand-ins: it registers hosts, injects faults, and reads states, manifests, counters
// and logs.
package standinclient

// Outcomes in the stand-ins' logs.
const (
	OutcomeDone    = "done"
	OutcomeCrashed = "crashed"
)

// Kinds of lines in the stand-ins' logs.
const (
	kindRun  = "run"
	kindLoad = "load"
)

// Roles and states of the host list.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
	stateLive = "live"
)

// ListedHost is one entry of the host list; the address is IP:PORT.
type ListedHost struct {
	Address string `json:"address"`
	Role    string `json:"role"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	State   string `json:"state"`
}

// EngineState is the part of an engine's state that the demo uses.
type EngineState struct {
	Digest  string `json:"digest"`
	Loading bool   `json:"loading"`
}

// Manifest is the part of a version's manifest that the demo uses; Size is in bytes.
type Manifest struct {
	Size   int64  `json:"size"`
	SHA256 string `json:"sha256"` // of the complete content
	Digest string `json:"-"`      // SHA-256 of the encoded manifest
}

// objectList is the part of a list of objects that the demo uses.
type objectList struct {
	Items []struct {
		Key     string `json:"key"`
		Version int64  `json:"version"`
	} `json:"items"`
}

// WeightStats are the counters of the store and of the origin.
type WeightStats struct {
	Requests int64 `json:"requests"`
	Bytes    int64 `json:"bytes"` // data bytes sent
	Refused  int64 `json:"refused"`
}

// EngineLine is one line of the engines' log, for a run or a load; times are Unix times in milliseconds.
type EngineLine struct {
	Engine        string `json:"engine"`
	Kind          string `json:"kind"`
	RequestID     string `json:"request_id"`
	Attempt       any    `json:"attempt"`
	Outcome       string `json:"outcome"`
	Tokens        int    `json:"tokens"`
	DigestStart   string `json:"digest_start"`
	DigestEnd     string `json:"digest_end"`
	Digest        string `json:"digest"`
	ContentSHA256 string `json:"content_sha256"`
	StartMS       int64  `json:"start_ms"`
	EndMS         int64  `json:"end_ms"`
}

// IsRun reports whether the line describes the run of a request.
func (l EngineLine) IsRun() bool { return l.Kind == kindRun }

// IsLoad reports whether the line describes a load of weights.
func (l EngineLine) IsLoad() bool { return l.Kind == kindLoad }

// PlainLine is one line of the plain services' log; times are Unix times in milliseconds.
type PlainLine struct {
	Service        string `json:"service"`
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	StartMS        int64  `json:"start_ms"`
	EndMS          int64  `json:"end_ms"`
	Outcome        string `json:"outcome"`
}
