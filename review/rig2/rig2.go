// Package rig2 holds what the cases of the second review share: the platform's store, the start of entries and agents as processes, and the
// record of a run.
package rig2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held       = 0
	Broken     = 1
	CouldntRun = 2
)

// program is the project's program, as the deploy file builds it.
const program = "target/samphireweir"

// metricsPort is the port that the deploy file gives to both roles.
const metricsPort = "9464"

// maxRun is how long a run may take.
const maxRun = 115 * time.Second

// Case is one run of a case.
type Case struct {
	// Trouble is false for the run without the disruption.
	Trouble bool
	Store   *Store

	storeAddress string
	directory    string
	start        time.Time
	// mu guards the fields below. closing is set once the run ends, after which nothing is started.
	mu        sync.Mutex
	record    *os.File
	processes []*Process
	closing   bool
	hosts     int
	// network has the second and third byte of the loopback addresses of this run.
	network string
}

// Open starts a run whose record is written to a file. The run without the disruption is asked for with TROUBLE=0.
func Open(record string) *Case {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), network: fmt.Sprintf("%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250)}
	var err error
	if c.record, err = os.Create(record); err != nil {
		c.Fail("creating the record", err)
	}
	if c.directory, err = os.MkdirTemp("", "review-2-"); err != nil {
		c.Fail("creating a temporary folder", err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-stop:
			c.Fail("running", fmt.Errorf("%v", s))
		case <-time.After(maxRun):
			c.Fail("running", fmt.Errorf("not over after %v", maxRun))
		}
	}()
	c.Store = NewStore()
	c.storeAddress = c.Serve(c.IP(), c.Store)
	return c
}

// IP returns a loopback address of its own.
func (c *Case) IP() string {
	c.hosts++
	return fmt.Sprintf("127.%s.%d", c.network, c.hosts)
}

// Listen listens on any free port of an address.
func (c *Case) Listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		c.Fail("listening", err)
	}
	return l
}

// Serve serves a handler on any free port of an address, and returns where.
func (c *Case) Serve(ip string, h http.Handler) string {
	l := c.Listen(ip)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Fail ends a run that could not be made.
func (c *Case) Fail(what string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", what, err)
	c.Close(CouldntRun)
}

// Close ends all processes that the run has started, and exits.
func (c *Case) Close(code int) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		select {} // Another goroutine ends the run.
	}
	c.closing = true
	c.mu.Unlock()
	for _, p := range c.processes { // Nothing is added any more.
		p.Kill()
	}
	_ = os.RemoveAll(c.directory)
	if c.record != nil {
		c.Log("exit %d", code)
		_ = c.record.Close()
	}
	os.Exit(code)
}

// Process is a process of the project.
type Process struct {
	Name string
	// Front and Ready are where an entry takes callers' requests and the balancer's questions.
	Front, Ready string
	cmd          *exec.Cmd
	ended        chan struct{}
}

// FreeAddress returns an address with a free port.
func (c *Case) FreeAddress(ip string) string { return ip + ":" + c.freePort(ip) }

