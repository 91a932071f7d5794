// Package engine simulates model engines: they load weights, generate tokens step by step and keep a prefix cache.
package engine

// Roles of an engine.
const (
	rolePrefill = "prefill"
	roleDecode  = "decode"
	roleBoth    = "both"
)

// Headers of requests and responses.
const (
	headerRequestID      = "Request-Id"
	headerAttempt        = "Attempt"
	headerIdempotencyKey = "Idempotency-Key"
	headerPriority       = "Priority"
	headerResumeOffset   = "Resume-Offset"
	headerWeightsDigest  = "Weights-Digest"
	headerLoadGeneration = "Load-Generation"
	headerBootID         = "Boot-Id"
	headerFencingNumber  = "Fencing-Number"
	headerOrderID        = "Order-Id"
)

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// GenerateResponse is the response to a generate call that isn't streamed. Tokens includes the tokens skipped by a resume. Digest and
// Generation are those at the end of the run.
type GenerateResponse struct {
	RequestID  string `json:"request_id"`
	Text       string `json:"text"`
	Tokens     int    `json:"tokens"`
	Digest     string `json:"digest"`
	Generation int64  `json:"generation"`
}

// TokenEvent is the data of one token of a stream.
type TokenEvent struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

// EndEvent is the data of the last event of a stream, "done" or "cancelled". Tokens includes the tokens skipped by a resume.
type EndEvent struct {
	Tokens     int    `json:"tokens"`
	Digest     string `json:"digest"`
	Generation int64  `json:"generation"`
}

// CancelRequest is the body of POST /v1/cancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CancelResponse is the response to a cancel call. Cancelled reports whether a request with this id was running or waiting.
type CancelResponse struct {
	RequestID string `json:"request_id"`
	Cancelled bool   `json:"cancelled"`
}

// LoadResponse is the response to a successful load order: the weights that are now loaded.
type LoadResponse struct {
	Digest     string `json:"digest"`
	Generation int64  `json:"generation"`
}

// FencingResponse is the body of a response with status 409: the fencing number of the last accepted order.
type FencingResponse struct {
	Fencing int64 `json:"fencing"`
}

// RoleOrder is the body of POST /orders/role.
type RoleOrder struct {
	Role          string `json:"role"`
	FencingNumber int64  `json:"fencing_number"`
	OrderID       string `json:"order_id"`
}

// RoleResponse is the response to a role order: the role that the engine now has.
type RoleResponse struct {
	Role string `json:"role"`
}

// State is the response to GET /state.
type State struct {
	BootID        string `json:"boot_id"`
	Digest        string `json:"digest"`
	Generation    int64  `json:"generation"`
	FencingNumber int64  `json:"fencing_number"`
	Loading       bool   `json:"loading"`
	Role          string `json:"role"`
	Load          Load   `json:"load"`
}

// Load is the load of an engine at AsOfMS, a Unix time in milliseconds. KVUsed is the number of tokens held for running requests, where
// four characters of a prompt count as one token.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	KVUsed  int   `json:"kv_used"`
	AsOfMS  int64 `json:"as_of_ms"`
}

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// Events is the response to GET /events. Next is the value for the parameter "after" of the next call.
type Events struct {
	Events []CacheEvent `json:"events"`
	Next   int64        `json:"next"`
}

// RunEntry is the log entry of one request that ran. Times are Unix times in milliseconds. Tokens is the number of tokens generated in
// this run, without those skipped by a resume.
type RunEntry struct {
	Engine         string `json:"engine"`
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id"`
	Attempt        string `json:"attempt"`
	IdempotencyKey string `json:"idempotency_key"`
	StartMS        int64  `json:"start_ms"`
	EndMS          int64  `json:"end_ms"`
	Outcome        string `json:"outcome"`
	Tokens         int    `json:"tokens"`
	DigestStart    string `json:"digest_start"`
	DigestEnd      string `json:"digest_end"`
	Generation     int64  `json:"generation"`
}

// LoadEntry is the log entry of one order to load. Times are Unix times in milliseconds.
type LoadEntry struct {
	Engine        string `json:"engine"`
	Kind          string `json:"kind"`
	OrderID       string `json:"order_id"`
	Digest        string `json:"digest"`
	ContentSHA256 string `json:"content_sha256"`
	Generation    int64  `json:"generation"`
	FencingNumber int64  `json:"fencing_number"`
	StartMS       int64  `json:"start_ms"`
	EndMS         int64  `json:"end_ms"`
	Outcome       string `json:"outcome"`
}

// Stats contains the counters of one engine since the start of the stand-in, and its current numbers of running and waiting requests.
type Stats struct {
	Runs    int64 `json:"runs"`
	Tokens  int64 `json:"tokens"`
	Loads   int64 `json:"loads"`
	Crashes int64 `json:"crashes"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// PrefixHits counts the prompts whose prefix was in the cache, and PrefixMisses the others.
	PrefixHits   int64 `json:"prefix_hits"`
	PrefixMisses int64 `json:"prefix_misses"`
}

// Faults are the faults of one engine that can be injected at run time.
type Faults struct {
	// SlowFactor multiplies the duration of a step and of a prefill.
	SlowFactor float64 `json:"slow_factor"`
	// Freeze makes calls and steps block, without sending any bytes, until it is cleared.
	Freeze bool `json:"freeze"`
	// SilentMS makes the engine freeze immediately and go on after that time, in milliseconds; the field is then reset to 0.
	SilentMS int64 `json:"silent_ms"`
	// CrashOn, if not empty, is a text that crashes the engine when a request whose prompt contains it starts to run.
	CrashOn string `json:"crash_on"`
	// Crash crashes the engine immediately; the field is then reset to false.
	Crash bool `json:"crash"`
	// RestartMS is the time for which a crashed engine is unavailable, in milliseconds.
	RestartMS int64 `json:"restart_ms"`
	// DropLoadResponse is the number of next loads that take effect but whose connection is reset instead of sending the response.
	DropLoadResponse int `json:"drop_load_answer"`
}
