// Package house_test checks the house style over the whole repository: what go vet and staticcheck leave out.
package house_test

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
	// maxLines bounds a file; a larger one has more than one job.
	maxLines = 500
)

// files returns the repository's files whose names end in one of suffixes; none for all texts.
func files(t *testing.T, suffixes ...string) []string {
	t.Helper()
	var list []string
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || path == filepath.Join(root, "target")) { // target holds what deploy/system.toml builds.
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

// report fails with one line for each violation.
func report(t *testing.T, violations []string) {
	t.Helper()
	require.Empty(t, violations, "\n"+strings.Join(violations, "\n"))
}

// TestFilesAreShort finds files that have grown beyond one job.
func TestFilesAreShort(t *testing.T) {
	var found []string
	for _, path := range files(t, ".go", ".md", ".sh") {
		if n := strings.Count(read(t, path), "\n"); n > maxLines {
			found = append(found, path)
		}
	}
	report(t, found)
}

// TestEverythingPublicIsDocumented finds packages and exported items without a comment.
func TestEverythingPublicIsDocumented(t *testing.T) {
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
	above := "" // The last comment: it may name the items that stand right below its own, as in "Min and Max bound it".
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil && (d.Doc == nil || len(d.Specs) > 1) {
				names = append(names, s.Name.Name)
			}
		case *ast.ValueSpec:
			if s.Doc != nil {
				above = s.Doc.Text()
			}
			names = append(names, undocumentedValues(d, s, above)...)
		}
	}
	return names
}

func undocumentedValues(d *ast.GenDecl, s *ast.ValueSpec, above string) []string {
	if d.Doc != nil || s.Doc != nil || s.Comment != nil {
		return nil
	}
	var names []string
	for _, n := range s.Names {
		if n.IsExported() && !strings.Contains(above, n.Name) {
			names = append(names, n.Name)
		}
	}
	return names
}

var link = regexp.MustCompile(`\[[^\]\n]*\]\(([^)\s]+)\)`)

// TestLinksResolve follows each relative link of each page, with its heading.
func TestLinksResolve(t *testing.T) {
	var found []string
	for _, path := range files(t, ".md") {
		for _, m := range link.FindAllStringSubmatch(read(t, path), -1) {
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

// TestEveryPageIsListed finds each page below docs in its index.
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

var notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)

func hasHeading(page, anchor string) bool {
	for _, line := range strings.Split(page, "\n") {
		text, isHeading := strings.CutPrefix(strings.TrimLeft(line, "#"), " ")
		if !isHeading || !strings.HasPrefix(line, "#") {
			continue
		}
		text = notInAnchor.ReplaceAllString(strings.ToLower(text), "")
		if strings.ReplaceAll(text, " ", "-") == anchor {
			return true
		}
	}
	return false
}

// places are parts of paths and names that hold on one machine only, or that name a registry of packages. They are
// written in two parts here, so that this file is not found itself.
var places = []string{
	"/wo" + "rk/", "/ro" + "ot/", "/ho" + "me/", "proxy.gol" + "ang", "sum.gol" + "ang", "goproxy" + ".io",
	"registry." + "npmjs", "pypi" + ".org", "crates" + ".io", "docker" + ".io", "ghcr" + ".io",
}

// sourcesInJournal are copies of sources that were measured once and have left the tree, which the journal keeps as they were: a route of a
// test that looked like a path, and the record of a property test's failure.
var sourcesInJournal = []string{"443d4471ffdfc85b.txt", "95f5e5ac71841068.txt"}

// TestNoMachinePaths finds paths of one machine and names of registries in any text.
func TestNoMachinePaths(t *testing.T) {
	var found []string
	for _, path := range files(t) {
		if slices.Contains(sourcesInJournal, filepath.Base(path)) {
			continue
		}
		text := read(t, path)
		for _, p := range places {
			if strings.Contains(text, p) {
				found = append(found, path+": "+p)
			}
		}
	}
	report(t, found)
}
