package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// pageLines returns the lines of a page of the documentation.
func pageLines(t *testing.T, page string) []string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repositoryRoot, page))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(string(content), "\n")
}

// parsedFiles returns the parsed Go files of a folder, without tests.
func parsedFiles(t *testing.T, folder string) []*ast.File {
	t.Helper()
	return parse(t, folder, func(path string) bool { return !strings.HasSuffix(path, "_test.go") })
}

// parsedTests returns the parsed test files of a folder.
func parsedTests(t *testing.T, folder string) []*ast.File {
	t.Helper()
	return parse(t, folder, func(path string) bool { return strings.HasSuffix(path, "_test.go") })
}

// parse returns the parsed Go files of a folder that are wanted.
func parse(t *testing.T, folder string, wanted func(path string) bool) (files []*ast.File) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, folder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if !wanted(path) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}
