// Package logevent defines the numbered events of the log once. The binary prints them (`samphireweir events`),
// docs/EVENTS.md lists them and a test keeps the two alike.
package logevent

import "github.com/rs/zerolog"

// ID numbers an event. The thousands name the concern: 1 process, 2 settings and membership, 3 weights and
// orders, 4 requests.
type ID int

// The events.
const (
	Listening           ID = 1001
	Ready               ID = 1002
	StopAsked           ID = 1003
	Stopped             ID = 1004
	PanicContained      ID = 1005
	ServerError         ID = 1006
	LinesDropped        ID = 1007
	SettingInForce      ID = 2001
	PlatformLost        ID = 2002
	PlatformBack        ID = 2003
	PeerFailed          ID = 2004
	BadRecord           ID = 2005
	HostListLost        ID = 2006
	HostListBack        ID = 2007
	BeliefChanged       ID = 2008
	BadEntry            ID = 2009
	SettingsFileChanged ID = 2010
	UpstreamSaid        ID = 2011
	BurstStarted        ID = 3001
	BurstComplete       ID = 3002
	ChunkRefused        ID = 3003
	LoadOrdered         ID = 3004
	LoadDone            ID = 3005
	LoadFailed          ID = 3006
	BurstStuck          ID = 3007
	IncarnationHeld     ID = 3008
	IncarnationLost     ID = 3009
	OutOfService        ID = 3010
	DrainOverdue        ID = 3011
	InstallMoved        ID = 3012
	EngineCallFailed    ID = 3013
	RequestRefused      ID = 4001
	AttemptFailed       ID = 4002
	StreamResumed       ID = 4003
	AnswerWithheld      ID = 4004
	ClaimFailed         ID = 4005
	RequestSuspect      ID = 4006
	RequestSent         ID = 4007
	RequestEnded        ID = 4008
	BegunLate           ID = 4009
	RequestHeldBack     ID = 4010
	CrashesDropped      ID = 4011
	SlowCallerEnded     ID = 4012
)

// Entry describes an event for the catalogue.
type Entry struct {
	// ID is the number.
	ID ID
	// Name is the short name, in words.
	Name string
	// Help says when it is logged and what to do.
	Help string
}

// Catalogue lists every event in order.
var Catalogue = []Entry{
	{Listening, "listening", "The process listens; the fields callers, peers and operators are its addresses."},
	{Ready, "ready", "The process has read the settings and takes work."},
	{StopAsked, "stop asked", "A graceful shutdown began."},
	{Stopped, "stopped", "The process ended; the field open counts requests that were cut."},
	{PanicContained, "panic contained", "A fault of the program, contained in one request or message; the field stack says where. Report it."},
	{ServerError, "server error", "The HTTP library's word on a connection: a malformed head, a failed handshake."},
	{LinesDropped, "log lines dropped", "The process wrote more lines than it may, or nobody read them; the field dropped counts those left out."},
	{SettingInForce, "setting in force", "A new revision of a setting is in force in this process."},
	{PlatformLost, "platform lost", "The object API does not answer; the settings in force stay."},
	{PlatformBack, "platform back", "The object API answers again."},
	{PeerFailed, "peer failed", "A call to another process failed."},
	{BadRecord, "bad record", "A record or setting could not be read and was left out."},
	{HostListLost, "host list lost", "The platform's list of hosts does not answer; the hosts that were listed last stay."},
	{HostListBack, "host list back", "The list of hosts answers again."},
	{BeliefChanged, "belief changed", "What the process believes of the manifest, an upstream or a version changed; revision is the store's."},
	{BadEntry, "bad entry", "An entry of the platform's store or a datagram could not be read; what was in force before stays."},
	{SettingsFileChanged, "settings file changed", "The platform's settings file changed and is right; it is in force from the next start on."},
	{UpstreamSaid, "upstream said", "An upstream says something else of itself than before in the head of an answer: limited that it takes rate_limit requests a second from all entries together, garbled that it names a limit that is no number, leaving that it shuts down, retry_after_ms how long it wants nothing from this entry."},
	{BurstStarted, "burst started", "The host begins to fetch a version."},
	{BurstComplete, "burst complete", "The host holds every verified chunk of a version."},
	{ChunkRefused, "chunk refused", "A chunk failed its digest or could not be had; the field from names the sender."},
	{LoadOrdered, "load ordered", "An engine was ordered to load a version."},
	{LoadDone, "load done", "An engine serves a version."},
	{LoadFailed, "load failed", "An engine did not load; it is tried again."},
	{BurstStuck, "burst stuck", "No progress on a version; the field why says what is missing."},
	{IncarnationHeld, "incarnation held", "The agent holds a new incarnation (fencing number) of its upstreams."},
	{IncarnationLost, "incarnation lost", "Another process took this host's incarnation; this one gives no order and takes no work. Stop one of the two."},
	{OutOfService, "out of service", "An engine went out of service; the field why says for what."},
	{DrainOverdue, "drain overdue", "Requests in flight keep an engine from its order; they are not cut, their deadlines bound the wait."},
	{InstallMoved, "install moved", "A version of weights entered another phase on its way to this host's engine; the field why says for what."},
	{EngineCallFailed, "engine call failed", "A call to this host's engine failed; it is made again."},
	{RequestRefused, "request refused", "A request was refused; code and ran say how."},
	{AttemptFailed, "attempt failed", "One try of a request failed; it may be tried elsewhere."},
	{StreamResumed, "stream resumed", "A stream went on over a new connection."},
	{AnswerWithheld, "answer withheld", "The weights changed under a request; its answer was withheld."},
	{ClaimFailed, "claim failed", "A claim could not be recorded in the object API."},
	{RequestSuspect, "request suspect", "A request was in flight when an upstream died and is now a suspect."},
	{RequestSent, "request sent", "A request was sent to an upstream; sends counts the sends, and resume says that an answer goes on."},
	{RequestEnded, "request ended", "A request ended with an upstream's answer, or because its caller left. Of a stream, upstream_pause_ms is the longest time between two events as they were read, and caller_pause_ms the longest that a write to its caller took."},
	{BegunLate, "begun late", "An upstream began a request on a version of weights whose time was over: late_ms says by how much, waited_ms how long it had been there."},
	{RequestHeldBack, "request held back", "Upstreams went down under a request; from now on copies of it are refused for left_ms. told is set when another process said so; else upstream went down last. The same fingerprint stands in 4001 (why) and 4002."},
	{CrashesDropped, "crashes dropped", "Crashes under requests were not noted, since too many requests are remembered as having been at upstreams that went down."},
	{SlowCallerEnded, "slow caller ended", "A caller gave or took nothing for the longest time while the memory for callers was full, and its connection was ended to make room; answering is set when its answer had begun, held is what is held for callers now, in bytes."},
}

// Debug starts a debug line for event id.
func Debug(l zerolog.Logger, id ID) *zerolog.Event { return l.Debug().Int("event", int(id)) }

// Info starts an info line for event id.
func Info(l zerolog.Logger, id ID) *zerolog.Event { return l.Info().Int("event", int(id)) }

// Warn starts a warning line for event id.
func Warn(l zerolog.Logger, id ID) *zerolog.Event { return l.Warn().Int("event", int(id)) }
