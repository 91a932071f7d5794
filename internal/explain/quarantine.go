package explain

import (
	"fmt"
	"slices"
	"strings"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/logevent"
)

// findPartQuarantine adds how the quarantine of the part for which a request was refused began: when, at which entry, and after which
// crashes. That may be long before the request.
func (l *Log) findPartQuarantine(v *Explanation, last Line) {
	if code.Code(last.Code) != code.PartQuarantined {
		return
	}
	started := slices.IndexFunc(l.Lines, func(line Line) bool {
		return line.Event == logevent.PartQuarantined && line.Change == "started" && line.Part != "" && strings.Contains(last.Why, "part "+line.Part+" ") && !line.Time.After(last.Time)
	})
	if started < 0 {
		return
	}
	decision := l.Lines[started]
	v.Cause += fmt.Sprintf("; quarantined by %s at %s after %d crashes", decision.Name, decision.Time.Format("15:04:05.000"), decision.Crashes)
	for _, line := range l.Lines {
		if line.Event == logevent.UpstreamCrashed && !line.Time.After(decision.Time) && decision.Time.Sub(line.Time) <= contextWindow {
			v.Related = append(v.Related, line)
		}
	}
	v.Related = append(v.Related, decision)
}
