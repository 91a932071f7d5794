// Package logevent is the catalogue of numbered log events. `samphireweir events` prints it and docs/EVENTS.md lists it;
// a test checks that the two agree.
package logevent

import "github.com/rs/zerolog"

// ID is the number of an event. The thousands digit is its category: 1 process, 2 settings and membership, 3 weights and
// load orders, 4 requests.
type ID int

// The event numbers.
const (
	Listening              ID = 1001
	Ready                  ID = 1002
	ShutdownStarted        ID = 1003
	Stopped                ID = 1004
	PanicRecovered         ID = 1005
	ServerError            ID = 1006
	LinesDropped           ID = 1007
	ProcessLate            ID = 1008
	ProcessOnTime          ID = 1009
	SettingInForce         ID = 2001
	PlatformLost           ID = 2002
	PlatformRecovered      ID = 2003
	PeerFailed             ID = 2004
	MalformedRecord        ID = 2005
	HostListLost           ID = 2006
	HostListRecovered      ID = 2007
	StateChanged           ID = 2008
	MalformedObject        ID = 2009
	SettingsFileChanged    ID = 2010
	UpstreamNotice         ID = 2011
	ManifestIgnored        ID = 2012
	StoreRestored          ID = 2013
	VersionReceived        ID = 2014
	BalanceChanged         ID = 2020
	DemandDropped          ID = 2021
	ManifestFieldKept      ID = 2022
	BurstStarted           ID = 3001
	BurstComplete          ID = 3002
	ChunkRefused           ID = 3003
	LoadOrdered            ID = 3004
	LoadDone               ID = 3005
	LoadFailed             ID = 3006
	BurstBlocked           ID = 3007
	IncarnationHeld        ID = 3008
	IncarnationLost        ID = 3009
	OutOfService           ID = 3010
	DrainOverdue           ID = 3011
	InstallPhaseChanged    ID = 3012
	EngineCallFailed       ID = 3013
	UnloadOrdered          ID = 3014
	VersionPlanChanged     ID = 3015
	VersionDropped         ID = 3016
	RequestRefused         ID = 4001
	AttemptFailed          ID = 4002
	StreamResumed          ID = 4003
	AnswerWithheld         ID = 4004
	ClaimFailed            ID = 4005
	RequestSuspected       ID = 4006
	RequestSent            ID = 4007
	RequestEnded           ID = 4008
	StartedLate            ID = 4009
	RequestQuarantined     ID = 4010
	CrashesDropped         ID = 4011
	SlowCallerDisconnected ID = 4012
	ForecastChanged        ID = 4014
	SecondAttempt          ID = 4020
	LimitLowered           ID = 4021
	UpstreamCrashed        ID = 4022
	MalformedParts         ID = 4023
	PartQuarantined        ID = 4024
	AnswerIncomplete       ID = 4025
	RetryDenied            ID = 4026
	UnframedAnswerEnded    ID = 4027
)

// Entry describes an event for the catalogue.
type Entry struct {
	// ID is the number of the event, logged in the field event.
	ID ID
	// Name is the short name, in words, logged as the message.
	Name string
	// Help says when the event is logged, what its fields mean and what an operator should do.
	Help string
}

