package faults

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/load"
	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

const (
	// requestDeadline is the deadline of every request. Its caller gives up when callerGrace has passed after it.
	requestDeadline = 8 * time.Second
	callerGrace     = 3 * time.Second

	// settleTime lets the entries discover the hosts, which the host list shows with a delay, before requests start. quietTime is the time with
	// requests before the first fault.
	settleTime   = 4 * time.Second
	quietTime    = 2 * time.Second
	groupPause   = 700 * time.Millisecond // between faults that are injected together
	spreadPause  = 500 * time.Millisecond // from the acceptance of a version to the fault
	spreadExtra  = 8 * time.Second        // additional time to recover when a version is spread
	servingLimit = 60 * time.Second

	versions       = 40
	poisonRequests = 6
)

// Sizes of the weights: a host's link transfers a copy in two seconds.
const (
	weightsSize = 2 << 20
	chunkSize   = 64 << 10
	copyWindow  = 4 * time.Second
)

// run is the state of one run.
type run struct {
	options   Options
	progress  io.Writer
	startedAt time.Time
	client    *standinclient.Client
	standIns  *demo.StandIns
	fleet     *fleet
	hosts     []layout.Host
	book      *ledger.Book
	generator *load.Generator
	manifests map[string]standinclient.Manifest // by version
	version   int                               // number of the version in force
	checks    int                               // number of settings applied by checks
	random    *rand.Rand
	windows   []Window
}

// Run performs one run and returns its results. All processes have ended when it returns.
func Run(ctx context.Context, o Options, progress io.Writer) ([]Row, error) {
	groups, err := o.plan()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "samphireweir-faults-")
	if err != nil {
		return nil, errors.Wrap(err, "creating a temporary folder")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	r := &run{
		options: o, progress: progress, startedAt: time.Now(), client: standinclient.NewClient(), hosts: layout.Hosts(o.Hosts),
		book: &ledger.Book{}, manifests: map[string]standinclient.Manifest{},
		random: rand.New(rand.NewPCG(o.Seed, streamVictims)),
	}
	defer r.stop()
	if err := r.start(ctx, folder); err != nil {
		return nil, err
	}
	if err := r.inject(ctx, newSchedule(o.Seed, groups)); err != nil {
		return nil, err
	}
	return r.finish(ctx)
}

func (r *run) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.progress, "%5.1fs "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

func (r *run) start(ctx context.Context, folder string) error {
	binaries := r.options.Binaries
	if binaries == "" {
		binaries = folder
		if err := processes.Build(ctx, folder); err != nil {
			return err
		}
	}
	logs := r.options.KeepLogs
	if logs == "" {
		logs = filepath.Join(folder, "logs")
	}
	shape := demo.Options{
		Hosts: r.options.Hosts, Size: weightsSize, ChunkSize: chunkSize, Seed: r.options.Seed, Window: copyWindow,
	}
	var err error
	if r.standIns, err = demo.StartStandIns(ctx, shape, r.hosts, binaries, logs); err != nil {
		return err
	}
	line := demo.CommandLine{StandIns: r.standIns, LinkRate: shape.LinkRate()}
	r.fleet = newFleet(r.hosts, line, r.client, binaries, logs)
	if err := r.fleet.start(ctx); err != nil {
		return err
	}
	if err := r.readManifests(ctx); err != nil {
		return err
	}
	return r.serve(ctx)
}

func (r *run) readManifests(ctx context.Context) error {
	for number := 1; number <= versions; number++ {
		name := versionName(number)
		manifest, err := r.client.Manifest(ctx, r.standIns.Origin, layout.Model, layout.Adapter, name)
		if err != nil {
			return err
		}
		r.manifests[name] = manifest
	}
	return nil
}

func versionName(number int) string { return fmt.Sprintf("v%d", number) }

// serve applies the settings of both services, waits until all engines serve, and starts the load.
func (r *run) serve(ctx context.Context) error {
	if _, err := r.apply(ctx, layout.PlainService, layout.PlainSetting()); err != nil {
		return err
	}
	if err := r.nextVersion(ctx); err != nil {
		return err
	}
	limit := time.Now().Add(servingLimit)
	for r.outdatedEngines(ctx) > 0 {
		if time.Now().After(limit) {
			return errors.Errorf("%d engines do not serve the current version %v after the start", r.outdatedEngines(ctx), servingLimit)
		}
		if err := pause(ctx, readyPause); err != nil {
			return err
		}
	}
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	r.fleet.pollReadiness(ctx)
	r.generator = load.Start(load.Options{
		Entries: r.callers(), Digests: r.digests(), Seed: r.options.Seed, Book: r.book, Deadline: requestDeadline,
		ResponseTimeout: requestDeadline + callerGrace, Available: func(entry int) bool { return r.fleet.available[entry].Load() },
	})
	r.generator.EnableSubmissions()
	r.generator.EnableGenerations()
	r.logf("all engines serve")
	return pause(ctx, quietTime)
}

