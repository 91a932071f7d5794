package burst

import (
	"sort"

	"samphireweir.example/samphireweir/internal/demo"
)

const (
	// sharedChunkShare is the share of the chunks that both versions have in common.
	sharedChunkShare = 0.9
	// killedHostShare is the share of the hosts that the variants with "kill" in their names kill during the burst.
	killedHostShare = 0.1
)

// variants holds, by name, the changes that a variant makes to the options of a run.
var variants = map[string]func(*demo.Options){
	"origin":      func(*demo.Options) {},
	"time":        func(o *demo.Options) { o.Policy = "time" },
	"swarm":       func(o *demo.Options) { o.Spread = "swarm" },
	"direct":      func(o *demo.Options) { o.Spread = "direct" },
	"origin-kill": func(o *demo.Options) { o.KillShare = killedHostShare },
	"time-kill":   func(o *demo.Options) { o.KillShare, o.Policy = killedHostShare, "time" },
	"no-yield":    func(o *demo.Options) { o.NoYield = true },
	"second":      func(o *demo.Options) { o.Second = true },
}

func variantNames() []string {
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
