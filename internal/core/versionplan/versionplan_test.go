package versionplan_test

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/core/versionplan"
)

const (
	// size is the size of a version, originRate and linkRate are the rates of a fleet of 34 to 52 hosts.
	size       = 48 * 49152
	originRate = 9e6 / 8
	linkRate   = 9.4e6 / 8
	// lifetime is how long after the activation of its successor a version may be used. margin is how much earlier entries stop to send to
	// it if an engine holds the successor.
	lifetime = 9700 * time.Millisecond
	margin   = 1300 * time.Millisecond
	// grace is for how much longer entries send to a version if no engine holds its successor, and loadTime how long an engine with requests
	// usually takes for a load.
	grace    = 400 * time.Millisecond
	loadTime = 1500 * time.Millisecond
	// spreadTime is how long chunks take from the first host that has them to the others.
	spreadTime = 800 * time.Millisecond
	// tick is the time between two plans.
	tick = 50 * time.Millisecond
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// activation is the activation of a version at a time.
type activation struct {
	number int64
	at     time.Duration
}

// load plays one host and the fleet around it. All hosts decide alike, so the chunks that come from the origin for a version reach this host
// after the time that its link takes.
type load struct {
	activations []activation
	// down and up bound the time in which the origin is unreachable. noticed is how much later that is known.
	down, up, noticed time.Duration
	// powerLoss is when all hosts lose their chunks and their engines' weights; 0 for never.
	powerLoss time.Duration
	linkRate  float64
	until     time.Duration
}

// outcome is what a load led to.
type outcome struct {
	// without is the time without a usable version, newestAt is when the newest version was loaded, and loads are the versions loaded.
	without, newestAt time.Duration
	loads             []int64
	// readyError is the largest error of a predicted time at which the engine accepts requests.
	readyError time.Duration
}

type player struct {
	load
	now         time.Duration
	fleet, host map[int64]float64
	// spread holds what the fleet had in the last ticks; a chunk takes spreadTime to this host.
	spread        []map[int64]float64
	held, loading int64
	loadEnds      time.Duration
	turnAt        time.Duration
	turnOf        int64
	dropped       map[int64]bool
	// predicted are the predictions since the last load.
	predicted []time.Duration
	outcome   outcome
}

func (l load) play() outcome {
	p := &player{load: l, fleet: map[int64]float64{}, host: map[int64]float64{}, held: 1, dropped: map[int64]bool{}}
	for ; p.now < l.until; p.now += tick {
		if l.powerLoss > 0 && p.now == l.powerLoss {
			p.fleet, p.host, p.held, p.loading, p.spread = map[int64]float64{}, map[int64]float64{}, 0, 0, nil
		}
		plan := versionplan.Decide(begin.Add(p.now), p.inputs())
		for _, number := range plan.Drop {
			p.dropped[number] = true
		}
		if !plan.ReadyAt.IsZero() && p.loading == 0 {
			p.predicted = append(p.predicted, plan.ReadyAt.Sub(begin))
		}
		p.transfer(plan)
		p.engine(plan)
	}
	return p.outcome
}

// end returns the end of a version's use; with soft set, the time from which entries prefer its successor.
func (p *player) end(number int64, soft bool) (time.Duration, bool) {
	for _, a := range p.activations {
		if a.number > number && a.at <= p.now {
			if soft {
				return a.at + lifetime - margin, true
			}
			return a.at + lifetime - margin + grace, true
		}
	}
	return 0, false
}

func (p *player) newest() int64 {
	newest := int64(1)
	for _, a := range p.activations {
		if a.at <= p.now {
			newest = a.number
		}
	}
	return newest
}

func (p *player) inputs() versionplan.Inputs {
	in := versionplan.Inputs{
		Held: p.held, OriginRate: originRate, LinkRate: p.linkRate, OriginAway: p.now >= p.down+p.noticed && p.now < p.up+p.noticed,
		LoadTime: 2 * time.Second, IdleLoadTime: 500 * time.Millisecond, Serving: true,
	}
	if until, ok := p.end(p.held, true); ok && p.held > 0 {
		in.HeldUntil = begin.Add(until)
	}
	for _, a := range p.activations {
		if a.at > p.now || p.dropped[a.number] || a.number <= p.held {
			continue
		}
		if _, known := p.fleet[a.number]; !known {
			p.fleet[a.number] = 0
		}
		v := versionplan.Version{
			Number: a.number, ActivatedAt: begin.Add(a.at), Complete: p.host[a.number] >= size, FleetLacks: int64(size - p.fleet[a.number]),
			HostLacks: int64(size - p.host[a.number]), Size: size, Resolved: true, Gone: p.newest() > a.number+1,
		}
		if until, ok := p.end(a.number, true); ok {
			v.UsableUntil = begin.Add(until)
		}
		in.Versions = append(in.Versions, v)
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
	if len(p.spread) > int(spreadTime/tick) {
		p.spread = p.spread[1:]
	}
	for _, number := range plan.FetchOrder {
		if p.newest() <= number+1 {
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
	hard, ends := p.end(p.held, false)
	usable := p.held > 0 && (!ends || p.now < hard)
	switch {
	case p.loading > 0 && p.now >= p.loadEnds:
		p.held, p.loading = p.loading, 0
		p.outcome.loads = append(p.outcome.loads, p.held)
		for _, at := range p.predicted {
			p.outcome.readyError = max(p.outcome.readyError, (at - p.now).Abs())
		}
		p.predicted = nil
		if p.held == p.newest() {
			p.outcome.newestAt = p.now
		}
		usable = true
	case p.loading > 0:
	case plan.Load == 0:
		p.turnOf = 0
	default:
		if p.turnOf != plan.Load {
			p.turnOf, p.turnAt = plan.Load, p.now
			if soft, ok := p.end(p.held, true); ok && usable && soft-2*time.Second > p.now {
				p.turnAt += (soft - 2*time.Second - p.now) / 2
			}
		}
		if p.now >= p.turnAt {
			p.loading, p.loadEnds = plan.Load, p.now+500*time.Millisecond
			if usable {
				p.loadEnds = p.now + loadTime
			}
		}
	}
	if !usable {
		p.outcome.without += tick
	}
}

const (
	s  = time.Second
	ms = time.Millisecond
)

// TestTimeWithoutAUsableVersion guards against versions that are dropped, completed too late or loaded in vain. It plays loads and bounds the time in which an engine holds no usable version, and the time at which the newest
// version is loaded. Callers have 2 to 6 s.
func TestTimeWithoutAUsableVersion(t *testing.T) {
	two := []activation{{2, 18 * s}, {3, 20 * s}}
	three := []activation{{2, 18 * s}, {3, 20 * s}, {4, 22 * s}}
	const never, end = time.Hour, 60 * s
	for _, c := range []struct {
		name string
		load load
		// without is the longest time without a usable version, newestBy the latest time at which the newest one is loaded.
		without, newestBy time.Duration
		loads             []int64
	}{
		{"the origin is away for 6 s after the second activation", load{activations: two, down: 20500 * ms, up: 26500 * ms}, 800 * ms, 29600 * ms, []int64{2, 3}},
		{"the origin stays", load{activations: two}, 0, 25300 * ms, []int64{3}},
		{"the origin goes with the second activation", load{activations: two, down: 20 * s, up: 26 * s}, 1400 * ms, 29600 * ms, []int64{2, 3}},
		{"the origin is back too late for the second version", load{activations: two, down: 20 * s, up: 27200 * ms}, 3900 * ms, 30700 * ms, []int64{3}},
		{"the origin is away for 3 s only", load{activations: two, down: 20500 * ms, up: 23500 * ms}, 0, 27800 * ms, []int64{2, 3}},
		{"the origin is away for good with a complete version", load{activations: two, down: 20500 * ms, up: never}, end - 28800*ms, 0, []int64{2}},
		{"the origin is away for good with a nearly complete version", load{activations: two, down: 20 * s, up: never}, end - 26800*ms, 0, nil},
		{"three versions in a row, the origin stays", load{activations: three}, 0, 28400 * ms, []int64{3, 4}},
		{"three versions in a row, the origin is away", load{activations: three, down: 20500 * ms, up: 26500 * ms}, 1200 * ms, 30 * s, []int64{2, 4}},
		{"power is lost between two activations", load{activations: two, powerLoss: 19 * s}, 3500 * ms, 26800 * ms, []int64{2, 3}},
		{"power is lost after both activations", load{activations: two, powerLoss: 20500 * ms}, 3500 * ms, 24 * s, []int64{3}},
		{"the second activation comes 9 s later", load{activations: []activation{{2, 18 * s}, {3, 27 * s}}}, 0, 33200 * ms, []int64{2, 3}},
		{"the second activation comes 0.4 s later", load{activations: []activation{{2, 18 * s}, {3, 18400 * ms}}}, 0, 24400 * ms, []int64{3}},
		{"most of the second version is missing", load{activations: two, down: 18200 * ms, up: 19800 * ms}, 0, 25200 * ms, []int64{3}},
		{"a host with a quarter of the link", load{activations: two, down: 20500 * ms, up: 26500 * ms, linkRate: linkRate / 4}, 7200 * ms, 34 * s, []int64{3}},
		{"a host with ten times the link", load{activations: two, down: 20500 * ms, up: 26500 * ms, linkRate: 10 * linkRate}, 800 * ms, 29600 * ms, []int64{2, 3}},
	} {
		l := c.load
		if l.linkRate == 0 {
			l.linkRate = linkRate
		}
		if l.up == 0 {
			l.down, l.up = never, never
		}
		if l.noticed == 0 {
			l.noticed = 500 * time.Millisecond
		}
		l.until = end
		got := l.play()
		t.Logf("%s: %+v", c.name, got)
		assert.LessOrEqual(t, got.without, c.without, c.name)
		assert.LessOrEqual(t, got.newestAt, c.newestBy, c.name)
		assert.LessOrEqual(t, got.readyError, 500*ms, "%s: error of the predicted time", c.name)
		assert.Equal(t, c.loads, got.loads, c.name)
	}
}
