package proof

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// maxLine is the maximum length of a line of test output, in bytes.
const maxLine = 1 << 20

// Results reports, by the name of a test, whether it passed in a run.
type Results map[string]bool

type testEvent struct {
	Action string
	Test   string
}

// ReadResults reads the output of `go test -json`. A test that failed or was skipped once counts as not passed.
func ReadResults(r io.Reader) (Results, error) {
	results := Results{}
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, maxLine), maxLine)
	for lines.Scan() {
		var ev testEvent
		if json.Unmarshal(lines.Bytes(), &ev) != nil || ev.Test == "" {
			continue
		}
		switch ev.Action {
		case "pass":
			if _, known := results[ev.Test]; !known {
				results[ev.Test] = true
			}
		case "fail", "skip":
			results[ev.Test] = false
		}
	}
	return results, errors.Wrap(lines.Err(), "reading test output")
}

// State returns the state of a cell after a run: "proved", "not applicable" with the reason, or "NOT PROVED" with what is missing.
func (c Cell) State(run Results) string {
	if c.NotApplicable != "" {
		return "not applicable: " + c.NotApplicable
	}
	for _, name := range c.Tests {
		passed, ran := run[name]
		if !ran {
			return "NOT PROVED: " + name + " did not run"
		}
		if !passed {
			return "NOT PROVED: " + name + " failed"
		}
	}
	if c.Open != "" {
		return "NOT PROVED: " + c.Open
	}
	if len(c.Tests) == 0 {
		return "NOT PROVED"
	}
	return "proved"
}

// Page returns the content of docs/PROOFS.md for a run.
func Page(cells []Cell, run Results) string {
	var b strings.Builder
	b.WriteString("# Proofs\n\nPrinted by `go test -json ./... | go run ./cmd/proofs`: each fault at each step, and the tests of that run that prove it.\n")
	proved, open, notApplicable := 0, 0, 0
	var concern Concern
	for _, c := range cells {
		if c.Concern != concern {
			concern = c.Concern
			fmt.Fprintf(&b, "\n## %s\n\n| fault | step | state | tests |\n|---|---|---|---|\n", concern)
		}
		state := c.State(run)
		switch {
		case state == "proved":
			proved++
		case c.NotApplicable != "":
			notApplicable++
		default:
			open++
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s |\n", c.Fault, c.Step, state, strings.Join(c.Tests, ", "))
	}
	fmt.Fprintf(&b, "\n%d proved, %d not proved, %d not applicable.\n", proved, open, notApplicable)
	return b.String()
}
