// Package repocheck_test checks conventions of the whole repository that go vet and staticcheck don't cover: the length of files, doc comments, links
// between pages, and paths that exist on one machine only.
package repocheck_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	root = "../.."
	// maxLines is the maximum number of lines of a file. A longer one has more than one responsibility.
	maxLines = 500
)

// files returns the paths of the repository's files whose names end in one of the suffixes; without suffixes it returns all files.
func files(t *testing.T, suffixes ...string) []string {
	t.Helper()
	var list []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || path == filepath.Join(root, "target")) { // target holds the build results of deploy/system.toml.
			return filepath.SkipDir
		}
		if d.Type().IsRegular() && d.Name() != "go.sum" && d.Name() != ".git" && hasSuffix(d.Name(), suffixes) {
			list = append(list, path)
		}
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, list)
	return list
}

func hasSuffix(name string, suffixes []string) bool {
	for _, s := range suffixes {
		if strings.HasSuffix(name, s) {
			return true
		}
	}
	return len(suffixes) == 0
}

func read(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	require.NoError(t, err)
	return string(raw)
}

// report fails the test with one line for each violation.
func report(t *testing.T, violations []string) {
	t.Helper()
	require.Empty(t, violations, "\n"+strings.Join(violations, "\n"))
}

// TestFilesAreShort guards against files that have grown to more than one responsibility.
func TestFilesAreShort(t *testing.T) {
	var found []string
	for _, path := range files(t, ".go", ".md", ".sh") {
		if n := strings.Count(read(t, path), "\n"); n > maxLines {
			found = append(found, path)
		}
	}
	report(t, found)
}

// TestPublicItemsAreDocumented guards against packages and exported items without a comment.
func TestPublicItemsAreDocumented(t *testing.T) {
	set := token.NewFileSet()
	documented := map[string]bool{}
	var found []string
	for _, path := range files(t, ".go") {
		file, err := parser.ParseFile(set, path, nil, parser.ParseComments|parser.SkipObjectResolution)
		require.NoError(t, err)
		pkg := filepath.Dir(path) + " " + file.Name.Name
		documented[pkg] = documented[pkg] || file.Doc != nil || strings.HasSuffix(path, "_test.go")
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		for _, d := range file.Decls {
			for _, name := range undocumented(d) {
				found = append(found, set.Position(d.Pos()).String()+": "+name)
			}
		}
	}
	for pkg, ok := range documented {
		if !ok {
			found = append(found, pkg+": the package")
		}
	}
	report(t, found)
}

// undocumented returns the exported names that d declares without a comment.
func undocumented(d ast.Decl) []string {
	switch d := d.(type) {
	case *ast.FuncDecl:
		if d.Name.IsExported() && d.Doc == nil {
			return []string{d.Name.Name}
		}
	case *ast.GenDecl:
		return undocumentedSpecs(d)
	}
	return nil
}

func undocumentedSpecs(d *ast.GenDecl) []string {
	var names []string
	previousDoc := "" // The previous comment: it may also name the items that follow its own item, as in "Min and Max bound it".
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil && (d.Doc == nil || len(d.Specs) > 1) {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Doc != nil {
				previousDoc = s.Doc.Text()
			}
			names = append(names, undocumentedValues(d, s, previousDoc)...)
		}
	}
	return names
}

func undocumentedValues(d *ast.GenDecl, s *ast.ValueSpec, previousDoc string) []string {
	if d.Doc != nil || s.Doc != nil || s.Comment != nil {
		return nil
	}
	var names []string
	for _, n := range s.Names {
		if n.IsExported() && !strings.Contains(previousDoc, n.Name) {
			names = append(names, n.Name)
		}
	}
	return names
}

var linkPattern = regexp.MustCompile(`\[[^\]\n]*\]\(([^)\s]+)\)`)

// TestLinksResolve guards against relative links to files or headings that don't exist.
func TestLinksResolve(t *testing.T) {
	var found []string
	for _, path := range files(t, ".md") {
		for _, m := range linkPattern.FindAllStringSubmatch(read(t, path), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			target, heading, _ := strings.Cut(m[1], "#")
			to := path
			if target != "" {
				to = filepath.Join(filepath.Dir(path), target)
			}
			if _, err := os.Stat(to); err != nil {
				found = append(found, path+": "+m[1])
				continue
			}
			if heading != "" && !hasHeading(read(t, to), heading) {
				found = append(found, path+": "+m[1]+": no such heading")
			}
		}
	}
	report(t, found)
}

// TestEveryPageIsListed guards against pages below docs that the index doesn't link to.
func TestEveryPageIsListed(t *testing.T) {
	index := read(t, root+"/docs/README.md")
	var found []string
	for _, path := range files(t, ".md") {
		name, below := strings.CutPrefix(filepath.ToSlash(path), root+"/docs/")
		if below && name != "README.md" && !strings.Contains(index, "]("+name+")") {
			found = append(found, name)
		}
	}
	report(t, found)
}

var notInAnchorPattern = regexp.MustCompile(`[^a-z0-9 _-]`)

func hasHeading(page, anchor string) bool {
	for _, line := range strings.Split(page, "\n") {
		text, isHeading := strings.CutPrefix(strings.TrimLeft(line, "#"), " ")
		if !isHeading || !strings.HasPrefix(line, "#") {
			continue
		}
		text = notInAnchorPattern.ReplaceAllString(strings.ToLower(text), "")
		if strings.ReplaceAll(text, " ", "-") == anchor {
			return true
		}
	}
	return false
}

// machineTexts are parts of paths that exist on one machine only, and names of package registries. Each is split into two literals so that the test
// doesn't find it in this file.
var machineTexts = []string{
	"/wo" + "rk/", "/ro" + "ot/", "/ho" + "me/", "proxy.gol" + "ang", "sum.gol" + "ang", "goproxy" + ".io",
	"registry." + "npmjs", "pypi" + ".org", "crates" + ".io", "docker" + ".io", "ghcr" + ".io",
}

// sourcesInJournal are copies of source files that the journal keeps unchanged although they have left the tree. One holds a test's route that looks
// like such a path, the other the record of a failed property test.
var sourcesInJournal = []string{"443d4471ffdfc85b.txt", "95f5e5ac71841068.txt"}

// TestNoMachinePaths guards against paths of one machine and names of package registries in any file.
func TestNoMachinePaths(t *testing.T) {
	var found []string
	for _, path := range files(t) {
		if slices.Contains(sourcesInJournal, filepath.Base(path)) {
			continue
		}
		text := read(t, path)
		for _, p := range machineTexts {
			if strings.Contains(text, p) {
				found = append(found, path+": "+p)
			}
		}
	}
	report(t, found)
}
