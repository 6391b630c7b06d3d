package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// What govulncheck calls the standard library, and a scan that tells whether functions are called.
const (
	standardLibrary = "stdlib"
	symbolScan      = "symbol"
)

// Errors of an input that says nothing about the code.
var (
	errNoScan    = errors.New("expected the output of govulncheck -format json with a scan by symbol")
	errNoModules = errors.New("no module was looked at")
)

// message is one of govulncheck's output; one of its fields is set.
type message struct {
	Config  *configuration `json:"config"`
	Modules *moduleList    `json:"SBOM"`
	Entry   *entry         `json:"osv"`
	Finding *finding       `json:"finding"`
}

// configuration is how govulncheck ran.
type configuration struct {
	ScanLevel string `json:"scan_level"`
}

// moduleList is what it looked at.
type moduleList struct {
	Modules []module `json:"modules"`
}

type module struct {
	Path string `json:"path"`
}

// entry is one of the database of vulnerabilities.
type entry struct {
	ID      string `json:"id"`
	Summary string `json:"summary"`
}

// finding is a vulnerability in what is required, imported or called. The first frame of its trace is the vulnerable place.
type finding struct {
	OSV          string  `json:"osv"`
	FixedVersion string  `json:"fixed_version"`
	Trace        []frame `json:"trace"`
}

// frame is a place in the code; it has a function only where that is called.
type frame struct {
	Module   string `json:"module"`
	Version  string `json:"version"`
	Package  string `json:"package"`
	Function string `json:"function"`
}

// report is what an output says.
type report struct {
	modules   int
	called    []finding         // one for each vulnerability and module, sorted
	summaries map[string]string // by the ID of a vulnerability
}

func (f finding) inStandardLibrary() bool { return f.Trace[0].Module == standardLibrary }

// line tells a finding to people.
func (f finding) line(summary string) string {
	at := f.Trace[0]
	mended := "not mended yet"
	if f.FixedVersion != "" {
		mended = "mended in " + f.FixedVersion
	}
	return fmt.Sprintf("%s: %s %s, %s: %s", f.OSV, at.Module, at.Version, mended, summary)
}

// read reads a whole output. It is an error if that stops in the middle, or says nothing about the code.
func read(in io.Reader) (report, error) {
	found := report{summaries: map[string]string{}}
	scanned := false
	decoder := json.NewDecoder(in)
	for {
		var one message
		err := decoder.Decode(&one)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return report{}, fmt.Errorf("output of govulncheck: %w", err)
		}
		switch {
		case one.Config != nil:
			scanned = one.Config.ScanLevel == symbolScan
		case one.Modules != nil:
			found.modules = len(one.Modules.Modules)
		case one.Entry != nil:
			found.summaries[one.Entry.ID] = one.Entry.Summary
		case one.Finding != nil:
			found.add(*one.Finding)
		}
	}
	if !scanned {
		return report{}, errNoScan
	}
	if found.modules == 0 {
		return report{}, errNoModules
	}
	slices.SortFunc(found.called, func(a, b finding) int {
		return cmp.Or(cmp.Compare(a.Trace[0].Module, b.Trace[0].Module), cmp.Compare(a.OSV, b.OSV))
	})
	return found, nil
}

// add keeps a finding in a function that is called, once for each vulnerability and module.
func (r *report) add(one finding) {
	if len(one.Trace) == 0 || one.Trace[0].Function == "" {
		return
	}
	known := slices.ContainsFunc(r.called, func(other finding) bool {
		return other.OSV == one.OSV && other.Trace[0].Module == one.Trace[0].Module
	})
	if !known {
		r.called = append(r.called, one)
	}
}
