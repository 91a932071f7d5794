package faults

import (
	"context"
	"fmt"
	"time"

	"samphireweir.example/samphireweir/internal/demo"
	"samphireweir.example/samphireweir/internal/demo/layout"
)

// standInFaults returns the faults of the systems around the product.
func standInFaults() []fault {
	plain, engines := plainOf, enginesOf
	list := []fault{
		{name: "crash-engine", about: "crash of an engine, restarted after 1 s", hold: time.Second, prepare: oneEngine(`{"crash":true,"restart_ms":1000}`, ``)},
		{name: "freeze-engine", about: "an engine that accepts connections but sends nothing", hold: holdLong, prepare: oneEngine(`{"freeze":true}`, `{"freeze":false}`)},
		{name: "slow-engine", about: "an engine that is ten times slower", hold: holdLong, prepare: oneEngine(`{"slow_factor":10}`, `{"slow_factor":1}`)},
		{name: "poison-prompt", about: "a prompt that crashes engines, sent six times through the entries", hold: holdLong, prepare: poisonPrompt},
		{name: "crash-plain", about: "crash of a plain service, restarted after 1 s", hold: time.Second, prepare: onePlain(`{"crash":true,"restart_ms":1000}`, ``)},
		{name: "freeze-plain", about: "a plain service that accepts connections but sends nothing", hold: holdLong, prepare: onePlain(`{"freeze":true}`, `{"freeze":false}`)},
	}
	add := func(name, about string, address func(*demo.StandIns) string, on, off string, spreads bool) {
		list = append(list, fault{
			name: name, about: about, hold: holdLong, spreads: spreads,
			prepare: func(s *stage) action {
				set := func(faults string) func(context.Context) error { return s.set(address, faults) }
				return action{set(on), set(off)}
			},
		})
	}
	add("drop-plain", "the next ten answers of each plain service are dropped after the run", plain, `{"*":{"drop_answer":10}}`, `{"*":{"drop_answer":0}}`, false)
	add("drop-load", "the next answer to a load order is dropped at each engine, while a version spreads", engines, `{"*":{"drop_load_answer":1}}`, `{"*":{"drop_load_answer":0}}`, true)
	add("platform-outage", "the object API answers 503", platformOf, `{"outage":true}`, `{"outage":false}`, false)
	add("platform-hang", "the object API does not answer", platformOf, `{"hang":true}`, `{"hang":false}`, false)
	add("platform-slow", "the object API takes 1.5 s a call", platformOf, `{"delay_ms":1500}`, `{"delay_ms":0}`, false)
	add("platform-lost-answers", "the next 40 writes to the object API take effect without an answer", platformOf, `{"lose_next_answers":40}`, `{"lose_next_answers":0}`, false)
	add("platform-outage-spread", "the object API answers 503, while a version spreads", platformOf, `{"outage":true}`, `{"outage":false}`, true)
	add("hostlist-outage", "the host list answers 503", hostListOf, `{"outage":true}`, `{"outage":false}`, false)
	add("hostlist-slow", "the host list takes 3 s a call", hostListOf, `{"delay_ms":3000}`, `{"delay_ms":0}`, false)
	add("store-outage", "the weight store answers 503, while a version spreads", storeOf, `{"outage":true}`, `{"outage":false}`, true)
	add("store-stall", "the weight store sends no bytes, while a version spreads", storeOf, `{"stall":true}`, `{"stall":false}`, true)
	add("origin-outage", "the origin answers 503, while a version spreads", originOf, `{"outage":true}`, `{"outage":false}`, true)
	add("origin-stall", "the origin sends no bytes, while a version spreads", originOf, `{"stall":true}`, `{"stall":false}`, true)
	list = append(list,
		fault{name: "sources-outage", about: "store and origin answer 503, while a version spreads", hold: holdLong, spreads: true, prepare: bothSources(`{"outage":true}`, `{"outage":false}`)},
		fault{name: "sources-stall", about: "store and origin send no bytes, while a version spreads", hold: holdLong, spreads: true, prepare: bothSources(`{"stall":true}`, `{"stall":false}`)},
		fault{name: "sources-corrupt", about: "store and origin corrupt their next five answers, while a version spreads", hold: holdShort, spreads: true, prepare: bothSources(`{"corrupt_next":5}`, `{"corrupt_next":0}`)},
		fault{name: "sources-changed", about: "the content of a version changes at store and origin while it spreads, and changes back", hold: holdLong, spreads: true, prepare: sourcesChanged},
	)
	return list
}

