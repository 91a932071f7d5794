package rig

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workTime is how long an upstream works on a request.
const workTime = 60 * time.Millisecond

const (
	// downTime is how long an upstream is down after a crash.
	downTime = 2 * time.Second
	// lapseTime is how long after its crash the entry of an instance is removed from the store: three status report intervals.
	lapseTime = 3600 * time.Millisecond
)

// Upstream is a stand-in for an upstream of a plain service. It is sound: it runs each request that it has read, and answers it.
type Upstream struct {
	// Name is the upstream's name in the record. Each start of it has an id of its own in the store.
	Name string
	// CrashBody is the body of the request that crashes the upstream when it begins to run it; nil for none.
	CrashBody []byte

	rig            *Rig
	service        string
	address        string
	slots, started int

	mu sync.Mutex
	// id is the id of the present instance, and server serves it.
	id     string
	server *http.Server
	// silentUntil is the end of the present silence.
	silentUntil time.Time
	// runs holds how often each request has run.
	runs map[string]int
}

// answerBytes is the length of an answer's body.
const answerBytes = 800

// StartUpstream serves an upstream of a service and registers it in the store.
func (r *Rig) StartUpstream(name, service string, slots int) (*Upstream, error) {
	u := &Upstream{Name: name, rig: r, service: service, slots: slots, runs: map[string]int{}}
	u.address = fmt.Sprintf("%s:%d", r.NextIP(), enginePort)
	return u, u.start()
}

// start starts an instance.
func (u *Upstream) start() error {
	l, err := net.Listen("tcp4", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.started++
	u.id, u.server = fmt.Sprintf("%s-%d", u.Name, u.started), newServer(u)
	go func(s *http.Server) { _ = s.Serve(l) }(u.server) // Ends with a crash or with the process.
	u.rig.Store.Put("servers", u.id, with(wire.Registration, map[string]any{
		"service": u.service, "address": u.address, "slots": u.slots, "born": time.Now().UnixMilli(),
	}))
	u.rig.Logf("%s starts as %s", u.Name, u.id)
	return nil
}

// crash ends the present instance, with all its channels. The upstream is back after downTime.
func (u *Upstream) crash() {
	u.mu.Lock()
	id, server := u.id, u.server
	u.mu.Unlock()
	u.rig.Logf("%s crashes", id)
	_ = server.Close()
	time.AfterFunc(lapseTime, func() { u.rig.Store.Delete("servers", id) })
	time.AfterFunc(downTime, func() {
		if err := u.start(); err != nil {
			u.rig.Logf("%s could not start again: %v", u.Name, err)
		}
	})
}

// ID returns the id of the present instance.
func (u *Upstream) ID() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id
}

// FallSilent lets the upstream send nothing for a while. It goes on with all that it has read then.
func (u *Upstream) FallSilent(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.silentUntil = time.Now().Add(d)
}

// Runs returns how often a request has run.
func (u *Upstream) Runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// ServeHTTP runs a request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire.ExpectedInstance); expected != "" && expected != u.ID() {
		w.Header().Set("Instance-Id", u.ID())
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", u.ID())
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(wire.RequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.rig.Logf("%s got %d bytes of request %s, then: %v", u.Name, len(body), id, err)
		return
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	u.rig.Logf("%s runs request %s (%s %s, %d bytes, tenant %q)", u.Name, id, r.Method, r.URL.Path, len(body), r.Header.Get("Tenant"))
	if u.CrashBody != nil && bytes.Equal(body, u.CrashBody) {
		u.crash()
		return
	}
	time.Sleep(workTime)
	u.waitForSilence()
	w.Header().Set(wire.RequestID, id)
	w.Header().Set(wire.Seal, "seal."+u.Name+"."+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(answerBytes))
	if _, err := io.WriteString(w, strings.Repeat("x", answerBytes)); err != nil {
		u.rig.Logf("%s could not write its answer to %s: %v", u.Name, id, err)
		return
	}
	u.rig.Logf("%s has answered request %s", u.Name, id)
}

// waitForSilence waits until the upstream isn't silent.
func (u *Upstream) waitForSilence() {
	for {
		u.mu.Lock()
		left := time.Until(u.silentUntil)
		u.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}
