package layout

import (
	"go/ast"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const internalCallsPage = "docs/internal-calls.md"

// callKinds are the functions of package transport that declare an internal call, with the page's name of the call's kind.
var callKinds = map[string]string{"NewIdempotent": "idempotent", "NewAtMostOnce": "at most once"}

var (
	callRow   = regexp.MustCompile("^\\| `(/[^`]+)` \\| ([a-z ]+) \\|")
	namedTest = regexp.MustCompile("`(Test\\w+)`")
)

// sourceFolders returns the folders below internal that have Go files, relative to the root of the repository.
func sourceFolders(t *testing.T) []string {
	t.Helper()
	folders := map[string]bool{}
	err := filepath.WalkDir(filepath.Join(repositoryRoot, "internal"), func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			folder, _ := filepath.Rel(repositoryRoot, filepath.Dir(path)) // both are below the same folder
			folders[folder] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return slices.Sorted(maps.Keys(folders))
}

// declaredCalls returns the kind of each internal call that the code declares, by its path. NAME stands for what a variable adds to a path.
func declaredCalls(t *testing.T) map[string]string {
	t.Helper()
	declared := map[string]string{}
	for _, folder := range sourceFolders(t) {
		for _, file := range parsedFiles(t, folder) {
			ast.Inspect(file, func(node ast.Node) bool {
				call, isCall := node.(*ast.CallExpr)
				if !isCall || len(call.Args) != 1 {
					return true
				}
				if kind := declaredKind(call.Fun); kind != "" {
					declared[pathText(t, call.Args[0])] = kind
				}
				return true
			})
		}
	}
	return declared
}

// declaredKind returns the kind of call that a function of package transport declares; empty for other functions.
func declaredKind(function ast.Expr) string {
	generic, isGeneric := function.(*ast.IndexListExpr)
	if !isGeneric {
		return ""
	}
	selector, isSelector := generic.X.(*ast.SelectorExpr)
	if !isSelector {
		return ""
	}
	return callKinds[selector.Sel.Name]
}

// pathText returns the text of an expression of string literals and variables.
func pathText(t *testing.T, expression ast.Expr) string {
	t.Helper()
	switch typed := expression.(type) {
	case *ast.BasicLit:
		text, err := strconv.Unquote(typed.Value)
		if err != nil {
			t.Fatal(err)
		}
		return text
	case *ast.BinaryExpr:
		if typed.Op == token.ADD {
			return pathText(t, typed.X) + pathText(t, typed.Y)
		}
	case *ast.Ident:
		return strings.ToUpper(typed.Name)
	}
	t.Fatalf("path of an internal call of an unknown form: %T", expression)
	return ""
}

// existingTests returns the names of all tests below internal.
func existingTests(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range sourceFolders(t) {
		for _, file := range parsedTests(t, folder) {
			for _, declaration := range file.Decls {
				if function, isFunction := declaration.(*ast.FuncDecl); isFunction && strings.HasPrefix(function.Name.Name, "Test") {
					names[function.Name.Name] = true
				}
			}
		}
	}
	return names
}

// Each internal call must have a row that says what happens when it is lost, late or doubled, and by which test that is held: guards against a
// dropped command that nobody issues again, which was the cause of a fault that the first independent review found.
func TestInternalCallsPageListsAllCalls(t *testing.T) {
	declared, tests := declaredCalls(t), existingTests(t)
	if len(declared) == 0 {
		t.Fatal("no internal calls found in the code")
	}
	for _, line := range pageLines(t, internalCallsPage) {
		for _, name := range namedTest.FindAllStringSubmatch(line, -1) {
			if !tests[name[1]] {
				t.Errorf("%s: there is no test %s", internalCallsPage, name[1])
			}
		}
		row := callRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		if declared[row[1]] != row[2] {
			t.Errorf("%s: %s is %q on the page, and %q in the code or listed twice", internalCallsPage, row[1], row[2], declared[row[1]])
		}
		if !namedTest.MatchString(line) {
			t.Errorf("%s: the row of %s names no test", internalCallsPage, row[1])
		}
		delete(declared, row[1])
	}
	for path, kind := range declared {
		t.Errorf("%s has no row for %s, which is %s", internalCallsPage, path, kind)
	}
}
