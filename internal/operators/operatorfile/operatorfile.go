// Package operatorfile reads the operator's file: JSON with comments. Every key is checked where it enters, and every mistake
// is told with its line and what was expected. Everything is off that the file does not state.
package operatorfile

import (
	"fmt"
	"os"
	"strings"

	"puffinlink.example/puffinlink/internal/operators/override"
)

// File is what an operator's file states.
type File struct {
	Overrides Overrides `json:"Overrides"`
	Operators Operators `json:"Operators"`
	Capture   Capture   `json:"Capture"`
	Fleet     Fleet     `json:"Fleet"`
	Quotas    Quotas    `json:"Quotas"`
	Contracts Contracts `json:"Contracts"`
}

// Fleet sets how aggregators act together. Times are seconds.
type Fleet struct {
	On          bool         `json:"On"`
	Line        int          `json:"Line"`
	KeyFile     string       `json:"KeyFile"`
	Directory   string       `json:"Directory"`
	Lease       float64      `json:"Lease"`
	Version     int          `json:"Version"` // of the roster
	Aggregators []Aggregator `json:"Mixers"`
}

// Aggregator is one of the roster.
type Aggregator struct {
	Name     string `json:"Name"`
	Address  string `json:"Address"`
	Location string `json:"Location"`
	Votes    bool   `json:"Votes"`
}

// Quotas are those of tenants, as of a version that rises with each change.
type Quotas struct {
	On      bool    `json:"On"`
	Line    int     `json:"Line"`
	Version int     `json:"Version"`
	Tenants []Quota `json:"Tenants"`
}

// Quota is one tenant's over all aggregators: queries a second, and at once.
type Quota struct {
	Line   int     `json:"Line"`
	Tenant string  `json:"Tenant"`
	PerS   float64 `json:"PerS"`
	Burst  float64 `json:"Burst"`
	Floor  float64 `json:"Floor"`
}

// Contracts say in which zones tenants' queries are kept, as of a version that rises with each change.
type Contracts struct {
	On      bool       `json:"On"`
	Line    int        `json:"Line"`
	Version int        `json:"Version"`
	Strict  []string   `json:"Strict"` // tenants that are refused where contracts are not sure; "*" for all
	Tenants []Contract `json:"Tenants"`
}

// Contract is one tenant's.
type Contract struct {
	Line    int      `json:"Line"`
	Tenant  string   `json:"Tenant"`
	Zones   []string `json:"Zones"`
	Indexes []string `json:"Indexes"`
	Own     bool     `json:"Own"`
}

// Capture sets what is recorded of the load. Times are seconds.
type Capture struct {
	Directory string  `json:"Directory"` // "" for none
	Interval  float64 `json:"Interval"`
	MostBytes int64   `json:"MostBytes"` // of all files there
	MostAge   float64 `json:"MostAge"`
}

// Overrides set the table of overrides. Times are seconds.
type Overrides struct {
	On        bool            `json:"On"`        // the file has the section
	Directory string          `json:"Directory"` // where revisions are kept; "" for memory alone
	Limits    override.Limits `json:"Limits"`
}

// Operators set the operators' listener.
type Operators struct {
	Listen  string  `json:"Listen"`  // "unix:PATH" or a loopback "HOST:PORT"; "" for none
	KeyFile string  `json:"KeyFile"` // holds the key of the tokens' hashes
	Tokens  []Token `json:"Tokens"`
}

// Token is one that an operator may show.
type Token struct {
	Name  string `json:"Name"`
	Hash  string `json:"Hash"` // in hex
	Write bool   `json:"Write"`
}

// mostFile is far more than a file with every key and a hundred tokens needs.
const mostFile = 256 << 10

// Read reads the file at a path. Its error holds a line for each mistake.
func Read(path string) (File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Defaults(), err
	}
	if info.Size() > mostFile {
		return Defaults(), invalid("%s: has %d bytes, at most %d are read", path, info.Size(), mostFile)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Defaults(), err
	}
	f, err := Parse(text)
	if err != nil {
		return f, fmt.Errorf("%s:%w", path, indented(err, path))
	}
	return f, nil
}

// indented puts the path before each further mistake.
func indented(err error, path string) error {
	return ValidationError(strings.ReplaceAll(err.Error(), "\n", "\n"+path+":"))
}

// Defaults is a file that states nothing.
//
// A capture's intervals are 10 s, of which a day takes 10 to 100 MB, and it goes back a week.
func Defaults() File {
	return File{Overrides: Overrides{Limits: override.Defaults()}, Capture: Capture{Interval: 10, MostBytes: 256 << 20, MostAge: 7 * 86400},
		Fleet: Fleet{Lease: 10}}
}

const (
	number  kind = "a number"
	text    kind = "a string"
	object  kind = "an object"
	listing kind = "a list"
	flag    kind = "true or false"
	texts   kind = "a list of strings"
)

// Caps of what may be asked for, each with its reason: a week is longer than any look into a backend; more overrides
// or pins than these take more than 16 MB; a return slower than ten minutes is an outage.
const (
	mostHours = 168
	most      = 100000
	mostRamp  = 600
	// A lease shorter than this is over before the next granter may grant; one longer than the other keeps what a dead
	// aggregator held from the others for minutes.
	leastLease, mostLease = 8, 300
	// floorShare leaves a tenant 95% of its quota at one aggregator of any fleet, less the slack of clocks.
	floorShare = 0.04
)
