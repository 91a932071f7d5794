package demo

import (
	"context"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/processes"
)

const standInListen = "127.0.0.1:0"

// StandIns are the stand-ins for the external systems of a run, with the addresses (IP:PORT) that they listen on.
type StandIns struct {
	processes []*processes.Process
	ObjectAPI string
	HostList  string
	Store     string
	Origin    string
	Engines   string
	Plain     string
}

// standInSpec describes one stand-in to start.
type standInSpec struct {
	name    string
	flags   []string
	address *string // where to store the address that it listens on
}

// StartStandIns starts all stand-ins. On an error it also returns those that were started, so that the caller can stop
// them.
func StartStandIns(ctx context.Context, options Options, hosts []layout.Host, binaries, logs string) (*StandIns, error) {
	all := &StandIns{}
	for _, spec := range all.specs(options, hosts) {
		args := append([]string{spec.name, "-listen", standInListen}, spec.flags...)
		binary := filepath.Join(binaries, processes.StandIn)
		process, err := processes.Start("standin-"+spec.name, logs, binary, args...)
		if err != nil {
			return all, err
		}
		all.processes = append(all.processes, process)
		if *spec.address, err = awaitListening(ctx, process); err != nil {
			return all, err
		}
	}
	return all, nil
}

// awaitListening waits at most stepTimeout for a stand-in to listen and returns its address.
func awaitListening(ctx context.Context, process *processes.Process) (string, error) {
	timeoutCtx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return process.Listening(timeoutCtx)
}

// specs returns the stand-ins in the order in which they are started.
func (s *StandIns) specs(options Options, hosts []layout.Host) []standInSpec {
	weights := []string{
		"-size", options.Size.String(),
		"-chunk-size", options.ChunkSize.String(),
		"-share", strconv.FormatFloat(options.Share, 'g', -1, 64),
		"-seed", strconv.FormatUint(options.Seed, 10),
	}
	store := append([]string{}, weights...)
	if options.StoreEmpty {
		store = append(store, "-empty")
	}
	origin := append([]string{"-rate", strconv.FormatInt(options.OriginRate(), 10)}, weights...)
	return []standInSpec{
		{"objectapi", nil, &s.ObjectAPI},
		{"hostlist", nil, &s.HostList},
		{"store", store, &s.Store},
		{"origin", origin, &s.Origin},
		{"engine", []string{"-names", strings.Join(layout.EngineNames(hosts), ",")}, &s.Engines},
		{"plain", []string{"-names", strings.Join(layout.PlainNames(hosts), ",")}, &s.Plain},
	}
}

// stopTimeout is how long processes may take to end after SIGTERM before they are killed.
const stopTimeout = 10 * time.Second

// Stop ends all stand-ins and returns the names of those that had to be killed.
func (s *StandIns) Stop() []string {
	return processes.Stop(s.processes, stopTimeout)
}
