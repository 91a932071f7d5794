package node

import (
	"context"
	"encoding/json"
	"math"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/fleet"
)

const (
	countMethod = "setting.count"
	// maxDirectCount is the largest number of processes that one process queries itself. A larger set is partitioned
	// among delegates, so that no process queries more than about twice the square root of the fleet's size.
	maxDirectCount = 48
	// maxCountCalls bounds the concurrent calls of one count.
	maxCountCalls = 12
	// countCallTimeout bounds the call to a process that counts only itself, so that one that does not answer does not delay
	// the delegate that calls it.
	countCallTimeout = time.Second
	// maxDelegateTries is the maximum number of processes of a partition that are tried as its delegate.
	maxDelegateTries = 3
)

type countMessage struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	// Addresses are the processes to count, without the receiver of the message.
	Addresses []string `json:"addresses,omitempty"`
}

// CountInForce counts the processes on the host list that have a revision of a setting in force.
func (p *Process) CountInForce(ctx context.Context, key string, revision uint64) fleet.InForce {
	var addresses []string
	p.Loop.View(func(s *core.State) { addresses = append(addresses, s.Members.Peers()...) })
	return p.count(ctx, countMessage{Key: key, Revision: revision, Addresses: addresses})
}

func (p *Process) handleCount(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var m countMessage
	if err := control.Decode(params, &m); err != nil {
		return nil, err
	}
	return p.count(ctx, m), nil
}

// count counts this process and those that m lists.
func (p *Process) count(ctx context.Context, m countMessage) fleet.InForce {
	total := p.countSelf(m)
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		slots = make(chan struct{}, maxCountCalls)
	)
	for _, partition := range partitionAddresses(m.Addresses) {
		slots <- struct{}{}
		wg.Go(func() {
			found := p.countPartition(ctx, m, partition)
			mu.Lock()
			total.Add(found)
			mu.Unlock()
			<-slots
		})
	}
	wg.Wait()
	return total
}

func (p *Process) countSelf(m countMessage) fleet.InForce {
	f := fleet.InForce{Key: m.Key, Revision: m.Revision, Processes: 1}
	if p.behind(m.Key, m.Revision) {
		f.LaggingCount, f.Lagging = 1, []string{p.Address()}
		return f
	}
	f.Current = 1
	return f
}

// countPartition delegates the count of a partition to the first of its processes that answers. It tries at most
// maxDelegateTries of them, and counts those that don't answer as unresponsive. If none answers, it counts the whole
// partition as unresponsive.
func (p *Process) countPartition(ctx context.Context, m countMessage, partition []string) fleet.InForce {
	var unresponsive fleet.InForce
	for i, delegate := range partition {
		if i == maxDelegateTries {
			break
		}
		request := countMessage{Key: m.Key, Revision: m.Revision, Addresses: partition[i+1:]}
		var found fleet.InForce
		if p.requestCount(ctx, delegate, request, &found) == nil {
			found.Add(unresponsive)
			return found
		}
		p.Loop.Step(member.CallFailed{Address: delegate})
		unresponsive.Add(fleet.InForce{Processes: 1, UnresponsiveCount: 1, Unresponsive: []string{delegate}})
	}
	rest := partition[min(len(partition), maxDelegateTries):]
	unresponsive.Add(fleet.InForce{Processes: len(rest), UnresponsiveCount: len(rest), Unresponsive: rest})
	return unresponsive
}

// requestCount requests a count from one process. If the process is to count only itself, the call has the shorter timeout
// countCallTimeout.
func (p *Process) requestCount(ctx context.Context, to string, m countMessage, found *fleet.InForce) error {
	if len(m.Addresses) == 0 {
		callCtx, cancel := context.WithTimeout(ctx, countCallTimeout)
		defer cancel()
		ctx = callCtx
	}
	return p.Pool.Call(ctx, to, countMethod, m, found)
}

// partitionAddresses divides addresses into partitions of one address. More than maxDirectCount addresses are divided into
// about sqrt(n) partitions of sqrt(n) addresses.
func partitionAddresses(addresses []string) [][]string {
	size := 1
	if len(addresses) > maxDirectCount {
		size = int(math.Ceil(math.Sqrt(float64(len(addresses)))))
	}
	var partitions [][]string
	for len(addresses) > 0 {
		n := min(size, len(addresses))
		partitions = append(partitions, addresses[:n])
		addresses = addresses[n:]
	}
	return partitions
}

// countTimeout bounds one count that an operator asks for.
const countTimeout = 10 * time.Second
