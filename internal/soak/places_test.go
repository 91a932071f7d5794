package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// The users' rules on places: how long after the store's word an evacuation holds, and what a cold upstream may get in a second.
const (
	evacuationTime = 5 * time.Second
	coldRate       = 12
	coldOvershoot  = 1.5
	coldExtra      = 5
	// coldHeard is how long after an upstream told the store that it is cold the bound is checked: a change is read within half a second, or by
	// a question of two.
	coldHeard = 2500 * time.Millisecond
	coldFor   = standin.ColdTime
)

const (
	// placesHosts and placesSeconds are how many hosts of each kind the run has, one in each data centre, and how long it lasts in CI.
	placesHosts   = 3
	placesSeconds = 20
	// homeKey is the key of an account that is bound to a region, and homePath a route that is bound to another.
	homeKey  = "key-home"
	homePath = "/bound/1"
	// homeHeader marks the requests of a caller of the bound route.
	homeHeader = "Soak-Home"
	// homeRegion binds the route, accountRegion the account.
	homeRegion    = "pilbara"
	accountRegion = "southwest"
	homeAccount   = "resident"
)

// placesSeeds are played each time: two first ones, and each that ever failed, with a line on the cause.
var placesSeeds = []uint64{1, 2}

// placesSoak is a run with a host of each kind in each data centre.
type placesSoak struct {
	*soak
	// evacuated and cold are the times in which a data centre was evacuated, or a plain upstream was cold.
	evacuated, cold map[string][]span
}

func newPlacesSoak(t *testing.T) *placesSoak {
	s := &soak{t: t, fleet: standin.NewFleet(t), version: 1, places: []string{"perth-a", "karratha-a", "bunbury-a"}}
	s.fleet.EvacuationTime, s.fleet.ColdPerS = evacuationTime, coldRate
	s.fleet.AddHomeRoute("/bound/", homeRegion)
	s.tenants = []map[string]any{standin.BoundTenant(homeAccount, homeKey, accountRegion)}
	return &placesSoak{soak: startSoak(t, placesHosts, s), evacuated: map[string][]span{}, cold: map[string][]span{}}
}

// homeCallers ask for what is bound to a region until stop is closed.
func (s *placesSoak) homeCallers(stop <-chan struct{}, done *sync.WaitGroup) {
	for i, host := range s.hosts {
		for k, q := range []standin.Request{{Path: homePath}, {Path: "/again/1", Key: homeKey}, {Path: "/once/1", Key: homeKey}, {Path: "/stream/1", Key: homeKey}, {Path: homePath, Key: homeKey}} {
			c := &standin.Caller{Address: host.Callers, Name: fmt.Sprintf("%s-home-%d-%d", s.t.Name(), i, k)}
			done.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(5 * time.Millisecond):
						s.call(c, q)
					}
				}
			})
		}
	}
}

// order plays the operator and the upstreams that turn cold until a time.
func (s *placesSoak) order(striker *striker, end time.Time) {
	for turn := striker.random.IntN(2); time.Now().Before(end); turn++ {
		from := time.Now()
		if turn%2 == 0 {
			place := pick(striker, s.places)
			s.fleet.Evacuate(place)
			time.Sleep(min(time.Until(end), 7*time.Second))
			s.fleet.EndEvacuation(place)
			s.evacuated[place] = append(s.evacuated[place], span{from: from, to: time.Now()})
		} else {
			desk := fmt.Sprintf("i-desk-%d", striker.random.IntN(placesHosts))
			s.fleet.TurnCold(desk)
			time.Sleep(coldFor)
			s.fleet.Warm(desk)
			s.cold[desk] = append(s.cold[desk], span{from: from, to: from.Add(coldFor)})
		}
		striker.pause()
	}
}

// reachable is from when on, after a moment and as of a later one, the store could be reached without a break.
func (s *placesSoak) reachable(from, by time.Time) time.Time {
	for _, away := range s.storeAway {
		if away.from.Before(by) && away.to.After(from) {
			from = away.to
		}
	}
	return from
}

// settlePlaces checks what reached the upstreams against the homes, the evacuations and the cold times.
func (s *placesSoak) settlePlaces() {
	homes, evacuated, cold := 0, 0, 0
	for i, u := range s.upstreams {
		place := s.places[(i/2)%len(s.places)] // A plain upstream and an engine stand in each, one after the other.
		var coldArrivals []time.Time
		for _, a := range arrivalsAt(u) {
			account, bound := a.Account() == homeAccount, a.Header.Get(homeHeader) != ""
			if account || bound {
				homes++
			}
			if account && standin.Places[place] != accountRegion || bound && standin.Places[place] != homeRegion {
				s.t.Errorf("HOME: a request of account %v, route %v reached %s", account, bound, place)
			}
			for _, e := range s.evacuated[place] {
				if a.At.After(s.reachable(e.from, a.At).Add(evacuationTime)) && a.At.Before(e.to) && !between(s.entries[a.entry].disturbed, e.from, a.At) {
					s.t.Errorf("EVAC: a request reached %s in %s %v after its evacuation", u.ID, place, a.At.Sub(e.from))
				}
				evacuated++
			}
			for _, e := range s.cold[u.ID] {
				if a.At.After(s.reachable(e.from, a.At).Add(coldHeard)) && a.At.Before(e.to) {
					coldArrivals = append(coldArrivals, a.At)
				}
			}
		}
		cold += len(coldArrivals)
		first := 0
		for k, at := range coldArrivals {
			for coldArrivals[first].Before(at.Add(-time.Second)) {
				first++
			}
			require.LessOrEqual(s.t, float64(k-first+1), coldOvershoot*coldRate+coldExtra, "FAILBACK: %s", u.ID)
		}
	}
	s.t.Logf("%d requests with homes, %d looked at for evacuations, %d at cold upstreams", homes, evacuated, cold)
	require.Positive(s.t, homes)
	require.Positive(s.t, evacuated)
}

// TestSoakPlaces guards against requests that leave their homes, that reach a data centre which is being evacuated, or that are too many for a cold
// upstream, beside faults of processes and of the store that spare all entries but the last.
func TestSoakPlaces(t *testing.T) {
	seconds := numberFrom(t, secondsVariable, placesSeconds)
	for _, seed := range seedsOf(t, placesSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newPlacesSoak(t)
			stop := make(chan struct{})
			var done, strikers sync.WaitGroup
			s.callers(stop, &done)
			s.homeCallers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			around := s.striker(seed, seed, 0, 0)
			strikers.Go(func() {
				for time.Now().Before(end) {
					around.strikeAround()
				}
			})
			strikers.Go(func() { s.order(s.striker(seed, seed+1, 0, 0), end) })
			strikers.Wait()
			close(stop)
			done.Wait()
			s.settle()
			s.settlePlaces()
		})
	}
}
