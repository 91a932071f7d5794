//go:build !linux

package gateway

import (
	"syscall"
	"time"
)

// queuedSince returns zero: only Linux is known to tell when a connection was established.
func queuedSince(syscall.RawConn, time.Time) time.Time { return time.Time{} }