// freePort returns a free port of an address.
func (c *Case) freePort(ip string) string {
	l := c.Listen(ip)
	defer func() { _ = l.Close() }()
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// StartEntry starts an entry with the command of the deploy file, and waits until it is ready.
func (c *Case) StartEntry(name string) *Process {
	ip := c.IP()
	p := &Process{Name: name, Front: ip + ":" + c.freePort(ip), Ready: ip + ":" + c.freePort(ip)}
	c.run(p, "platform-entry", ip, "edge", fmt.Sprintf("[listen]\nfront = %q\nready = %q\n", p.Front, p.Ready), "")
	for range 200 {
		if p.IsReady() {
			c.Log("%s is ready, callers at %s", name, p.Front)
			return p
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Fail("waiting for "+name, fmt.Errorf("not ready"))
	return nil
}

// IsReady asks the process whether it is ready, as the platform's balancer does.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.Ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// StartAgent starts an agent with the command of the deploy file beside the engine at an address.
func (c *Case) StartAgent(name, ip, engine, service string) *Process {
	p := &Process{Name: name}
	c.run(p, "platform-agent", ip, "side", "[listen]\n", fmt.Sprintf("app = %q\nservice = %q\n", engine, service))
	return p
}

// memoryMB and linkMbps are the limits of the small deployments' machines, by class.
var (
	memoryMB = map[string]int{"edge": 284, "side": 152}
	linkMbps = map[string]string{"edge": "1000.0", "side": "7.6"}
)

// run starts a process with settings like those of the small deployments.
func (c *Case) run(p *Process, command, ip, class, listen, app string) {
	settings := fmt.Sprintf(`nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = "perth-a"
region = "perth"
internalPorts = [7700,7715]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"]
%s
[zones]
perth-a = "perth"
%s
[limits]
cpuShare = 0.304
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = %s
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
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`, p.Name, class, class, class, ip, app, listen, memoryMB[class], linkMbps[class], c.storeAddress)
	boot := filepath.Join(c.directory, p.Name+".toml")
	if err := os.WriteFile(boot, []byte(settings), 0o600); err != nil {
		c.Fail("writing settings", err)
	}
	log, err := os.Create(filepath.Join(c.directory, p.Name+".log"))
	if err != nil {
		c.Fail("creating a log", err)
	}
	p.cmd = exec.Command(program, command, "-metrics-port", metricsPort)
	p.cmd.Env = append(os.Environ(), "SAMPHIREWEIR_BOOT="+boot)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	c.launch(p)
	c.Log("started %s: %s -metrics-port %s", p.Name, command, metricsPort)
}

// StartServer starts the program of the case itself again, as a server with an id at an address, and waits until it takes connections.
func (c *Case) StartServer(name, address, id string) *Process {
	p := &Process{Name: name, cmd: exec.Command(os.Args[0], "server", address, id)}
	p.cmd.Stderr = os.Stderr
	c.launch(p)
	for range 200 {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Fail("waiting for "+name, fmt.Errorf("it takes no connections"))
	return nil
}

// launch starts a process, unless the run ends.
func (c *Case) launch(p *Process) {
	c.mu.Lock()
	if c.closing {
		c.mu.Unlock()
		select {} // The run ends.
	}
	err := p.cmd.Start()
	if err == nil {
		p.ended = make(chan struct{})
		c.processes = append(c.processes, p)
	}
	c.mu.Unlock()
	if err != nil {
		c.Fail("starting "+p.Name, err)
	}
	go func() {
		_ = p.cmd.Wait()
		c.Log("%s has ended", p.Name)
		close(p.ended)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.ended
}

// ProcessLog returns the lines of a process's log that contain a text.
func (c *Case) ProcessLog(p *Process, text string) []string {
	raw, _ := os.ReadFile(filepath.Join(c.directory, p.Name+".log"))
	var list []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.Contains(line, text) {
			list = append(list, line)
		}
	}
	return list
}

// Route is a route of the operator's manifest.
func Route(name, prefix, kind, service string, timeoutMS int) map[string]any {
	return map[string]any{
		"name": name, "host": "hulo84.example", Wire.Prefix: prefix, Wire.Kind: kind, "timeoutMs": timeoutMS, Wire.Aim: 300, "priority": 1,
		"service": service, "maxAttempts": 2, "anonymous": false, "sticky": false, "resumable": false,
	}
}

// Stream is a streaming route whose streams may be resumed.
func Stream(name, prefix, service string, timeoutMS int) map[string]any {
	r := Route(name, prefix, "streaming", service, timeoutMS)
	r["gapTargetMs"], r["resumable"] = 400, true
	return r
}

// Key is the key of the only tenant, Tenant.
const (
	Key    = "jnbanfqasnmgkcuyj8pj"
	Tenant = "bozi300"
	Host   = "hulo84.example"
)

// PutManifest writes a manifest with plain services.
func (c *Case) PutManifest(version int, routes []map[string]any, services ...string) {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	c.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	})
}

// PutServer registers a server of a plain service.
func (c *Case) PutServer(id, service, address, state string, sequence int) {
	c.Store.Put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "perth-a", "version": "v1", "slots": 16, "state": state, Wire.Cold: 0, "sequence": sequence,
	})
}

// Pid returns the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// PutEngineManifest writes a manifest with a service of model engines and the origin of their weights.
func (c *Case) PutEngineManifest(version int, origin string, chunks, chunkBytes int) {
	c.Store.Put("config", "main", map[string]any{
		"version": version, "routes": []any{Route("contract-review", "/contracts/", "streaming", "huvo11a", 6000)},
		"services": []any{
			map[string]any{"name": "huvo11a", "healthPath": "/healthz", "maxConns": 434, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvCapacity": 317000, "kvBytes": 262144, "stride": 5, "models": []any{map[string]any{"name": "m", "pace": 1.0, "loadS": 4.0, "warmS": 0.3}},
				"sizeMb": 149000.0, "step_ms": 9.27, "read_per_s": 20700.0, "chunk": 2048, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 979, "answer": 92}, "layers": 16, "layer_mb": 4090.0, "chunks": chunks, "chunkBytes": chunkBytes,
			}},
			map[string]any{"name": "kafi81c", "origin": origin, "zone": "perth-a", "linkMbps": 9.9, "maxConns": 48},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []string{Key}, "priority": 1}},
	})
}

// NameVersion names a version of a model's weights.
func (c *Case) NameVersion(model string, version int) {
	c.Store.Put("versions", model, map[string]any{"model": model, "version": version})
}
