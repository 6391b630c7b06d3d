package main

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Parts of an output of govulncheck, in its form.
const (
	symbolConfiguration = `{"config":{"protocol_version":"v1.0.0","scanner_name":"govulncheck","scan_level":"symbol"}}`
	moduleConfiguration = `{"config":{"protocol_version":"v1.0.0","scanner_name":"govulncheck","scan_level":"module"}}`
	twoModules          = `{"SBOM":{"go_version":"go1.26.8","modules":[{"path":"puffinlink.example/puffinlink"},{"path":"example.org/frames","version":"v1.2.0"}]}}`
	progress            = `{"progress":{"message":"Checking the code against the vulnerabilities..."}}`
	entryOfModule       = `{"osv":{"schema_version":"1.3.1","id":"GO-2026-0002","summary":"Endless loop on a short frame"}}`
	entryOfLibrary      = `{"osv":{"id":"GO-2026-0001","summary":"Crash on a long header"}}`
	calledInModule      = `{"finding":{"osv":"GO-2026-0002","fixed_version":"v1.2.1","trace":[{"module":"example.org/frames","version":"v1.2.0","package":"example.org/frames","function":"Read"},{"module":"puffinlink.example/puffinlink","function":"main"}]}}`
	calledElsewhere     = `{"finding":{"osv":"GO-2026-0002","fixed_version":"v1.2.1","trace":[{"module":"example.org/frames","version":"v1.2.0","package":"example.org/frames","function":"ReadAll"}]}}`
	calledUnmended      = `{"finding":{"osv":"GO-2026-0002","trace":[{"module":"example.org/frames","version":"v1.2.0","package":"example.org/frames","function":"Read"}]}}`
	importedInModule    = `{"finding":{"osv":"GO-2026-0002","fixed_version":"v1.2.1","trace":[{"module":"example.org/frames","version":"v1.2.0","package":"example.org/frames"}]}}`
	requiredModule      = `{"finding":{"osv":"GO-2026-0002","fixed_version":"v1.2.1","trace":[{"module":"example.org/frames","version":"v1.2.0"}]}}`
	calledInLibrary     = `{"finding":{"osv":"GO-2026-0001","fixed_version":"v1.26.9","trace":[{"module":"stdlib","version":"v1.26.8","package":"net/http","function":"Serve"}]}}`
)

const (
	lineOfModule   = "GO-2026-0002: example.org/frames v1.2.0, mended in v1.2.1: Endless loop on a short frame\n"
	lineUnmended   = "GO-2026-0002: example.org/frames v1.2.0, not mended yet: Endless loop on a short frame\n"
	lineOfLibrary  = "GO-2026-0001: stdlib v1.26.8, mended in v1.26.9: Crash on a long header\n"
	nothingReached = "2 modules looked at, 0 known vulnerabilities reached\n"
	oneReached     = "2 modules looked at, 1 known vulnerabilities reached\n"
	twoReached     = "2 modules looked at, 2 known vulnerabilities reached\n"
)

func TestVerdicts(t *testing.T) {
	scan := []string{symbolConfiguration, twoModules, progress, entryOfLibrary, entryOfModule}
	cases := []struct {
		name   string
		output []string
		code   int
		text   string
	}{
		{"nothing found is good", scan, exitGood, nothingReached},
		{"a called function of a module fails", append(scan[:5:5], calledInModule), exitVulnerable, lineOfModule + oneReached},
		{"one without a mended version fails too", append(scan[:5:5], calledUnmended), exitVulnerable, lineUnmended + oneReached},
		{"one vulnerability is told once", append(scan[:5:5], calledInModule, calledElsewhere), exitVulnerable, lineOfModule + oneReached},
		{"what is imported or required, not called, is good", append(scan[:5:5], importedInModule, requiredModule), exitGood, nothingReached},
		{"the standard library is told, and good", append(scan[:5:5], calledInLibrary), exitGood, lineOfLibrary + oneReached},
		{"the standard library hides no module", append(scan[:5:5], calledInLibrary, calledInModule), exitVulnerable, lineOfModule + lineOfLibrary + twoReached},
		{"an empty output is no verdict", nil, exitUnreadable, ""},
		{"a scan of modules alone is no verdict", append([]string{moduleConfiguration}, scan[1:]...), exitUnreadable, ""},
		{"a scan of nothing is no verdict", []string{symbolConfiguration, progress}, exitUnreadable, ""},
		{"an output that breaks off is no verdict", append(scan[:5:5], calledInModule[:40]), exitUnreadable, ""},
		{"text is no verdict", []string{"No vulnerabilities found."}, exitUnreadable, ""},
	}
	Convey("Of an output of govulncheck", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				var out, failures bytes.Buffer
				So(run(strings.NewReader(strings.Join(c.output, "\n")), &out, &failures), ShouldEqual, c.code)
				So(out.String(), ShouldEqual, c.text)
				So(failures.Len() > 0, ShouldEqual, c.code == exitUnreadable)
			})
		}
	})
}
