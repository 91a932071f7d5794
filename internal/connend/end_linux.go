package connend

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// States of a TCP connection, as the kernel numbers them.
const (
	stateTimeWait  = 6
	stateClosed    = 7
	stateCloseWait = 8
	stateLastAck   = 9
	stateClosing   = 11
)

// endOf returns how a TCP connection ended of which read bytes were read up to its end. It reports false if the kernel doesn't tell.
//
// In the states after a FIN the end is orderly. A closed connection was reset or given up, before its FIN or after it: the kernel counts a FIN
// as one more byte received.
func endOf(socket syscall.RawConn, read uint64) (end End, told bool) {
	var info *unix.TCPInfo
	var infoErr error
	err := socket.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return End{}, false
	}
	switch info.State {
	case stateCloseWait, stateLastAck, stateClosing, stateTimeWait:
		return End{How: Orderly, Evidence: State}, true
	case stateClosed:
		if info.Bytes_received == read+1 {
			return End{How: Orderly, Evidence: ByteCount}, true
		}
	}
	return End{How: Aborted, Evidence: State}, true
}
