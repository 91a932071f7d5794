package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/review/rig2"
)

const (
	// answerBytes is the length of a whole answer, and partBytes what the server writes of it at first.
	answerBytes, partBytes = 6000, 2500
	// pause is the time between the two writes.
	pause = 60 * time.Millisecond
	// segment and window are the usual ones of an Ethernet network and of a small host.
	segment, window = 1460, 64 << 10
)

// brokenOff counts the answers that servers have broken off.
var brokenOff atomic.Int64

// server answers before it has read a request's body.
type server struct {
	c           *rig2.Case
	id, address string
	breaks      bool
	answers     atomic.Int64
}

func newServer(c *rig2.Case, id string, breaks bool) *server {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", c.IP()+":0")
	if err != nil {
		c.Fail("listening", err)
	}
	s := &server{c: c, id: id, address: l.Addr().String(), breaks: breaks}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.handle(conn.(*net.TCPConn))
		}
	}()
	return s
}

// handle answers a request without a length. It reads the body afterwards, and the channel ends. An answer that is broken off is reset.
func (s *server) handle(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	id := req.Header.Get(rig2.Wire.RequestID)
	whole := wholeAnswer(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		rig2.Wire.RequestID, id, rig2.Wire.Seal, s.id)
	_, _ = conn.Write(whole[:partBytes])
	time.Sleep(pause)
	if s.answers.Add(1)%breakEvery == 0 && s.breaks {
		brokenOff.Add(1)
		s.c.Log("%s breaks off its answer to %s after %d of %d bytes: its channel is reset", s.id, id, partBytes, answerBytes)
		_ = conn.SetLinger(0)
		return
	}
	_, _ = conn.Write(whole[partBytes:])
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, r)
}
