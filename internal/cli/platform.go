package cli

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/boundedlog"
	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform"
)

const (
	// memoryFraction is the fraction of the process's memory limit that is set as the soft limit of Go's garbage collector.
	memoryFraction = 0.5
	// metricsPath is the URL path of the metrics of a process on the platform.
	metricsPath = "/metrics"
	// metricsHeaderTimeout is the timeout for reading the head of a request for metrics.
	metricsHeaderTimeout = 5 * time.Second
)

// platformConfig holds the process settings of the roles on the platform. All others are in the platform's settings file.
type platformConfig struct {
	// boot is the path of the platform's settings file.
	boot string
	// metricsPort is the port for metrics on the host's address; 0 turns them off.
	metricsPort int
	logLevel    string
	trace       telemetry.TraceConfig
	// unevenEngines is a flag of the entry only; see hostconfig.Host.
	unevenEngines bool
}

// flags defines the flags of c on fs.
func (c *platformConfig) flags(fs *flag.FlagSet) {
	fs.StringVar(&c.boot, "boot", "", "path of the platform's settings file")
	fs.IntVar(&c.metricsPort, "metrics-port", 0, "port for metrics on the host's address; 0 turns them off")
	fs.StringVar(&c.logLevel, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	c.trace.Flags(fs)
	config.AddEnvNames(fs)
}

// Check returns an error for the first setting that is missing or invalid.
func (c *platformConfig) Check() error {
	if c.boot == "" {
		return code.Errorf(code.BadProcessSetting, "-boot", "empty, want the path of the platform's settings file")
	}
	if c.metricsPort < 0 || c.metricsPort > 65535 {
		return code.Errorf(code.BadProcessSetting, "-metrics-port", "%d, want 0 to 65535", c.metricsPort)
	}
	if _, err := zerolog.ParseLevel(c.logLevel); err != nil {
		return code.Errorf(code.BadProcessSetting, "-log-level", "%q, want debug, info, warn or error", c.logLevel)
	}
	return c.trace.Check()
}

// platformProcess holds what both roles on the platform need to run.
type platformProcess struct {
	host    hostconfig.Host
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// traces is nil if tracing is off.
	traces *telemetry.Traces
	// closeLog writes the remaining log lines and stops the log writer.
	closeLog func()
}

// start reads the platform's settings file and starts what both roles have in common: the log, metrics, traces, and the watch of the
// settings file.
func (c *platformConfig) start(role string, reload <-chan os.Signal) (*platformProcess, error) {
	host, err := platform.ReadSettings(c.boot)
	if err != nil {
		return nil, err
	}
	host.UnevenEngines = c.unevenEngines
	if host.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(host.MemoryBytes) * memoryFraction))
	}
	lines := boundedlog.New(os.Stdout, role, host.Name)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		lines.Run(stop)
		close(done)
	}()
	level, err := zerolog.ParseLevel(c.logLevel)
	if err != nil {
		return nil, err
	}
	traces, err := telemetry.NewTraces(c.trace, role, host.Name, os.Stdout)
	if err != nil {
		return nil, err
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	p := &platformProcess{
		traces: traces,
		host:   host, metrics: telemetry.NewMetrics(),
		log: zerolog.New(lines).Level(level).With().Timestamp().Str("process", role).Str("name", host.Name).Logger(),
		closeLog: func() {
			close(stop)
			<-done
		},
	}
	if c.metricsPort > 0 {
		go p.serveMetrics(net.JoinHostPort(host.IP, strconv.Itoa(c.metricsPort)))
	}
	go p.watchSettings(c.boot, reload)
	return p, nil
}

// serveMetrics serves the metrics on address; a failure is logged and doesn't end the process.
func (p *platformProcess) serveMetrics(address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = p.metrics.Write(w) // The error means that the client disconnected.
	})
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsHeaderTimeout}
	if err := server.ListenAndServe(); err != nil {
		logevent.Warn(p.log, logevent.ServerError).Str("address", address).Err(err).Msg("failed to serve metrics")
	}
}

type platformEntryCommand struct{ config platformConfig }

// Name implements subcommands.Command.
func (*platformEntryCommand) Name() string { return "platform-entry" }

// Synopsis implements subcommands.Command.
func (*platformEntryCommand) Synopsis() string {
	return "run the process that callers reach, on the users' platform"
}

// Usage implements subcommands.Command.
func (*platformEntryCommand) Usage() string {
	return `platform-entry -boot FILE
  Runs the process that callers reach. FILE is the platform's settings file. SIGTERM starts a graceful shutdown.
`
}

// SetFlags defines the command's flags.
func (c *platformEntryCommand) SetFlags(fs *flag.FlagSet) {
	fs.BoolVar(&c.config.unevenEngines, "uneven-engines", false, "predict the time to the first event of each model engine, and choose, limit and retry by it")
	c.config.flags(fs)
}

// Execute runs the process until SIGTERM or SIGINT.
func (c *platformEntryCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.config.run(ctx, fs, "entry", func(ctx context.Context, p *platformProcess) error {
		return gateway.New(p.host, p.log, p.metrics, p.traces).Run(ctx)
	})
}

type platformAgentCommand struct{ config platformConfig }

// Name implements subcommands.Command.
func (*platformAgentCommand) Name() string { return "platform-agent" }

// Synopsis implements subcommands.Command.
func (*platformAgentCommand) Synopsis() string {
	return "run the process beside a model engine, on the users' platform"
}

// Usage implements subcommands.Command.
func (*platformAgentCommand) Usage() string {
	return `platform-agent -boot FILE
  Runs the process beside a model engine: it installs the weights in force on the engine and reports its load to entries.
  FILE is the platform's settings file. SIGTERM ends the process at once.
`
}

// SetFlags defines the command's flags.
func (c *platformAgentCommand) SetFlags(fs *flag.FlagSet) { c.config.flags(fs) }

// Execute runs the process until SIGTERM or SIGINT.
func (c *platformAgentCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.config.run(ctx, fs, "agent", func(ctx context.Context, p *platformProcess) error {
		return hostagent.New(p.host, p.log, p.metrics, p.traces).Run(ctx)
	})
}

// run runs work as the process of a role until it ends, or until SIGTERM or SIGINT.
func (c *platformConfig) run(ctx context.Context, fs *flag.FlagSet, role string, work func(context.Context, *platformProcess) error) subcommands.ExitStatus {
	reload := notifyReload() // Must come first: without a handler, SIGHUP terminates the process.
	if err := loadFlags(fs, c); err != nil {
		return fail(os.Stderr, err)
	}
	p, err := c.start(role, reload)
	if err != nil {
		return fail(os.Stderr, err)
	}
	defer p.closeLog()
	defer p.traces.Close(context.WithoutCancel(ctx))
	ctx, stop := untilSignal(ctx)
	defer stop()
	if err := work(ctx, p); err != nil {
		return fail(os.Stderr, err)
	}
	return subcommands.ExitSuccess
}
