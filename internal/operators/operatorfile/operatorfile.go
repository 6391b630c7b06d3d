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
	Overrides Overrides
	Operators Operators
	Capture   Capture
	Fleet     Fleet
	Quotas    Quotas
	Contracts Contracts
}

// Fleet sets how mixers act together. Times are seconds.
type Fleet struct {
	On        bool
	Line      int
	KeyFile   string
	Directory string
	Lease     float64
	Version   int // of the roster
	Mixers    []Mixer
}

// Mixer is one of the roster.
type Mixer struct {
	Name, Address, Location string
	Votes                   bool
}

// Quotas are those of tenants, as of a version that rises with each change.
type Quotas struct {
	On      bool
	Line    int
	Version int
	Tenants []Quota
}

// Quota is one tenant's over all mixers: lookups a second, and at once.
type Quota struct {
	Line               int
	Tenant             string
	PerS, Burst, Floor float64
}

// Contracts say in which zones tenants' lookups are kept, as of a version that rises with each change.
type Contracts struct {
	On      bool
	Line    int
	Version int
	Strict  []string // tenants that are refused where contracts are not sure; "*" for all
	Tenants []Contract
}

// Contract is one tenant's.
type Contract struct {
	Line           int
	Tenant         string
	Zones, Indexes []string
	Own            bool
}

// Capture sets what is recorded of the load. Times are seconds.
type Capture struct {
	Directory string // "" for none
	Interval  float64
	MostBytes int64 // of all files there
	MostAge   float64
}

// Overrides set the table of overrides. Times are seconds.
type Overrides struct {
	On        bool   // the file has the section
	Directory string // where revisions are kept; "" for memory alone
	Limits    override.Limits
}

// Operators set the operators' listener.
type Operators struct {
	Listen  string // "unix:PATH" or a loopback "HOST:PORT"; "" for none
	KeyFile string // holds the key of the tokens' hashes
	Tokens  []Token
}

// Token is one that an operator may show.
type Token struct {
	Name, Hash string // the hash is hex
	Write      bool
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

// Caps of what may be asked for, each with its reason: a week is longer than any look into a searcher; more overrides
// or pins than these take more than 16 MB; a return slower than ten minutes is an outage.
const (
	mostHours = 168
	most      = 100000
	mostRamp  = 600
	// A lease shorter than this is over before the next granter may grant; one longer than the other keeps what a dead
	// mixer held from the others for minutes.
	leastLease, mostLease = 8, 300
	// floorShare leaves a tenant 95% of its quota at one mixer of any fleet, less the slack of clocks.
	floorShare = 0.04
)
