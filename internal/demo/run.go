// Package demo starts samphireweir and its stand-ins as processes on loopback, spreads a model to the hosts under live
// requests, and computes the results from the stand-ins' logs and the callers' ledger.
package demo

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/load"
	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/report"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	warmUpPeriod     = time.Second     // lookups at the start that are not measured
	baselinePeriod   = 4 * time.Second // lookups only, for their p95 before the first spread
	postSpreadPeriod = 3 * time.Second // requests are still sent for this time after each spread
	probeTimeout     = 20 * time.Second
	probePath        = "/" + layout.Team + "/" + layout.PlainService + "/vendors/0"
)

// run is one run of the demo.
type run struct {
	options       Options
	tempDir       string // removed at the end
	client        *standinclient.Client
	progress      *progress
	book          *ledger.Book
	hosts         []layout.Host
	standIns      *StandIns
	fleet         *fleet
	manifests     map[string]standinclient.Manifest // by version
	generator     *load.Generator
	baselineStart time.Time // period of the lookups before the first spread
	baselineEnd   time.Time
	spreads       []*spreadResult
	exited        []string // processes that ended without being killed or stopped by the run
	killed        []string // processes that had to be killed after the stop timeout
}

// Run executes one run, prints its progress to out once a second, and returns its report. All processes have ended when
// it returns.
func Run(ctx context.Context, options Options, out io.Writer) (report.Report, error) {
	tempDir, err := os.MkdirTemp("", "samphireweir-demo-")
	if err != nil {
		return report.Report{}, errors.Wrap(err, "creating a temporary directory")
	}
	defer func() { _ = os.RemoveAll(tempDir) }()
	book := &ledger.Book{}
	r := &run{
		options:   options,
		tempDir:   tempDir,
		client:    standinclient.NewClient(),
		book:      book,
		progress:  startProgress(out, book),
		hosts:     layout.Hosts(options.Hosts),
		manifests: map[string]standinclient.Manifest{},
		killed:    []string{},
	}
	defer r.progress.stop()
	defer r.stopAll()
	if err := r.start(ctx); err != nil {
		return report.Report{}, err
	}
	if err := r.spreadUnderLoad(ctx); err != nil {
		return report.Report{}, err
	}
	return r.finish(ctx)
}

// start builds the binaries if necessary, starts all processes and reads the manifests.
func (r *run) start(ctx context.Context) error {
	binaries, err := r.binaries(ctx)
	if err != nil {
		return err
	}
	logs := r.options.KeepLogs
	if logs == "" {
		logs = filepath.Join(r.tempDir, "logs")
	}
	r.progress.setPhase("starting the stand-ins")
	if r.standIns, err = StartStandIns(ctx, r.options, r.hosts, binaries, logs); err != nil {
		return err
	}
	r.progress.setPhase("starting agents and entries")
	r.fleet = newFleet(r.options, r.hosts, r.standIns, r.client, binaries, logs)
	if err := r.fleet.start(ctx); err != nil {
		return err
	}
	return r.readManifests(ctx)
}

// binaries returns the directory with the binaries and builds them if none is configured.
func (r *run) binaries(ctx context.Context) (string, error) {
	if r.options.Binaries != "" {
		dir, err := filepath.Abs(r.options.Binaries)
		return dir, errors.Wrap(err, "resolving the directory with the binaries")
	}
	r.progress.setPhase("building")
	return r.tempDir, processes.Build(ctx, r.tempDir)
}

func (r *run) versions() []string {
	if r.options.Second {
		return []string{layout.FirstVersion, layout.SecondVersion}
	}
	return []string{layout.FirstVersion}
}

func (r *run) readManifests(ctx context.Context) error {
	for _, version := range r.versions() {
		manifest, err := r.client.Manifest(ctx, r.standIns.Origin, layout.Model, layout.Adapter, version)
		if err != nil {
			return err
		}
		r.manifests[version] = manifest
	}
	return nil
}

// spreadUnderLoad applies the plain service's setting, starts live requests and spreads the versions one after the other.
func (r *run) spreadUnderLoad(ctx context.Context) error {
	r.progress.setPhase("applying " + layout.PlainService)
	if _, err := r.fleet.apply(ctx, layout.PlainService, layout.PlainSetting()); err != nil {
		return err
	}
	if err := r.probe(ctx); err != nil {
		return err
	}
	r.generator = load.Start(load.Options{
		Entries: r.fleet.callers, Digests: r.digests(), Seed: r.options.Seed, Book: r.book,
	})
	r.progress.setGenerator(r.generator)
	if err := r.measureBaseline(ctx); err != nil {
		return err
	}
	r.generator.EnableSubmissions()
	for index, version := range r.versions() {
		kill := index == 0 && r.options.KillShare > 0
		result, err := r.spreadVersion(ctx, version, kill)
		if err != nil {
			return err
		}
		r.spreads = append(r.spreads, result)
		r.progress.setPhase("after " + version)
		if err := sleep(ctx, postSpreadPeriod); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) digests() []string {
	var digests []string
	for _, manifest := range r.manifests {
		digests = append(digests, manifest.Digest)
	}
	return digests
}

// probe waits until both entries answer lookups; its requests are not recorded in the ledger.
func (r *run) probe(ctx context.Context) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, entry := range r.fleet.callers {
		for !r.client.Succeeds(timeoutCtx, "http://"+entry+probePath) {
			if err := sleep(timeoutCtx, readyPollInterval); err != nil {
				return errors.Wrapf(err, "waiting for the entry %s to answer lookups", entry)
			}
		}
	}
	return nil
}

// measureBaseline waits while only lookups are sent; their p95 is compared with the p95 during a spread.
func (r *run) measureBaseline(ctx context.Context) error {
	r.progress.setPhase("lookups only")
	if err := sleep(ctx, warmUpPeriod); err != nil {
		return err
	}
	r.baselineStart = time.Now()
	if err := sleep(ctx, baselinePeriod); err != nil {
		return err
	}
	r.baselineEnd = time.Now()
	return nil
}

// finish stops the requests and the product, reads the stand-ins' logs and computes the report.
func (r *run) finish(ctx context.Context) (report.Report, error) {
	r.progress.setPhase("waiting for the last responses")
	r.stopRequests()
	r.exited = r.fleet.exited()
	r.progress.setPhase("stopping agents and entries")
	r.stopFleet()
	r.progress.setPhase("reading the logs")
	engines, err := r.client.EngineLog(ctx, r.standIns.Engines)
	if err != nil {
		return report.Report{}, err
	}
	plain, err := r.client.PlainLog(ctx, r.standIns.Plain)
	if err != nil {
		return report.Report{}, err
	}
	r.stopAll()
	r.printExamples(engines, plain)
	return r.report(engines, plain), r.saveLogs(engines, plain)
}

func (r *run) stopRequests() {
	if r.generator != nil {
		r.generator.Stop()
	}
}

func (r *run) stopFleet() {
	if r.fleet != nil {
		r.killed = append(r.killed, r.fleet.stop()...)
	}
}

// stopAll stops everything that still runs; it may be called more than once.
func (r *run) stopAll() {
	r.stopRequests()
	r.stopFleet()
	if r.standIns != nil {
		r.killed = append(r.killed, r.standIns.Stop()...)
	}
}
