package versionplan_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core/versionplan"
)

const (
	s, ms = time.Second, time.Millisecond
	// size is the size of a version; the rates are those of a fleet of 34 to 52 hosts.
	size, originRate, linkRate = 48 * 49152, 9e6 / 8, 9.4e6 / 8
	// softEnd is how long after the activation of its successor entries send to a version, and grace how much longer if no engine holds the
	// successor.
	softEnd, grace = 8400 * ms, 400 * ms
	// loadTime is how long an engine with requests usually takes for a load, idleLoadTime one without.
	loadTime, idleLoadTime = 1500 * ms, 500 * ms
	// spreadTime is how long chunks take from the first host that has them to the others, and tick the time between two plans.
	spreadTime, tick = 800 * ms, 50 * ms
	never, end       = time.Hour, 60 * s
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// load is a load on one host and the fleet around it, in which all hosts decide alike.
type load struct {
	// activations are the times at which versions 2, 3, ... are activated.
	activations []time.Duration
	// The origin is unreachable from down to up, which the host notices 0.5 s later. At powerLoss, if it is set, all hosts lose all chunks.
	down, up, powerLoss time.Duration
	linkRate            float64
}

// outcome is what a load led to: the time without a usable version, the time at which the newest one was loaded, the largest error of a
// predicted time at which the engine accepts requests, and the versions loaded.
type outcome struct {
	without, newestAt, readyError time.Duration
	loads                         []int64
}

type player struct {
	load
	outcome
	now, loadEnds, turnAt time.Duration
	held, loading, turnOf int64
	// fleet and host hold the bytes of each version, and spread those of the fleet in the last ticks.
	fleet, host map[int64]float64
	spread      []map[int64]float64
	dropped     []int64
	// resolved are the versions whose chunks the origin has listed.
	resolved map[int64]bool
	// predicted are the predictions since the last load.
	predicted []time.Duration
}

func (l load) play() outcome {
	p := &player{load: l, fleet: map[int64]float64{}, host: map[int64]float64{}, resolved: map[int64]bool{}, held: 1}
	for ; p.now < end; p.now += tick {
		if l.powerLoss > 0 && p.now == l.powerLoss {
			p.fleet, p.host, p.held, p.loading, p.spread = map[int64]float64{}, map[int64]float64{}, 0, 0, nil
		}
		plan := versionplan.Decide(begin.Add(p.now), p.inputs())
		p.dropped = append(p.dropped, plan.Drop...)
		if !plan.ReadyAt.IsZero() && p.loading == 0 {
			p.predicted = append(p.predicted, plan.ReadyAt.Sub(begin))
		}
		p.transfer(plan)
		p.engine(plan)
	}
	return p.outcome
}

// endOf returns until when entries send to a version; 0 if its successor is not activated.
func (p *player) endOf(number int64) time.Duration {
	if successor := int(number - 1); number > 0 && successor < len(p.activations) && p.activations[successor] <= p.now {
		return p.activations[successor] + softEnd
	}
	return 0
}

func (p *player) newest() int64 {
	return 1 + int64(len(slices.DeleteFunc(slices.Clone(p.activations), func(at time.Duration) bool { return at > p.now })))
}

func (p *player) inputs() versionplan.Inputs {
	timeOf := func(number int64) time.Time {
		if at := p.endOf(number); at > 0 {
			return begin.Add(at)
		}
		return time.Time{}
	}
	in := versionplan.Inputs{
		Held: p.held, HeldUntil: timeOf(p.held), OriginRate: originRate, LinkRate: p.linkRate, OriginAway: p.now >= p.down+500*ms && p.now < p.up+500*ms,
		LoadTime: 2 * s, IdleLoadTime: idleLoadTime, Serving: true,
	}
	for number := max(2, p.held+1); number <= p.newest(); number++ {
		if !slices.Contains(p.dropped, number) {
			in.Versions = append(in.Versions, versionplan.Version{
				Number: number, UsableUntil: timeOf(number), Complete: p.host[number] >= size, FleetLacks: int64(size - p.fleet[number]),
				HostLacks: int64(size - p.host[number]), Size: size, Resolved: p.resolved[number], Gone: p.newest() > number+1, ActivatedAt: begin.Add(p.activations[number-2]),
			})
		}
	}
	return in
}

// transfer moves chunks from the origin and from peers in the order of the plan.
func (p *player) transfer(plan versionplan.Plan) {
	origin, link := originRate*tick.Seconds(), p.linkRate*tick.Seconds()
	if p.now >= p.down && p.now < p.up {
		origin = 0
	}
	p.spread = append(p.spread, maps.Clone(p.fleet))
	p.spread = p.spread[max(0, len(p.spread)-int(spreadTime/tick)):]
	for _, number := range plan.FetchOrder {
		p.resolved[number] = p.resolved[number] || origin > 0 && p.now >= p.activations[number-2]+200*ms
		if p.newest() <= number+1 && p.resolved[number] {
			sent := min(origin, size-p.fleet[number])
			p.fleet[number] += sent
			origin -= sent
		}
		got := min(link, max(0, p.spread[0][number]-p.host[number]))
		p.host[number] += got
		link -= got
		if size-p.host[number] < 1 {
			p.host[number] = size
		}
	}
}

// engine loads as the plan says, in a turn in the middle of the time left, and counts the time without a usable version.
func (p *player) engine(plan versionplan.Plan) {
	ends := p.endOf(p.held)
	usable := p.held > 0 && (ends == 0 || p.now < ends+grace)
	if p.loading > 0 && p.now >= p.loadEnds {
		p.held, p.loading, usable = p.loading, 0, true
		p.loads = append(p.loads, p.held)
		if p.held == p.newest() {
			p.newestAt = p.now
		}
		for _, at := range p.predicted {
			p.readyError = max(p.readyError, (at - p.now).Abs())
		}
		p.predicted = nil
	}
	if !usable {
		p.without += tick
	}
	if p.loading > 0 || plan.Load == 0 || plan.Load == p.held {
		return
	}
	if p.turnOf != plan.Load {
		p.turnOf, p.turnAt = plan.Load, p.now
		if usable && ends > 0 {
			p.turnAt += max(0, ends-2*s-p.now) / 2
		}
	}
	if p.now >= p.turnAt {
		p.loading, p.loadEnds = plan.Load, p.now+idleLoadTime
		if usable {
			p.loadEnds = p.now + loadTime
		}
	}
}

// TestTimeWithoutAUsableVersion guards against versions that are dropped, completed too late or loaded in vain. It plays loads and bounds the
// time in which an engine holds no usable version, and the time at which the newest version is loaded. Callers have 2 to 6 s. Version 1 can be
// used until 26.8 s, and a copy takes 3.4 s from the list of its chunks to an idle engine.
func TestTimeWithoutAUsableVersion(t *testing.T) {
	two, three := []time.Duration{18 * s, 20 * s}, []time.Duration{18 * s, 20 * s, 22 * s}
	for _, c := range []struct {
		name string
		load load
		want outcome
	}{
		{"the origin is away for 6 s after the second activation", load{activations: two, down: 20500 * ms, up: 26500 * ms}, outcome{s, 29800 * ms, 500 * ms, []int64{2, 3}}},
		{"the origin stays", load{activations: two}, outcome{0, 25400 * ms, 0, []int64{3}}},
		{"the origin goes with the second activation", load{activations: two, down: 20 * s, up: 26 * s}, outcome{1800 * ms, 29800 * ms, 500 * ms, []int64{2, 3}}},
		{"the origin is back too late for the second version", load{activations: two, down: 20 * s, up: 27200 * ms}, outcome{3900 * ms, 30700 * ms, 100 * ms, []int64{3}}},
		{"the origin is away for 3 s only", load{activations: two, down: 20500 * ms, up: 23500 * ms}, outcome{0, 27900 * ms, 0, []int64{2, 3}}},
		{"the origin is away for good with a complete version", load{activations: two, down: 20500 * ms, up: never}, outcome{end - 28800*ms, 0, 0, []int64{2}}},
		{"the origin is away for good with a nearly complete version", load{activations: two, down: 20 * s, up: never}, outcome{end - 26800*ms, 0, 0, nil}},
		{"three versions in a row, the origin stays", load{activations: three}, outcome{0, 26900 * ms, 0, []int64{3, 4}}},
		{"three versions in a row, the origin is away", load{activations: three, down: 20500 * ms, up: 26500 * ms}, outcome{1200 * ms, 30 * s, 500 * ms, []int64{2, 4}}},
		{"power is lost between two activations", load{activations: two, powerLoss: 19 * s}, outcome{3500 * ms, 26800 * ms, 100 * ms, []int64{2, 3}}},
		{"power is lost after both activations", load{activations: two, powerLoss: 20500 * ms}, outcome{3500 * ms, 24 * s, 100 * ms, []int64{3}}},
		{"the second activation comes 9 s later", load{activations: []time.Duration{18 * s, 27 * s}}, outcome{0, 33300 * ms, 0, []int64{2, 3}}},
		{"the second activation comes 0.4 s later", load{activations: []time.Duration{18 * s, 18400 * ms}}, outcome{0, 24500 * ms, 0, []int64{3}}},
		{"most of the second version is missing", load{activations: two, down: 18200 * ms, up: 19800 * ms}, outcome{0, 25300 * ms, 0, []int64{3}}},
		{"a host with a quarter of the link", load{activations: two, down: 20500 * ms, up: 26500 * ms, linkRate: linkRate / 4}, outcome{8 * s, 34800 * ms, 500 * ms, []int64{3}}},
		{"a host with ten times the link", load{activations: two, down: 20500 * ms, up: 26500 * ms, linkRate: 10 * linkRate}, outcome{s, 29800 * ms, 500 * ms, []int64{2, 3}}},
	} {
		if c.load.linkRate == 0 {
			c.load.linkRate = linkRate
		}
		if c.load.up == 0 {
			c.load.down, c.load.up = never, never
		}
		got := c.load.play()
		t.Logf("%s: %+v", c.name, got)
		assert.LessOrEqual(t, got.without, c.want.without, c.name)
		assert.LessOrEqual(t, got.newestAt, c.want.newestAt, c.name)
		assert.LessOrEqual(t, got.readyError, c.want.readyError, c.name)
		assert.Equal(t, c.want.loads, got.loads, c.name)
	}
}
