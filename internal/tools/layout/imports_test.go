package layout

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

const (
	repositoryRoot = "../../.."
	module         = "puffinlink.example/puffinlink/"
)

// listedPackage is a package as printed by go list, with paths relative to the module.
type listedPackage struct {
	ImportPath string
	Imports    []string // packages of the module that its non-test files import
}

// listPackages returns all packages of the module and their imports from the module.
func listPackages(t *testing.T) []listedPackage {
	t.Helper()
	command := exec.CommandContext(t.Context(), "go", "list", "-json=ImportPath,Imports", "./...")
	command.Dir = repositoryRoot
	output, err := command.Output()
	if err != nil {
		t.Fatalf("list the packages: %v", err)
	}
	var packages []listedPackage
	for decoder := json.NewDecoder(bytes.NewReader(output)); ; {
		var listed listedPackage
		if err := decoder.Decode(&listed); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatalf("decode the output of go list: %v", err)
		}
		listed.ImportPath = strings.TrimPrefix(listed.ImportPath, module)
		var ownImports []string
		for _, imported := range listed.Imports {
			if path, found := strings.CutPrefix(imported, module); found {
				ownImports = append(ownImports, path)
			}
		}
		listed.Imports = ownImports
		packages = append(packages, listed)
	}
}

// isWithin reports whether a path is one of the folders or lies below one of them.
func isWithin(path string, folders ...string) bool {
	for _, folder := range folders {
		if path == folder || strings.HasPrefix(path, folder+"/") {
			return true
		}
	}
	return false
}

// isScheduler reports whether a package belongs to the cluster scheduler. The scheduler and the aggregator are two products in one
// binary.
func isScheduler(path string) bool {
	return isWithin(path, "internal/jobs", "internal/dataplane/proxy", "internal/dataplane/agent", "internal/nodesettings", "internal/transport",
		"internal/rpcerror", "internal/metrics", "internal/operatorclient") ||
		isWithin(path, "internal/controlplane") && !isWithin(path, "internal/controlplane/fleet")
}

// isAggregator reports whether a package belongs to the aggregator.
func isAggregator(path string) bool {
	return isWithin(path, "policy", "internal/controlplane/fleet", "internal/operators", "internal/aggregatorstore", "internal/counters", "internal/eventqueue") ||
		isWithin(path, "internal/dataplane") && !isScheduler(path)
}

// isForTests reports whether only tests may import a package.
func isForTests(path string) bool {
	return strings.HasSuffix(path, "test") || isWithin(path, "internal/virtualtime", "internal/raceflag", "internal/systemtest")
}

// isTool reports whether a package is a command, a development tool or a fake.
func isTool(path string) bool { return isWithin(path, "cmd", "internal/tools", "internal/fakes") }

// importRules are the import rules of docs/architecture.md. broken reports whether an import violates the rule.
var importRules = []struct {
	name   string
	broken func(importer, imported string) bool
}{
	{"the decision module imports nothing of the module", func(importer, _ string) bool { return isWithin(importer, "policy") }},
	{"the scheduler does not import the aggregator", func(importer, imported string) bool { return isScheduler(importer) && isAggregator(imported) }},
	{"the aggregator does not import the scheduler", func(importer, imported string) bool { return isAggregator(importer) && isScheduler(imported) }},
	{"only tests import what is for tests", func(importer, imported string) bool { return isForTests(imported) && !isForTests(importer) }},
	{"only tools import tools and fakes", func(importer, imported string) bool { return isTool(imported) && !isTool(importer) }},
	{"only commands and tools import assembled processes", func(importer, imported string) bool {
		return isWithin(imported, "internal/controlplane/coordinator", "internal/dataplane/node") && !isTool(importer)
	}},
	{"proxies and agents import nothing that writes control state", func(importer, imported string) bool {
		return isWithin(importer, "internal/dataplane/proxy", "internal/dataplane/agent") &&
			isWithin(imported, "internal/controlplane/register", "internal/controlplane/replication", "internal/controlplane/replicaset", "internal/controlplane/storage")
	}},
}

// TestImportsFollowRules checks that no import in the module violates a rule.
func TestImportsFollowRules(t *testing.T) {
	packages := listPackages(t)
	if len(packages) < 50 {
		t.Fatalf("go list printed only %d packages", len(packages))
	}
	for _, importer := range packages {
		for _, imported := range importer.Imports {
			for _, rule := range importRules {
				if rule.broken(importer.ImportPath, imported) {
					t.Errorf("%s: %s imports %s", rule.name, importer.ImportPath, imported)
				}
			}
		}
	}
}

// TestImportRulesDetectViolations checks that each rule detects an example of an import that violates it.
func TestImportRulesDetectViolations(t *testing.T) {
	violations := map[string][2]string{
		"the decision module imports nothing of the module":           {"policy", "internal/random"},
		"the scheduler does not import the aggregator":                {"internal/jobs/manager", "internal/counters"},
		"the aggregator does not import the scheduler":                {"internal/dataplane/backends", "internal/transport"},
		"only tests import what is for tests":                         {"internal/jobs/manager", "internal/leaktest"},
		"only tools import tools and fakes":                           {"internal/jobs/manager", "internal/fakes/cluster"},
		"only commands and tools import assembled processes":          {"internal/operators/api", "internal/dataplane/node"},
		"proxies and agents import nothing that writes control state": {"internal/dataplane/proxy", "internal/controlplane/register"},
	}
	for _, rule := range importRules {
		violation, found := violations[rule.name]
		if !found {
			t.Errorf("%s: no example of a violation", rule.name)
		} else if !rule.broken(violation[0], violation[1]) {
			t.Errorf("%s: the import by %s of %s is not detected", rule.name, violation[0], violation[1])
		}
	}
}
