package soak_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/platform/standin"
)

// What callers need while there is not enough room; see docs/design/19-overload.md.
const (
	// callerBudget is how long a caller waits for its answer, counted from its first try.
	callerBudget = 6 * time.Second
	// firstEventTimeout is how long callers of the stand-in's streams wait for the first event: Route.CallerTimeout for their objective.
	firstEventTimeout = 2 * time.Second
	// retryAfterMin and retryAfterMax are the shortest and the longest Retry-After that the callers' page names for refusals for lack of room,
	// and retryShare is the part of its remaining time that a caller waits before it comes back.
	retryAfterMin = 950 * time.Millisecond
	retryAfterMax = 2900 * time.Millisecond
	retryShare    = 3
	// deliverySlack is what a refusal may take from the entry to its caller on a busy machine.
	deliverySlack = 100 * time.Millisecond
)

const (
	// loadSeconds is the duration of the run in CI, in seconds.
	loadSeconds = 15
	// eventInterval is the time between two events of a stream, at which the callers below ask for more than the engines can serve.
	eventInterval = 80 * time.Millisecond
	// originDelay is the origin's delay before each response. A version takes long enough for the origin to go away while it is fetched.
	originDelay     = 60 * time.Millisecond
	boundStreamPath = "/stream/bound/1"
	// floodInterval is how long the flooding account sends requests, and then how long it sends none.
	floodInterval = 3 * time.Second
	// impatientTries is how often a caller that ignores Retry-After comes back at once.
	impatientTries = 3
)

// loadSeeds run in CI: a first seed, and each seed that ever failed, with the cause of the failure.
var loadSeeds = []uint64{1}

// callerClass is a kind of caller: callers of a class differ in nothing.
type callerClass struct {
	name, path, key string
	// impatient callers ignore Retry-After. flooding ones send only at times, and are more.
	impatient, flooding bool
}

var callerClasses = []callerClass{
	{name: "urgent route", path: "/stream/urgent/1"},
	{name: "usual route", path: "/stream/usual/1", key: "key-small"},
	{name: "usual route, impatient", path: "/stream/usual/1", impatient: true},
	{name: "bulk route", path: "/stream/bulk/1"},
	{name: "bulk account", path: "/stream/usual/1", key: "key-bulk"},
	{name: "bound route", path: boundStreamPath},
	{name: "bound account", path: "/stream/usual/1", key: homeKey},
	{name: "flooding account", path: "/stream/usual/1", key: "key-flood", impatient: true, flooding: true},
}

// loadCall is one try of a caller.
type loadCall struct {
	class callerClass
	entry int
	// budget is the time that the caller had left when it sent the request.
	budget      time.Duration
	sent, ended time.Time
	reply       standin.Reply
	// refusal is the entry's response if it refused the request.
	refusal struct {
		Code code.Code `json:"code"`
		Ran  code.Ran  `json:"ran"`
	}
}

