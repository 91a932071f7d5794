package soak_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// The users' rules on data centres.
const (
	// evacuationDelay is the time from when an evacuation can be read from the store until no request may reach the data centre any more.
	evacuationDelay = 5 * time.Second
	// A cold upstream is limited to coldRate requests per second. In any second it may get coldOvershoot times as many, and coldSlack more.
	coldRate      = 12
	coldOvershoot = 1.5
	coldSlack     = 5
	// coldEffectDelay is the time from when an upstream is registered as cold in the store until the limit is checked. A process reads a
	// change within half a second, or with a read request that takes up to two seconds.
	coldEffectDelay = 2500 * time.Millisecond
	coldDuration    = standin.ColdTime
	// evacuationDuration is how long an evacuation lasts.
	evacuationDuration = 7 * time.Second
)

const (
	// placesHosts is the number of hosts of each kind, one in each data centre. placesSeconds is the duration of the run in CI, in seconds.
	placesHosts   = 3
	placesSeconds = 20
	// homeKey is the API key of a client account that is bound to a region, and homePath is a route that is bound to another region.
	homeKey  = "key-home"
	homePath = "/bound/1"
	// homeHeader marks requests to the bound route.
	homeHeader = "Soak-Home"
	// homeRegion is the home region of the route, and accountRegion that of the account.
	homeRegion    = "pilbara"
	accountRegion = "southwest"
	homeAccount   = "resident"
)

// placesSeeds run in CI: two first seeds, and each seed that ever failed, with the cause of the failure.
var placesSeeds = []uint64{1, 2}

// placesSoak is a run with one host of each kind in each data centre.
type placesSoak struct {
	*soak
	// evacuated holds the times in which a data centre was evacuated, and cold those in which a plain upstream was cold.
	evacuated, cold map[string][]span
}

func newPlacesSoak(t *testing.T) *placesSoak {
	s := &soak{t: t, fleet: standin.NewFleet(t), version: 1, places: []string{"perth-a", "karratha-a", "bunbury-a"}}
	s.fleet.EvacuationTime, s.fleet.ColdPerS = evacuationDelay, coldRate
	s.fleet.AddRegionBoundRoute("/bound/", homeRegion)
	s.accounts = []map[string]any{standin.RegionBoundAccount(homeAccount, homeKey, accountRegion)}
	return &placesSoak{soak: startSoak(t, placesHosts, s), evacuated: map[string][]span{}, cold: map[string][]span{}}
}

