package soak_test

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"samphireweir.example/samphireweir/platform/standin"
)

const (
	// maxBackupAge is the maximum age of the copy from which the store is restored.
	maxBackupAge = 3 * time.Second
	// platformFaultPause is the mean pause between two faults of the platform. In the pause, processes come to rest, so that faults of
	// other kinds do not always meet a store that was restored just before.
	platformFaultPause = 2 * time.Second
	// maxLostManifests is the maximum number of manifests that are written, and lost, between the copy and the restore.
	maxLostManifests = 10
	// manifestDelay is the time after the confirmation of a manifest from which requests are handled as it says.
	manifestDelay = 2 * time.Second
	// revocationDuration is how long the second key is revoked: until entries are held to it after a restore, and as long again.
	revocationDuration = 2 * contactGrace
)

// disruptPlatformUntil injects faults of the platform as a whole until a time: restores of the store, alone and in series, and losses of
// power of all hosts.
func (s *injector) disruptPlatformUntil(end time.Time) {
	for time.Now().Before(end) {
		switch s.random.IntN(4) {
		case 0, 1:
			s.restoreStore()
		case 2:
			for range 3 {
				s.restoreStore()
			}
		default:
			s.losePower()
		}
		s.pauseUntil(end)
	}
}

// restoreAndRevokeUntil restores the store and then revokes the second key for a while, again and again until a time.
func (s *injector) restoreAndRevokeUntil(end time.Time) {
	for time.Now().Before(end) {
		s.restoreStore()
		s.pause()
		revokedAt := s.setKeyAllowed(false)
		time.Sleep(revocationDuration)
		s.mu.Lock()
		s.revocations = append(s.revocations, span{from: revokedAt, to: time.Now()})
		s.mu.Unlock()
		s.setKeyAllowed(true)
	}
}

// setKeyAllowed writes a manifest with or without the second key. It returns when the store had confirmed it.
func (s *injector) setKeyAllowed(allowed bool) time.Time {
	s.operator.Lock()
	defer s.operator.Unlock()
	s.setSecondKey(secondKey, allowed)
	return time.Now()
}

// pauseUntil pauses between two faults of the platform, but at most until a time.
func (s *injector) pauseUntil(end time.Time) {
	pause := time.Duration(s.random.Int64N(int64(2 * platformFaultPause)))
	time.Sleep(max(0, min(pause, time.Until(end))))
}

// restoreStore has the store come back from a copy that is up to maxBackupAge old. Manifests are written in quick succession meanwhile, so that
// the revisions go back far.
func (s *injector) restoreStore() {
	backup := s.fleet.Store.Backup()
	for range s.random.IntN(maxLostManifests + 1) {
		s.configure()
	}
	time.Sleep(time.Duration(s.random.Int64N(int64(maxBackupAge))))
	s.restoreFrom(backup)
}

// restoreFrom has the store go away and come back from a copy, in a new era. What operators and upstreams wrote since the copy is written
// again a little later. Meanwhile the operator writes nothing else.
func (s *injector) restoreFrom(backup standin.Backup) {
	s.operator.Lock()
	defer s.operator.Unlock()
	from := time.Now()
	s.fleet.RestoreStore(backup, s.shortDuration(), s.shortDuration())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeOutages = append(s.storeOutages, span{from: from, to: time.Now()})
}

// losePower has all hosts lose power at once, right after a manifest was written: all processes end, and so do all engines with their
// staged chunks.
func (s *injector) losePower() {
	s.configure()
	var done sync.WaitGroup
	for _, e := range s.engines() {
		done.Go(func() { s.restartEngine(e, true) })
	}
	s.forAllProcesses(func(p *process) { p.terminateAndRestart(syscall.SIGKILL) })
	done.Wait()
}

// checkRevocations reports an error for each request with the revoked key that was sent later than manifestDelay after the revocation and
// was answered before the key was allowed again. The only excuse is that the entry was restarted or stopped, or that no process could reach the store, up to contactGrace
// before.
func (s *soak) checkRevocations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	checked := 0
	for _, c := range s.keyCalls {
		inTouchSince := c.sent.Add(-contactGrace)
		if overlaps(s.storeOutages, inTouchSince, c.sent) || overlaps(s.entries[c.entry].disruptions, inTouchSince, c.sent) {
			continue
		}
		for _, r := range s.revocations {
			if c.sent.Before(r.from.Add(manifestDelay)) || c.ended.After(r.to) {
				continue // The manifest before it, or the one after it, may be in force.
			}
			checked++
			if c.status == http.StatusOK {
				s.t.Errorf("CONFIG: %s: the revoked key was accepted by entry %d, %v after its revocation", c.id, c.entry, c.sent.Sub(r.from))
			}
		}
	}
	s.t.Logf("%d requests checked against %d revocations of their key", checked, len(s.revocations))
}

// keyCall is a request with the second key.
type keyCall struct {
	id    string
	entry int
	// sent and ended are when the caller sent the request and had its answer.
	sent, ended time.Time
	status      int
}
