package serve

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// ErrCrashed is the cancellation cause of a call's context when the simulated process crashes during the call.
var ErrCrashed = errors.New("crashed")

// Process simulates the crashes and restarts of one process.
type Process struct {
	mu          sync.Mutex
	bootID      string
	availableAt time.Time
	ctx         context.Context
	cancel      context.CancelFunc
}

// NewProcess returns a process that has just started.
func NewProcess() *Process {
	process := &Process{}
	process.begin(time.Now())
	return process
}

func (p *Process) begin(availableAt time.Time) {
	p.bootID = uuid.NewString()
	p.availableAt = availableAt
	p.ctx, p.cancel = context.WithCancel(context.Background())
}

// BootID returns the id of the current instance of the process. Each restart creates a new one.
func (p *Process) BootID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bootID
}

// Crash ends all guarded calls and resets their connections. The process is available again, with a new boot id, after restart.
func (p *Process) Crash(restart time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	p.begin(time.Now().Add(restart))
}

// current returns the context of the current instance, and whether the process is available.
func (p *Process) current() (context.Context, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ctx, !time.Now().Before(p.availableAt)
}

// Guard returns a handler that responds with status 503 while the process is restarting, and calls next otherwise. When the process
// crashes during a call, it cancels the call's context with the cause ErrCrashed and resets the connection.
func (p *Process) Guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		run, up := p.current()
		if !up {
			Fail(w, http.StatusServiceUnavailable, "restarting")
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		stop := context.AfterFunc(run, func() { cancel(ErrCrashed) })
		defer stop()
		next.ServeHTTP(w, r.WithContext(ctx))
		if run.Err() != nil {
			Reset(w)
		}
	})
}

// Crashed reports whether ctx, the context of a guarded call, was cancelled by a crash.
func Crashed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrCrashed)
}