// homeCallers starts callers that send requests of the bound account and to the bound route, until stop is closed.
func (s *placesSoak) homeCallers(stop <-chan struct{}, done *sync.WaitGroup) {
	for i, host := range s.hosts {
		for k, q := range []standin.Request{{Path: homePath}, {Path: "/again/1", APIKey: homeKey}, {Path: "/once/1", APIKey: homeKey}, {Path: "/stream/1", APIKey: homeKey}, {Path: homePath, APIKey: homeKey}} {
			c := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-home-%d-%d", s.t.Name(), i, k)}
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

// operateUntil evacuates data centres, as an operator does, and turns upstreams cold, in turn, until a time.
func (s *placesSoak) operateUntil(injector *injector, end time.Time) {
	for round := injector.random.IntN(2); time.Now().Before(end); round++ {
		if round%2 == 0 {
			s.evacuate(injector, pick(injector, s.places), end)
		} else {
			service := fmt.Sprintf("i-desk-%d", injector.random.IntN(placesHosts))
			from := time.Now()
			s.write(func() { s.fleet.SetCold(service) })
			time.Sleep(coldDuration)
			s.write(func() { s.fleet.SetWarm(service) })
			s.cold[service] = append(s.cold[service], span{from: from, to: from.Add(coldDuration)})
		}
		injector.pause()
	}
}

// write has an operator or an upstream write to the store, which is not being restored meanwhile.
func (s *soak) write(write func()) {
	s.operator.Lock()
	defer s.operator.Unlock()
	write()
}

// evacuate evacuates a data centre for evacuationDuration, but at most until a time. During the evacuation the store is restored from a copy
// from before it, and in some cases after its end from a copy that still has it.
func (s *placesSoak) evacuate(injector *injector, place string, end time.Time) {
	before := s.fleet.Store.Backup()
	from := time.Now()
	s.write(func() { s.fleet.Evacuate(place) })
	injector.pause()
	injector.restoreFrom(before)
	time.Sleep(max(0, min(time.Until(end), evacuationDuration-time.Since(from))))
	during := s.fleet.Store.Backup()
	s.write(func() { s.fleet.EndEvacuation(place) })
	s.evacuated[place] = append(s.evacuated[place], span{from: from, to: time.Now()})
	if injector.random.IntN(2) == 0 {
		injector.restoreFrom(during)
	}
}

// storeReachableSince returns the end of the last store outage between two times, or from if there was none.
func (s *placesSoak) storeReachableSince(from, by time.Time) time.Time {
	for _, away := range s.storeOutages {
		if away.from.Before(by) && away.to.After(from) {
			from = away.to
		}
	}
	return from
}

// verifyPlaces checks the requests that reached the upstreams against the home regions, the evacuations and the limits of cold upstreams.
func (s *placesSoak) verifyPlaces() {
	homes, evacuated, cold := 0, 0, 0
	for i, u := range s.upstreams {
		place := s.places[(i/2)%len(s.places)] // Each data centre has a plain upstream followed by an engine.
		var coldArrivals []time.Time
		for _, a := range arrivalsAt(u) {
			account, boundRoute := a.Account() == homeAccount, a.Header.Get(homeHeader) != ""
			if account || boundRoute {
				homes++
			}
			if account && standin.DataCentres[place] != accountRegion || boundRoute && standin.DataCentres[place] != homeRegion {
				s.t.Errorf("HOME: a request of account %v, route %v reached %s", account, boundRoute, place)
			}
			for _, e := range s.evacuated[place] {
				if a.At.After(s.storeReachableSince(e.from, a.At).Add(evacuationDelay)) && a.At.Before(e.to) && !overlaps(s.entries[a.entry].disruptions, e.from, a.At) {
					s.t.Errorf("EVAC: a request reached %s in %s %v after its evacuation", u.ID, place, a.At.Sub(e.from))
				}
				evacuated++
			}
			for _, e := range s.cold[u.ID] {
				if a.At.After(s.storeReachableSince(e.from, a.At).Add(coldEffectDelay)) && a.At.Before(e.to) {
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
			require.LessOrEqual(s.t, float64(k-first+1), coldOvershoot*coldRate+coldSlack, "FAILBACK: %s", u.ID)
		}
	}
	s.t.Logf("%d requests bound to a home region, %d checked against evacuations, %d at cold upstreams", homes, evacuated, cold)
	require.Positive(s.t, homes)
	require.Positive(s.t, evacuated)
}

// TestSoakPlaces guards against requests that are routed outside their home region or to an evacuated data centre, and against more
// requests than a cold upstream may get. Meanwhile faults of processes and of the store occur, which spare all entries but the last.
func TestSoakPlaces(t *testing.T) {
	seconds := intFromEnv(t, secondsVariable, placesSeconds)
	for _, seed := range seedsToRun(t, placesSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newPlacesSoak(t)
			stop := make(chan struct{})
			var done, injectors sync.WaitGroup
			s.callers(stop, &done)
			s.homeCallers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			sparing := s.newInjector(seed, seed, 0, 0)
			injectors.Go(func() {
				for time.Now().Before(end) {
					sparing.injectFaultSparingEntries()
				}
			})
			injectors.Go(func() { s.operateUntil(s.newInjector(seed, seed+1, 0, 0), end) })
			injectors.Wait()
			close(stop)
			done.Wait()
			s.verify()
			s.verifyPlaces()
		})
	}
}
