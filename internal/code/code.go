// Package code is the catalogue of numbered result codes. `samphireweir codes` prints it and docs/CODES.md lists it; a test
// checks that the two agree.
package code

import (
	"fmt"
	"net/http"
)

// Code is the number of a result. The thousands digit is its category: 1 the caller's request, 2 routing and limits,
// 3 at-most-once execution, 4 upstreams and weights, 5 settings, 6 process settings, 7 messages between processes.
type Code int

// Ran says whether an upstream executed a request that was refused.
type Ran string

// The values of Ran.
const (
	// NotRun: the request was certainly not executed.
	NotRun Ran = "not run"
	// DidRun: the request was executed.
	DidRun Ran = "ran"
	// Unknown: the request may have been executed.
	Unknown Ran = "unknown"
)

// The result codes. Catalogue says what each of them means. Four need more than that:
//
// Quarantined and RequestQuarantined both refuse a request that crashes upstreams. Quarantined is the code of the first
// product's path (package suspect), RequestQuarantined that of the users' platform (package quarantine). PartQuarantined refuses a request
// for a part of its prompt (package attribution).
//
// UpstreamNotServing has the title "upstream loading", but is returned for any upstream that doesn't serve: one that is idle, loads,
// drains, is down or has crashed. An agent also returns it for an engine's answer with status 503, with Ran unknown unless
// the engine's error says that the request was not executed.
//
// AttemptFenced answers a message that fences an attempt, and a late or repeated message for an attempt that it can neither
// start nor join. Its detail says that the attempt was not run, but it is also sent with Ran unknown, and with the recorded
// outcome of an attempt that is over.
const (
	BadPath             Code = 1001
	BodyTooLarge        Code = 1002
	BadHeader           Code = 1003
	DeadlinePassed      Code = 1004
	CallerGone          Code = 1005
	TargetTooLong       Code = 1006
	BodyTooSlow         Code = 1007
	SystemPath          Code = 1008
	InternalFault       Code = 1009
	MalformedRequest    Code = 1010
	UnknownKey          Code = 1011
	NoSuchService       Code = 2001
	NoUpstream          Code = 2002
	Overloaded          Code = 2003
	RetriesExhausted    Code = 2004
	ClientOverShare     Code = 2005
	Quarantined         Code = 2006
	Stopping            Code = 2007
	NotReady            Code = 2008
	NoSuchRoute         Code = 2009
	RequestQuarantined  Code = 2010
	NoCommonHome        Code = 2011
	MemoryFull          Code = 2012
	PartQuarantined     Code = 2013
	ClaimUnavailable    Code = 3001
	AlreadyRun          Code = 3002
	OutcomeUnknown      Code = 3003
	KeyTooOld           Code = 3004
	KeyReused           Code = 3005
	StillRunning        Code = 3006
	KeyInFuture         Code = 3007
	UpstreamDied        Code = 4001
	UpstreamSilent      Code = 4002
	UpstreamNotServing  Code = 4003
	WeightsChanged      Code = 4004
	AttemptFenced       Code = 4005
	StreamBroken        Code = 4006
	ChunkCorrupt        Code = 4007
	MemoryTooSmall      Code = 4008
	BadManifest         Code = 4009
	SourceUnavailable   Code = 4020
	SourceChanged       Code = 4021
	AgentRestarted      Code = 4041
	UpstreamReserved    Code = 4042
	UnterminatedAnswer  Code = 4043
	AnswerMismatch      Code = 4044
	BadSetting          Code = 5001
	SettingConflict     Code = 5002
	OtherTeam           Code = 5003
	SettingMissing      Code = 5004
	VersionUnknown      Code = 5005
	PlatformDown        Code = 5006
	BadProcessSetting   Code = 6001
	UnknownVariable     Code = 6002
	ConflictingSettings Code = 6003
	BadMessage          Code = 7001
	NotAuthorized       Code = 7002
)

// Entry describes a code for the catalogue.
type Entry struct {
	// Code is the number of the result.
	Code Code
	// Name is the short name, in words, sent to callers as the problem's title.
	Name string
	// Status is the HTTP status of an answer with this code; 0 for a code that is never sent to a caller.
	Status int
	// Help says what the code means and what to do. Callers can receive it as the problem's detail.
	Help string
}

