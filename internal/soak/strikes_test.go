package soak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/platform/standin"
)

// striker injects faults one after the other, by random numbers of its own. Two of them strike at once, so that faults overlap and meet at the
// same process.
type striker struct {
	*soak
	random *rand.Rand
	// kinds is how many kinds of fault it draws from, and first is the first of these.
	first, kinds int
}

func (s *soak) striker(seed, stream uint64, first, kinds int) *striker {
	return &striker{soak: s, random: rand.New(rand.NewPCG(seed, stream)), first: first, kinds: kinds}
}

// until strikes until a time.
func (s *striker) until(end time.Time) {
	for time.Now().Before(end) {
		s.strike()
	}
}

func pick[T any](s *striker, list []T) T { return list[s.random.IntN(len(list))] }

// strike injects one fault and waits a little.
func (s *striker) strike() {
	switch s.first + s.random.IntN(s.kinds) {
	case 0:
		pick(s, s.entries).end(syscall.SIGKILL)
	case 1:
		pick(s, s.entries).end(syscall.SIGTERM)
	case 2:
		pick(s, s.agents).end(syscall.SIGKILL)
	case 3:
		pick(s, slices.Concat(s.agents, s.entries)).freeze(s.pause)
	case 4:
		s.loseStore(s.fleet.Store.SetDown, s.shortly())
	case 5:
		s.loseStore(s.fleet.Store.SetSilent, s.shortly())
	case 6:
		s.fleet.Store.Compact()
	case 7:
		if e := pick(s, s.upstreams); e.Weights != nil {
			e.Weights.Crash(s.random.IntN(2) == 0)
		}
	case 8:
		s.nameNext()
	case 9:
		s.configure()
		pick(s, s.entries).signal(syscall.SIGHUP)
	case 10, 11, 12, 13, 14:
		s.harm(pick(s, s.proxies))
	case 16:
		s.toggleKey()
	case 17: // Engines that are full or slow as a version's time ends.
		release := pick(s, s.engines()).Hold()
		s.nameNext()
		s.pause()
		release()
	case 18: // Two at once that stand side by side.
		i := s.random.IntN(len(s.agents))
		s.agents[i].end(syscall.SIGKILL)
		s.entries[i].end(syscall.SIGKILL)
	case 19: // All at once.
		s.all(func(p *process) { p.end(syscall.SIGKILL) })
	default:
		faults := []standin.Fault{
			standin.Decline, standin.Misdirect, standin.Fail, standin.Lose, standin.Foreign, standin.BreakEvent, standin.Hang,
			standin.Unmarked, standin.Short,
		}
		var next []standin.Fault
		for range 20 {
			next = append(next, pick(s, faults), standin.Healthy)
		}
		s.fleet.Faults.Next(next...)
	}
	s.pause()
}

// strikeAround injects one fault that spares all entries but the last and their ways to upstreams, and waits a little.
func (s *striker) strikeAround() {
	last := s.entries[len(s.entries)-1]
	switch s.random.IntN(9) {
	case 0:
		last.end(syscall.SIGKILL)
	case 1:
		last.end(syscall.SIGTERM)
	case 2:
		pick(s, append(slices.Clone(s.agents), last)).freeze(s.pause)
	case 3:
		pick(s, s.agents).end(syscall.SIGKILL)
	case 4:
		s.loseStore(s.fleet.Store.SetDown, time.Duration(s.random.IntN(5000))*time.Millisecond)
	case 5:
		s.loseStore(s.fleet.Store.SetSilent, s.shortly())
	case 6:
		s.fleet.Store.Compact()
	case 7:
		s.nameNext()
	default:
		s.configure()
	}
	s.pause()
}

// loseStore has the store out of reach in some way for a while.
func (s *striker) loseStore(set func(bool), d time.Duration) {
	from := time.Now()
	set(true)
	time.Sleep(d)
	set(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeAway = append(s.storeAway, span{from: from, to: time.Now()})
}

func (s *striker) shortly() time.Duration {
	return time.Duration(50+s.random.IntN(300)) * time.Millisecond
}

func (s *striker) pause() { time.Sleep(s.shortly()) }

// engines are the upstreams that hold weights.
func (s *soak) engines() []*standin.Upstream {
	var list []*standin.Upstream
	for _, u := range s.upstreams {
		if u.Weights != nil {
			list = append(list, u)
		}
	}
	return list
}

// all does the same to every process at once.
func (s *soak) all(f func(*process)) {
	var done sync.WaitGroup
	for _, p := range slices.Concat(s.agents, s.entries) {
		done.Go(func() { f(p) })
	}
	done.Wait()
}

func (s *soak) nameNext() {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.version++
	s.fleet.Name(s.version)
}

func (s *soak) configure() {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.fleet.Configure()
}

// toggleKey takes the second key away, or gives it back.
func (s *soak) toggleKey() {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.allow(secondKey, !s.allowed)
}

// allow puts a manifest in force with or without the second key. It is called with the operator's lock held.
func (s *soak) allow(key string, allowed bool) {
	keys := []string{"key-1"}
	if allowed {
		keys = append(keys, key)
	}
	s.allowed = allowed
	s.fleet.Tenants = append([]map[string]any{{"name": "karrakin", "apiKeys": keys}}, s.tenants...)
	s.fleet.Configure()
}
