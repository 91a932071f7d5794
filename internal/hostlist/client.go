// Package hostlist is the client of the platform's list of hosts, which is eventually consistent.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/core/member"
)

// maxAnswerBytes bounds how much of the answer is read, in bytes.
const maxAnswerBytes = 16 << 20

type answer struct {
	Hosts []member.Listed `json:"hosts"`
}

// Client reads the platform's list of hosts.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the list at the URL base.
func NewClient(base string, c *http.Client) *Client { return &Client{base: base, http: c} }

// Hosts reads the list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]member.Listed, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request for the host list")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "reading the host list")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("reading the host list: status %d", resp.StatusCode)
	}
	var a answer
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a)
	return a.Hosts, errors.Wrap(err, "decoding the host list")
}
