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

// TestLossesByClassShowWhoIsRefused checks that the losses of a priority, of a client account and of a data centre are counted apart,
// and that a request without a route is left out.
func TestLossesByClassShowWhoIsRefused(t *testing.T) {
	var log strings.Builder
	log.WriteString(line(0, "entry", "edge-1", `"event":1001,"data_centre":"north"`))
	log.WriteString(line(1, "entry", "edge-1", `"event":4008,"request":"1","route":"r","account":"small","priority":0,"outcome":"answered","objective_ms":400,"first_ms":100`))
	log.WriteString(line(1, "entry", "edge-2", `"event":4001,"request":"2","route":"r","account":"large","priority":2,"code":2003,"ran":"not run"`))
	log.WriteString(line(2, "entry", "edge-1", `"event":4001,"request":"3","route":"r","account":"large","priority":2,"code":2003,"ran":"not run","came_back":true`))
	log.WriteString(line(2, "entry", "edge-1", `"event":4001,"request":"4","code":1011,"ran":"not run"`))
	losses := read(t, log.String(), "").Losses()
	class := func(property, value string) explain.Class { return explain.Class{Property: property, Value: value} }
	require.Equal(t, []explain.ClassLosses{
		{Class: class("account", "large"), Ended: 2, Refused: 1, RefusedAgain: 1},
		{Class: class("account", "small"), Ended: 1, InTime: 1},
		{Class: class("data centre", "north"), Ended: 2, InTime: 1, RefusedAgain: 1},
		{Class: class("priority", "0"), Ended: 1, InTime: 1},
		{Class: class("priority", "2"), Ended: 2, Refused: 1, RefusedAgain: 1},
	}, losses.ByClass)
	var out strings.Builder
	require.NoError(t, losses.Print(&out))
	require.Contains(t, out.String(), "large")
}
