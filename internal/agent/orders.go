package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/rollout"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/engine"
	"samphireweir.example/samphireweir/internal/logevent"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

const (
	// loadTimeout bounds a load order.
	loadTimeout = 10 * time.Minute
	// roleTimeout bounds a role order.
	roleTimeout = 10 * time.Second
	// releaseTimeout bounds the release of the incarnation at shutdown.
	releaseTimeout = time.Second
)

// errOrderNotAllowed aborts an order that the agent is no longer allowed to send.
var errOrderNotAllowed = errors.New("sending order: agent is not allowed to send orders now")

// enableOrders has the core acquire the incarnation, which is the fencing number of package core/incarnation, and start
// sending orders to engines.
func (a *Agent) enableOrders() {
	a.Loop.Step(rollout.OrdersEnabled{Host: a.Config.Name, Holder: uuid.NewString(), Timing: a.config.Orders})
}

// releaseIncarnation ends the orders and releases the incarnation, so that the agent's successor need not wait for it.
func (a *Agent) releaseIncarnation() {
	a.Loop.Step(rollout.ReleaseRequested{})
	deadline := time.Now().Add(releaseTimeout)
	for time.Now().Before(deadline) && a.holdsIncarnation() {
		time.Sleep(step.TickInterval)
	}
}

// holdsIncarnation reports whether this agent holds the incarnation of its upstreams.
func (a *Agent) holdsIncarnation() bool {
	held := false
	a.Loop.View(func(s *core.State) { held = s.Rollout.Incarnation.Held() })
	return held
}

// executeRolloutEffect carries out an effect of the rollout reducer. It reports whether e was one of them.
func (a *Agent) executeRolloutEffect(e step.Effect) bool {
	switch e := e.(type) {
	case rollout.ReadState:
		go a.readState(e)
	case rollout.Load:
		ctx := a.newOrderContext(e.Order, loadTimeout)
		go a.load(ctx, e)
	case rollout.SetRole:
		ctx := a.newOrderContext(e.Order, roleTimeout)
		go a.setRole(ctx, e)
	case rollout.CancelOrder:
		a.cancelOrder(e.Order)
	case rollout.OutOfService:
		logevent.Warn(a.Log, logevent.OutOfService).Str("upstream", e.Upstream).Str("why", string(e.Reason)).Msg("out of service")
		if e.Reason == rollout.ReasonChanged {
			a.cancelRunsOn(e.Upstream)
		}
	case rollout.InService:
		logevent.Info(a.Log, logevent.LoadDone).Str("upstream", e.Upstream).Str("digest", e.Digest).
			Uint64("generation", e.Generation).Bool("adopted", e.Adopted).Msg("in service")
	case rollout.DrainOverdue:
		logevent.Warn(a.Log, logevent.DrainOverdue).Str("upstream", e.Upstream).Int("running", e.Running).Msg("drain overdue")
	default:
		return a.executeObjectEffect(e)
	}
	return true
}

func (a *Agent) readState(e rollout.ReadState) {
	ctx, cancel := context.WithTimeout(context.Background(), stateCallTimeout)
	defer cancel()
	state, err := a.readEngineState(ctx, e.Upstream, e.URL)
	if err != nil {
		a.Loop.Step(rollout.StateFailed{Upstream: e.Upstream, Serial: e.Serial})
		return
	}
	a.Loop.Step(rollout.StateRead{Upstream: e.Upstream, Serial: e.Serial, State: rollout.EngineState{
		BootID: state.BootID, Digest: state.Digest, Generation: state.Generation, Fencing: state.Fencing,
		Loading: state.Loading, Role: setting.Role(state.Role),
	}})
}

// newOrderContext returns the context of an order, which cancelOrder cancels.
func (a *Agent) newOrderContext(serial uint64, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	a.orderCancels.Store(serial, cancel)
	return ctx
}

// cancelOrder cancels an order in flight; it does nothing if the order has ended.
func (a *Agent) cancelOrder(serial uint64) {
	if cancel, ok := a.orderCancels.LoadAndDelete(serial); ok {
		cancel.(context.CancelFunc)()
	}
}

// orderClient returns the client of one order. While it writes the order, it checks repeatedly that the order is still
// allowed.
func (a *Agent) orderClient(ctx context.Context, upstream string) *engine.Client {
	permit := func() error { return a.checkOrderAllowed(ctx, upstream) }
	client := &http.Client{Transport: a.newOrderTransport(permit)}
	a.instrumentUpstream(client)
	return engine.NewClient(client)
}