// Catalogue lists every code, ordered by its number.
var Catalogue = []Entry{
	{BadPath, "bad path", http.StatusNotFound, "The path is not /{team}/{service}/... with names of a-z, 0-9 and -."},
	{BodyTooLarge, "body too large", http.StatusRequestEntityTooLarge, "The body is over the entry's limit; send less."},
	{BadHeader, "bad header", http.StatusBadRequest, "A header that the entry reads has a bad value; the text names it."},
	{DeadlinePassed, "deadline passed", http.StatusGatewayTimeout, "The caller's deadline came before an answer; the field ran says whether it was executed."},
	{CallerGone, "caller gone", 0, "The caller closed its connection; the request was cancelled."},
	{TargetTooLong, "target too long", http.StatusRequestURITooLong, "The path and query are over the limit; send less, or put it into the body."},
	{BodyTooSlow, "body too slow", http.StatusRequestTimeout, "The body came too slowly; send it without long pauses."},
	{SystemPath, "path of the system", http.StatusForbidden, "Only the system itself calls this path of an engine: orders, state, events and what concerns other callers' requests."},
	{InternalFault, "internal fault", http.StatusInternalServerError, "A fault of the program, contained in this one request; report it with the request's id."},
	{MalformedRequest, "malformed request", http.StatusBadRequest, "What came is not an HTTP request, or its head is too large."},
	{UnknownKey, "unknown key", http.StatusUnauthorized, "The key of the request belongs to no client account in the manifest in force."},
	{NoSuchService, "no such service", http.StatusNotFound, "No setting in force has this team and service."},
	{NoUpstream, "no upstream", http.StatusServiceUnavailable, "No upstream of the service can take work now; come back after Retry-After."},
	{Overloaded, "overloaded", http.StatusServiceUnavailable, "The service is at its limit; come back after Retry-After."},
	{RetriesExhausted, "retries exhausted", http.StatusBadGateway, "Each permitted try failed; the field ran says whether one was executed."},
	{ClientOverShare, "client over its share", http.StatusTooManyRequests, "This client account uses more than its share while others wait; come back after Retry-After."},
	{Quarantined, "quarantined", http.StatusUnprocessableEntity, "This request brought down upstreams and is refused until Retry-After has passed; change it before sending it again."},
	{Stopping, "stopping", http.StatusServiceUnavailable, "This process is shutting down; send the request again, it will reach another."},
	{NotReady, "not ready", http.StatusServiceUnavailable, "This process has not read the settings yet."},
	{NoSuchRoute, "no such route", http.StatusNotFound, "No route of the manifest in force has this host and path."},
	{RequestQuarantined, "held back", http.StatusServiceUnavailable, "Upstreams went down under this request; it is not sent to more of them until Retry-After has passed."},
	{NoCommonHome, "no common home", http.StatusServiceUnavailable, "The route and the client account are bound to regions of which they have none in common; the request was not run. An operator must change one of the two."},
	{MemoryFull, "memory full", http.StatusServiceUnavailable, "This process holds as much for its callers as it has memory for, and there is none to end for it; the request was not run. Come back after Retry-After, which reaches another process."},
	{PartQuarantined, "part quarantined", http.StatusServiceUnavailable, "A part of the prompt that others may share crashed upstreams, or may have; requests with it are not sent, and this one was not run. Remove the part, or come back after Retry-After."},
	{ClaimUnavailable, "claim unavailable", http.StatusServiceUnavailable, "The platform can't record that this request runs at most once, so it was not run; come back after Retry-After."},
	{AlreadyRun, "already run", http.StatusConflict, "The request of this idempotency key was run, and its answer is not kept; it is not run again."},
	{OutcomeUnknown, "outcome unknown", http.StatusConflict, "This idempotency key was claimed before and how it ended is not known; it is not run again."},
	{KeyTooOld, "key too old", http.StatusConflict, "The key carries a time before the retention of claims, so whether it ran is not known any more; it is not run. Check the outcome, then use a new key."},
	{KeyReused, "key reused", http.StatusUnprocessableEntity, "The idempotency key came before with another request; this one was not run. Use a key for one request only."},
	{StillRunning, "still running", http.StatusConflict, "A request with this idempotency key may be running now; come back after Retry-After with the same key for its answer."},
	{KeyInFuture, "key ahead of time", http.StatusBadRequest, "The key carries a time that is more than ten minutes ahead, so it was not run; set the clock that makes the keys."},
	{UpstreamDied, "upstream died", http.StatusBadGateway, "The upstream ended while the request was with it."},
	{UpstreamSilent, "upstream silent", http.StatusGatewayTimeout, "Nothing came from the upstream within the time limit."},
	{UpstreamNotServing, "upstream loading", http.StatusServiceUnavailable, "The upstream has no weights or is loading."},
	{WeightsChanged, "weights changed", http.StatusBadGateway, "The weights changed under the request; its answer was withheld."},
	{AttemptFenced, "attempt fenced", http.StatusConflict, "This attempt was given up on before it started, so it was not run."},
	{StreamBroken, "stream broken", http.StatusBadGateway, "The answer could not be continued; what came before is not whole."},
	{ChunkCorrupt, "chunk corrupt", 0, "A chunk did not match its digest and was thrown away."},
	{MemoryTooSmall, "memory too small", 0, "The host's chunk memory can't hold the version; raise -chunk-memory."},
	{BadManifest, "bad manifest", 0, "The manifest is malformed; the text names the field."},
	{SourceUnavailable, "source unavailable", 0, "Neither the weight store nor the origin gives the version's data now; it is asked again with growing waits."},
	{SourceChanged, "source changed", 0, "The source's content of the version is no longer what the setting's digest names; apply the setting again."},
	{AgentRestarted, "agent restarted", http.StatusBadGateway, "The agent beside the upstream is another life of it than the request was sent to; the field ran says what is known."},
	{UpstreamReserved, "upstream reserved", http.StatusServiceUnavailable, "The upstream is kept for a request that must run alone; this one was not run there."},
	{UnterminatedAnswer, "answer without an end", http.StatusBadGateway, "The upstream's answer had neither a length nor chunks, so a whole one can't be told from a cut one; it was withheld."},
	{AnswerMismatch, "answer mismatch", http.StatusBadGateway, "What came is not the answer to this request, or not the same answer as before the break."},
	{BadSetting, "bad setting", 0, "The setting is refused; the text names the field and a right value."},
	{SettingConflict, "setting conflict", 0, "Another operator changed the setting since you read it; look at the difference and apply again."},
	{OtherTeam, "other team", 0, "The setting belongs to another team; name that team with -other-team to change it."},
	{SettingMissing, "setting missing", 0, "There is no such setting."},
	{VersionUnknown, "version unknown", 0, "Neither weight store nor origin knows this model, adapter and version."},
	{PlatformDown, "platform down", 0, "The object API did not answer; nothing was changed unless the text says so."},
	{BadProcessSetting, "bad process setting", 0, "A flag or variable has a bad value; the text names it and what would be right."},
	{UnknownVariable, "unknown variable", 0, "A variable with the prefix SAMPHIREWEIR_ is not one that this command reads."},
	{ConflictingSettings, "process settings clash", 0, "Two process settings can't stand together; the text names both."},
	{BadMessage, "bad message", http.StatusBadRequest, "A message between processes is malformed; the text names the field."},
	{NotAuthorized, "not authorized", http.StatusUnauthorized, "The message does not carry the shared secret."},
}

