// Package loadreport sends and receives small UDP datagrams between entries and the agents of engines. An entry sends
// heartbeats to the agents whose engines it uses, and each agent reports the load of its engine to the entries whose
// heartbeats it received. Both also report which versions of weights they know to be in force. A process that can't reach
// the store thus learns of a new version from a peer that can. Datagrams are neither acknowledged nor retried: each one is
// complete and replaces the one before, so a lost datagram only delays the information until the next.
package loadreport

import (
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/quarantine"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/logevent"
)

// maxDatagram is the maximum size of a received datagram, in bytes. The datagrams that are sent are much smaller.
const maxDatagram = 4096

// Activation is the activation of a version of weights, as the sender knows it.
type Activation struct {
	Model   string `json:"m"`
	Version int64  `json:"v"`
	// Revision is the number of the store's revision at which the sender read the version, and Era the era; see package storerev.
	Revision int64 `json:"r"`
	Era      int64 `json:"t,omitempty"`
	// AgeMS is the time since the activation as the sender knows it, in milliseconds. Assumed is set when the sender only
	// assumes this age.
	AgeMS   int64 `json:"a"`
	Assumed bool  `json:"u,omitempty"`
}

// Activations encodes the activations that a process knows at now for a datagram.
func Activations(now time.Time, list []catalog.Activation) []Activation {
	var encoded []Activation
	for _, a := range list {
		encoded = append(encoded, Activation{Model: a.Model, Version: a.Version, Revision: a.Revision.Number, Era: a.Revision.Era, AgeMS: now.Sub(a.ActivatedAt).Milliseconds(), Assumed: a.Assumed})
	}
	return encoded
}

// Event returns the activation as an event for package catalog.
func (a Activation) Event() catalog.VersionActivated {
	return catalog.VersionActivated{
		Model: a.Model, Version: a.Version, Revision: storerev.Revision{Era: a.Era, Number: a.Revision}, Age: time.Duration(a.AgeMS) * time.Millisecond, Assumed: a.Assumed,
	}
}

// Load is an agent's load report for its engine.
type Load struct {
	// Address is the engine's address, to which entries send callers' requests.
	Address string `json:"e"`
	// StartedAt is the start time of the engine, in milliseconds since 1970; 0 if the engine does not report it.
	StartedAt int64 `json:"b,omitempty"`
	// RequestCount is the number of requests at the engine.
	RequestCount int `json:"o"`
	// NotAccepting is set while the engine is not accepting requests.
	NotAccepting bool `json:"c,omitempty"`
	// Versions holds the version of weights that the engine has loaded completely, by model.
	Versions map[string]int64 `json:"v"`
	// RateLimit is the limit that the engine requests, in requests per second from all entries together; nil for none.
	RateLimit *float64 `json:"q,omitempty"`
	// Leaving is set when the engine reports that it is shutting down.
	Leaving bool `json:"z,omitempty"`
	// ColdMS is how much longer the engine expects to be cold, in milliseconds; 0 if it does not report it.
	ColdMS int64 `json:"h,omitempty"`
	// Slowdown is the factor by which the engine is slower than usual, as it reports itself; absent if it is not slower.
	Slowdown float64 `json:"y,omitempty"`
	// ReadyMS is the time from the sending until the engine is expected to accept requests, in milliseconds, and ReadyVersion is the
	// version of weights that it will then hold. ReadyMS is 0 or absent if that time is unknown or the engine accepts requests now.
	ReadyMS      int64 `json:"w,omitempty"`
	ReadyVersion int64 `json:"x,omitempty"`
	// Entries is the number of entries that recently sent a heartbeat to the agent, and NearEntries is the number of those in
	// the agent's data centre.
	Entries     int `json:"n"`
	NearEntries int `json:"i"`
}

