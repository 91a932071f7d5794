package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/objectapi"
	"samphireweir.example/samphireweir/internal/operator"
	"samphireweir.example/samphireweir/internal/setting"
	standin "samphireweir.example/samphireweir/internal/standin/objectapi"
)

const (
	team    = "karrakin"
	service = "buyer-portal"
)

// platform starts a stand-in of the object API.
func platform(t *testing.T) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(standin.NewServer(standin.Config{History: 1000}))
	t.Cleanup(s.Close)
	return s
}

// faults turns faults of the stand-in on or off with a JSON patch.
func faults(t *testing.T, s *httptest.Server, patch string) {
	t.Helper()
	resp, err := http.Post(s.URL+"/admin/faults", "application/json", bytes.NewBufferString(patch))
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func editor(s *httptest.Server, author string) *operator.Editor {
	return &operator.Editor{Objects: objectapi.NewClient(s.URL, s.Client()), Author: author}
}

func plain(replicas int) *setting.Setting {
	return &setting.Setting{Kind: setting.Plain, Places: map[string]int{"perth-a": replicas}, NonIdempotent: []string{"POST"}}
}

// withTimeout returns a context that ends after d.
func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func requireCode(t *testing.T, want code.Code, err error) *code.Error {
	t.Helper()
	var coded *code.Error
	require.True(t, errors.As(err, &coded), "%v", err)
	require.Equal(t, want, coded.Code, "%v", err)
	return coded
}

// TestApplyOfAnOutdatedVersionConflicts guards against a change that overwrites another operator's change unseen. The error must name the
// author and the fields that changed.
func TestApplyOfAnOutdatedVersionConflicts(t *testing.T) {
	ctx := withTimeout(t, 10*time.Second)
	s := platform(t)
	ann, bob := editor(s, "ann"), editor(s, "bob")
	first, err := ann.Apply(ctx, team, service, plain(1), 0)
	require.NoError(t, err)
	second, err := bob.Apply(ctx, team, service, plain(2), first.Revision)
	require.NoError(t, err)
	_, err = ann.Apply(ctx, team, service, plain(3), first.Revision)
	text := requireCode(t, code.SettingConflict, err).Error()
	require.Contains(t, text, "bob")
	require.Contains(t, text, "places.perth-a: 1 -> 2")
	state, err := ann.Read(ctx, team, service)
	require.NoError(t, err)
	require.Equal(t, second.Revision, state.Version)
	require.Equal(t, 2, state.Setting().Places["perth-a"])
	require.Equal(t, "ann", state.Object.History[0].Author)
}

// TestLostAnswerIsResolved guards against a change that is reported as failed or made twice when the write took effect and its answer was
// lost.
func TestLostAnswerIsResolved(t *testing.T) {
	ctx := withTimeout(t, 10*time.Second)
	s := platform(t)
	ann := editor(s, "ann")
	faults(t, s, `{"lose_next_answers":1}`)
	applied, err := ann.Apply(ctx, team, service, plain(1), 0)
	require.NoError(t, err)
	require.True(t, applied.Recovered)
	state, err := ann.Read(ctx, team, service)
	require.NoError(t, err)
	require.Equal(t, applied.Revision, state.Version)
	require.Empty(t, state.Object.History, "only one change was made")
}

// TestLostAnswerBeforeALaterChangeIsResolved guards against a change that is reported as a conflict when it took effect, its answer was
// lost and another operator changed the setting before the next attempt.
func TestLostAnswerBeforeALaterChangeIsResolved(t *testing.T) {
	ctx := withTimeout(t, 20*time.Second)
	s := platform(t)
	bob := editor(s, "bob")
	var answerLost atomic.Bool
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := new(bytes.Buffer)
		_, _ = body.ReadFrom(r.Body)
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, s.URL+r.URL.String(), body)
		req.Header = r.Header.Clone()
		resp, err := s.Client().Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if r.Method == http.MethodPut && answerLost.CompareAndSwap(false, true) {
			state, _ := bob.Read(ctx, team, service)
			_, err := bob.Apply(ctx, team, service, plain(7), state.Version)
			if err == nil {
				http.Error(w, "lost", http.StatusBadGateway)
				return
			}
		}
		w.WriteHeader(resp.StatusCode)
		buf := new(bytes.Buffer)
		_, _ = buf.ReadFrom(resp.Body)
		_, _ = w.Write(buf.Bytes())
	}))
	defer proxy.Close()
	ann := editor(proxy, "ann")
	applied, err := ann.Apply(ctx, team, service, plain(1), 0)
	require.NoError(t, err)
	require.True(t, applied.Recovered)
	require.Len(t, applied.LaterChanges, 1)
	require.Equal(t, "bob", applied.LaterChanges[0].Author)
	state, err := bob.Read(ctx, team, service)
	require.NoError(t, err)
	require.Equal(t, 7, state.Setting().Places["perth-a"], "bob's change is in force")
	require.Equal(t, applied.Revision, state.Object.History[0].Version, "ann's change is in the history")
}

// TestChangeFailsWhilePlatformIsDown checks that a change fails with its code while the object API refuses or doesn't answer, and that the
// same change succeeds afterwards.
func TestChangeFailsWhilePlatformIsDown(t *testing.T) {
	for name, patch := range map[string]string{"outage": `{"outage":true}`, "hang": `{"hang":true}`} {
		t.Run(name, func(t *testing.T) {
			s := platform(t)
			ann := editor(s, "ann")
			first, err := ann.Apply(withTimeout(t, 5*time.Second), team, service, plain(1), 0)
			require.NoError(t, err)
			faults(t, s, patch)
			_, err = ann.Apply(withTimeout(t, 300*time.Millisecond), team, service, plain(2), first.Revision)
			requireCode(t, code.PlatformDown, err)
			recovery := time.AfterFunc(400*time.Millisecond, func() { faults(t, s, `{"outage":false,"hang":false}`) })
			defer recovery.Stop()
			time.Sleep(450 * time.Millisecond)
			second, err := ann.Apply(withTimeout(t, 10*time.Second), team, service, plain(2), first.Revision)
			require.NoError(t, err)
			require.Greater(t, second.Revision, first.Revision)
		})
	}
}

