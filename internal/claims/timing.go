package claims

import (
	"time"

	"samphireweir.example/samphireweir/internal/control"
)

// Timing sets the timeouts of the steps of a claim. Zero fields take the defaults.
type Timing struct {
	// ClaimTimeout limits a claim with all its calls. After it the caller's request is refused as not run.
	ClaimTimeout time.Duration
	// OwnerTimeout limits how long an owner waits for the platform when it handles a claim of another process.
	OwnerTimeout time.Duration
	// ForwardTimeout limits the call to another owner. After it the next owner is called. It is longer than
	// OwnerTimeout, so that a live owner answers in time even if the platform is slow.
	ForwardTimeout time.Duration
	// SettleTimeout limits the time in which recording the outcome of a call is retried.
	SettleTimeout time.Duration
	// SettleAttemptTimeout limits one attempt of an owner to record an outcome, and SettleRetryInterval is the time
	// between two attempts.
	SettleAttemptTimeout time.Duration
	SettleRetryInterval  time.Duration
	// PlatformTimeout limits one call to the platform.
	PlatformTimeout time.Duration
}

// The defaults of Timing.
const (
	DefaultClaimTimeout         = 2 * time.Second
	DefaultOwnerTimeout         = time.Second
	DefaultForwardTimeout       = DefaultOwnerTimeout + 200*time.Millisecond
	DefaultSettleTimeout        = time.Minute
	DefaultSettleAttemptTimeout = control.CallTimeout
	DefaultSettleRetryInterval  = 500 * time.Millisecond
	DefaultPlatformTimeout      = 2 * time.Second
)

func (t Timing) withDefaults() Timing {
	setDefault(&t.ClaimTimeout, DefaultClaimTimeout)
	setDefault(&t.OwnerTimeout, DefaultOwnerTimeout)
	setDefault(&t.ForwardTimeout, DefaultForwardTimeout)
	setDefault(&t.SettleTimeout, DefaultSettleTimeout)
	setDefault(&t.SettleAttemptTimeout, DefaultSettleAttemptTimeout)
	setDefault(&t.SettleRetryInterval, DefaultSettleRetryInterval)
	setDefault(&t.PlatformTimeout, DefaultPlatformTimeout)
	return t
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
