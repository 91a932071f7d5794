// Package loadreport carries small datagrams between entries and the agents beside engines: an entry greets the agents
// whose engines it uses, and each agent tells the entries that greeted it how loaded its engine is. Both tell
// which versions of weights they know to be in force, so that one process that reaches the store is enough for its
// neighbours. A lost datagram costs nothing but time: each is whole and replaces the one before.
package loadreport

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/logevent"
)

// maxDatagram bounds a datagram in bytes; what is sent stays far below.
const maxDatagram = 4096

// Naming is a version of weights in force, as its sender knows it.
type Naming struct {
	Model    string `json:"m"`
	Version  int64  `json:"v"`
	Revision int64  `json:"r"`
	// AgeMS is how long its sender has known of it, in milliseconds, and Assumed is set when the sender only assumes so.
	AgeMS   int64 `json:"a"`
	Assumed bool  `json:"u,omitempty"`
}

// Namings returns what a process tells of the namings that it knows.
func Namings(now time.Time, list []catalog.Naming) []Naming {
	var told []Naming
	for _, n := range list {
		told = append(told, Naming{Model: n.Model, Version: n.Version, Revision: n.Revision, AgeMS: now.Sub(n.Since).Milliseconds(), Assumed: n.Assumed})
	}
	return told
}

// Event returns what the sender's word says.
func (n Naming) Event() catalog.VersionNamed {
	return catalog.VersionNamed{
		Model: n.Model, Version: n.Version, Revision: n.Revision, Age: time.Duration(n.AgeMS) * time.Millisecond, Assumed: n.Assumed,
	}
}

// Load is what an agent says of its engine.
type Load struct {
	// Address is the engine's, where callers' requests go.
	Address string `json:"e"`
	// Born is when the engine started, in milliseconds since 1970; 0 when it does not say.
	Born     int64            `json:"b,omitempty"`
	Occupied int              `json:"o"`
	Closing  bool             `json:"c,omitempty"`
	Versions map[string]int64 `json:"v"`
	// RateLimit is the limit that the engine names, in requests a second from all entries together; nil for none.
	RateLimit *float64 `json:"q,omitempty"`
	// Leaving is set when the engine says that it shuts down.
	Leaving bool `json:"z,omitempty"`
	// ColdMS is how much longer the engine says that it is cold, in milliseconds; 0 when it does not say.
	ColdMS int64 `json:"h,omitempty"`
	// Slowdown is how many times as long as usual the engine says it takes; absent when it takes no longer.
	Slowdown float64 `json:"y,omitempty"`
	// Entries counts the entries that greeted the agent of late, and Near those of them in its data centre.
	Entries int `json:"n"`
	Near    int `json:"i"`
}

// Message is one datagram. Load is set by agents only.
type Message struct {
	// DataCentre is the sender's, in a greeting, and Agent is set when an agent greets.
	DataCentre string `json:"d,omitempty"`
	Agent      bool   `json:"g,omitempty"`
	// Entries are the first entries of the receiver's data centre, and EntryCount is how many it has; see package source.
	Entries    []string `json:"e,omitempty"`
	EntryCount int      `json:"k,omitempty"`
	// RunningMS is how long a seed that answers a greeting has run, in milliseconds.
	RunningMS int64    `json:"r,omitempty"`
	Load      *Load    `json:"l,omitempty"`
	Named     []Naming `json:"w,omitempty"`
	// Crashes are the requests under which upstreams went down of late.
	Crashes []quarantine.Report `json:"x,omitempty"`
}

// Socket sends and receives messages.
type Socket struct{ conn *net.UDPConn }

// Listen opens a socket at an IP address and port.
func Listen(ip string, port int) (*Socket, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, errors.Wrapf(err, "address of the datagrams %q", ip)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(port))))
	return &Socket{conn: conn}, errors.Wrapf(err, "listen for datagrams on %s:%d", ip, port)
}

// Close ends the socket and Run.
func (s *Socket) Close() { _ = s.conn.Close() }

// Send sends a message. It does not wait and does not tell whether the message arrived.
func (s *Socket) Send(to netip.AddrPort, m Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode a datagram")
	}
	_, err = s.conn.WriteToUDPAddrPort(raw, to)
	return errors.Wrapf(err, "send a datagram to %s", to)
}

// Run hands on each message that can be read until the socket is closed. Others are logged.
func (s *Socket) Run(handle func(from netip.AddrPort, m Message), log zerolog.Logger) {
	bad := func(err error) { logevent.Warn(log, logevent.BadEntry).Err(err).Msg("bad datagram") }
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			bad(err)
			time.Sleep(10 * time.Millisecond) // A socket that keeps failing must not take the processor.
			continue
		}
		var m Message
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			bad(errors.Wrapf(err, "datagram from %s", from))
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}
