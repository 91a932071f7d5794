package node

import (
	"flag"
	"net/url"
	"strings"

	"github.com/rs/zerolog"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/config"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/keys"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// Config holds the process settings that entries and agents share.
type Config struct {
	// Name is the host's name, unique in the fleet.
	Name string
	// Place is the data centre of the host.
	Place string
	// Region is the region of that data centre.
	Region string
	// PeersListen is the listen address for other processes of the system, IP:PORT.
	PeersListen string
	// OperatorsListen is the listen address for health, status and metrics, IP:PORT.
	OperatorsListen string
	// ObjectAPI is the URL of the platform's object API.
	ObjectAPI string
	// HostList is the URL of the platform's list of hosts.
	HostList string
	// Config names the secrets and certificates for communication between processes.
	keys.Config
	Role member.Role
	// Trace configures the export of traces.
	Trace telemetry.TraceConfig
	// Traces, when set, is used instead of an exporter built from Trace.
	Traces *telemetry.Traces
	// LogLevel is the minimum level that is logged: debug, info, warn or error.
	LogLevel string
	// Profile enables the pprof handlers on the operators' address.
	Profile bool
}

// logLevels are the valid values of LogLevel. The empty string stands for the default.
var logLevels = map[string]bool{"": true, "debug": true, "info": true, "warn": true, "error": true}

// Flags registers the flags of c on fs.
func (c *Config) Flags(fs *flag.FlagSet) {
	fs.StringVar(&c.Name, "name", "", "the host's name, unique in the fleet, such as host-17")
	fs.StringVar(&c.Place, "place", "", "the place (data centre) of the host, such as perth-a")
	fs.StringVar(&c.Region, "region", "", "the region of the place, such as west")
	fs.StringVar(&c.PeersListen, "peers-listen", "127.0.0.1:0", "address for the system's other processes, IP:PORT")
	fs.StringVar(&c.OperatorsListen, "operators-listen", "127.0.0.1:0", "address for health, status and metrics, IP:PORT")
	fs.StringVar(&c.ObjectAPI, "object-api", "", "URL of the platform's object API")
	fs.StringVar(&c.HostList, "host-list", "", "URL of the platform's list of hosts")
	c.Config.Flags(fs)
	c.Trace.Flags(fs)
	fs.StringVar(&c.LogLevel, "log-level", zerolog.InfoLevel.String(), "minimum level that is logged: debug, info, warn or error")
	fs.BoolVar(&c.Profile, "profile", false, "serve pprof profiles under /debug/pprof/ on the operators' address")
}

// Check returns an error for the first setting that is missing or invalid.
func (c *Config) Check() error {
	names := []struct{ field, value string }{{"name", c.Name}, {"place", c.Place}, {"region", c.Region}}
	for _, n := range names {
		if !setting.ValidName(n.value) {
			return code.Errorf(code.BadProcessSetting, "-"+n.field, "%q, want a name of a-z, 0-9 and -", n.value)
		}
	}
	if err := c.checkListeners(); err != nil {
		return err
	}
	if err := CheckURL("object-api", c.ObjectAPI); err != nil {
		return err
	}
	if err := CheckURL("host-list", c.HostList); err != nil {
		return err
	}
	if !logLevels[c.LogLevel] {
		return code.Errorf(code.BadProcessSetting, "-log-level", "%q, want debug, info, warn or error", c.LogLevel)
	}
	if err := c.Trace.Check(); err != nil {
		return err
	}
	return c.Config.Check()
}

func (c *Config) checkListeners() error {
	if err := config.CheckListen("peers-listen", c.PeersListen); err != nil {
		return err
	}
	if err := config.CheckListen("operators-listen", c.OperatorsListen); err != nil {
		return err
	}
	return config.CheckDistinct("peers-listen", c.PeersListen, "operators-listen", c.OperatorsListen)
}

// CheckURL returns an error unless value is the URL of an HTTP service. field is the flag's name without the dash.
func CheckURL(field, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || !strings.HasPrefix(u.Scheme, "http") {
		return code.Errorf(code.BadProcessSetting, "-"+field, "%q, want a URL such as http://10.0.0.5:7000", value)
	}
	return nil
}