// Message is one datagram. Only agents set Load.
type Message struct {
	// DataCentre is the sender's data centre; it is set in heartbeats only. Agent is set in heartbeats of agents.
	DataCentre string `json:"d,omitempty"`
	Agent      bool   `json:"g,omitempty"`
	// Entries holds the addresses of the entries from which the receiver may read the store, and EntryCount is the
	// number of entries in the receiver's data centre; see package source.
	Entries    []string `json:"e,omitempty"`
	EntryCount int      `json:"k,omitempty"`
	// UptimeMS is the uptime of a seed that answers a heartbeat, in milliseconds.
	UptimeMS int64 `json:"r,omitempty"`
	Load     *Load `json:"l,omitempty"`
	// Activations holds the activations that the sender knows.
	Activations []Activation `json:"w,omitempty"`
	// Crashes holds the requests that recently crashed upstreams.
	Crashes []quarantine.Report `json:"x,omitempty"`
	// Evidence is what the sender knows of parts of prompts and of requests that crash upstreams. A message with it carries nothing else, so
	// that both fit into a datagram.
	Evidence *Evidence `json:"p,omitempty"`
	// Demand is the demand at an entry, in its heartbeats. DemandSums are the sums of the demand by data centre, as far as the sending
	// agent heard it. A process that doesn't know these fields ignores them.
	Demand     []Demand    `json:"m,omitempty"`
	DemandSums []DemandSum `json:"s,omitempty"`
	// DemandSequence orders the sender's messages with Demand or DemandSums; zero from a process that doesn't know the field.
	DemandSequence balance.Sequence `json:"q,omitzero"`
	// WantsOwnSum is set in heartbeats of an entry that hears no agent of its own data centre: it asks for that data centre's sum.
	WantsOwnSum bool `json:"o,omitempty"`
}

// Evidence is what a process knows of what crashes upstreams.
type Evidence struct {
	// Parts is about parts of prompts, Requests about the requests that are quarantined as a whole, by fingerprint.
	Parts    attribution.Report `json:"p"`
	Requests attribution.Report `json:"r"`
}

// NewEvidence returns a message with evidence; false if there is nothing to report.
func NewEvidence(parts, requests attribution.Report) (Message, bool) {
	return Message{Evidence: &Evidence{Parts: parts, Requests: requests}}, !parts.Empty() || !requests.Empty()
}

// Socket sends and receives messages.
type Socket struct{ conn *net.UDPConn }

// Listen opens a UDP socket on an IP address and port.
func Listen(ip string, port int) (*Socket, error) {
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, errors.Wrapf(err, "parsing datagram listen address %q", ip)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, uint16(port))))
	return &Socket{conn: conn}, errors.Wrapf(err, "listening for datagrams on %s:%d", ip, port)
}

// Close closes the socket. Run returns then.
func (s *Socket) Close() { _ = s.conn.Close() }

// Send sends a message. A nil error does not mean that the message arrived.
func (s *Socket) Send(to netip.AddrPort, m Message) error {
	raw, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding datagram")
	}
	_, err = s.conn.WriteToUDPAddrPort(raw, to)
	return errors.Wrapf(err, "sending datagram to %s", to)
}

// failureLogInterval is the minimum time between two log lines about datagrams that can't be read or decoded.
const failureLogInterval = 10 * time.Second

// Run calls handle for each message received until the socket is closed. It skips datagrams that can't be decoded, and logs how many.
func (s *Socket) Run(handle func(from netip.AddrPort, m Message), log zerolog.Logger) {
	var failures int
	var loggedAt time.Time
	logFailure := func(err error) {
		failures++
		if now := time.Now(); now.Sub(loggedAt) >= failureLogInterval {
			logevent.Warn(log, logevent.MalformedObject).Int("count", failures).Err(err).Msg("failed to read datagram")
			failures, loggedAt = 0, now
		}
	}
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			logFailure(err)
			time.Sleep(10 * time.Millisecond) // Keeps a socket that fails repeatedly from occupying the CPU.
			continue
		}
		var m Message
		if err := json.Unmarshal(buffer[:n], &m); err != nil {
			logFailure(errors.Wrapf(err, "datagram from %s", from))
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), m)
	}
}
