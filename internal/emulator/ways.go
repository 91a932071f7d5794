package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// Way is a way of deciding with a name.
type Way struct {
	Name   string
	Policy forward.Policy
}

// Ways are the product's way and others that differ from it in one figure.
func Ways() []Way {
	ways := []Way{{Name: "stands", Policy: forward.DefaultPolicy()}}
	with := func(name string, change func(*forward.Policy)) {
		p := forward.DefaultPolicy()
		change(&p)
		ways = append(ways, Way{Name: name, Policy: p})
	}
	with("oldest first", func(p *forward.Policy) { p.OldestFirst = true })
	with("wait 0.3 of the objective", func(p *forward.Policy) { p.WaitShare = 0.3 })
	with("wait 0.5 of the objective", func(p *forward.Policy) { p.WaitShare = 0.5 })
	with("read 60 ms ahead", func(p *forward.Policy) { p.ReadAhead = 60 * time.Millisecond })
	with("read 130 ms ahead", func(p *forward.Policy) { p.ReadAhead = 130 * time.Millisecond })
	with("read any time ahead", func(p *forward.Policy) { p.ReadAhead = time.Hour })
	with("keep no place free", func(p *forward.Policy) { p.KeepFree = 0 })
	with("keep places free 400 ms", func(p *forward.Policy) { p.KeepFree = 400 * time.Millisecond })
	with("keep places free 1 s", func(p *forward.Policy) { p.KeepFree = time.Second })
	with("look at one upstream", func(p *forward.Policy) { p.Choices = 1 })
	with("look at four upstreams", func(p *forward.Policy) { p.Choices = 4 })
	return ways
}
