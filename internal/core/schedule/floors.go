package schedule

import (
	"math"
	"time"
)

const (
	// serviceHalfLife is the time in which the service that an account received counts half.
	serviceHalfLife = 10 * time.Second
	// rateHalfLife is the time in which work counts half in the rate at which work is served. It is short, since the rate follows the
	// number of usable engines.
	rateHalfLife = time.Second
	// PriorityFloor is the part of the work served that goes at least to each lower priority that waits.
	PriorityFloor = 0.05
	// accountFloor is the part of its share by weight that an account that waits gets at least within its priority.
	accountFloor = 0.5
	// maxCredit bounds a floor credit in seconds of work. It is several times the work of a usual request, which is 0.5 to 1.3 s, so
	// that a priority that could not use the capacity for long does not displace more urgent ones for long afterwards.
	maxCredit = 5.0
	// overtakeLimit is the difference of arrival from which a request is not served before an older one of its account. Without it,
	// a long request, which is late sooner, may wait while newer ones are served.
	overtakeLimit = time.Second
	// minAccounts is the number of accounts of a priority from which those that have become insignificant are dropped, and
	// insignificant the work in seconds below which they are.
	minAccounts   = 256
	insignificant = 0.001
)

// decaying is a sum that decays over time.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(now time.Time, halfLife time.Duration, v float64) {
	d.value = d.get(now, halfLife) + v
	d.at = now
}

func (d *decaying) get(now time.Time, halfLife time.Duration) float64 {
	return d.value * decayFactor(now.Sub(d.at), halfLife)
}

// decayFactor returns what is left of 1 after a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 {
		return 1
	}
	return math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
}

// credits are the seconds of work that each priority may have served before more urgent ones, by its floor. A priority whose request
// is served before its credit covers the work owes the rest.
type credits [Priorities]float64

// due reports whether the floor of a priority demands that a request of it is served now, before more urgent ones.
func (c *credits) due(priority int, work float64) bool { return covers(c[priority], work) }

func covers(credit, work float64) bool { return credit >= min(work, maxCredit) }

// charge records that work of a priority is served. All priorities that wait get credit for it, except the most urgent one, which needs
// no floor. The one that is served counts as one that waits.
func (c *credits) charge(served int, work float64, waits func(priority int) bool) {
	moreUrgent := false
	for p := range c {
		if p != served && !waits(p) {
			continue
		}
		if moreUrgent {
			c[p] = min(maxCredit, c[p]+PriorityFloor*work)
		}
		moreUrgent = true
	}
	c[served] = pay(c[served], work)
}

// pay returns a credit after work was served. Only work that the credit demanded may leave a debt: other work took nothing from anyone.
func pay(credit, work float64) float64 {
	if covers(credit, work) {
		return credit - work
	}
	return min(credit, max(0, credit-work))
}

// account is an account within one priority.
type account struct {
	name string
	// seq numbers the accounts of the priority in the order in which they came.
	seq     uint64
	weight  float64
	waiting int
	// served is the work that it received, and credit its floor credit in seconds of work.
	served decaying
	credit float64
}

// accounts are the accounts of one priority. The list keeps the order in which they came, so that sums do not depend on the order of a
// map.
type accounts struct {
	byName map[string]*account
	list   []*account
	// nextSeq is the seq of the next new account.
	nextSeq uint64
	// dropAt is the number of accounts at which insignificant ones are dropped next.
	dropAt int
}

// get returns the state of an account, which it creates if there is none.
func (a *accounts) get(name string) *account {
	acct := a.byName[name]
	if acct == nil {
		if a.byName == nil {
			a.byName, a.dropAt = map[string]*account{}, minAccounts
		}
		acct = &account{name: name, seq: a.nextSeq, weight: 1}
		a.nextSeq++
		a.byName[name] = acct
		a.list = append(a.list, acct)
	}
	return acct
}

// charge records that a request is served while others of its priority wait.
func (a *accounts) charge(now time.Time, e *entry) {
	acct := a.get(e.Account)
	acct.weight = e.weight
	acct.served.add(now, serviceHalfLife, e.work)
	total := 0.0
	for _, other := range a.list {
		if other.waiting > 0 || other == acct {
			total += other.weight
		}
	}
	for _, other := range a.list {
		if other.waiting > 0 || other == acct {
			other.credit = min(maxCredit, other.credit+accountFloor*e.work*other.weight/total)
		}
	}
	acct.credit = pay(acct.credit, e.work)
	a.drop(now)
}

// drop forgets accounts that have nothing waiting and received next to nothing lately. It scans only when the number of accounts has
// doubled since the last time.
func (a *accounts) drop(now time.Time) {
	if len(a.list) < a.dropAt {
		return
	}
	kept := a.list[:0]
	for _, acct := range a.list {
		if acct.waiting == 0 && acct.served.get(now, serviceHalfLife) < insignificant {
			delete(a.byName, acct.name)
			continue
		}
		kept = append(kept, acct)
	}
	clear(a.list[len(kept):])
	a.list, a.dropAt = kept, max(minAccounts, 2*len(kept))
}

// rate returns the rate at which work was recently served, in seconds of work per second.
func (q *Queue) rate(now time.Time) float64 {
	return q.served.get(now, rateHalfLife) * math.Ln2 / rateHalfLife.Seconds()
}
