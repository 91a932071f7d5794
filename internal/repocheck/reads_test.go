package repocheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// unboundedRead matches calls that read until an end or a delimiter, however far away it is.
var unboundedRead = regexp.MustCompile(`io\.ReadAll\(|\.ReadBytes\(|\.ReadString\(|http\.ReadResponse\(|http\.ReadRequest\(`)

// boundedArgument matches readers that are limited themselves.
var boundedArgument = regexp.MustCompile(`LimitReader\(|MaxBytesReader\(`)

// trustedReaders are the packages that read only from processes of their own run: load tools, experiments and stand-ins.
var trustedReaders = []string{"/demo/", "/experiment/", "/standin/"}

// productFiles returns the files of the product, without tests and trusted readers.
func productFiles(t *testing.T) []string {
	var list []string
	for _, path := range files(t, ".go") {
		relative, err := filepath.Rel(root, path)
		require.NoError(t, err)
		product := strings.HasPrefix(relative, "internal/") || strings.HasPrefix(relative, "platform/")
		for _, trusted := range trustedReaders {
			product = product && !strings.Contains(relative, trusted)
		}
		if product && !strings.HasSuffix(path, "_test.go") {
			list = append(list, path)
		}
	}
	return list
}

// TestReadsFromOutsideAreBounded guards against a read of an answer whose limit is checked only after it, or which has none: an answer without
// an end would take all memory. Package boundedread reads within a limit.
func TestReadsFromOutsideAreBounded(t *testing.T) {
	for _, path := range productFiles(t) {
		if strings.Contains(filepath.ToSlash(path), "/boundedread/") {
			continue
		}
		for n, line := range strings.Split(read(t, path), "\n") {
			if unboundedRead.MatchString(line) && !boundedArgument.MatchString(line) {
				t.Errorf("%s:%d reads without a limit: %s", path, n+1, strings.TrimSpace(line))
			}
		}
	}
}

// transports calls check with each literal of an http.Transport in the product, the text of its file and its fields.
func transports(t *testing.T, check func(position token.Position, file string, fields map[string]string)) {
	for _, path := range productFiles(t) {
		set, text := token.NewFileSet(), read(t, path)
		file, err := parser.ParseFile(set, path, text, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			literal, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			name, ok := literal.Type.(*ast.SelectorExpr)
			if !ok || name.Sel.Name != "Transport" {
				return true
			}
			if from, ok := name.X.(*ast.Ident); !ok || from.Name != "http" {
				return true
			}
			fields := map[string]string{}
			for _, element := range literal.Elts {
				if pair, ok := element.(*ast.KeyValueExpr); ok {
					fields[pair.Key.(*ast.Ident).Name] = text[set.Position(pair.Value.Pos()).Offset:set.Position(pair.Value.End()).Offset]
				}
			}
			check(set.Position(literal.Pos()), text, fields)
			return true
		})
	}
}

// TestTransportsBoundHeads guards against clients that read a head without an end into memory.
func TestTransportsBoundHeads(t *testing.T) {
	transports(t, func(position token.Position, _ string, fields map[string]string) {
		if fields["MaxResponseHeaderBytes"] == "" {
			t.Errorf("%s: a transport without MaxResponseHeaderBytes", position)
		}
	})
}

// provenDial matches dial functions whose connections end in io.EOF only after an orderly end.
var provenDial = regexp.MustCompile(`(connend|silence)\.(Dialer|New)\(`)

// TestTransportsProveTheEndOfAnswers guards against clients that take the end of a reset connection for the end of an answer.
func TestTransportsProveTheEndOfAnswers(t *testing.T) {
	transports(t, func(position token.Position, file string, fields map[string]string) {
		dial := fields["DialContext"]
		if _, err := parser.ParseExpr(dial); err != nil || !provenDial.MatchString(dial) && (strings.ContainsAny(dial, "(.") || !provenDial.MatchString(file)) {
			t.Errorf("%s: a transport that does not dial with connend or silence", position)
		}
	})
}
