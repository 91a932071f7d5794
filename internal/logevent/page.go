package logevent

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/EVENTS.md, in Markdown.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nPrinted by `samphireweir events`; a test checks that this page matches the binary.\n\n")
	b.WriteString("| event | name | meaning |\n|---|---|---|\n")
	for _, e := range Catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.ID, e.Name, e.Help)
	}
	return b.String()
}
