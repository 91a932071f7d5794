package emulator

import (
	"time"

	"samphireweir.example/samphireweir/internal/core/forward"
)

// Variant is a named policy.
type Variant struct {
	Name   string
	Policy forward.Policy
}

// Variants returns the default policy and variants of it that each differ in one parameter.
func Variants() []Variant {
	variants := []Variant{{Name: "stands", Policy: forward.DefaultPolicy()}}
	with := func(name string, change func(*forward.Policy)) {
		p := forward.DefaultPolicy()
		change(&p)
		variants = append(variants, Variant{Name: name, Policy: p})
	}
	with("oldest first", func(p *forward.Policy) { p.OldestFirst = true })
	with("wait 0.3 of the objective", func(p *forward.Policy) { p.WaitShare = 0.3 })
	with("wait 0.5 of the objective", func(p *forward.Policy) { p.WaitShare = 0.5 })
	with("read 60 ms ahead", func(p *forward.Policy) { p.PrefillAhead = 60 * time.Millisecond })
	with("read 130 ms ahead", func(p *forward.Policy) { p.PrefillAhead = 130 * time.Millisecond })
	with("read any time ahead", func(p *forward.Policy) { p.PrefillAhead = time.Hour })
	with("keep no place free", func(p *forward.Policy) { p.ReserveFor = 0 })
	with("keep places free 400 ms", func(p *forward.Policy) { p.ReserveFor = 400 * time.Millisecond })
	with("keep places free 1 s", func(p *forward.Policy) { p.ReserveFor = time.Second })
	with("look at one upstream", func(p *forward.Policy) { p.SampleSize = 1 })
	with("look at four upstreams", func(p *forward.Policy) { p.SampleSize = 4 })
	return variants
}
