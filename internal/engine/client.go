// Package engine is the client of a model engine. It reads the engine's state and sends it orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Headers that engines read and write.
const (
	HeaderRequestID  = "Request-Id"
	HeaderAttempt    = "Attempt"
	HeaderDigest     = "Weights-Digest"
	HeaderGeneration = "Load-Generation"
	HeaderFencing    = "Fencing-Number"
	HeaderOrder      = "Order-Id"
	HeaderBoot       = "Boot-Id"
)

// contentType is the media type of orders in JSON.
const contentType = "application/json"

// maxAnswerBytes bounds how much of an engine's answer is read, in bytes.
const maxAnswerBytes = 1 << 20

// Load is an engine's report of its load. The report lags behind the actual load.
type Load struct {
	// Running is the number of requests that the engine runs.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's queue.
	Waiting int `json:"waiting"`
	// KVUsed is the number of tokens that the KV cache holds for running requests.
	KVUsed float64 `json:"kv_used"`
	// AsOfMS is the time at which the load was measured, in Unix milliseconds.
	AsOfMS int64 `json:"as_of_ms"`
}

// State is the state that an engine reports.
type State struct {
	BootID     string `json:"boot_id"`
	Digest     string `json:"digest"`
	Generation uint64 `json:"generation"`
	Fencing    uint64 `json:"fencing_number"`
	Loading    bool   `json:"loading"`
	Role       string `json:"role"`
	Load       Load   `json:"load"`
}

// Order is a load order.
type Order struct {
	ID         string
	Digest     string
	Generation uint64
	// Fencing is the agent's fencing number from package core/incarnation.
	Fencing uint64
	// Content is the complete weights.
	Content io.Reader
	// Size is the length of Content in bytes.
	Size int64
}

// ErrSupersededFencing means that the engine has already accepted an order with a newer fencing number, from a newer
// instance of the agent.
var ErrSupersededFencing = errors.New("engine rejected an old fencing number")

// Client calls the HTTP API of engines.
type Client struct{ http *http.Client }

// NewClient returns a Client that sends its calls through c.
func NewClient(c *http.Client) *Client { return &Client{http: c} }

// State reads the state of the engine at the URL base.
func (c *Client) State(ctx context.Context, base string) (State, error) {
	var s State
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/state", nil)
	if err != nil {
		return s, errors.Wrapf(err, "building the request for the state of %s", base)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return s, errors.Wrapf(err, "reading the state of %s", base)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return s, errors.Errorf("reading the state of %s: status %d", base, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&s)
	return s, errors.Wrapf(err, "decoding the state of %s", base)
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Seq    int64  `json:"seq"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

// EvictedKind is the Kind of a CacheEvent that reports the eviction of a prefix.
const EvictedKind = "evicted"

// CacheEvents are the changes of a prefix cache after a sequence number.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to pass to the next read.
	Next int64 `json:"next"`
}

// CacheEvents reads the changes of the prefix cache of the engine at the URL base after the sequence number after.
func (c *Client) CacheEvents(ctx context.Context, base string, after int64) (CacheEvents, error) {
	var e CacheEvents
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/events?after="+strconv.FormatInt(after, 10), nil)
	if err != nil {
		return e, errors.Wrapf(err, "building the request for the cache events of %s", base)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return e, errors.Wrapf(err, "reading the cache events of %s", base)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return e, errors.Errorf("reading the cache events of %s: status %d", base, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&e)
	return e, errors.Wrapf(err, "decoding the cache events of %s", base)
}

// LoadWeights orders the engine at the URL base to load a version of weights. It returns when the engine serves the
// version, or with ErrSupersededFencing if the engine has accepted an order with a newer fencing number.
func (c *Client) LoadWeights(ctx context.Context, base string, o Order) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, base+"/orders/load", o.Content)
	if err != nil {
		return errors.Wrapf(err, "building the load order for %s", base)
	}
	req.ContentLength = o.Size
	req.Header.Set(HeaderFencing, strconv.FormatUint(o.Fencing, 10))
	req.Header.Set(HeaderDigest, o.Digest)
	req.Header.Set(HeaderGeneration, strconv.FormatUint(o.Generation, 10))
	req.Header.Set(HeaderOrder, o.ID)
	return errors.Wrapf(c.sendOrder(req), "ordering %s to load weights", base)
}

// RoleOrder is an order to take a role: prefill, decode or both.
type RoleOrder struct {
	Role string `json:"role"`
	// Fencing is the agent's fencing number from package core/incarnation.
	Fencing uint64 `json:"fencing_number"`
	// ID identifies the order.
	ID string `json:"order_id"`
}

// SetRole orders the engine at the URL base to take a role.
func (c *Client) SetRole(ctx context.Context, base string, o RoleOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrapf(err, "encoding the role order for %s", base)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/orders/role", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "building the role order for %s", base)
	}
	req.Header.Set("Content-Type", contentType)
	return errors.Wrapf(c.sendOrder(req), "ordering %s to take role %s", base, o.Role)
}

// sendOrder sends an order and returns an error unless the engine accepted it.
func (c *Client) sendOrder(req *http.Request) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending the order")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrSupersededFencing
	}
	return errors.Errorf("status %d", resp.StatusCode)
}
