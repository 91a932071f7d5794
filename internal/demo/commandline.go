package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"samphireweir.example/samphireweir/internal/demo/layout"
	"samphireweir.example/samphireweir/internal/demo/processes"
	"samphireweir.example/samphireweir/internal/demo/standinclient"
)

// CommandLine builds the arguments with which the product's processes are started.
type CommandLine struct {
	Secret   string // shared by all processes of the run
	StandIns *StandIns
	LinkRate int64  // of a host, in bytes per second
	Spread   string // how weights spread; empty for the product's default
	NoYield  bool   // transfers don't yield to live requests
}

// anyPort returns a listen address at which the kernel chooses the port.
func anyPort(address string) string { return address + ":0" }

// Agent returns the arguments of a host's agent; peers is the address (IP:PORT) at which it listens for its peers.
func (c CommandLine) Agent(host layout.Host, peers string) []string {
	args := append([]string{"agent"}, c.common(host.Name, host.Address, peers, host.Place)...)
	return append(args,
		"-weight-store", "http://"+c.StandIns.Store,
		"-origin", "http://"+c.StandIns.Origin,
		"-link-rate", strconv.FormatInt(c.LinkRate, 10),
		"-upstreams", host.Upstreams(c.StandIns.Engines, c.StandIns.Plain),
		"-spread="+c.Spread,
		"-no-yield="+strconv.FormatBool(c.NoYield),
	)
}

// Entry returns the arguments of an entry that listens for peers and for callers at these addresses (IP:PORT).
func (c CommandLine) Entry(entry layout.Entry, peers, callers string) []string {
	args := append([]string{"entry"}, c.common(entry.Name, entry.Address, peers, entry.Place)...)
	return append(args, "-callers-listen", callers)
}

func (c CommandLine) common(name, address, peers string, place layout.Place) []string {
	return []string{
		"-name", name,
		"-place", place.Name,
		"-region", place.Region,
		"-peers-listen", peers,
		"-operators-listen", anyPort(address),
		"-object-api", "http://" + c.StandIns.ObjectAPI,
		"-host-list", "http://" + c.StandIns.HostList,
		"-secret", c.Secret,
	}
}

// Apply runs `samphireweir settings apply` against the present version of the setting and returns the time at which
// the change was accepted.
func (c CommandLine) Apply(ctx context.Context, client *standinclient.Client, binary, service string, setting layout.Setting) (time.Time, error) {
	body, err := json.Marshal(setting)
	if err != nil {
		return time.Time{}, errors.Wrap(err, "encoding a setting")
	}
	present, err := client.ObjectVersion(ctx, c.StandIns.ObjectAPI, "settings/"+layout.Team+"/"+service)
	if err != nil {
		return time.Time{}, err
	}
	_, err = processes.Run(ctx, bytes.NewReader(body), binary, "settings", "apply",
		"-object-api", "http://"+c.StandIns.ObjectAPI,
		"-weight-store", "http://"+c.StandIns.Store,
		"-origin", "http://"+c.StandIns.Origin,
		"-if-version", strconv.FormatInt(present, 10),
		"-team", layout.Team, "-service", service, "-file", "-")
	return time.Now(), err
}
