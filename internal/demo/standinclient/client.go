package standinclient

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	requestTimeout  = 20 * time.Second
	maxLineBytes    = 1 << 20 // bytes of one log line
	maxIdleConns    = 64
	maxErrorExcerpt = 300 // bytes of an error response that an error quotes
)

// Client calls the stand-ins, and the product's operator API, on loopback.
type Client struct {
	http *http.Client
}

// NewClient returns a client that uses no proxy.
func NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	return &Client{http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Register adds a host to the host list.
func (c *Client) Register(ctx context.Context, hostList string, host ListedHost) error {
	host.State = stateLive
	body, err := json.Marshal(host)
	if err != nil {
		return errors.Wrap(err, "encoding a listed host")
	}
	_, err = c.call(ctx, http.MethodPut, "http://"+hostList+"/admin/hosts", body)
	return err
}

// Unregister removes the host with this address (IP:PORT) from the host list.
func (c *Client) Unregister(ctx context.Context, hostList, address string) error {
	_, err := c.call(ctx, http.MethodDelete, "http://"+hostList+"/admin/hosts?address="+address, nil)
	return err
}

// SetFaults merges faults, a JSON object, into the faults that a stand-in injects at present.
func (c *Client) SetFaults(ctx context.Context, standIn, faults string) error {
	_, err := c.call(ctx, http.MethodPost, "http://"+standIn+"/admin/faults", []byte(faults))
	return err
}

// Ready reports whether the process of the product with this operator address (IP:PORT) is ready.
func (c *Client) Ready(ctx context.Context, operators string) bool {
	return c.Succeeds(ctx, "http://"+operators+"/ready")
}

// Succeeds reports whether a GET of the URL succeeds.
func (c *Client) Succeeds(ctx context.Context, url string) bool {
	_, err := c.call(ctx, http.MethodGet, url, nil)
	return err == nil
}

// EngineState returns the state of one engine; engines is the address (IP:PORT) of the stand-in.
func (c *Client) EngineState(ctx context.Context, engines, name string) (EngineState, error) {
	var state EngineState
	err := c.readJSON(ctx, "http://"+engines+"/"+name+"/state", &state)
	return state, err
}

// Manifest returns the manifest of a version with its digest, which is the SHA-256 of the manifest as it was sent.
func (c *Client) Manifest(ctx context.Context, origin, model, adapter, version string) (Manifest, error) {
	url := "http://" + origin + "/v1/weights/" + model + "/" + adapter + "/" + version + "/manifest"
	body, err := c.call(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Manifest{}, err
	}
	var manifest Manifest
	if err := json.Unmarshal(body, &manifest); err != nil {
		return Manifest{}, errors.Wrap(err, "decoding a manifest")
	}
	digest := sha256.Sum256(body)
	manifest.Digest = hex.EncodeToString(digest[:])
	return manifest, nil
}

// ObjectVersion returns the version of an object in the object API; 0 if there is no such object.
func (c *Client) ObjectVersion(ctx context.Context, objectAPI, key string) (int64, error) {
	var list objectList
	err := c.readJSON(ctx, "http://"+objectAPI+"/v1/list?prefix="+key, &list)
	for _, item := range list.Items {
		if item.Key == key {
			return item.Version, err
		}
	}
	return 0, err
}

// WeightStats returns the counters of the store or origin at this address (IP:PORT).
func (c *Client) WeightStats(ctx context.Context, address string) (WeightStats, error) {
	var stats WeightStats
	err := c.readJSON(ctx, "http://"+address+"/admin/stats", &stats)
	return stats, err
}

// EngineLog returns the log of all engines.
func (c *Client) EngineLog(ctx context.Context, engines string) ([]EngineLine, error) {
	body, err := c.call(ctx, http.MethodGet, "http://"+engines+"/admin/log", nil)
	if err != nil {
		return nil, err
	}
	return decodeLines[EngineLine](body)
}

// PlainLog returns the log of all plain services.
func (c *Client) PlainLog(ctx context.Context, plain string) ([]PlainLine, error) {
	body, err := c.call(ctx, http.MethodGet, "http://"+plain+"/admin/log", nil)
	if err != nil {
		return nil, err
	}
	return decodeLines[PlainLine](body)
}

// decodeLines decodes one JSON value per line; empty lines are skipped.
func decodeLines[T any](body []byte) ([]T, error) {
	var lines []T
	scanner := bufio.NewScanner(bytes.NewReader(body))
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var line T
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrapf(err, "decoding the log line %s", scanner.Text())
		}
		lines = append(lines, line)
	}
	return lines, errors.Wrap(scanner.Err(), "reading a log")
}

func (c *Client) readJSON(ctx context.Context, url string, into any) error {
	body, err := c.call(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(body, into), "decoding the response of %s", url)
}

// call sends a request and returns the body of the response. A status of 300 or above is an error.
func (c *Client) call(ctx context.Context, method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "creating a request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrapf(err, "reading the response of %s", url)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		excerpt := responseBody[:min(len(responseBody), maxErrorExcerpt)]
		return nil, errors.Errorf("%s %s: %s: %s", method, url, response.Status, excerpt)
	}
	return responseBody, nil
}
