// Package objectapi is the client of the platform's object API.
package objectapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/storerev"
)

// MaxValueBytes is the size limit of a value in the platform's object API, in bytes.
const MaxValueBytes = 1 << 20

// maxAnswerBytes bounds how much of one answer is read, in bytes.
const maxAnswerBytes = 64 << 20

// eraHeader is in all answers of an object API that may be restored from a copy. Its value rises by one each time.
const eraHeader = "Store-Era"

// Item is one object or one change of an object.
type Item struct {
	Key string `json:"key"`
	// Version is the revision of the object's last write, in the era in which it was read; see storerev.Revision.Packed. It never goes
	// back, also when the object API is restored from a copy.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"`
}

// Listing is a consistent read of several objects.
type Listing struct {
	// Revision is the revision of the store at which the objects were read; see storerev.Revision.Packed.
	Revision uint64 `json:"revision"`
	Items    []Item `json:"items"`
}

// setEra replaces the revision numbers that an answer holds by packed revisions of an era.
func (l *Listing) setEra(era int64) {
	l.Revision = inEra(era, l.Revision)
	for i := range l.Items {
		l.Items[i].Version = inEra(era, l.Items[i].Version)
	}
}

// inEra returns the packed revision of a number in an era. 0, for an object that doesn't exist, stays.
func inEra(era int64, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return storerev.Revision{Era: era, Number: int64(number)}.Packed()
}

// ErrNotFound means that the object does not exist.
var ErrNotFound = errors.New("object not found")

// ErrGone means that the platform has no history from the revision of a watch on: it no longer keeps it, or it was restored
// from a copy. The caller must list the objects again.
var ErrGone = errors.New("revision no longer kept")

// ConflictError means that the object's version differs from the version in the condition. Nothing was written. Current
// is the object as it is.
type ConflictError struct{ Current Item }

// Error describes the conflict.
func (e *ConflictError) Error() string {
	return "version conflict on " + e.Current.Key + ": present version " + strconv.FormatUint(e.Current.Version, 10)
}

// RejectedError means that the platform rejected a call without carrying it out, because of a rate limit or an outage.
type RejectedError struct {
	// Status is the HTTP status.
	Status int
	// RetryAfter is the delay that the platform asked for; 0 when it gave none.
	RetryAfter time.Duration
}

// Error describes the rejection.
func (e *RejectedError) Error() string {
	return "platform rejected the call with status " + strconv.Itoa(e.Status)
}

// Client calls the platform's object API.
type Client struct {
	base string
	http *http.Client
	eras storerev.Tracker
}

// NewClient returns a client for the API at base (such as http://127.0.0.1:7000).
func NewClient(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Era returns the latest era of the object API of which any answer told; 0 if none did.
func (c *Client) Era() int64 { return c.eras.Latest() }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (Item, error) {
	var item Item
	era, err := c.call(ctx, http.MethodGet, "/v1/objects/"+key, nil, nil, &item)
	item.Version = inEra(era, item.Version)
	return item, err
}

// Put writes an object on condition that its version is ifVersion; 0 means that it must not exist. It returns a
// *ConflictError if the condition does not hold.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Item, error) {
	return c.write(ctx, http.MethodPut, key, value, ifVersion)
}

// Delete removes an object on condition that its version is ifVersion. It returns a *ConflictError if the condition does
// not hold.
func (c *Client) Delete(ctx context.Context, key string, ifVersion uint64) (Item, error) {
	return c.write(ctx, http.MethodDelete, key, nil, ifVersion)
}

// write makes a conditional write. A version of another era than the latest known one is compared here, because the platform may have given
// its number to another write meanwhile.
func (c *Client) write(ctx context.Context, method, key string, value []byte, ifVersion uint64) (Item, error) {
	condition := storerev.Unpack(ifVersion)
	if ifVersion != 0 && condition.Era != c.eras.Latest() {
		present, err := c.Get(ctx, key)
		if err != nil && !errors.Is(err, ErrNotFound) {
			return Item{}, err
		}
		if present.Version != ifVersion {
			return Item{}, &ConflictError{Current: present}
		}
	}
	var item Item
	era, err := c.call(ctx, method, "/v1/objects/"+key, versionCondition(condition.Number), value, &item)
	item.Version = inEra(era, item.Version)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Current.Version = inEra(era, conflict.Current.Version)
	}
	return item, err
}

// List reads all objects whose key begins with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var l Listing
	era, err := c.call(ctx, http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil, nil, &l)
	l.setEra(era)
	return l, err
}

// Watch waits up to wait for changes after the revision after. It returns them with the revision to continue from, or
// ErrGone if the platform does not have the changes after that revision.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error) {
	since := storerev.Unpack(after)
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", strconv.FormatInt(since.Number, 10))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	var l Listing
	era, err := c.call(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, nil, &l)
	if err == nil && era != since.Era {
		return Listing{}, ErrGone
	}
	l.setEra(era)
	return l, err
}

// versionCondition returns the header that makes a write conditional on an object's version.
func versionCondition(number int64) http.Header {
	h := http.Header{}
	h.Set("If-Version", strconv.FormatInt(number, 10))
	return h
}

// call makes a call and decodes its answer into into. It returns the era of the object API, also with the error of an answer.
func (c *Client) call(ctx context.Context, method, path string, header http.Header, body []byte, into any) (era int64, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrapf(err, "building request %s %s", method, path)
	}
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrapf(err, "%s %s", method, path)
	}
	defer func() { _ = resp.Body.Close() }()
	if era, err = c.eras.Record(resp.Header.Get(eraHeader)); err != nil {
		return 0, errors.Wrapf(err, "%s %s", method, path)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, errors.Wrapf(err, "reading the answer to %s %s", method, path)
	}
	return era, decode(resp, raw, into)
}

// decode decodes a successful answer into into, and returns the error that another status stands for.
func decode(resp *http.Response, raw []byte, into any) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return errors.Wrap(json.Unmarshal(raw, into), "decoding the platform's answer")
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusGone:
		return ErrGone
	case http.StatusConflict:
		conflict := &ConflictError{}
		if err := json.Unmarshal(raw, &conflict.Current); err != nil {
			return errors.Wrap(err, "decoding the platform's version conflict")
		}
		return conflict
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &RejectedError{Status: resp.StatusCode, RetryAfter: time.Duration(seconds) * time.Second}
}
