// Package source is the client of the weight store and of the origin of weights. Both have the same HTTP API.
package source

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/boundedread"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/manifest"
)

// ErrNotFound means that the source does not have the version.
var ErrNotFound = errors.New("version not found at the source")

// ErrGone means that the source no longer has the version, because later ones have replaced it.
var ErrGone = errors.New("version no longer at the source")

// BusyError means that the source rejected a call because of a rate limit. RetryAfter is the delay before the next try.
type BusyError struct{ RetryAfter time.Duration }

// Error describes the rejection.
func (e *BusyError) Error() string { return fmt.Sprintf("busy, retry after %v", e.RetryAfter) }

// defaultRetryAfter is the delay when a source gives no valid Retry-After.
const defaultRetryAfter = time.Second

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// Client reads weights from one source.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the source at the URL base.
func NewClient(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Manifest reads the manifest of a version and returns its exact bytes, of which the digest is computed. It returns more
// than manifest.MaxBytes bytes, cut off, for a manifest that is too large.
func (c *Client) Manifest(ctx context.Context, ref weights.Ref) ([]byte, error) {
	body, err := c.get(ctx, ref, "manifest", "")
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	raw, err := boundedread.All(body, manifest.MaxBytes)
	return raw, errors.Wrapf(err, "reading the manifest of %v", ref)
}

// Data opens a reader of length bytes of a version's content, starting at offset. The caller must close it.
func (c *Client) Data(ctx context.Context, ref weights.Ref, offset, length int64) (io.ReadCloser, error) {
	return c.get(ctx, ref, "data", fmt.Sprintf("bytes=%d-%d", offset, offset+length-1))
}

func (c *Client) get(ctx context.Context, ref weights.Ref, what, byteRange string) (io.ReadCloser, error) {
	path := fmt.Sprintf("%s/v1/weights/%s/%s/%s/%s", c.base, url.PathEscape(ref.Model), url.PathEscape(ref.Adapter), url.PathEscape(ref.Version), what)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "building the request for %s", path)
	}
	if byteRange != "" {
		req.Header.Set("Range", byteRange)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "get %s", path)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusPartialContent:
		return resp.Body, nil
	case http.StatusNotFound:
		err = ErrNotFound
	case http.StatusTooManyRequests:
		err = &BusyError{RetryAfter: retryAfter(resp.Header)}
	default:
		err = errors.Errorf("get %s: status %d", path, resp.StatusCode)
	}
	_ = resp.Body.Close()
	return nil, err
}