func (r *run) callers() []string {
	var addresses []string
	for _, n := range r.fleet.entries {
		addresses = append(addresses, n.addresses.Callers)
	}
	return addresses
}

func (r *run) digests() []string {
	var digests []string
	for _, manifest := range r.manifests {
		digests = append(digests, manifest.Digest)
	}
	return digests
}

// inject injects groups of faults until the configured time has passed.
func (r *run) inject(ctx context.Context, s *schedule) error {
	until := time.Now().Add(time.Duration(r.options.Seconds) * time.Second)
	for len(r.windows) == 0 || time.Now().Before(until) {
		if err := r.injectGroup(ctx, s.next()); err != nil {
			return err
		}
	}
	return nil
}

// injectGroup injects the faults of a group with a short pause between them, ends them, and waits for the recovery.
func (r *run) injectGroup(ctx context.Context, group Group) error {
	w := Window{Name: group.String(), Begin: time.Now()}
	r.logf("fault %s starts", w.Name)
	faults, spreads := r.faultsOf(group)
	if spreads {
		if err := r.nextVersion(ctx); err != nil {
			return err
		}
		if err := pause(ctx, spreadPause); err != nil {
			return err
		}
	}
	check := r.startCheck(ctx)
	ends, err := r.beginAll(ctx, faults)
	if err != nil {
		return err
	}
	for _, end := range ends {
		if err := end(ctx); err != nil {
			return err
		}
	}
	w.End = time.Now()
	r.logf("fault %s ended", w.Name)
	bound := r.options.Bound
	if spreads {
		bound += spreadExtra
	}
	if err := pause(ctx, bound); err != nil {
		return err
	}
	w.Accepted, w.InForce = check.stop()
	w.NotInForce = r.outdatedEngines(ctx) + check.missing()
	w.Died = r.fleet.died()
	w.Until = time.Now()
	r.windows = append(r.windows, w)
	r.logf("recovery of %s ended: %d engines outdated, setting missing at %d entries, died %v", w.Name, r.outdatedEngines(ctx), check.missing(), w.Died)
	return nil
}

func (r *run) faultsOf(group Group) (faults []fault, spreads bool) {
	for _, name := range group {
		f, _ := findFault(name)
		faults = append(faults, f)
		spreads = spreads || f.spreads
	}
	return faults, spreads
}

// beginAll starts the faults, waits for the longest hold time, and returns the functions that end them.
func (r *run) beginAll(ctx context.Context, faults []fault) ([]func(context.Context) error, error) {
	s := &stage{
		fleet: r.fleet, random: r.random, version: func() string { return versionName(r.version) },
		poison: func(mark string) { r.generator.SendPoison(mark, poisonRequests) },
	}
	var ends []func(context.Context) error
	hold := time.Duration(0)
	for index, f := range faults {
		if index > 0 {
			if err := pause(ctx, groupPause); err != nil {
				return nil, err
			}
		}
		a := f.prepare(s)
		if err := a.begin(ctx); err != nil {
			return nil, errors.Wrapf(err, "injecting %s", f.name)
		}
		ends = append(ends, a.end)
		hold = max(hold, f.hold)
	}
	return ends, pause(ctx, hold)
}

// finish stops the load, reads the logs and judges them.
func (r *run) finish(ctx context.Context) ([]Row, error) {
	r.logf("waiting for the last answers")
	r.generator.Stop()
	engines, err := r.client.EngineLog(ctx, r.standIns.Engines)
	if err != nil {
		return nil, err
	}
	plain, err := r.client.PlainLog(ctx, r.standIns.Plain)
	if err != nil {
		return nil, err
	}
	evidence := Evidence{
		Records: r.book.Records(), Plain: plain, Engines: engines, Contents: r.contents(), Windows: r.windows,
		Downtimes: r.fleet.downtimes, Hosts: r.hosts, AnswerLimit: requestDeadline + callerGrace,
	}
	return Judge(evidence), r.writeEvidence(evidence)
}

func (r *run) contents() map[string]string {
	contents := map[string]string{}
	for _, manifest := range r.manifests {
		contents[manifest.Digest] = manifest.SHA256
	}
	return contents
}

func (r *run) stop() {
	if r.generator != nil {
		r.generator.Stop()
	}
	if r.fleet != nil {
		for _, name := range r.fleet.stop() {
			r.logf("%s did not end on SIGTERM", name)
		}
	}
	if r.standIns != nil {
		r.standIns.Stop()
	}
}
