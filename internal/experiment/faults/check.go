package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/demo/answer"
	"samphireweir.example/samphireweir/internal/demo/layout"
)

const (
	applyLimit = 15 * time.Second
	applyPause = 500 * time.Millisecond
	checkPoll  = 100 * time.Millisecond
	checkWait  = 2 * time.Second
	// codeNoSuchService is the result code of an entry while a service's setting is not in force.
	codeNoSuchService = 2001
	spreadPolicy      = "time"
)

// apply applies an operator's change of a service's setting and returns the time at which it was accepted.
func (r *run) apply(ctx context.Context, service string, setting layout.Setting) (time.Time, error) {
	limited, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	return r.fleet.commandLine.Apply(limited, r.client, r.fleet.binary, service, setting)
}

// nextVersion applies the next version of the model.
func (r *run) nextVersion(ctx context.Context) error {
	r.version = r.version%versions + 1
	_, err := r.apply(ctx, layout.ModelService, layout.ModelSetting(r.hosts, versionName(r.version), spreadPolicy))
	return err
}

// outdatedEngines counts the engines that do not serve the version in force.
func (r *run) outdatedEngines(ctx context.Context) int {
	n := 0
	for _, host := range r.hosts {
		state, err := r.client.EngineState(ctx, r.standIns.Engines, host.Engine)
		if err != nil || state.Loading || state.Digest != r.manifests[versionName(r.version)].Digest {
			n++
		}
	}
	return n
}

// check applies the setting of a new service and polls each entry as a caller until the setting is in force there.
type check struct {
	run     *run
	service string
	cancel  context.CancelFunc
	done    sync.WaitGroup

	mutex             sync.Mutex
	accepted, inForce time.Time
	waiting           map[int]bool
}

func (r *run) startCheck(ctx context.Context) *check {
	r.checks++
	ctx, cancel := context.WithCancel(ctx)
	c := &check{run: r, service: fmt.Sprintf("check-%d", r.checks), cancel: cancel, waiting: map[int]bool{}}
	for index := range r.fleet.entries {
		c.waiting[index] = true
	}
	callers := r.callers()
	c.done.Go(func() { c.pollEntries(ctx, callers) })
	return c
}

func (c *check) pollEntries(ctx context.Context, callers []string) {
	if pause(ctx, applyPause) != nil || !c.apply(ctx) {
		return
	}
	client := &http.Client{Timeout: checkWait}
	defer client.CloseIdleConnections()
	for c.missing() > 0 && pause(ctx, checkPoll) == nil {
		for index, address := range callers {
			c.poll(ctx, client, index, address)
		}
	}
}

// apply retries until the setting is accepted. It reports whether that happened before ctx ended.
func (c *check) apply(ctx context.Context) bool {
	for {
		accepted, err := c.run.apply(ctx, c.service, layout.PlainSetting())
		if err == nil {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			c.accepted = accepted
			return true
		}
		if pause(ctx, applyPause) != nil {
			return false
		}
	}
}

func (c *check) poll(ctx context.Context, client *http.Client, index int, address string) {
	c.mutex.Lock()
	wanted := c.waiting[index]
	c.mutex.Unlock()
	if !wanted || !hasSetting(ctx, client, "http://"+address+"/"+layout.Team+"/"+c.service+"/check") {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, index)
	c.inForce = time.Now()
}

// hasSetting reports whether an entry has the setting of a service: its refusal then has another code than "no such service".
func hasSetting(ctx context.Context, client *http.Client, url string) bool {
	message, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(message)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var problem answer.Problem
	if json.NewDecoder(response.Body).Decode(&problem) != nil {
		return false
	}
	return problem.Code != 0 && problem.Code != codeNoSuchService && problem.Code != codeNotReady
}

// missing counts the entries that don't have the setting yet.
func (c *check) missing() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.waiting)
}

// stop ends the polling and returns the times of acceptance and of the setting coming into force. The latter is zero if the setting is not in force
// at all entries.
func (c *check) stop() (accepted, inForce time.Time) {
	c.cancel()
	c.done.Wait()
	if c.missing() > 0 {
		return c.accepted, time.Time{}
	}
	return c.accepted, c.inForce
}

// codeNotReady is the result code of an entry that has not read any setting yet.
const codeNotReady = 2008
