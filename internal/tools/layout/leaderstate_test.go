package layout

import (
	"go/ast"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const leaderStatePage = "docs/leader-state.md"

// leaderStateTypes are the types whose fields the page on a leader's state must list.
var leaderStateTypes = []structType{
	{"internal/jobs/scheduler", "Scheduler"},
	{"internal/jobs/scheduler", "jobState"},
	{"internal/jobs/scheduler", "repetitionState"},
	{"internal/jobs/scheduler", "stageState"},
	{"internal/jobs/scheduler", "taskState"},
	{"internal/jobs/scheduler", "attemptState"},
	{"internal/jobs/scheduler", "workerState"},
	{"internal/jobs/scheduler", "operatorDrain"},
	{"internal/jobs/scheduler", "endedRecord"},
	{"internal/jobs/manager", "Manager"},
	{"internal/jobs/manager", "leadership"},
	{"internal/jobs/workerclient", "Link"},
	{"internal/jobs/inventory", "Reader"},
	{"internal/controlplane/replication", "group"},
	{"internal/controlplane/replication", "replica"},
	{"internal/controlplane/replication", "leadership"},
	{"internal/controlplane/replication", "follower"},
	{"internal/controlplane/replication", "Term"},
	{"internal/controlplane/replicaset", "Manager"},
	{"internal/controlplane/register", "Register"},
	{"internal/controlplane/register", "Acceptor"},
	{"internal/controlplane/configuration", "Configurator"},
}

// structType identifies a struct type by the folder of its package and its name.
type structType struct{ folder, name string }

var (
	typeHeading  = regexp.MustCompile("^### `([^`]+)` `([^`]+)`$")
	fieldRow     = regexp.MustCompile(`^\| (.+?) \| (stored|rebuilt|lost|derived) \|`)
	quotedField  = regexp.MustCompile("`([^`]+)`")
	tableHeading = regexp.MustCompile(`^\| (fields|---) \|`)
)

// fieldsOnPage returns the fields that the page lists for each type, in order. It fails the test for table rows under a type that
// name no field or no known kind.
func fieldsOnPage(t *testing.T) map[structType][]string {
	t.Helper()
	listed := map[structType][]string{}
	var current structType
	for _, line := range pageLines(t, leaderStatePage) {
		switch {
		case strings.HasPrefix(line, "#"):
			current = structType{}
			if heading := typeHeading.FindStringSubmatch(line); heading != nil {
				current = structType{heading[1], heading[2]}
			}
		case current == structType{} || !strings.HasPrefix(line, "|") || tableHeading.MatchString(line):
		default:
			row := fieldRow.FindStringSubmatch(line)
			if row == nil {
				t.Fatalf("%s: row without fields or kind: %s", leaderStatePage, line)
			}
			for _, field := range quotedField.FindAllStringSubmatch(row[1], -1) {
				listed[current] = append(listed[current], field[1])
			}
		}
	}
	return listed
}

// fieldsInCode returns the names of a struct type's fields. An embedded field has the name of its type.
func fieldsInCode(t *testing.T, wanted structType) []string {
	t.Helper()
	var names []string
	for _, file := range parsedFiles(t, wanted.folder) {
		ast.Inspect(file, func(node ast.Node) bool {
			if declared, isType := node.(*ast.TypeSpec); isType && declared.Name.Name == wanted.name {
				if structure, isStruct := declared.Type.(*ast.StructType); isStruct {
					names = append(names, fieldNames(structure)...)
				}
			}
			return true
		})
	}
	return names
}

func fieldNames(structure *ast.StructType) (names []string) {
	for _, field := range structure.Fields.List {
		if len(field.Names) == 0 {
			names = append(names, embeddedName(field.Type))
		}
		for _, name := range field.Names {
			names = append(names, name.Name)
		}
	}
	return names
}

// embeddedName returns the name of an embedded field of the given type.
func embeddedName(expression ast.Expr) string {
	switch typed := expression.(type) {
	case *ast.StarExpr:
		return embeddedName(typed.X)
	case *ast.SelectorExpr:
		return typed.Sel.Name
	case *ast.Ident:
		return typed.Name
	}
	return ""
}

// The page on a leader's state must say of each field what a new leader knows of it: guards against state that a successor lacks
// unnoticed, which was the cause of all three cases of the independent review.
func TestLeaderStatePageListsAllFields(t *testing.T) {
	listed := fieldsOnPage(t)
	for _, wanted := range leaderStateTypes {
		inCode, onPage := fieldsInCode(t, wanted), listed[wanted]
		if len(inCode) == 0 {
			t.Errorf("%s has no struct type %s", wanted.folder, wanted.name)
		}
		for _, name := range inCode {
			if !slices.Contains(onPage, name) {
				t.Errorf("%s has no row for the field %s of %s in %s", leaderStatePage, name, wanted.name, wanted.folder)
			}
		}
		for i, name := range onPage {
			if !slices.Contains(inCode, name) || slices.Contains(onPage[:i], name) {
				t.Errorf("%s lists %s of %s in %s, which is no field or listed twice", leaderStatePage, name, wanted.name, wanted.folder)
			}
		}
		delete(listed, wanted)
	}
	for unknown := range listed {
		t.Errorf("%s has a section on %s in %s, which the test does not check", leaderStatePage, unknown.name, unknown.folder)
	}
}
