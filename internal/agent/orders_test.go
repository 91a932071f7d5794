package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestEmptyEngineIsLoadedAndChangesVersion checks that an empty engine is brought into service and later serves another
// version, with one load each.
func TestEmptyEngineIsLoadedAndChangesVersion(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"})
		a.awaitServing("e1", v1)
		v2 := b.apply("v2")
		u := a.awaitServing("e1", v2)
		require.EqualValues(t, u.Generation, b.state("e1").Generation)
		require.Equal(t, 2, b.completedLoads("e1"))
		b.checkEngineLog("v1", "v2")
	})
}

// TestRestartedAgentAdoptsLoadedEngine guards against a needless load: an agent that restarts must take over an engine
// that holds the required version already.
func TestRestartedAgentAdoptsLoadedEngine(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		first := b.agent("host-1", []string{"e1"})
		before := first.awaitServing("e1", v1)
		first.stop()
		second := b.agent("host-1", []string{"e1"})
		after := second.awaitServing("e1", v1)
		require.Equal(t, before.Generation, after.Generation)
		require.Equal(t, before.BootID, after.BootID)
		require.Greater(t, second.incarnationNumber(), first.incarnationNumber())
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}

// TestRestartedEngineIsReloaded guards against requests to an engine that restarted and lost its weights. The agent must
// notice the new boot ID and load the engine again.
func TestRestartedEngineIsReloaded(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"})
		before := a.awaitServing("e1", v1)
		b.setFaults(b.engines, `{"e1":{"crash":true,"restart_ms":1}}`)
		b.await(func() bool { return a.upstream("e1").BootID != before.BootID }, "the agent sees the new boot ID")
		after := a.awaitServing("e1", v1)
		require.NotEqual(t, before.BootID, after.BootID)
		require.Greater(t, after.Generation, before.Generation)
		b.checkEngineLog("v1")
	})
}

// TestFrozenEngineReturnsWithoutLoad checks that an engine that does not respond is reported as down, and that it serves
// again without a load once it responds.
func TestFrozenEngineReturnsWithoutLoad(t *testing.T) {
	b := newTestEnv(t, setting.FencingChecked, "e1")
	v1 := b.apply("v1")
	a := b.agent("host-1", []string{"e1"})
	a.awaitServing("e1", v1)
	b.setFaults(b.engines, `{"e1":{"freeze":true}}`)
	b.await(func() bool { return a.upstream("e1").Phase == member.Down }, "down")
	b.setFaults(b.engines, `{"e1":{"freeze":false}}`)
	a.awaitServing("e1", v1)
	require.Equal(t, 1, b.completedLoads("e1"))
}

// TestLoadWithLostResponseIsNotRepeated guards against a second load when the response to a load order was lost after the
// order took effect. The agent must read the engine's state to learn the outcome.
func TestLoadWithLostResponseIsNotRepeated(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		b.setFaults(b.engines, `{"e1":{"drop_load_answer":1}}`)
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"})
		a.awaitServing("e1", v1)
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}

// TestLostLoadOrderIsRepeated guards against an engine that stays empty because its load order was lost on the network.
func TestLostLoadOrderIsRepeated(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		g := newInterceptor(t, dropOrder)
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"}, g.install)
		a.awaitServing("e1", v1)
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}

// TestDuplicateLoadOrder checks that an engine serves correctly after a duplicate of its load order, which the network
// delivers while the engine serves already, has taken effect.
func TestDuplicateLoadOrder(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		g := newInterceptor(t, duplicateOrder)
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"}, g.install)
		a.awaitServing("e1", v1)
		<-g.reached
		g.release()
		b.await(func() bool { return b.completedLoads("e1") == 2 }, "the duplicate took effect")
		a.awaitServing("e1", v1)
		digest, failed := a.generate("e1", "after", 3)
		require.Nil(t, failed)
		require.Equal(t, v1, digest)
	})
}

// TestEngineCrashDuringLoadIsRetried guards against an engine that stays empty because it crashed in the middle of a load.
func TestEngineCrashDuringLoadIsRetried(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		v1 := b.apply("v1")
		g := newInterceptor(t, delayMidBody)
		a := b.agent("host-1", []string{"e1"}, g.install)
		<-g.reached
		b.setFaults(b.engines, `{"e1":{"crash":true,"restart_ms":1}}`)
		a.awaitServing("e1", v1)
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}

// TestLoadOfSupersededVersionIsCancelled checks that a load order is cancelled at once when the setting asks for another
// version.
func TestLoadOfSupersededVersionIsCancelled(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		b.apply("v1")
		g := newInterceptor(t, delayMidBody)
		a := b.agent("host-1", []string{"e1"}, g.install)
		<-g.reached
		v2 := b.apply("v2")
		a.awaitServing("e1", v2)
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v2")
	})
}

// TestIncarnationWriteWithLostResponse guards against an agent that does not know that it holds the incarnation, because
// the response to its write was lost. The agent must read the object back.
func TestIncarnationWriteWithLostResponse(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1")
		b.setFaults(b.objects, `{"lose_next_answers":1,"lose_next_key_prefix":"incarnations/"}`)
		v1 := b.apply("v1")
		a := b.agent("host-1", []string{"e1"})
		a.awaitServing("e1", v1)
		require.Equal(t, a.incarnationNumber(), uint64(b.state("e1").FencingNumber))
		b.checkEngineLog("v1")
	})
}

// TestAgentStartsDuringPlatformOutage checks an agent that starts while the platform is unreachable and therefore has no
// incarnation. It must get the settings from its peers and send no orders. An engine that checks fencing numbers serves
// the version that it holds. One that ignores them must not serve, since a former agent's order may still be in flight.
func TestAgentStartsDuringPlatformOutage(t *testing.T) {
	forEachFencing(t, func(t *testing.T, f setting.Fencing) {
		b := newTestEnv(t, f, "e1", "e2", "e3")
		v1 := b.apply("v1")
		peer := b.agent("host-2", []string{"e2"})
		first := b.agent("host-1", []string{"e1", "e3"})
		peer.awaitServing("e2", v1)
		first.awaitServing("e1", v1)
		first.awaitServing("e3", v1)
		first.stop()
		b.setFaults(b.engines, `{"e3":{"crash":true,"restart_ms":1}}`)
		b.setFaults(b.objects, `{"outage":true}`)
		second := b.agent("host-1", []string{"e1", "e3"})
		b.await(func() bool { u := second.upstream("e1"); return u.Target().Digest == v1 }, "the settings arrive from the peer")
		if f == setting.FencingChecked {
			second.awaitServing("e1", v1)
		}
		if f == setting.FencingIgnored {
			time.Sleep(10 * testTiming().Poll)
			require.NotEqual(t, member.Serving, second.upstream("e1").Phase, "a former agent's order may be in flight")
		}
		require.Zero(t, second.incarnationNumber())
		require.Equal(t, 1, b.completedLoads("e3"), "an order was sent without an incarnation")
		b.setFaults(b.objects, `{"outage":false}`)
		second.awaitServing("e1", v1)
		second.awaitServing("e3", v1)
		require.NotZero(t, second.incarnationNumber())
		require.Equal(t, 1, b.completedLoads("e1"))
		b.checkEngineLog("v1")
	})
}
