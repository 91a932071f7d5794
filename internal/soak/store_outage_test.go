package soak_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// outageHosts is the number of hosts of each kind, outageRounds the number of outages in CI, in which the package must end within ten minutes beside load too.
	outageHosts  = 3
	outageRounds = 1
	// outageLifetime is the lifetime of versions.
	outageLifetime = 8 * time.Second
	// minOutage and maxOutage bound an outage of the store, maxPhase the pause before it, and maxActivationDelay the time from its end to
	// the activation of a version.
	minOutage          = 500 * time.Millisecond
	maxOutage          = 6 * time.Second
	maxPhase           = 3 * time.Second
	maxActivationDelay = 4500 * time.Millisecond
	maxEarlyActivation = time.Second
	// maxStaleTime is how long lists are stale after an outage.
	maxStaleTime = 5500 * time.Millisecond
	// afterExpiry is how long requests are sent after the expiry of a version.
	afterExpiry = 2 * time.Second
	// receiptSlack is how much younger than it is a version may count: by a pause between two calls of a process, and its own delay.
	receiptSlack = 150 * time.Millisecond
	// roundsVariable is the number of outages of each seed.
	roundsVariable = "SOAK_ROUNDS"
)

// outageSeeds run in CI: a first seed, and each seed that ever failed, with the cause of the failure.
var outageSeeds = []uint64{1}

// outageRound is an outage of the store and the activation of a version beside it.
type outageRound struct {
	phase, outage, activationDelay, staleTime time.Duration
	// late is set if the calls of the outage are answered at its end, compacted if the store drops its history meanwhile.
	late, compacted bool
	// restart is the process that is killed and restarted during the outage; nil for none.
	restart *process
}

func (s *silenceSoak) drawRound(i *injector) outageRound {
	draw := func(limit time.Duration) time.Duration { return time.Duration(i.random.Int64N(int64(limit))) }
	r := outageRound{
		phase: draw(maxPhase), outage: minOutage + draw(maxOutage-minOutage), activationDelay: draw(maxActivationDelay),
		late: i.random.IntN(3) == 0, compacted: i.random.IntN(3) > 0,
	}
	if i.random.IntN(2) == 0 { // Processes are late above all for what comes right after an outage.
		r.activationDelay = draw(maxEarlyActivation)
	}
	if r.compacted && i.random.IntN(2) == 0 {
		r.staleTime = draw(maxStaleTime)
	}
	if i.random.IntN(3) == 0 {
		r.restart = pick(i, s.agents)
	}
	return r
}

// playRound has the store fall silent, activates a version after it, which no engine can load, and waits until the version before has expired.
func (s *silenceSoak) playRound(r outageRound) {
	time.Sleep(r.phase)
	s.fleet.Origin.SetDown(true)
	defer s.fleet.Origin.SetDown(false)
	store := s.fleet.Store
	backup := store.Backup()
	store.BeginOutage(r.late)
	var restarted sync.WaitGroup
	if r.restart != nil {
		restarted.Go(func() { r.restart.terminateAndRestart(syscall.SIGKILL) })
	}
	time.Sleep(r.outage)
	if r.compacted {
		store.Compact()
		store.SetStaleLists(&backup)
	}
	store.EndOutage()
	ended := time.Now()
	if r.staleTime == 0 {
		store.SetStaleLists(nil)
	}
	time.AfterFunc(r.staleTime, func() { store.SetStaleLists(nil) })
	time.Sleep(r.activationDelay)
	s.activateNextVersion()
	activated := time.Now()
	s.mu.Lock()
	s.activations[s.version] = activated
	s.mu.Unlock()
	s.t.Logf("version %d activated %v after an outage of %v: %+v", s.version, time.Since(ended), r.outage, r)
	time.Sleep(outageLifetime + afterExpiry)
	restarted.Wait()
}

// awaitVersion waits until all engines have loaded the active version.
func (s *silenceSoak) awaitVersion() {
	require.Eventually(s.t, func() bool {
		for _, e := range s.engines() {
			if e.Weights.Loaded() != s.version {
				return false
			}
		}
		return true
	}, recoveryTimeout, 50*time.Millisecond, "all engines load the active version")
}

// receivedLine is a log line on the receipt of an activation.
type receivedLine struct {
	Event   logevent.ID `json:"event"`
	Time    time.Time   `json:"time"`
	Version int64       `json:"version"`
	Way     string      `json:"way"`
	AgeMS   int64       `json:"age_ms"`
	Assumed bool        `json:"assumed"`
}

// checkReceipts reads the logs of the entries. Whenever an entry received an activation, it must count it from no later than it was made.
func (s *silenceSoak) checkReceipts(logs string) {
	for i, entry := range s.entries {
		file, err := os.Open(filepath.Join(logs, filepath.Base(entry.settings)+".log"))
		require.NoError(s.t, err)
		last := map[int64]receivedLine{}
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var line receivedLine
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == logevent.VersionReceived {
				last[line.Version] = line
			}
		}
		require.NoError(s.t, file.Close())
		for version, activated := range s.activations {
			line := last[version]
			counted := line.Time.Add(-time.Duration(line.AgeMS) * time.Millisecond)
			s.t.Logf("entry %d: version %d received %v after its activation (%s), counted from %v after it, assumed %v", i, version,
				line.Time.Sub(activated), line.Way, counted.Sub(activated), line.Assumed)
			require.LessOrEqual(s.t, counted.Sub(activated), receiptSlack, "entry %d counts version %d as younger than it is", i, version)
		}
	}
}

// TestSoakVersionBesideStoreOutage guards against requests that begin on an expired version because the processes hear late of its successor,
// which was activated shortly after the store had been silent, had dropped its history or had stale lists, and count it from then.
func TestSoakVersionBesideStoreOutage(t *testing.T) {
	hosts, rounds := intFromEnv(t, hostsVariable, outageHosts), intFromEnv(t, roundsVariable, outageRounds)
	for _, seed := range seedsToRun(t, outageSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			logs := os.Getenv(logsVariable)
			if logs == "" {
				logs = t.TempDir()
				t.Setenv(logsVariable, logs)
			}
			s := newSilenceSoak(t, hosts, false, outageLifetime)
			for i, host := range s.hosts {
				c := &standin.Caller{Address: host.CallersListen, Name: fmt.Sprintf("%s-start-%d", t.Name(), i)}
				require.Eventually(t, func() bool { return s.call(c, standin.Request{Path: "/stream/1"}).Status == 200 }, recoveryTimeout, 50*time.Millisecond)
			}
			stop := make(chan struct{})
			var callers sync.WaitGroup
			s.silenceCallers(stop, &callers)
			random := s.newInjector(seed, seed, 0, 0)
			for range rounds {
				s.playRound(s.drawRound(random))
				s.awaitVersion()
			}
			close(stop)
			callers.Wait()
			require.Empty(t, s.checkVersions())
			s.checkReceipts(logs)
		})
	}
}
