package code

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/CODES.md, in Markdown.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nPrinted by `samphireweir codes`; a test checks that this page matches the binary.\n\n")
	b.WriteString("| code | name | HTTP | meaning |\n|---|---|---|---|\n")
	for _, e := range Catalogue {
		status := "-"
		if e.Status != 0 {
			status = fmt.Sprint(e.Status)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Code, e.Name, status, e.Help)
	}
	return b.String()
}
