package core_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	// phaseEntries is the number of data centres, with one entry each.
	phaseEntries = 24
	// maxPhaseTicks and maxMeanPhaseTicks bound the ticks until all entries have received a phase change, and their
	// mean. With pushes of complete records to four entries instead of offers, the maximum was 41 and the mean 8.18, and
	// 24 and 7.28 in a burst.
	maxPhaseTicks     = 8
	maxMeanPhaseTicks = 8.18
	// maxPhaseBytes bounds the bytes that one entry sends and receives for a phase change.
	maxPhaseBytes = 1800
	// maxBurstTicks, maxMeanBurstTicks and maxBurstBytes are the same bounds during a burst.
	maxBurstTicks     = 12
	maxMeanBurstTicks = 7.28
	maxBurstBytes     = 900
)

// newEngineCluster starts a cluster with many entries, and gives each agent four engines that serve.
func newEngineCluster(t *testing.T) *cluster {
	var places []string
	for i := range phaseEntries {
		places = append(places, fmt.Sprintf("region%d-a", i))
	}
	c := newSettledCluster(t, 21, places, 4)
	for _, address := range c.agents() {
		p := c.procs[address]
		for i := range 4 {
			name := fmt.Sprintf("engine-%d", i)
			u := &rollout.Upstream{Upstream: member.Upstream{
				Name: name, Team: "karrakin", Service: "summary-model", Kind: setting.Engine, Phase: member.Serving,
				Digest: strings.Repeat("0a", 32), Generation: 1 << 40,
			}}
			p.state.Rollout.Upstreams[name] = u
			p.state.Rollout.UpstreamNames = append(p.state.Rollout.UpstreamNames, name)
		}
		c.step(p, core.StopRequested{})
	}
	c.run(20*time.Second, tick)
	return c
}

// agents returns the addresses of the agents.
func (c *cluster) agents() []string {
	var list []string
	for _, address := range c.order {
		if c.procs[address].listed.Role == member.Agent {
			list = append(list, address)
		}
	}
	return list
}

// entriesKnow reports whether every entry knows a host's engine to be in the given phase.
func (c *cluster) entriesKnow(address, engine string, phase member.Phase) bool {
	for _, p := range c.procs {
		if p.listed.Role == member.Entry && p.phaseOf(address, engine) != phase {
			return false
		}
	}
	return true
}

// phaseOf returns the phase that a process knows of a host's engine, or an empty one.
func (p *proc) phaseOf(address, engine string) member.Phase {
	h := p.state.Members.Hosts[address]
	if h == nil || h.Advert == nil {
		return ""
	}
	for _, u := range h.Advert.Upstreams {
		if u.Name == engine {
			return u.Phase
		}
	}
	return ""
}

// TestPhaseChangeReachesAllEntriesCheaply changes engines' phases one at a time. It limits the ticks until every entry
// knows a change, and the bytes beyond the idle traffic. An entry that learns late that an engine is down sends requests
// to it, and an entry that receives each change several times wastes bandwidth.
func TestPhaseChangeReachesAllEntriesCheaply(t *testing.T) {
	t.Parallel()
	c := newEngineCluster(t)
	before := c.bytes
	c.run(20*time.Second, tick)
	idle := float64(c.bytes-before) / 20
	agents := c.agents()
	maxTicks, sum, changes := 0, 0, 0
	before, start := c.bytes, c.now
	for i := range 40 {
		address := agents[i%len(agents)]
		phase := []member.Phase{member.Down, member.Serving}[i/20]
		p := c.procs[agents[i%20]]
		address = p.listed.Address
		p.state.Rollout.Upstreams["engine-1"].Phase = phase
		c.step(p, core.StopRequested{})
		took := c.runUntil(maxPropagation, "phase", func() bool { return c.entriesKnow(address, "engine-1", phase) })
		ticks := int(took / step.TickInterval)
		maxTicks, sum, changes = max(maxTicks, ticks), sum+ticks, changes+1
		c.run(time.Second, tick)
	}
	extra := float64(c.bytes-before) - idle*(c.now-start).Seconds()
	bytesPerChange := extra / float64(changes) / phaseEntries
	t.Logf("%d entries: mean %.2f ticks, max %d; %.0f bytes sent per change and entry (twice that sent and received)",
		phaseEntries, float64(sum)/float64(changes), maxTicks, bytesPerChange)
	require.LessOrEqual(t, maxTicks, maxPhaseTicks)
	require.LessOrEqual(t, float64(sum)/float64(changes), maxMeanPhaseTicks)
	require.LessOrEqual(t, 2*bytesPerChange, float64(maxPhaseBytes))
}

// TestPhasesOfABurstReachAllEntries changes as many phases per second as a burst to 920 hosts with four engines each
// within five minutes. It limits the ticks until every entry knows a change, and the bytes per change of an entry. With
// many changes at once, messages must be shared by several changes without delaying a single one much.
func TestPhasesOfABurstReachAllEntries(t *testing.T) {
	t.Parallel()
	c := newEngineCluster(t)
	before := c.bytes
	c.run(20*time.Second, tick)
	idle := float64(c.bytes-before) / 20
	agents := c.agents()
	type change struct {
		address, engine string
		phase           member.Phase
		at              time.Duration
	}
	var pending []change
	sum, maxTicks, done := 0, 0, 0
	before, start := c.bytes, c.now
	for i := 0; i < 360 || len(pending) > 0; {
		for n := 0; n < 4 && i < 360; n++ {
			// Each engine changes once: first engine 0 of all hosts, then engine 1 of all hosts, and so on.
			ch := change{agents[i%len(agents)], fmt.Sprintf("engine-%d", i/len(agents)%4), member.Down, c.now}
			if i >= 4*len(agents) {
				ch.phase = member.Serving
			}
			p := c.procs[ch.address]
			p.state.Rollout.Upstreams[ch.engine].Phase = ch.phase
			c.step(p, core.StopRequested{})
			pending = append(pending, ch)
			i++
		}
		c.run(tick, tick)
		remaining := pending[:0]
		for _, ch := range pending {
			if !c.entriesKnow(ch.address, ch.engine, ch.phase) {
				remaining = append(remaining, ch)
				continue
			}
			ticks := int((c.now - ch.at) / step.TickInterval)
			sum, maxTicks, done = sum+ticks, max(maxTicks, ticks), done+1
		}
		pending = remaining
	}
	took := (c.now - start).Seconds()
	bytesPerChange := 2 * (float64(c.bytes-before) - idle*took) / phaseEntries / float64(done)
	t.Logf("burst of %d: mean %.2f ticks, max %d; %.0f bytes sent and received per change and entry", done, float64(sum)/float64(done), maxTicks, bytesPerChange)
	require.LessOrEqual(t, maxTicks, maxBurstTicks)
	require.LessOrEqual(t, float64(sum)/float64(done), maxMeanBurstTicks)
	require.LessOrEqual(t, bytesPerChange, float64(maxBurstBytes))
}