// TestRollbackRestoresADeletedSetting guards against a deletion that loses the history: a tombstone must keep it.
func TestRollbackRestoresADeletedSetting(t *testing.T) {
	ctx := withTimeout(t, 10*time.Second)
	s := platform(t)
	ann := editor(s, "ann")
	first, err := ann.Apply(ctx, team, service, plain(1), 0)
	require.NoError(t, err)
	deletion, err := ann.Delete(ctx, team, service, first.Revision)
	require.NoError(t, err)
	item, err := ann.Objects.Get(ctx, setting.Key(team, service))
	require.NoError(t, err, "the tombstone exists")
	value, deleted := setting.WithoutHistory(item.Value)
	require.True(t, deleted)
	require.Nil(t, value)
	restored, err := ann.Rollback(ctx, team, service, first.Revision, deletion.Revision)
	require.NoError(t, err)
	state, err := ann.Read(ctx, team, service)
	require.NoError(t, err)
	require.Equal(t, restored.Revision, state.Version)
	require.Equal(t, 1, state.Setting().Places["perth-a"])
	require.Len(t, state.Object.History, 2)
}

// TestHistoryIsBounded guards against an object that outgrows the platform's maximum size after many changes.
func TestHistoryIsBounded(t *testing.T) {
	o := &setting.Object{}
	for version := uint64(0); version < 200; version++ {
		o = o.Next(version, plain(int(version)), setting.ChangeInfo{Change: fmt.Sprint(version)})
	}
	require.Len(t, o.History, setting.FullHistory+setting.MetadataHistory)
	raw, err := json.Marshal(o)
	require.NoError(t, err)
	require.Less(t, len(raw), setting.MaxBytes)
	_, ok := o.FindChange("150", 200)
	require.True(t, ok)
	require.False(t, o.CompleteSince(100))
	require.True(t, o.CompleteSince(150))
}

// TestConcurrentChangesAreLinearizable guards against lost or duplicate changes when operators change the same settings concurrently and
// answers get lost. Each setting is checked as a register with compare-and-set.
func TestConcurrentChangesAreLinearizable(t *testing.T) {
	for _, operators := range []int{2, 10} {
		for _, services := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d operators, %d settings", operators, services), func(t *testing.T) {
				requireLinearizable(t, operators, services)
			})
		}
	}
}

// requireLinearizable has operators change settings concurrently and checks the results.
func requireLinearizable(t *testing.T, operators, services int) {
	ctx := withTimeout(t, 25*time.Second)
	s := platform(t)
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		wg      sync.WaitGroup
	)
	startedAt := time.Now()
	for id := range operators {
		wg.Go(func() {
			e := editor(s, fmt.Sprintf("operator-%d", id))
			for n := range 4 {
				if id == 0 {
					faults(t, s, `{"lose_next_answers":1}`)
				}
				name := fmt.Sprintf("service-%d", (id+n)%services)
				state, err := e.Read(ctx, team, name)
				if err != nil {
					t.Error(err)
					return
				}
				in := casInput{key: name, seen: state.Version}
				start := time.Since(startedAt)
				applied, err := e.Apply(ctx, team, name, plain(10*id+n), state.Version)
				end := time.Since(startedAt)
				var coded *code.Error
				if err != nil && (!errors.As(err, &coded) || coded.Code != code.SettingConflict) {
					t.Error(err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: id, Input: in, Call: start.Nanoseconds(), Output: casOutput{ok: err == nil, revision: applied.Revision}, Return: end.Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	require.True(t, porcupine.CheckOperations(casModel, history), "the changes are not linearizable")
	requireNoneLost(t, ctx, editor(s, ""), services, history)
}

// requireNoneLost checks that the accepted changes are exactly the present states of the settings and their histories.
func requireNoneLost(t *testing.T, ctx context.Context, e *operator.Editor, services int, history []porcupine.Operation) {
	t.Helper()
	kept := map[uint64]bool{}
	for n := range services {
		state, err := e.Read(ctx, team, fmt.Sprintf("service-%d", n))
		require.NoError(t, err)
		for _, p := range operator.History(state) {
			kept[p.Version] = true
		}
	}
	accepted := 0
	for _, op := range history {
		if out := op.Output.(casOutput); out.ok {
			accepted++
			require.True(t, kept[out.revision], "revision %d was accepted but is lost", out.revision)
		}
	}
	require.Len(t, kept, accepted, "a change took effect that was not reported as accepted")
}

type casInput struct {
	key  string
	seen uint64
}

type casOutput struct {
	ok       bool
	revision uint64
}

// casModel models a setting as a register whose state is its version: a change succeeds if and only if it saw that version.
var casModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(casInput).key
			parts[key] = append(parts[key], op)
		}
		var list [][]porcupine.Operation
		for _, p := range parts {
			list = append(list, p)
		}
		return list
	},
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in, out := input.(casInput), output.(casOutput)
		if !out.ok {
			return in.seen != state.(uint64), state
		}
		return in.seen == state.(uint64) && out.revision > in.seen, out.revision
	},
	Equal: func(a, b any) bool { return a == b },
}
