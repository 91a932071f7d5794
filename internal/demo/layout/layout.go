// Package layout defines the hosts and entries of a demo run, their data centres and services, and the settings.
package layout

import (
	"fmt"
	"strings"
)

// Names of the team, services and model of a run.
const (
	Team         = "karrakin"
	ModelService = "summary-model"
	PlainService = "buyer-portal"
	Model        = "summary"
	Adapter      = "none"
)

// Versions of the model in the order in which they are applied.
const (
	FirstVersion  = "v1"
	SecondVersion = "v2"
)

const (
	hostsPerNetwork       = 250 // hosts in one network 127.1.N.0/24
	plainServiceEvery     = 2   // every second host runs the plain service
	maxUnavailableDivisor = 4   // one host in four may be unavailable at the same time
	entryCount            = 2
	author                = "demo"
)

// Place is a data centre and the region that it belongs to.
type Place struct {
	Name   string
	Region string
}

// Places returns the data centres of the run; hosts are distributed over them round robin.
func Places() []Place {
	return []Place{
		{Name: "perth-a", Region: "west"},
		{Name: "bunbury-a", Region: "west"},
		{Name: "karratha-a", Region: "pilbara"},
	}
}

// Host is one machine of the run: an agent with an engine and, on some hosts, a plain service.
type Host struct {
	Name    string
	Address string // its own loopback address, without a port
	Place   Place
	Engine  string // name of its engine in the stand-in
	Plain   string // name of its plain service in the stand-in; empty when it runs none
}

// Entry is one entry process.
type Entry struct {
	Name    string
	Address string // its own loopback address, without a port
	Place   Place
}

// Hosts returns the first count hosts.
func Hosts(count int) []Host {
	hosts := make([]Host, 0, count)
	for index := range count {
		hosts = append(hosts, newHost(index))
	}
	return hosts
}

func newHost(index int) Host {
	places := Places()
	host := Host{
		Name:    fmt.Sprintf("host-%d", index+1),
		Address: fmt.Sprintf("127.1.%d.%d", 1+index/hostsPerNetwork, 1+index%hostsPerNetwork),
		Place:   places[index%len(places)],
		Engine:  fmt.Sprintf("e%d", index+1),
	}
	if index%plainServiceEvery == 0 {
		host.Plain = fmt.Sprintf("p%d", index+1)
	}
	return host
}

// Entries returns the two entries, each in another region.
func Entries() []Entry {
	places := Places()
	entries := make([]Entry, 0, entryCount)
	for index := range entryCount {
		entries = append(entries, Entry{
			Name:    fmt.Sprintf("entry-%d", index+1),
			Address: fmt.Sprintf("127.1.0.%d", index+1),
			Place:   places[(index*(len(places)-1))%len(places)],
		})
	}
	return entries
}

// EngineNames returns the names of the hosts' engines.
func EngineNames(hosts []Host) []string {
	names := make([]string, 0, len(hosts))
	for _, host := range hosts {
		names = append(names, host.Engine)
	}
	return names
}

// PlainNames returns the names of the plain services, on the hosts that run one.
func PlainNames(hosts []Host) []string {
	names := []string{}
	for _, host := range hosts {
		if host.Plain != "" {
			names = append(names, host.Plain)
		}
	}
	return names
}

// Upstreams returns the value of the agent's -upstreams flag for the stand-ins at these addresses (IP:PORT).
func (h Host) Upstreams(engineAddress, plainAddress string) string {
	parts := []string{upstreamFlag(ModelService, "engine", engineAddress, h.Engine)}
	if h.Plain != "" {
		parts = append(parts, upstreamFlag(PlainService, "plain", plainAddress, h.Plain))
	}
	return strings.Join(parts, ",")
}

// upstreamFlag returns one element of the -upstreams flag.
func upstreamFlag(service, kind, address, name string) string {
	return fmt.Sprintf("%s/%s=%s@http://%s/%s", Team, service, kind, address, name)
}
