// Package operatorfile reads the operator's file, which is JSON with comments. It validates every key and reports all
// mistakes at once, each with its line and what was expected. Features that the file does not mention are off. The package
// does not compare the file with the aggregator's settings. The aggregator does that when it starts.
package operatorfile

import (
	"fmt"
	"os"
	"strings"

	"puffinlink.example/puffinlink/internal/operators/override"
)

// File is the content of an operator's file.
type File struct {
	Overrides Overrides `json:"Overrides"`
	Operators Operators `json:"Operators"`
	Capture   Capture   `json:"Capture"`
	Fleet     Fleet     `json:"Fleet"`
	Quotas    Quotas    `json:"Quotas"`
	Contracts Contracts `json:"Contracts"`
}

// Fleet configures the cooperation of aggregators. Times are in seconds.
type Fleet struct {
	On          bool         `json:"On"`
	Line        int          `json:"Line"`
	KeyFile     string       `json:"KeyFile"`
	Directory   string       `json:"Directory"`
	Lease       float64      `json:"Lease"`
	Version     int          `json:"Version"` // of the list of aggregators
	Aggregators []Aggregator `json:"Mixers"`
}

// Aggregator is one member of the fleet.
type Aggregator struct {
	Name     string `json:"Name"`
	Address  string `json:"Address"`
	Location string `json:"Location"`
	Votes    bool   `json:"Votes"`
}

// Quotas holds the quotas of tenants. The version increases with each change.
type Quotas struct {
	On      bool    `json:"On"`
	Line    int     `json:"Line"`
	Version int     `json:"Version"`
	Tenants []Quota `json:"Tenants"`
}

// Quota limits one tenant's queries over all aggregators: their rate and their burst.
type Quota struct {
	Line             int     `json:"Line"`
	Tenant           string  `json:"Tenant"`
	QueriesPerSecond float64 `json:"PerS"`
	Burst            float64 `json:"Burst"`
	MinimumShare     float64 `json:"Floor"`
}

// Contracts restricts the queries of tenants to zones. The version increases with each change.
type Contracts struct {
	On      bool       `json:"On"`
	Line    int        `json:"Line"`
	Version int        `json:"Version"`
	Strict  []string   `json:"Strict"` // tenants whose queries are rejected while the contracts are uncertain; "*" for all
	Tenants []Contract `json:"Tenants"`
}

// Contract restricts the queries of one tenant to zones.
type Contract struct {
	Line                 int      `json:"Line"`
	Tenant               string   `json:"Tenant"`
	Zones                []string `json:"Zones"`
	Indexes              []string `json:"Indexes"`
	RestrictsAggregators bool     `json:"Own"`
}

// Capture configures the recording of the load. Times are in seconds.
type Capture struct {
	Directory string  `json:"Directory"` // "" for no recording
	Interval  float64 `json:"Interval"`
	MaxBytes  int64   `json:"MostBytes"` // of all files in the directory
	MaxAge    float64 `json:"MostAge"`
}

// Overrides configures the overrides that operators may set. Times are in seconds.
type Overrides struct {
	On        bool            `json:"On"`        // the file has the section
	Directory string          `json:"Directory"` // where revisions are stored; "" keeps them in memory only
	Limits    override.Limits `json:"Limits"`
}

// Operators configures the operators' listener.
type Operators struct {
	Listen  string  `json:"Listen"`  // "unix:PATH" or a loopback "HOST:PORT"; "" for no listener
	KeyFile string  `json:"KeyFile"` // has the key of the tokens' hashes
	Tokens  []Token `json:"Tokens"`
}

// Token is a token with which an operator may authenticate.
type Token struct {
	Name  string `json:"Name"`
	Hash  string `json:"Hash"` // in hex
	Write bool   `json:"Write"`
}

// maxFileBytes limits the size of the file. A file with every key and a hundred tokens is far smaller.
const maxFileBytes = 256 << 10

// Read reads and validates the file at a path. Its error has a line for each mistake.
func Read(path string) (File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Defaults(), err
	}
	if info.Size() > maxFileBytes {
		return Defaults(), invalid("%s: has %d bytes, at most %d are read", path, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Defaults(), err
	}
	f, err := Parse(text)
	if err != nil {
		return f, fmt.Errorf("%s:%w", path, prefixLines(err, path))
	}
	return f, nil
}

// prefixLines inserts the path before each line of an error after the first.
func prefixLines(err error, path string) error {
	return ValidationError(strings.ReplaceAll(err.Error(), "\n", "\n"+path+":"))
}

// Defaults returns the content of an empty file.
//
// Capture intervals are 10 s long, which takes 10 to 100 MB a day. Captures are kept for a week.
func Defaults() File {
	return File{Overrides: Overrides{Limits: override.Defaults()}, Capture: Capture{Interval: 10, MaxBytes: 256 << 20, MaxAge: 7 * 86400},
		Fleet: Fleet{Lease: 10}}
}

const (
	kindNumber     valueKind = "a number"
	kindString     valueKind = "a string"
	kindObject     valueKind = "an object"
	kindObjectList valueKind = "a list"
	kindBool       valueKind = "true or false"
	kindStringList valueKind = "a list of strings"
)

// Highest and lowest values that the file may state.
const (
	// maxOverrideHours is a week, which is longer than any investigation of a backend.
	maxOverrideHours = 168
	// maxOverrideCount is the highest limit of overrides. The highest limit of pinned shards is ten times as high. Higher limits
	// would allow them to take more than 16 MB.
	maxOverrideCount = 100000
	// maxRampSeconds is ten minutes. A slower return to full load is an outage.
	maxRampSeconds = 600
	// minLeaseSeconds is the shortest lease. A shorter one would end before the next granter may grant leases.
	minLeaseSeconds = 8
	// maxLeaseSeconds is the longest lease. With a longer one, the other aggregators would wait for minutes for what a failed
	// aggregator held.
	maxLeaseSeconds = 300
	// defaultMinimumShare leaves a tenant 95% of its quota at one aggregator of a fleet of any size, minus the clock error.
	defaultMinimumShare = 0.04
)
