package gateway

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// kernelTick is the longest tick of the clock by which the kernel counts times of connections. A count may be greater than the time by as much.
const kernelTick = 10 * time.Millisecond

// queuedSince returns when a connection on which nothing was sent yet was established, if data waits to be read from it; else zero.
func queuedSince(socket syscall.RawConn, now time.Time) (since time.Time) {
	_ = socket.Control(func(fd uintptr) {
		waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil || waiting <= 0 {
			return
		}
		// The kernel counts the time since the last sending from the establishment while nothing was sent.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = now.Add(-max(0, time.Duration(info.Last_data_sent)*time.Millisecond-kernelTick))
		}
	})
	return since
}
