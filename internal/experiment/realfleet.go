package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
	"samphireweir.example/samphireweir/internal/operator"
)

// realFleet is a fleet of separate product processes and platform stand-ins.
type realFleet struct {
	folder    string
	client    *standinclient.Client
	standIns  []*processes.Process
	procs     []*processes.Process
	addresses []processes.Addresses
	objects   string
	hosts     string
}

func (f *realFleet) start(ctx context.Context, n int) error {
	var err error
	if f.objects, err = f.standIn(ctx, "objectapi", "-writes-per-second", "400", "-reads-per-second", "2000"); err != nil {
		return err
	}
	if f.hosts, err = f.standIn(ctx, "hostlist", "-lag", "2s"); err != nil {
		return err
	}
	f.addresses = make([]processes.Addresses, n)
	f.procs = make([]*processes.Process, n)
	for from := 0; from < n; from += startBatch {
		if err := f.startRange(ctx, from, min(from+startBatch, n)); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *realFleet) standIn(ctx context.Context, name string, flags ...string) (string, error) {
	args := append([]string{name, "-listen", "127.0.0.1:0"}, flags...)
	p, err := processes.Start("standin-"+name, filepath.Join(f.folder, "logs"), filepath.Join(f.folder, processes.StandIn), args...)
	if err != nil {
		return "", err
	}
	f.standIns = append(f.standIns, p)
	return p.Listening(ctx)
}

func (f *realFleet) startRange(ctx context.Context, from, to int) error {
	var wg sync.WaitGroup
	failed := make([]error, to-from)
	for i := from; i < to; i++ {
		wg.Go(func() { failed[i-from] = f.startProcess(ctx, i) })
	}
	wg.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *realFleet) startProcess(ctx context.Context, i int) error {
	dataCentre := settingsDataCentres[i%len(settingsDataCentres)]
	role := standinclient.RoleAgent
	args := []string{
		"-name", fmt.Sprintf("host-%d", i), "-place", dataCentre.name, "-region", dataCentre.region, "-secret", "experiment",
		"-object-api", "http://" + f.objects, "-host-list", "http://" + f.hosts,
	}
	if i%processesPerEntry == 0 {
		role = standinclient.RoleEntry
		args = append([]string{"entry", "-callers-listen", "127.0.0.1:0"}, args...)
	} else {
		up := fmt.Sprintf("%s/service-%d=plain@http://127.0.0.1:9/p%d", settingsTeam, i%20, i)
		args = append([]string{"agent", "-origin", "http://127.0.0.1:9", "-upstreams", up}, args...)
	}
	p, err := processes.Start(fmt.Sprintf("host-%d", i), filepath.Join(f.folder, "logs"), filepath.Join(f.folder, processes.Product), args...)
	if err != nil {
		return err
	}
	f.procs[i] = p
	if f.addresses[i], err = p.Addresses(ctx); err != nil {
		return err
	}
	return f.client.Register(ctx, f.hosts, standinclient.ListedHost{Address: f.addresses[i].Peers, Role: role, Place: dataCentre.name, Region: dataCentre.region})
}

func (f *realFleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for i, a := range f.addresses {
		for !f.client.Ready(ctx, a.Operators) {
			if ctx.Err() != nil {
				return errors.Errorf("process %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *realFleet) stop() {
	var live []*processes.Process
	for _, p := range f.procs {
		if p != nil {
			live = append(live, p)
		}
	}
	processes.Stop(live, stopGrace)
	processes.Stop(f.standIns, stopGrace)
}

// usage is the resources that a process has used since its start.
type usage struct {
	cpu      time.Duration
	resident int64
	control  int64
}

// idle measures what the processes and the platform use in a window without changes.
func (f *realFleet) idle(ctx context.Context, window time.Duration) ([]measurement, error) {
	before, err := f.usages(ctx)
	if err != nil {
		return nil, err
	}
	calls, err := f.calls()
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	time.Sleep(window)
	seconds := time.Since(startedAt).Seconds()
	callsAfter, err := f.calls()
	if err != nil {
		return nil, err
	}
	after, err := f.usages(ctx)
	if err != nil {
		return nil, err
	}
	rows := []measurement{
		{"objectapi_calls_per_s", (callsAfter[0] - calls[0]) / seconds},
		{"hostlist_calls_per_s", (callsAfter[1] - calls[1]) / seconds},
	}
	var cpu, resident, bytes []float64
	for i := range after {
		cpu = append(cpu, 100*(after[i].cpu-before[i].cpu).Seconds()/seconds)
		resident = append(resident, float64(after[i].resident)/(1<<20))
		bytes = append(bytes, float64(after[i].control-before[i].control)/seconds)
	}
	rows = append(rows, meanAndMax("cpu_percent", cpu)...)
	rows = append(rows, meanAndMax("resident_mib", resident)...)
	return append(rows, meanAndMax("control_bytes_per_s", bytes)...), nil
}

// meanAndMax returns the mean and the maximum of values.
func meanAndMax(name string, values []float64) []measurement {
	sum, maxValue := 0.0, 0.0
	for _, v := range values {
		sum += v
		maxValue = max(maxValue, v)
	}
	return []measurement{{name + "_mean", sum / float64(len(values))}, {name + "_max", maxValue}}
}

func (f *realFleet) usages(ctx context.Context) ([]usage, error) {
	list := make([]usage, len(f.procs))
	for i, p := range f.procs {
		fleetClient := &operator.FleetClient{Base: "http://" + f.addresses[i].Operators, HTTP: http.DefaultClient}
		status, err := fleetClient.Status(ctx)
		if err != nil {
			return nil, err
		}
		if list[i], err = processUsage(p.PID()); err != nil {
			return nil, err
		}
		list[i].control = status.Process.ControlIn + status.Process.ControlOut
	}
	return list, nil
}

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func processUsage(pid int) (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, errors.Wrap(err, "reading a process's processor time")
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return usage{cpu: time.Duration(user+system) * clockTick, resident: pages * int64(os.Getpagesize())}, nil
}

// calls returns the number of calls that the object API and the host list have received.
func (f *realFleet) calls() ([2]float64, error) {
	var out [2]float64
	for i, address := range []string{f.objects, f.hosts} {
		resp, err := http.Get("http://" + address + "/admin/stats")
		if err != nil {
			return out, errors.Wrap(err, "reading a stand-in's counters")
		}
		var stats struct{ Reads, Writes, Watches float64 }
		err = json.NewDecoder(resp.Body).Decode(&stats)
		_ = resp.Body.Close()
		if err != nil {
			return out, errors.Wrap(err, "decoding a stand-in's counters")
		}
		out[i] = stats.Reads + stats.Writes + stats.Watches
	}
	return out, nil
}
