package layout

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	codeSpan        = regexp.MustCompile("`([^`\n]+)`")
	namedPath       = regexp.MustCompile(`^(\./)?(internal|cmd|docs|policy|deploy|scripts|tools)(/[\w.-]+)+/?$`)
	namedFile       = regexp.MustCompile(`^([\w-]+/)*[\w-]+\.go$`)
	pageLink        = regexp.MustCompile(`\]\(([^)#]+)(#[^)]*)?\)`)
	historicalPages = []string{"docs/results.md", "docs/further-account.md", "CHANGELOG.md"} // they may name files that no longer exist
)

// currentPages returns the paths of the pages that describe the current tree.
func currentPages(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	operatorPages, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "operators", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths = append(append(paths, operatorPages...), filepath.Join(repositoryRoot, "README.md"))
	var current []string
	for _, path := range paths {
		relative, err := filepath.Rel(repositoryRoot, path)
		if err != nil {
			t.Fatal(err)
		}
		if !isWithin(relative, historicalPages...) {
			current = append(current, path)
		}
	}
	return current
}

// goFiles returns the paths of all Go files of the module, relative to this package and with slashes as separators.
func goFiles(t *testing.T) []string {
	t.Helper()
	var files []string
	for _, folder := range []string{"internal", "cmd", "policy"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ os.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") {
				files = append(files, filepath.ToSlash(path))
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// TestPathsNamedInPagesExist checks that the paths and Go files named in code spans of the pages exist. A Go file may be named by the
// last elements of its path.
func TestPathsNamedInPagesExist(t *testing.T) {
	files := goFiles(t)
	checked := 0
	for _, page := range currentPages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			name := span[1]
			switch {
			case namedPath.MatchString(name):
				checked++
				if _, err := os.Stat(filepath.Join(repositoryRoot, name)); err != nil {
					t.Errorf("%s names %s: %v", page, name, err)
				}
			case namedFile.MatchString(name):
				checked++
				if !anyHasSuffix(files, "/"+name) {
					t.Errorf("%s names %s, which is not a file of the tree", page, name)
				}
			}
		}
	}
	if checked < 200 {
		t.Errorf("found only %d paths in the pages", checked)
	}
}

// anyHasSuffix reports whether one of the files has the suffix.
func anyHasSuffix(files []string, suffix string) bool {
	for _, file := range files {
		if strings.HasSuffix(file, suffix) {
			return true
		}
	}
	return false
}

// TestPageLinksHaveTargets checks that the targets of the links between pages exist.
func TestPageLinksHaveTargets(t *testing.T) {
	for _, page := range currentPages(t) {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
			target := link[1]
			if strings.Contains(target, "://") {
				continue
			}
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), target)); err != nil {
				t.Errorf("%s links to %s: %v", page, target, err)
			}
		}
	}
}
