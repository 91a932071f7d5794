package operator

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

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/fleet"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// pollInterval is the time between two counts of the processes that have a change in force.
	pollInterval = 500 * time.Millisecond
	// maxAnswerBytes is the maximum size of a process's answer.
	maxAnswerBytes = 16 << 20
)

// FleetClient is a client of one process of the system, which reports on all processes.
type FleetClient struct {
	// Base is the URL of the process's address for operators or for peers, without a slash at its end.
	Base string
	// HTTP is the client that sends the requests.
	HTTP *http.Client
	// Secret is the secret shared by the system's processes. It is needed only if Base is the address for peers.
	Secret string
}

// InForce returns how many processes have a revision of a setting in force.
func (f *FleetClient) InForce(ctx context.Context, key string, revision uint64) (fleet.InForce, error) {
	q := url.Values{}
	q.Set("key", key)
	q.Set("revision", strconv.FormatUint(revision, 10))
	var inForce fleet.InForce
	err := f.call(ctx, http.MethodGet, fleet.InForcePath+"?"+q.Encode(), nil, &inForce)
	return inForce, err
}

// Preview returns what a setting would change at the hosts.
func (f *FleetClient) Preview(ctx context.Context, key string, s *setting.Setting) (fleet.Preview, error) {
	var preview fleet.Preview
	body, err := json.Marshal(s)
	if err != nil {
		return preview, errors.Wrap(err, "encode setting")
	}
	q := url.Values{}
	q.Set("key", key)
	err = f.call(ctx, http.MethodPost, fleet.PreviewPath+"?"+q.Encode(), body, &preview)
	return preview, err
}

// Status returns what the process knows about what should run, what runs and what is wrong.
func (f *FleetClient) Status(ctx context.Context) (fleet.Status, error) {
	var status fleet.Status
	err := f.call(ctx, http.MethodGet, fleet.StatusPath, nil, &status)
	return status, err
}

// Wait polls until every process has the revision in force or ctx ends, and returns the result of the last poll. It calls report after each
// successful poll; failed ones are retried.
func (f *FleetClient) Wait(ctx context.Context, key string, revision uint64, report func(fleet.InForce)) (fleet.InForce, error) {
	for {
		inForce, err := f.InForce(ctx, key, revision)
		if err == nil {
			report(inForce)
			if inForce.Everywhere() {
				return inForce, nil
			}
		}
		if !sleep(ctx, pollInterval) {
			return inForce, errors.Wrap(ctx.Err(), "wait until the change is in force everywhere")
		}
	}
}

// call sends a request and decodes the JSON answer into result. Any status but 200 is an error.
func (f *FleetClient) call(ctx context.Context, method, path string, body []byte, result any) error {
	req, err := http.NewRequestWithContext(ctx, method, f.Base+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "create request %s %s", method, path)
	}
	if f.Secret != "" {
		control.Authorize(req.Header, f.Secret)
	}
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call process at %s", f.Base)
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrapf(err, "read answer of %s", f.Base)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("process at %s answered %s with status %d: %s", f.Base, path, resp.StatusCode, raw)
	}
	return errors.Wrapf(json.Unmarshal(raw, result), "decode answer of %s", f.Base)
}