var byCode = indexByCode()

func indexByCode() map[Code]Entry {
	m := make(map[Code]Entry, len(Catalogue))
	for _, e := range Catalogue {
		m[e.Code] = e
	}
	return m
}

// Describe returns the catalogue's entry of c, or the zero Entry if c is unknown.
func (c Code) Describe() Entry { return byCode[c] }

// retriedLater holds the codes of refusals after which the same request may succeed later without any change to it.
var retriedLater = map[Code]bool{
	NoUpstream: true, Overloaded: true, ClientOverShare: true, Quarantined: true, Stopping: true, NotReady: true, RequestQuarantined: true,
	MemoryFull: true, PartQuarantined: true, ClaimUnavailable: true, StillRunning: true, UpstreamNotServing: true, UpstreamReserved: true,
}

// RetriedLater reports whether a caller that is refused with c is told when to send its request again, with a Retry-After header.
func (c Code) RetriedLater() bool { return retriedLater[c] }

// Error is an error with a result code.
type Error struct {
	// Code is the result code.
	Code Code
	// Field names the invalid field, flag or header; may be empty.
	Field string
	// Text says what is wrong and, for a bad value, what value is expected.
	Text string
}

// Error formats the error as "samphireweir NNNN name: field: text", without "field: " if Field is empty.
func (e *Error) Error() string {
	name := e.Code.Describe().Name
	if e.Field == "" {
		return fmt.Sprintf("samphireweir %d %s: %s", e.Code, name, e.Text)
	}
	return fmt.Sprintf("samphireweir %d %s: %s: %s", e.Code, name, e.Field, e.Text)
}

// Errorf returns an Error with code c and the formatted text; field may be empty.
func Errorf(c Code, field, format string, args ...any) *Error {
	return &Error{Code: c, Field: field, Text: fmt.Sprintf(format, args...)}
}
