package mutants

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	repositoryRoot = "../../.."
	tableDir       = "testdata"

	// testTimeout limits the run of one mutant's test, passed to go test as -timeout.
	testTimeout = 10 * time.Minute
)

// loadTable returns the mutants of the table, of which there must be at least one.
func loadTable(t *testing.T) []Mutant {
	t.Helper()
	mutants, err := Load(tableDir)
	if err != nil {
		t.Fatal(err)
	}
	if len(mutants) == 0 {
		t.Fatal("the table is empty")
	}
	return mutants
}

// TestTableMatchesSourcesAndPage checks that each mutant applies to its source file, that its test exists, and that it has a row in
// docs/control-safety.md.
func TestTableMatchesSourcesAndPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "control-safety.md"))
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, mutant := range loadTable(t) {
		if names[mutant.Name] {
			t.Errorf("two mutants have the name %q", mutant.Name)
		}
		names[mutant.Name] = true
		if _, err := mutant.Source(repositoryRoot); err != nil {
			t.Errorf("%s: %v", mutant.Table, err)
		}
		if row := "| " + mutant.Name + " | " + mutant.Rule + " |"; !strings.Contains(string(page), row) {
			t.Errorf("%s: docs/control-safety.md has no row %q", mutant.Table, row)
		}
		if !hasTest(t, &mutant) {
			t.Errorf("%s: mutant %q: no test of %s matches %q", mutant.Table, mutant.Name, mutant.Package, mutant.Test)
		}
	}
}

// testFunction matches the declaration of a test or fuzz test.
var testFunction = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w*)\(`)

// hasTest reports whether the mutant's package has a test that matches its regular expression.
func hasTest(t *testing.T, mutant *Mutant) bool {
	t.Helper()
	topLevel, _, _ := strings.Cut(mutant.Test, "/")
	selects, err := regexp.Compile(topLevel)
	if err != nil {
		t.Errorf("mutant %q: %v", mutant.Name, err)
		return false
	}
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, mutant.Package, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range testFunction.FindAllSubmatch(text, -1) {
			if selects.Match(found[1]) {
				return true
			}
		}
	}
	return false
}

// TestMutantsAreCaught builds each mutant and runs its test, which must fail. It takes several minutes.
func TestMutantsAreCaught(t *testing.T) {
	if os.Getenv("PUFFINLINK_MUTANTS") == "" {
		t.Skip("set PUFFINLINK_MUTANTS=1 to build every mutant and run its test")
	}
	only := regexp.MustCompile(os.Getenv("PUFFINLINK_MUTANTS_ONLY"))
	for _, mutant := range loadTable(t) {
		if !only.MatchString(mutant.Table + ": " + mutant.Name) {
			continue
		}
		t.Run(mutant.Table+"/"+strings.ReplaceAll(mutant.Name, " ", "-"), func(t *testing.T) {
			output, caught := runMutantTest(t, &mutant)
			if !caught {
				t.Errorf("mutant not caught; rule: %s; test %s passes or does not build\n%s", mutant.Rule, mutant.Test, output)
			}
		})
	}
}

// runMutantTest runs the mutant's test and reports whether it failed. A failed build does not count as caught.
func runMutantTest(t *testing.T, mutant *Mutant) (output string, caught bool) {
	t.Helper()
	overlay, err := mutant.WriteOverlay(repositoryRoot, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	command := exec.CommandContext(t.Context(), "go", "test", "-count=1", "-timeout", testTimeout.String(),
		"-overlay", overlay, "-run", mutant.Test, mutant.Package)
	command.Dir = repositoryRoot
	var text bytes.Buffer
	command.Stdout, command.Stderr = &text, &text
	err = command.Run()
	output = text.String()
	built := !strings.Contains(output, "[build failed]") && !strings.Contains(output, "[setup failed]")
	return output, err != nil && built
}

func TestInvalidTableIsRejected(t *testing.T) {
	Convey("A table with a mistake is rejected", t, func() {
		folder := t.TempDir()
		write := func(text string) {
			So(os.WriteFile(filepath.Join(folder, "a.toml"), []byte(text), 0o600), ShouldBeNil)
		}
		validTable := "[[mutant]]\nname = \"n\"\nrule = \"r\"\nfile = \"f.go\"\nold = \"a\"\nnew = \"b\"\npackage = \"./p\"\ntest = \"T\"\n"
		Convey("a valid table is accepted", func() {
			write(validTable)
			mutants, err := Load(folder)
			So(err, ShouldBeNil)
			So(mutants, ShouldHaveLength, 1)
			So(mutants[0].Table, ShouldEqual, "a.toml")
		})
		Convey("an unknown key", func() {
			write(validTable + "tset = \"T\"\n")
			_, err := Load(folder)
			So(err, ShouldNotBeNil)
		})
		Convey("a mutant that changes nothing", func() {
			write(strings.Replace(validTable, `new = "b"`, `new = "a"`, 1))
			_, err := Load(folder)
			So(err, ShouldNotBeNil)
		})
		Convey("no rule", func() {
			write(strings.Replace(validTable, `rule = "r"`, `rule = ""`, 1))
			_, err := Load(folder)
			So(err, ShouldNotBeNil)
		})
	})
	Convey("A mutant does not apply to a source that contains its text twice or not at all", t, func() {
		folder := t.TempDir()
		So(os.WriteFile(filepath.Join(folder, "f.go"), []byte("a a c"), 0o600), ShouldBeNil)
		for text, valid := range map[string]bool{"a": false, "b": false, "c": true} {
			_, err := (&Mutant{File: "f.go", Old: text, New: "d"}).Source(folder)
			So(err == nil, ShouldEqual, valid)
		}
	})
}