func plainOf(o *demo.StandIns) string    { return o.Plain }
func enginesOf(o *demo.StandIns) string  { return o.Engines }
func platformOf(o *demo.StandIns) string { return o.ObjectAPI }
func hostListOf(o *demo.StandIns) string { return o.HostList }
func storeOf(o *demo.StandIns) string    { return o.Store }
func originOf(o *demo.StandIns) string   { return o.Origin }

// set returns a function that merges faults into those of a stand-in. It does nothing if faults is empty.
func (s *stage) set(address func(*demo.StandIns) string, faults string) func(context.Context) error {
	if faults == "" {
		return noop
	}
	return func(ctx context.Context) error {
		return s.fleet.client.SetFaults(ctx, address(s.fleet.commandLine.StandIns), faults)
	}
}

func faultsFor(name, faults string) string {
	if faults == "" {
		return ""
	}
	return fmt.Sprintf(`{%q:%s}`, name, faults)
}

func oneEngine(on, off string) func(*stage) action {
	return func(s *stage) action {
		name := s.fleet.hosts[s.randomAgents(1)[0]].Engine
		return action{s.set(enginesOf, faultsFor(name, on)), s.set(enginesOf, faultsFor(name, off))}
	}
}

func onePlain(on, off string) func(*stage) action {
	return func(s *stage) action {
		names := layout.PlainNames(s.fleet.hosts)
		name := names[s.random.IntN(len(names))]
		return action{s.set(plainOf, faultsFor(name, on)), s.set(plainOf, faultsFor(name, off))}
	}
}

// crashUpstreams crashes all upstreams of a host, which restart after the given time.
func (f *fleet) crashUpstreams(ctx context.Context, host layout.Host, downtime time.Duration) error {
	crash := fmt.Sprintf(`{"crash":true,"restart_ms":%d}`, downtime.Milliseconds())
	if err := f.client.SetFaults(ctx, f.commandLine.StandIns.Engines, faultsFor(host.Engine, crash)); err != nil {
		return err
	}
	if host.Plain == "" {
		return nil
	}
	return f.client.SetFaults(ctx, f.commandLine.StandIns.Plain, faultsFor(host.Plain, crash))
}

func poisonPrompt(s *stage) action {
	mark := fmt.Sprintf("poison-%d", s.random.Uint32())
	on := s.set(enginesOf, fmt.Sprintf(`{"*":{"crash_on":%q,"restart_ms":1000}}`, mark))
	begin := func(ctx context.Context) error {
		if err := on(ctx); err != nil {
			return err
		}
		s.poison(mark)
		return nil
	}
	return action{begin, noop}
}

func bothSources(on, off string) func(*stage) action {
	return func(s *stage) action {
		both := func(faults string) func(context.Context) error {
			store, origin := s.set(storeOf, faults), s.set(originOf, faults)
			return func(ctx context.Context) error {
				if err := store(ctx); err != nil {
					return err
				}
				return origin(ctx)
			}
		}
		return action{both(on), both(off)}
	}
}

func sourcesChanged(s *stage) action {
	begin := func(ctx context.Context) error {
		version := layout.Model + "/" + layout.Adapter + "/" + s.version()
		return bothSources(fmt.Sprintf(`{"changed":[%q]}`, version), "")(s).begin(ctx)
	}
	return action{begin, bothSources("", `{"changed":[]}`)(s).end}
}
