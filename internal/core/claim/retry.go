package claim

import "time"

// MaxTries is the max number of tries to record one claim. A second try finds a platform that answers again; if that fails as well, the
// caller is told when to come back.
const MaxTries = 2

// Failure is what is known of a try that did not record its claim.
type Failure struct {
	Verdict Verdict
	// TimedOut is as in Reply.
	TimedOut bool
	// Try is the number of the try, from 0.
	Try int
}

// TryAgain reports whether another try is made to record a claim. left is how long the caller waits at most after the pause before that
// try, and tryTimeout how long the try may take. A claim that was refused is not tried again: while the platform is unavailable, its
// caller must not wait.
func TryAgain(f Failure, left, tryTimeout time.Duration) bool {
	notRecorded := f.Verdict == NotRecorded || f.Verdict == MaybeRecorded
	return notRecorded && f.TimedOut && f.Try+1 < MaxTries && left > tryTimeout
}