// retryAfter returns the Retry-After delay of a refusal; false if it has none.
func (c loadCall) retryAfter() (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(c.reply.Header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

// refused reports whether the entry refused the request as not run.
func (c loadCall) refused() bool { return c.reply.Err == nil && c.refusal.Ran == code.NotRun }

// loadSoak is a run in which callers ask for more than the engines can serve.
type loadSoak struct {
	*placesSoak
	callsMu sync.Mutex
	calls   []loadCall
}

func newLoadSoak(t *testing.T) *loadSoak {
	s := &soak{t: t, fleet: standin.NewFleet(t), version: 1, places: []string{"perth-a", "karratha-a", "bunbury-a"}}
	s.fleet.EvacuationTime = evacuationDelay
	s.fleet.Origin.ResponseDelay = originDelay
	s.fleet.AddPrioritizedStream("/stream/urgent/", 1)
	s.fleet.AddPrioritizedStream("/stream/usual/", 4)
	s.fleet.AddPrioritizedStream("/stream/bulk/", 8)
	s.fleet.AddPrioritizedStream("/stream/bound/", 4, homeRegion)
	s.accounts = []map[string]any{
		standin.RegionBoundAccount(homeAccount, homeKey, accountRegion),
		{"name": "small", "apiKeys": []string{"key-small"}},
		{"name": "bulk", "apiKeys": []string{"key-bulk"}, "priority": 7},
		{"name": "flood", "apiKeys": []string{"key-flood"}},
	}
	places := &placesSoak{soak: startSoak(t, placesHosts, s), evacuated: map[string][]span{}, cold: map[string][]span{}}
	for _, e := range s.engines() {
		e.EventInterval = eventInterval
	}
	return &loadSoak{placesSoak: places}
}

// loadCallers starts the callers of all classes at all entries until stop is closed.
func (s *loadSoak) loadCallers(stop <-chan struct{}, done *sync.WaitGroup) {
	start := time.Now()
	for i := range s.hosts {
		for k, class := range callerClasses {
			callers := 2
			if class.flooding {
				callers = 8
			}
			for n := range callers {
				name := fmt.Sprintf("%s-load-%d-%d-%d", s.t.Name(), i, k, n)
				done.Go(func() {
					for request := 0; ; request++ {
						select {
						case <-stop:
							return
						case <-time.After(50 * time.Millisecond):
						}
						if quiet := time.Since(start)/floodInterval%2 == 0; !class.flooding || !quiet {
							s.ask(class, fmt.Sprintf("%s-%d", name, request), i)
						}
					}
				})
			}
		}
	}
}

// ask sends a request and, while it is refused, comes back at other entries: once after the Retry-After, if the caller follows it, and
// otherwise at once, impatientTries times.
func (s *loadSoak) ask(class callerClass, name string, entry int) {
	began := time.Now()
	for try := 0; ; try++ {
		left := callerBudget - time.Since(began)
		c := s.try(class, fmt.Sprintf("%s-%d", name, try), (entry+try)%len(s.hosts), left)
		after, given := c.retryAfter()
		left = callerBudget - time.Since(began)
		switch {
		case !c.refused() || left <= 0:
			return
		case class.impatient && try < impatientTries:
		case class.impatient || try > 0 || !given:
			return
		default:
			time.Sleep(min(after, left/retryShare))
		}
	}
}

// try sends one request and records what verifyLoad checks.
func (s *loadSoak) try(class callerClass, name string, entry int, budget time.Duration) loadCall {
	caller := &standin.Caller{Address: s.hosts[entry].CallersListen, Name: name}
	c := loadCall{class: class, entry: entry, budget: budget, sent: time.Now()}
	c.reply = s.call(caller, standin.Request{Path: class.path, APIKey: class.key, DeadlineMS: int(budget.Milliseconds())})
	c.ended = time.Now()
	if c.reply.Err == nil && c.reply.Status != http.StatusOK && c.reply.Seal == "" {
		if err := json.Unmarshal([]byte(c.reply.Body), &c.refusal); err != nil {
			s.t.Errorf("%s: status %d without a result code: %q", c.reply.ID, c.reply.Status, c.reply.Body)
		}
	}
	s.callsMu.Lock()
	defer s.callsMu.Unlock()
	s.calls = append(s.calls, c)
	return c
}

// activateTwoVersions activates two versions shortly after each other. The origin is away from when the first one is being fetched.
func (s *loadSoak) activateTwoVersions(injector *injector) {
	s.activateNextVersion()
	injector.pause()
	s.fleet.Origin.SetDown(true)
	injector.pause()
	s.activateNextVersion()
	time.Sleep(time.Duration(2+injector.random.IntN(4)) * time.Second)
	s.fleet.Origin.SetDown(false)
}

// disruptUntil activates a pair of versions with an origin that goes away, and then injects faults of engines, agents and the store and
// more such pairs, until a time.
func (s *loadSoak) disruptUntil(injector *injector, end time.Time) {
	s.activateTwoVersions(injector)
	for time.Now().Before(end) {
		switch injector.random.IntN(4) {
		case 0:
			s.activateTwoVersions(injector)
		case 1:
			injector.restartEngine(pick(injector, s.engines()), injector.random.IntN(2) == 0)
		case 2:
			pick(injector, s.agents).terminateAndRestart(syscall.SIGKILL)
		default:
			injector.disruptStore(s.fleet.Store.SetDown, injector.shortDuration())
		}
		injector.pauseUntil(end)
	}
}

// verifyLoad checks all tries of the run against what callers need, each rule in a subtest.
func (s *loadSoak) verifyLoad() {
	answered, refused, asked := map[string]int{}, map[string]int{}, map[string]int{}
	broken := map[string][]string{}
	for _, c := range s.calls {
		asked[c.class.name]++
		if c.reply.Err == nil && c.reply.Status == http.StatusOK {
			answered[c.class.name]++
		}
		if c.refused() {
			refused[c.class.name]++
			s.checkRefusal(c, broken)
		} else if held := c.ended.Sub(c.sent); c.refusal.Code != 0 && held > c.budget+deliverySlack && !overlaps(s.entries[c.entry].disruptions, c.sent, c.ended) {
			broken[ruleWait] = append(broken[ruleWait], fmt.Sprintf("%s, ended with code %d: held for %v; the caller had %v left", c.reply.ID, c.refusal.Code, held, c.budget))
		}
	}
	for _, class := range callerClasses {
		s.t.Logf("%s: %d tries, %d answered, %d refused", class.name, asked[class.name], answered[class.name], refused[class.name])
		if answered[class.name] == 0 {
			broken[ruleFloor] = append(broken[ruleFloor], class.name+" was never answered")
		}
	}
	for _, rule := range []string{ruleNotRun, ruleWait, ruleRetryAfterGiven, ruleRetryAfterRange, ruleRetryAfterFollow, ruleFloor} {
		s.t.Run(rule, func(t *testing.T) {
			list := broken[rule]
			for _, text := range list[:min(len(list), maxShown)] {
				t.Error(text)
			}
			if len(list) > 0 {
				t.Logf("broken %d times", len(list))
			}
		})
	}
}

// The rules of checkRefusal and verifyLoad, as names of subtests.
const (
	ruleNotRun           = "not_run_is_true"
	ruleWait             = "waits_end_before_the_caller_leaves"
	ruleRetryAfterGiven  = "refusals_have_a_retry_after"
	ruleRetryAfterRange  = "retry_after_is_as_documented"
	ruleRetryAfterFollow = "callers_can_follow_retry_after"
	ruleFloor            = "every_class_is_answered"
	// maxShown is the number of violations of a rule that are shown.
	maxShown = 10
)

// checkRefusal checks one refusal as not run, and adds what it breaks to broken, by rule. Entries that were restarted or stopped meanwhile
// are not held to the times.
func (s *loadSoak) checkRefusal(c loadCall, broken map[string][]string) {
	id, held := c.reply.ID, c.ended.Sub(c.sent)
	report := func(rule, format string, values ...any) {
		broken[rule] = append(broken[rule], fmt.Sprintf("%s, refused with code %d: ", id, c.refusal.Code)+fmt.Sprintf(format, values...))
	}
	for _, u := range s.upstreams {
		if n := u.Runs(id); n > 0 {
			report(ruleNotRun, "ran %d times at %s", n, u.ID)
		}
	}
	if overlaps(s.entries[c.entry].disruptions, c.sent, c.ended) {
		return
	}
	if held > min(firstEventTimeout, c.budget)+deliverySlack {
		report(ruleWait, "held for %v; the caller had %v left and waits %v for the first event", held, c.budget, firstEventTimeout)
	}
	after, given := c.retryAfter()
	if !given && (c.reply.Status == http.StatusServiceUnavailable || c.reply.Status == http.StatusTooManyRequests) {
		report(ruleRetryAfterGiven, "no Retry-After")
	}
	if c.refusal.Code != code.Overloaded && c.refusal.Code != code.NoUpstream {
		return
	}
	if after < retryAfterMin || after > retryAfterMax {
		report(ruleRetryAfterRange, "told to return after %v, want %v to %v", after, retryAfterMin, retryAfterMax)
	}
	// A caller with little time left can't be given both bounds; the lower one holds.
	if most := max(retryAfterMin, (c.budget-held+deliverySlack)/retryShare); after > most {
		report(ruleRetryAfterFollow, "told to return after %v, want %v or less", after, most)
	}
}

// awaitService waits until the callers of each class are answered, before the first fault.
func (s *loadSoak) awaitService() {
	for _, class := range callerClasses {
		c := &standin.Caller{Address: s.hosts[0].CallersListen, Name: s.t.Name() + "-start-" + class.key + class.path}
		q := standin.Request{Path: class.path, APIKey: class.key}
		require.Eventually(s.t, func() bool { return s.call(c, q).Status == http.StatusOK }, recoveryTimeout, 50*time.Millisecond, "%s is served", class.name)
	}
}

// TestSoakLoad guards against broken promises to callers while they ask for more than the engines can serve: refusals that ran or that
// callers can't follow, waits that outlast the caller, requests outside their homes or in an evacuated data centre, and priorities or
// accounts that get nothing.
func TestSoakLoad(t *testing.T) {
	seconds := intFromEnv(t, secondsVariable, loadSeconds)
	for _, seed := range seedsToRun(t, loadSeeds) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newLoadSoak(t)
			s.awaitService()
			stop := make(chan struct{})
			var done, injectors sync.WaitGroup
			s.loadCallers(stop, &done)
			end := time.Now().Add(time.Duration(seconds) * time.Second)
			injectors.Go(func() { s.disruptUntil(s.newInjector(seed, seed, 0, 0), end) })
			injectors.Go(func() {
				injector := s.newInjector(seed, seed+1, 0, 0)
				for i := injector.random.IntN(len(s.places)); time.Now().Before(end); i++ { // In turn, so that each home is usable at times.
					injector.pauseUntil(end)
					s.evacuate(injector, s.places[i%len(s.places)], end)
				}
			})
			injectors.Wait()
			close(stop)
			done.Wait()
			s.verify()
			s.verifyPlaces()
			if t.Failed() {
				return // CI counts a test as failed by itself only if none of its subtests failed, and one of them is known to.
			}
			s.verifyLoad()
		})
	}
}
