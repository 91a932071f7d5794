package entry

import (
	"net/http"

	"github.com/google/uuid"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core"
	"samphireweir.example/samphireweir/internal/core/intake"
	"samphireweir.example/samphireweir/internal/core/request"
	"samphireweir.example/samphireweir/internal/setting"
)

// intakeMiddleware refuses requests that callers must not send. It removes headers that only this system may set.
func (e *Entry) intakeMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		refusal := intake.Check(r.URL, r.Header)
		if refusal == nil {
			refusal = e.checkPath(r.URL.Path)
		}
		if refusal != nil {
			c := &call{id: uuid.NewString(), w: w, r: r}
			w.Header().Set(HeaderRequestID, c.id)
			e.refuse(c, request.NewRefusal(c.id, refusal.Code, code.NotRun, 0), refusal.Error())
			return
		}
		intake.Strip(r.Header)
		next.ServeHTTP(w, r)
	})
}

// checkPath refuses paths of engines that only this system may call.
func (e *Entry) checkPath(path string) *code.Error {
	team, service, rest, ok := splitPath(path)
	if !ok || !intake.IsSystemPath(setting.Engine, rest) {
		return nil
	}
	kind := setting.Engine // The strict rule applies until the service's setting is known.
	e.Loop.View(func(s *core.State) {
		if inForce, known := s.Settings[setting.Key(team, service)]; known {
			kind = inForce.Setting.Kind
		}
	})
	if !intake.IsSystemPath(kind, rest) {
		return nil
	}
	return code.Errorf(code.SystemPath, "path", "%s is not for callers", rest)
}
