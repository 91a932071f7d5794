package explain_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/explain"
)

// TestLossesCountEachReason checks that requests with different ends are counted under different reasons.
func TestLossesCountEachReason(t *testing.T) {
	var log strings.Builder
	request := 0
	add := func(sent, end string) {
		request++
		if sent != "" {
			log.WriteString(line(1, "entry", "edge-1", fmt.Sprintf(`"event":4007,"request":"%d",%s`, request, sent)))
		}
		log.WriteString(line(2, "entry", "edge-1", fmt.Sprintf(`"request":"%d",%s`, request, end)))
	}
	answered := func(firstMS int) string {
		return fmt.Sprintf(`"event":4008,"outcome":"answered","objective_ms":400,"first_ms":%d`, firstMS)
	}
	refused := func(code int, rest string) string { return fmt.Sprintf(`"event":4001,"code":%d,%s`, code, rest) }
	add(`"sends":1,"waited_ms":10`, answered(390))
	add(`"sends":1,"waited_ms":10`, answered(410))
	add(`"sends":1,"waited_ms":150`, answered(410))
	add(`"sends":2,"waited_ms":10`, answered(410))
	add(`"sends":1,"came_back":true`, answered(100))
	add(`"sends":1`, `"event":4008,"outcome":"caller gone"`)
	add(`"sends":1`, `"event":4008,"outcome":"failed by the upstream"`)
	add(`"sends":1`, `"event":4008,"outcome":"aborted"`)
	add("", refused(2003, `"ran":"not run"`))
	add("", refused(2003, `"ran":"not run"`))
	add("", refused(2003, `"ran":"not run","came_back":true`))
	add("", refused(2002, `"ran":"not run"`))
	add("", refused(2008, `"ran":"not run"`))
	add("", refused(1011, `"ran":"not run"`))
	add(`"sends":2`, refused(2004, `"ran":"unknown"`))
	losses := read(t, log.String(), "").Losses()
	require.Equal(t, 15, losses.Ended)
	require.Equal(t, 1, losses.InTime)
	require.Equal(t, explain.Loss{Reason: "refused: no capacity", Requests: 2}, losses.ByReason[0])
	require.Len(t, losses.ByReason, 13)
	var out strings.Builder
	require.NoError(t, losses.Print(&out))
	require.Contains(t, out.String(), "      2  13.3%  refused: no capacity")
}
