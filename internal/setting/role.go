package setting

// Role is the phase of a request that an engine runs: prefill, decode or both.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleBoth    Role = "both"
)

func (r Role) valid() bool { return r == RolePrefill || r == RoleDecode || r == RoleBoth }
