package layout

import (
	"fmt"
	"go/ast"
	"go/token"
	"maps"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	jobIdentityPage = "docs/job-identity.md"
	proxyFolder     = "internal/dataplane/proxy"
)

// statusRow matches a row of the page's table of answers: a status of package net/http, and the functions that give it.
var statusRow = regexp.MustCompile("^\\| `(Status\\w+)` \\| (`.+`) \\|")

// giversOnPage returns the functions that the page lists for each status, sorted.
func giversOnPage(t *testing.T) map[string][]string {
	t.Helper()
	listed := map[string][]string{}
	for _, line := range pageLines(t, jobIdentityPage) {
		row := statusRow.FindStringSubmatch(line)
		if row == nil {
			continue
		}
		for _, name := range quotedField.FindAllStringSubmatch(row[2], -1) {
			listed[row[1]] = append(listed[row[1]], name[1])
		}
		slices.Sort(listed[row[1]])
	}
	return listed
}

// giversInCode returns the functions of a package that name each status of package net/http, sorted. Comparisons and the values of a switch
// statement's cases do not count, as they give no answer.
func giversInCode(t *testing.T, folder string) map[string][]string {
	t.Helper()
	givers := map[string]map[string]bool{}
	for _, file := range parsedFiles(t, folder) {
		for _, declaration := range file.Decls {
			function, isFunction := declaration.(*ast.FuncDecl)
			if !isFunction {
				continue
			}
			for _, status := range statusesGiven(function) {
				if givers[status] == nil {
					givers[status] = map[string]bool{}
				}
				givers[status][functionName(function)] = true
			}
		}
	}
	sorted := map[string][]string{}
	for status, names := range givers {
		sorted[status] = slices.Sorted(maps.Keys(names))
	}
	return sorted
}

// statusesGiven returns the statuses that a part of the code names, except in comparisons and case values.
func statusesGiven(part ast.Node) (statuses []string) {
	ast.Inspect(part, func(node ast.Node) bool {
		switch typed := node.(type) {
		case *ast.BinaryExpr:
			return typed.Op != token.EQL && typed.Op != token.NEQ
		case *ast.CaseClause:
			for _, statement := range typed.Body {
				statuses = append(statuses, statusesGiven(statement)...)
			}
			return false
		case *ast.SelectorExpr:
			if isHTTPStatus(typed) {
				statuses = append(statuses, typed.Sel.Name)
			}
		}
		return true
	})
	return statuses
}

func isHTTPStatus(selector *ast.SelectorExpr) bool {
	qualifier, isName := selector.X.(*ast.Ident)
	return isName && qualifier.Name == "http" && strings.HasPrefix(selector.Sel.Name, "Status")
}

// functionName returns a function's name, after the name of its receiver's type if it has one.
func functionName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	return fmt.Sprintf("%s.%s", embeddedName(function.Recv.List[0].Type), function.Name.Name)
}

// Each answer to a client about a job or a queue must have a place in the code that the page names, and for which it says what makes the answer
// certain: guards against a further function that says "no such job" or "no such queue" from the view of the moment.
func TestJobIdentityPageListsWhoGivesEachAnswer(t *testing.T) {
	onPage, inCode := giversOnPage(t), giversInCode(t, proxyFolder)
	for status, functions := range inCode {
		if !slices.Equal(functions, onPage[status]) {
			t.Errorf("%s: %s is given by %v in %s, and by %v on the page", jobIdentityPage, status, functions, proxyFolder, onPage[status])
		}
	}
	for status := range onPage {
		if len(inCode[status]) == 0 {
			t.Errorf("%s: no function of %s gives %s", jobIdentityPage, proxyFolder, status)
		}
	}
}