// Catalogue lists every event, ordered by its number.
var Catalogue = []Entry{
	{Listening, "listening", "The process accepts connections; the fields callers, peers and operators are its listen addresses."},
	{Ready, "ready", "The process has read the settings and accepts requests."},
	{ShutdownStarted, "shutdown started", "A graceful shutdown started."},
	{Stopped, "stopped", "The process exits; the field open counts requests that were still open and were aborted."},
	{PanicRecovered, "panic recovered", "A bug caused a panic, which was recovered and affects one request or message only; the field stack is the stack trace. Report it to the maintainers."},
	{ServerError, "server error", "The HTTP library reported an error on a connection, such as a malformed request head or a failed handshake."},
	{LinesDropped, "log lines dropped", "The process logged more lines than its rate limit allows, or the reader of the log was too slow; the field dropped counts the lines left out."},
	{ProcessLate, "process late", "The process itself was late in the last second, by delay_ms: its timers fired late or its goroutines waited to run. late_from is when that second began, own_share the share of the processor time available to it that it used itself. A share of 0.7 or more means that its own work makes it late, and an entry accepts fewer requests; with a lower one it was suspended, or other processes used the processors."},
	{ProcessOnTime, "process on time", "The process was not late for three seconds after it had been late from late_from until late_until (duration_ms), by up to max_delay_ms; own_share is as in 1008, over the late seconds together, delay_ms the delay of the last second."},
	{SettingInForce, "setting in force", "A new revision of a setting came into force in this process."},
	{PlatformLost, "platform lost", "The object API does not answer; the process keeps the settings in force."},
	{PlatformRecovered, "platform recovered", "The object API answers again."},
	{PeerFailed, "peer failed", "A call to another process of the system failed."},
	{MalformedRecord, "malformed record", "A record or setting is malformed and was ignored."},
	{HostListLost, "host list lost", "The platform's host list does not answer; the process keeps the hosts of the last list that it read."},
	{HostListRecovered, "host list recovered", "The platform's host list answers again."},
	{StateChanged, "known state changed", "What the process knows about the manifest, an upstream or a version changed; the fields era and revision are the store's."},
	{MalformedObject, "malformed object", "An object of the platform's store, a datagram or the settings file could not be read or is malformed; what was in force before stays in force."},
	{SettingsFileChanged, "settings file changed", "The platform's settings file changed and is valid; the change takes effect at the next start of the process."},
	{UpstreamNotice, "upstream notice changed", "The notice in an upstream's answer head differs from the previous one. limited: it accepts rate_limit requests per second from all entries together; garbled: its limit is malformed; leaving: it is shutting down; retry_after_ms: the backoff in milliseconds that it requests from this entry."},
	{ManifestIgnored, "manifest ignored", "A manifest was read and not put in force, because it is older than the one in force: version, era and revision are its own, in_force, in_force_era and in_force_revision those of the one in force. Expected for a slow read, and after a restore of the store until the operator's manifest is written again. If it is not, write a manifest with a version above in_force."},
	{StoreRestored, "store restored", "The platform's store came back from a copy: era is the number of its new era, known_era and known_revision the last that were known. What was written last may be missing until operators and upstreams write it again."},
	{VersionReceived, "version received", "The process received the activation of a version of weights, or a better age of it: way is watch, list or report (of another process), revision is the store's at which it was written. The version counts as age_ms old; assumed is set if that is not its known age but the greatest that what the process knows allows. proven_ms is how long ago the store last proved that the version was not active, lost_ms how long ago a call was sent that the store did not answer although it had to."},
	{BalanceChanged, "balance changed", "The entry's plan across data centres changed, because of homes or an evacuation. plan is what part of this data centre's requests is tried first where, by their homes; demand and supply are its inputs in seconds of a slot per second, age_ms the age of the oldest demand. At most one line is written in 5 s. See docs/operators/evacuations.md."},
	{DemandDropped, "demand dropped", "Messages about the demand of data centres were malformed, older than one received before, of an unknown engine or of a data centre that the settings don't name, and were not used; the field count counts them since the last such line."},
	{ManifestFieldKept, "manifest field kept", "A manifest in the store has an invalid value in the field named. The last good value stays in force, or the nearest valid one if there was none (value); the rest of the manifest is applied. Correct the manifest; samphireweir check names the field too."},
	{BurstStarted, "burst started", "The host started to fetch a version of weights."},
	{BurstComplete, "burst complete", "The host holds every chunk of a version, each verified against its digest."},
	{ChunkRefused, "chunk refused", "A chunk did not match its digest or could not be fetched; the field from names the sender."},
	{LoadOrdered, "load ordered", "The agent sent an engine the order to load a version."},
	{LoadDone, "load done", "An engine has loaded a version and serves it."},
	{LoadFailed, "load failed", "An engine failed to load a version, or did not accept the order; it is retried."},
	{BurstBlocked, "burst blocked", "The installation of a version makes no progress; the field why or error says what is missing."},
	{IncarnationHeld, "incarnation held", "The agent holds a new incarnation (fencing number) of its upstreams."},
	{IncarnationLost, "incarnation lost", "Another process took over this host's incarnation; this process sends no load orders and accepts no requests. Stop one of the two."},
	{OutOfService, "out of service", "An engine went out of service; the field why gives the reason."},
	{DrainOverdue, "drain overdue", "Requests in flight at an engine delay its load order for longer than a drain should take; they are not aborted, and their deadlines bound the wait."},
	{InstallPhaseChanged, "install phase changed", "The installation of a version of weights on this host's engine entered another phase; the field why gives the reason."},
	{EngineCallFailed, "engine call failed", "A call to this host's engine failed; it is retried."},
	{UnloadOrdered, "unload ordered", "The agent sent an engine the order to drop weights that it did not load from checked chunks. It gets no requests until it has loaded the version again."},
	{VersionPlanChanged, "version plan changed", "The agent changed the order in which it fetches the versions of a model, or the version that its engine is to load (load, 0 for none; half: only by half of the engines); why gives the reason. held is the version that the engine holds, held_for_ms how long requests are still sent to it, versions the bytes that the fleet and this host lack of each version, origin_rate and link_rate bytes per second. ready_version is the version with which the engine is expected to accept requests again, 0 while it accepts them or if that is unknown."},
	{VersionDropped, "version dropped", "An incomplete version is no longer wanted on this host. chunks is the number of its chunks, held how many this host has, known how many it or a reachable host has; why gives the reason. Expected when versions are activated quickly after each other; if known is nearly chunks, the version could have been used."},
	{RequestRefused, "request refused", "A request was refused; the field code is the result code, ran says whether an upstream ran it."},
	{AttemptFailed, "attempt failed", "One attempt of a request failed; the request may be retried at another upstream. answering is set when the head of the upstream's answer was received; parts are the parts of the prompt that other requests may share."},
	{StreamResumed, "stream resumed", "A stream was resumed over a new connection."},
	{AnswerWithheld, "answer withheld", "The weights changed while a request ran; its answer was withheld from the caller."},
	{ClaimFailed, "claim failed", "A claim could not be recorded in the object API."},
	{RequestSuspected, "request suspect", "A request was in flight when an upstream crashed; it is now suspected of causing the crash."},
	{RequestSent, "request sent", "A request was sent to an upstream; the field sends is the number of the attempt, resume is set when the attempt resumes an answer, and hedge when an earlier attempt whose upstream is silent stays open beside it. Of a retry, retry_cause is the outcome of the attempt before, or hedge; counted is set when the retry budget counted it; budget_used, budget_allowed and entries are as in 4026."},
	{RequestEnded, "request ended", "A request ended with an upstream's answer, or because its caller disconnected. For a stream, upstream_pause_ms is the longest time in milliseconds between two events as they were read from the upstream, and caller_pause_ms the longest duration of a write to the caller."},
	{StartedLate, "started late", "An upstream started a request on an expired version of weights: late_ms is the time in milliseconds since the version expired, waited_ms how long the request had waited at the upstream."},
	{RequestQuarantined, "request quarantined", "A request is quarantined because upstreams crashed while they ran it: requests with the same fingerprint are refused for left_ms milliseconds, and longer while they keep coming. lifted is set when an answer to a trial ends that. told is set when another process reported the quarantine; otherwise the field upstream names the upstream that crashed last. Events 4001 (field why) and 4002 have the same fingerprint."},
	{CrashesDropped, "crashes dropped", "Crashes of upstreams were not attributed to requests, because the table of requests that were in flight at crashed upstreams is full."},
	{SlowCallerDisconnected, "slow caller disconnected", "The memory for callers was full, and the connection of the caller that had been idle for longest was closed to free memory; answering is set when its answer had started, held is the memory in bytes that is now held for callers."},
	{ForecastChanged, "forecast changed", "What this entry expects of a service's engines has changed, in an outage or at its end; at most one line a second for a service, model and homes. usable and total count its engines; predicted those whose agents predict when they accept requests; ready_ms is the time until the first engine does, oldest_ms the age of the oldest report used; first_tries is the number of first tries a second, and waiting the number of requests that wait for the end."},
	{SecondAttempt, "second attempt", "An attempt was withdrawn after waited_ms milliseconds without a first event, far beyond its predicted time predicted_ms, and the request goes to the engine second, whose prediction is second_predicted_ms. observed_ago_ms is the age of the last observation of that engine, negative if it has none; left_out counts the lines left out since the last one."},
	{LimitLowered, "concurrency limit lowered", "An engine gets at most limit requests instead of its slots, because one more was predicted to make the running ones miss the objective objective_ms: predicted_ms is the predicted time to the first event with all slots in use, 0 if the gaps of streams led to the limit. observed_ago_ms is the age of the latest observation before; left_out counts the lines left out since the last one."},
	{UpstreamCrashed, "upstream crashed", "An upstream was found down shortly after attempts of this entry's requests broke there; broken is their number. Each of them has an event 4002 with its parts."},
	{MalformedParts, "malformed prompt parts", "A request's list of the parts of its prompt can't be read, and none of them is used; left_out counts the lines left out since the last one."},
	{PartQuarantined, "part quarantined", "The quarantine of a part of prompts changed, since upstreams crash when they answer requests with it: started here, reported by another process, lifted by an answer or an operator, or ended since no request with the part came for ten minutes (change). crashes is the number of crashes of which the part was found to be the cause. Refusals have code 2013."},
	{AnswerIncomplete, "answer incomplete", "A request ended without a complete answer: its caller got neither an upstream's whole answer nor a refusal. cause is one of caller left, body not read, slow caller, write to caller failed, answer aborted (why gives the reason), process ended, and handler failed, which is a bug. last_event is the last event of a stream that was passed on."},
	{RetryDenied, "retry denied", "The retry budget of a service did not allow a request to be sent again; cause is the outcome of the attempt before. budget_used is the number of retries that this entry sent within the budget's window, budget_allowed its share of the budget, and entries the number of entries that share it, 0 if it is unknown. left_out counts the lines left out since the last one."},
	{UnframedAnswerEnded, "unframed answer ended", "The connection of an upstream's answer without a length or chunks ended, which is the answer's end if the connection ended in order. outcome is that of the attempt; end is orderly, aborted or unproved, and shown_by what showed it: the error of a read, the state of the connection, its count of bytes, or, where the kernel tells neither, its writes; instance is what a probe after it found of the upstream's instance: alive, ended, unknown, or nothing if there was none; bytes is the number of bytes read."},
}

// Debug starts a log line of level debug for event id.
func Debug(l zerolog.Logger, id ID) *zerolog.Event { return l.Debug().Int("event", int(id)) }

// Info starts a log line of level info for event id.
func Info(l zerolog.Logger, id ID) *zerolog.Event { return l.Info().Int("event", int(id)) }

// Warn starts a log line of level warn for event id.
func Warn(l zerolog.Logger, id ID) *zerolog.Event { return l.Warn().Int("event", int(id)) }
