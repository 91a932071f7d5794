package cli

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
)

// TestFirstWeekPageExplainsEveryCode guards against a result code that callers or operators can receive and that docs/operators/first-week.md
// doesn't explain.
func TestFirstWeekPageExplainsEveryCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/first-week.md")
	require.NoError(t, err)
	const firstOperatorCode = 5000
	for _, e := range code.Catalogue {
		if e.Status != 0 || e.Code >= firstOperatorCode {
			require.Contains(t, string(page), strconv.Itoa(int(e.Code)), e.Name)
		}
	}
}

var (
	// pageCommand matches the commands of the binary in a page's examples, up to a comment or a redirection.
	pageCommand = regexp.MustCompile("(?m)^ {4}(?:bin/)?samphireweir ([^#>&`\n]*)")
	// pageFlag matches a flag in a command.
	pageFlag = regexp.MustCompile(`(?:^|\s)-([a-z][a-z-]*)`)
)

// TestPagesUseExistingCommandsAndFlags guards against examples in docs/operators with commands or flags that the binary doesn't have.
func TestPagesUseExistingCommandsAndFlags(t *testing.T) {
	commands := map[string]namedCommand{}
	for _, c := range allCommands() {
		commands[c.name] = c
	}
	pages, err := filepath.Glob("../../docs/operators/*.md")
	require.NoError(t, err)
	found := 0
	for _, path := range pages {
		page, err := os.ReadFile(path)
		require.NoError(t, err)
		text := strings.ReplaceAll(string(page), "\\\n", " ")
		for _, m := range pageCommand.FindAllStringSubmatch(text, -1) {
			words := strings.Fields(m[1])
			if words[0] == "help" {
				continue
			}
			name := words[0]
			if name == settingsName {
				name += " " + words[1]
			}
			c, ok := commands[name]
			require.True(t, ok, "%s: samphireweir %s", path, m[1])
			for _, f := range pageFlag.FindAllStringSubmatch(m[1], -1) {
				require.NotNil(t, flagsOf(c.command).Lookup(f[1]), "%s: -%s in samphireweir %s", path, f[1], m[1])
			}
			found++
		}
	}
	require.Greater(t, found, 10)
}

// TestSettingChangeIsTraced checks that a change of a setting is sent with a traceparent if tracing is on, and without one if it is off.
func TestSettingChangeIsTraced(t *testing.T) {
	parents := make(chan string, 2)
	platform := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { parents <- r.Header.Get("Traceparent") }))
	defer platform.Close()
	for _, exporter := range []string{"none", "stdout"} {
		c := &target{}
		c.trace.Exporter, c.trace.Ratio = exporter, 1
		req, err := http.NewRequest(http.MethodPut, platform.URL+"/v1/objects/settings/karrakin/summary-model", nil)
		require.NoError(t, err)
		resp, err := c.client().Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
	require.Empty(t, <-parents)
	require.Regexp(t, "^00-[0-9a-f]{32}-[0-9a-f]{16}-01$", <-parents)
}