// load streams the complete, verified content of a version to an engine.
func (a *Agent) load(ctx context.Context, e rollout.Load) {
	logevent.Info(a.Log, logevent.LoadOrdered).Str("upstream", e.Upstream).Str("digest", e.Digest).Uint64("generation", e.Generation).Msg("load ordered")
	content, size, err := a.fetcher.Memory.Content(e.Digest)
	if err == nil {
		err = a.orderClient(ctx, e.Upstream).LoadWeights(ctx, e.URL, engine.Order{
			ID: uuid.NewString(), Digest: e.Digest, Generation: e.Generation, Fencing: e.Fencing, Content: content, Size: size,
		})
	}
	a.finishOrder(e.Upstream, e.Order, err)
}

func (a *Agent) setRole(ctx context.Context, e rollout.SetRole) {
	err := a.orderClient(ctx, e.Upstream).SetRole(ctx, e.URL, engine.RoleOrder{
		Role: string(e.Role), Fencing: e.Fencing, ID: uuid.NewString(),
	})
	a.finishOrder(e.Upstream, e.Order, err)
}

// finishOrder reports the outcome of an order to the core. The core reads the engine's state back in every case.
func (a *Agent) finishOrder(upstream string, serial uint64, err error) {
	a.cancelOrder(serial)
	outcome := rollout.OrderDone
	if err != nil {
		logevent.Warn(a.Log, logevent.LoadFailed).Str("upstream", upstream).Err(err).Msg("order failed")
		outcome = rollout.OrderFailed
	}
	if errors.Is(err, engine.ErrSupersededFencing) {
		outcome = rollout.OrderRefused
	}
	a.Loop.Step(rollout.OrderEnded{Upstream: upstream, Order: serial, Outcome: outcome})
}

// checkOrderAllowed returns an error if an order was cancelled or the agent is not allowed to send orders now.
func (a *Agent) checkOrderAllowed(ctx context.Context, upstream string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	allowed := false
	a.Loop.View(func(s *core.State) { allowed = s.Rollout.OrderAllowed(upstream, time.Now()) })
	if !allowed {
		return errOrderNotAllowed
	}
	return nil
}

// cancelRunsOn cancels the runs on an engine whose weights changed while they ran.
func (a *Agent) cancelRunsOn(upstream string) {
	a.executions.Range(func(_, value any) bool {
		if x := value.(*execution); x.start.Upstream == upstream {
			x.weightsChanged.Store(true)
			x.cancel(errWeightsChanged)
		}
		return true
	})
}

// confirmWeights reads the engine's state after a run. The response is valid only if the engine still reports the
// weights with which the run started. Generations are never reused, so equal generations at the start and at the end
// show that the weights did not change in between.
//
// The read is repeated when it times out, because a slow engine that has made the whole response is no reason to withhold
// it. The run's deadline ends the repeats, and so does the run's monitor if the engine is frozen. The run's connection has
// nothing more to deliver, so that its silence means nothing from here on.
func (a *Agent) confirmWeights(x *execution) *failure {
	x.watch.Stop()
	state, err := a.readFinalState(x)
	for err != nil && isTimeout(err) && x.ctx.Err() == nil {
		state, err = a.readFinalState(x)
	}
	start := x.start
	switch {
	case err != nil && x.ctx.Err() != nil:
		return &failure{code: codeOf(context.Cause(x.ctx)), ran: code.DidRun}
	case err != nil:
		return &failure{code: code.UpstreamDied, ran: code.DidRun}
	case !state.Loading && state.Digest == start.Digest && state.Generation == start.Generation && state.BootID == start.BootID:
		x.confirmed.Store(true)
		return nil
	}
	logevent.Warn(a.Log, logevent.AnswerWithheld).Str("request", start.ID.Request).Str("upstream", start.Upstream).Msg("answer withheld")
	return &failure{code: code.WeightsChanged, ran: code.DidRun}
}

// readFinalState reads the state of a run's engine once.
func (a *Agent) readFinalState(x *execution) (engine.State, error) {
	ctx, cancel := context.WithTimeout(x.ctx, stateCallTimeout)
	defer cancel()
	return a.readEngineState(ctx, x.start.Upstream, x.start.URL)
}

// isTimeout reports whether a call got no answer in time, as opposed to one that was refused or broken off.
func isTimeout(err error) bool {
	if errors.Is(err, silence.ErrSilent) || errors.Is(err, silence.ErrNoConnection) {
		return true
	}
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}
