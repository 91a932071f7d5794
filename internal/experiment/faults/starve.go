package faults

import (
	"context"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/demo/processes"
)

// A starved process is suspended for starveOff and then runs for starveOn, over and over.
const (
	starveOff = 180 * time.Millisecond
	starveOn  = 20 * time.Millisecond
)

func starveEntry(s *stage) action {
	return starve(s.fleet.entries[s.random.IntN(len(s.fleet.entries))].process)
}

func starveAgent(s *stage) action {
	return starve(s.fleet.agents[s.randomAgents(1)[0]].process)
}

// starve leaves a process a tenth of the time.
func starve(p *processes.Process) action {
	stop := make(chan struct{})
	var done sync.WaitGroup
	begin := func(context.Context) error {
		done.Go(func() { alternate(p, stop) })
		return nil
	}
	end := func(context.Context) error {
		close(stop)
		done.Wait()
		return nil
	}
	return action{begin, end}
}

// alternate suspends and resumes a process until stop is closed. The process runs afterwards.
func alternate(p *processes.Process, stop <-chan struct{}) {
	for {
		p.Suspend()
		time.Sleep(starveOff)
		p.Resume()
		select {
		case <-stop:
			return
		case <-time.After(starveOn):
		}
	}
}
