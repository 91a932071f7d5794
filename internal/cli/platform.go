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
	// memoryShare is the part of a process's memory limit that the collector keeps to.
	memoryShare = 0.5
	// metricsPath is where a process on the platform serves its metrics.
	metricsPath = "/metrics"
	// metricsHeadTime bounds the reading of the head of a request for metrics.
	metricsHeadTime = 5 * time.Second
)

// platformConfig holds the process settings of the roles on the platform; the rest is in the platform's own file.
type platformConfig struct {
	// boot is the path of the platform's settings file.
	boot string
	// metricsPort is where metrics are served on the host's address; 0 for nowhere.
	metricsPort int
	logLevel    string
	trace       telemetry.TraceConfig
}

func (c *platformConfig) flags(fs *flag.FlagSet) {
	fs.StringVar(&c.boot, "boot", "", "path of the platform's settings file")
	fs.IntVar(&c.metricsPort, "metrics-port", 0, "port of the metrics on the host's address; 0 for none")
	fs.StringVar(&c.logLevel, "log-level", "info", "least level of log lines: debug, info, warn or error")
	c.trace.Flags(fs)
	config.Describe(fs)
}

// Check refuses settings that can't work.
func (c *platformConfig) Check() error {
	if c.boot == "" {
		return code.Errorf(code.BadProcess, "-boot", "empty, want the path of the platform's settings file")
	}
	if c.metricsPort < 0 || c.metricsPort > 65535 {
		return code.Errorf(code.BadProcess, "-metrics-port", "%d, want 0 to 65535", c.metricsPort)
	}
	if _, err := zerolog.ParseLevel(c.logLevel); err != nil {
		return code.Errorf(code.BadProcess, "-log-level", "%q, want debug, info, warn or error", c.logLevel)
	}
	return c.trace.Check()
}

// platformProcess is what the roles on the platform have in common.
type platformProcess struct {
	host    hostconfig.Host
	log     zerolog.Logger
	metrics *telemetry.Metrics
	// traces is nil when tracing is off.
	traces *telemetry.Traces
	// closeLog writes the last lines.
	closeLog func()
}

func (c *platformConfig) start(role string, reload <-chan os.Signal) (*platformProcess, error) {
	host, err := platform.ReadSettings(c.boot)
	if err != nil {
		return nil, err
	}
	if host.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(host.Memory) * memoryShare))
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

func (p *platformProcess) serveMetrics(address string) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+metricsPath, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = p.metrics.Write(w) // A reader that left misses a page.
	})
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: metricsHeadTime}
	if err := server.ListenAndServe(); err != nil {
		logevent.Warn(p.log, logevent.ServerError).Str("address", address).Err(err).Msg("metrics are not served")
	}
}

type platformEntryCommand struct{ config platformConfig }

// Name returns the command's name.
func (*platformEntryCommand) Name() string { return "platform-entry" }

// Synopsis describes the command in a line.
func (*platformEntryCommand) Synopsis() string {
	return "run the process that callers reach, on the users' platform"
}

// Usage gives an example.
func (*platformEntryCommand) Usage() string {
	return `platform-entry -boot FILE
  Runs the process that callers reach. FILE is the platform's settings file. SIGTERM is a graceful shutdown.
`
}

// SetFlags declares the flags.
func (c *platformEntryCommand) SetFlags(fs *flag.FlagSet) { c.config.flags(fs) }

// Execute runs the process until it is told to stop.
func (c *platformEntryCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.config.run(ctx, fs, "entry", func(ctx context.Context, p *platformProcess) error {
		return gateway.New(p.host, p.log, p.metrics, p.traces).Run(ctx)
	})
}

type platformAgentCommand struct{ config platformConfig }

// Name returns the command's name.
func (*platformAgentCommand) Name() string { return "platform-agent" }

// Synopsis describes the command in a line.
func (*platformAgentCommand) Synopsis() string {
	return "run the process beside a model engine, on the users' platform"
}

// Usage gives an example.
func (*platformAgentCommand) Usage() string {
	return `platform-agent -boot FILE
  Runs the process beside a model engine: it brings the weights in force to the engine and tells entries of its load.
  FILE is the platform's settings file. SIGTERM ends it at once.
`
}

// SetFlags declares the flags.
func (c *platformAgentCommand) SetFlags(fs *flag.FlagSet) { c.config.flags(fs) }

// Execute runs the process until it is told to stop.
func (c *platformAgentCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return c.config.run(ctx, fs, "agent", func(ctx context.Context, p *platformProcess) error {
		return hostagent.New(p.host, p.log, p.metrics, p.traces).Run(ctx)
	})
}

// run runs a role until it ends or is told to stop.
func (c *platformConfig) run(ctx context.Context, fs *flag.FlagSet, role string, work func(context.Context, *platformProcess) error) subcommands.ExitStatus {
	reload := reloads() // First of all: a signal that nobody asked for ends a process.
	if err := load(fs, c); err != nil {
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
