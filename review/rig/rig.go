// Package rig runs a case of the review: it starts entries as the deploy file does, serves the stand-ins that they talk to on loopback
// addresses, and writes what was sent, answered and run to the case's record.
package rig

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	// Held says that the rule held.
	Held = 0
	// Broken says that the rule was broken.
	Broken = 1
	// NotRun says that the case couldn't run.
	NotRun = 2
)

// The ports of each machine, which has a loopback address of its own.
const (
	frontPort   = 8005
	readyPort   = 8002
	controlPort = 8000
	peerPort    = 7700
	storePort   = 8007
	enginePort  = 8744
)

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Rig is one run of a case.
type Rig struct {
	// Store is the platform's metadata store.
	Store *Store

	dir      string
	prefix   string
	machines int
	start    time.Time

	mu      sync.Mutex
	record  io.WriteCloser
	entries []*Entry
	closed  bool
}

// New returns a rig that writes its record to a file. The processes' files are in a temporary folder.
func New(record string) (*Rig, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "samphireweir-review")
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: NewStore(), dir: dir, start: time.Now(), record: f}
	r.prefix, err = freePrefix()
	return r, err
}

// freePrefix returns the first three bytes of loopback addresses of which none is in use.
func freePrefix() (string, error) {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp4", prefix+".1:"+fmt.Sprint(frontPort))
		if err != nil {
			continue
		}
		return prefix, l.Close()
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// NextIP returns the address of one more machine.
func (r *Rig) NextIP() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines++
	return fmt.Sprintf("%s.%d", r.prefix, r.machines)
}

// Logf adds a line to the record, with the seconds since the start.
func (r *Rig) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// Serve serves a stand-in on an address until the process ends.
func (r *Rig) Serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = newServer(h).Serve(l) }() // Ends with the process.
	return nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
}

// Entry is a process of the system on a machine that clients reach.
type Entry struct {
	// Name is its machine, and Front the address that clients connect to.
	Name, Front string

	ready string
	cmd   *exec.Cmd
}

// settings is the platform's settings file of an entry; the figures are those of a small deployment.
const settings = `nodeName = "%[1]s"
role = "entry"
machineClass = "edge"
serves = ["edge","control"]
ip = "%[2]s"
zone = "perth-a"
region = "perth"
internalPorts = [%[3]d,%[4]d]
seeds = ["%[2]s:%[5]d"]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
[zones]
perth-a = "perth"
karratha-a = "pilbara"
bunbury-a = "southwest"
[listen]
front = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
control = "%[2]s:%[5]d"
[limits]
cpuShare = 0.304
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
revokeStrict = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retryExtra = 106
recoveryS = 12
passMs = 120
retryAfterS = 0
version_ms = 8000
version_all_ms = 0
[platform]
address = "%[8]s"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// program is the product's binary, as the deploy file builds it.
const program = "target/samphireweir"

// StartEntry starts an entry with the command of the deploy file.
func (r *Rig) StartEntry(name string) (*Entry, error) {
	ip, storeIP := r.NextIP(), r.NextIP()
	store := fmt.Sprintf("%s:%d", storeIP, storePort)
	if err := r.Serve(store, r.Store); err != nil {
		return nil, err
	}
	boot := filepath.Join(r.dir, name+".toml")
	text := fmt.Sprintf(settings, name, ip, peerPort, peerPort+15, controlPort, frontPort, readyPort, store)
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	e := &Entry{Name: name, Front: fmt.Sprintf("%s:%d", ip, frontPort), ready: fmt.Sprintf("http://%s:%d/v1/readyz", ip, readyPort)}
	e.cmd = exec.Command(program, "platform-entry", "-metrics-port", "9464")
	e.cmd.Env = append(os.Environ(), "SAMPHIREWEIR_BOOT="+boot)
	e.cmd.Stdout, e.cmd.Stderr = logFile, logFile
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	return e, e.waitUntilReady()
}

// waitUntilReady waits until the entry answers its readiness check with 200.
func (e *Entry) waitUntilReady() error {
	client := &http.Client{Timeout: time.Second}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		resp, err := client.Get(e.ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("entry %s isn't ready after 10 s", e.Name)
}

// Close ends the processes that the rig started and removes their files.
func (r *Rig) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.entries {
		_ = e.cmd.Process.Kill()
		_ = e.cmd.Wait()
	}
	r.closed = true
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
}

// Run runs a case and exits with its result.
func Run(record string, play func(*Rig) (broken bool, err error)) {
	os.Exit(run(record, play))
}

func run(record string, play func(*Rig) (bool, error)) int {
	r, err := New(record)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer r.Close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		r.Close()
		os.Exit(NotRun)
	}()
	broken, err := play(r)
	switch {
	case err != nil:
		r.Logf("could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return NotRun
	case broken:
		r.Logf("result: the rule was broken")
		return Broken
	}
	r.Logf("result: the rule held")
	return Held
}
