// Package operatorfile reads the operator's file: JSON with comments. Every key is checked where it enters, and every mistake
// is told with its line and what was expected. Everything is off that the file does not state.
package operatorfile

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"

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
		return Defaults(), fmt.Errorf("%s: has %d bytes, at most %d are read", path, info.Size(), mostFile)
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
	return errors.New(strings.ReplaceAll(err.Error(), "\n", "\n"+path+":"))
}

// Defaults is a file that states nothing.
//
// A capture's intervals are 10 s, of which a day takes 10 to 100 MB, and it goes back a week.
func Defaults() File {
	return File{Overrides: Overrides{Limits: override.Defaults()}, Capture: Capture{Interval: 10, MostBytes: 256 << 20, MostAge: 7 * 86400},
		Fleet: Fleet{Lease: 10}}
}

// kind is what a value has to be.
type kind string

const (
	number  kind = "a number"
	text    kind = "a string"
	object  kind = "an object"
	listing kind = "a list"
	flag    kind = "true or false"
	texts   kind = "a list of strings"
)

// key is one that may stand in an object.
type key struct {
	name  string
	kind  kind
	keys  []key            // object: those in it; listing: those of its elements
	begin func(*File, int) // with the line at which it begins
	take  func(*File, hujson.Literal) error
}

// word takes a string of 1 to 64 bytes.
func word(to func(*File) *string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		if *to(f) = l.String(); l.String() == "" || len(l.String()) > 64 {
			return fmt.Errorf("has %d bytes, expected 1 to 64", len(l.String()))
		}
		return nil
	}
}

// words takes each string of a list, once.
func words(to func(*File) *[]string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		list := to(f)
		if l.String() == "" || len(l.String()) > 64 {
			return fmt.Errorf("has a string of %d bytes, expected 1 to 64", len(l.String()))
		}
		if slices.Contains(*list, l.String()) {
			return fmt.Errorf("names %q twice", l.String())
		}
		*list = append(*list, l.String())
		return nil
	}
}

// truth takes true or false.
func truth(to func(*File) *bool) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error { *to(f) = l.Bool(); return nil }
}

func last[T any](list []T) *T { return &list[len(list)-1] }

// within takes a number from low to high.
func within(to func(*File) *float64, low, high float64) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		v := l.Float()
		if !(v >= low && v <= high) {
			return fmt.Errorf("is %g, expected %g to %g", v, low, high)
		}
		*to(f) = v
		return nil
	}
}

// scaled takes a number from low to high that is kept in another unit.
func scaled(to func(*File, float64), low, high float64) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		var v float64
		err := within(func(*File) *float64 { return &v }, low, high)(f, l)
		to(f, v)
		return err
	}
}

// count takes a whole number from low to high.
func count(to func(*File) *int, low, high int) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		v := l.Float()
		if v != float64(int(v)) || int(v) < low || int(v) > high {
			return fmt.Errorf("is %s, expected a whole number from %d to %d", l, low, high)
		}
		*to(f) = int(v)
		return nil
	}
}

func path(to func(*File) *string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		if !strings.HasPrefix(l.String(), "/") {
			return fmt.Errorf("is %q, expected a path from the root", l.String())
		}
		*to(f) = l.String()
		return nil
	}
}

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

func token(f *File) *Token { return last(f.Operators.Tokens) }

// keys are all that a file may state.
var keys = []key{
	{name: "overrides", kind: object, begin: func(f *File, _ int) { f.Overrides.On = true }, keys: []key{
		{name: "directory", kind: text, take: path(func(f *File) *string { return &f.Overrides.Directory })},
		{name: "most_hours", kind: number, take: scaled(func(f *File, v float64) { f.Overrides.Limits.MostTime = 3600 * v }, 0.01, mostHours)},
		{name: "most", kind: number, take: count(func(f *File) *int { return &f.Overrides.Limits.Most }, 1, most)},
		{name: "most_pinned_shards", kind: number, take: count(func(f *File) *int { return &f.Overrides.Limits.MostPins }, 1, 10*most)},
		{name: "shard_share", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.ShardGone }, 0, 1)},
		{name: "location_share", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.PlaceGone }, 0, 1)},
		{name: "ramp_s", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.Ramp }, 1, mostRamp)},
		{name: "return_share_per_s", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.Together }, 0.001, 1)},
	}},
	{name: "capture", kind: object, keys: []key{
		{name: "directory", kind: text, take: path(func(f *File) *string { return &f.Capture.Directory })},
		{name: "interval_s", kind: number, take: within(func(f *File) *float64 { return &f.Capture.Interval }, 1, 3600)},
		{name: "most_mb", kind: number, take: scaled(func(f *File, v float64) { f.Capture.MostBytes = int64(v * (1 << 20)) }, 1, 1<<20)},
		{name: "most_hours", kind: number, take: scaled(func(f *File, v float64) { f.Capture.MostAge = 3600 * v }, 1, 365*24)},
	}},
	{name: "fleet", kind: object, begin: func(f *File, line int) { f.Fleet.On, f.Fleet.Line = true, line }, keys: []key{
		{name: "key_file", kind: text, take: path(func(f *File) *string { return &f.Fleet.KeyFile })},
		{name: "directory", kind: text, take: path(func(f *File) *string { return &f.Fleet.Directory })},
		{name: "lease_s", kind: number, take: within(func(f *File) *float64 { return &f.Fleet.Lease }, leastLease, mostLease)},
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Fleet.Version }, 1, 1<<30)},
		{name: "mixers", kind: listing, begin: func(f *File, _ int) { f.Fleet.Mixers = append(f.Fleet.Mixers, Mixer{}) }, keys: []key{
			{name: "name", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Mixers).Name })},
			{name: "address", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Mixers).Address })},
			{name: "location", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Mixers).Location })},
			{name: "votes", kind: flag, take: truth(func(f *File) *bool { return &last(f.Fleet.Mixers).Votes })},
		}},
	}},
	{name: "quotas", kind: object, begin: func(f *File, line int) { f.Quotas.On, f.Quotas.Line = true, line }, keys: []key{
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Quotas.Version }, 1, 1<<30)},
		{name: "tenants", kind: listing, begin: func(f *File, line int) {
			f.Quotas.Tenants = append(f.Quotas.Tenants, Quota{Line: line, Floor: floorShare})
		}, keys: []key{
			{name: "tenant", kind: text, take: word(func(f *File) *string { return &last(f.Quotas.Tenants).Tenant })},
			{name: "per_s", kind: number, take: within(func(f *File) *float64 { return &last(f.Quotas.Tenants).PerS }, 1e-6, 1e9)},
			{name: "burst", kind: number, take: within(func(f *File) *float64 { return &last(f.Quotas.Tenants).Burst }, 1, 1e9)},
			{name: "floor_share", kind: number, take: within(func(f *File) *float64 { return &last(f.Quotas.Tenants).Floor }, 0, 1)},
		}},
	}},
	{name: "contracts", kind: object, begin: func(f *File, line int) { f.Contracts.On, f.Contracts.Line = true, line }, keys: []key{
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Contracts.Version }, 1, 1<<30)},
		{name: "strict", kind: texts, take: words(func(f *File) *[]string { return &f.Contracts.Strict })},
		{name: "tenants", kind: listing, begin: func(f *File, line int) { f.Contracts.Tenants = append(f.Contracts.Tenants, Contract{Line: line}) }, keys: []key{
			{name: "tenant", kind: text, take: word(func(f *File) *string { return &last(f.Contracts.Tenants).Tenant })},
			{name: "zones", kind: texts, take: words(func(f *File) *[]string { return &last(f.Contracts.Tenants).Zones })},
			{name: "indexes", kind: texts, take: words(func(f *File) *[]string { return &last(f.Contracts.Tenants).Indexes })},
			{name: "mixers_too", kind: flag, take: truth(func(f *File) *bool { return &last(f.Contracts.Tenants).Own })},
		}},
	}},
	{name: "operators", kind: object, keys: []key{
		{name: "listen", kind: text, take: func(f *File, l hujson.Literal) error {
			f.Operators.Listen = l.String()
			return listens(l.String())
		}},
		{name: "key_file", kind: text, take: path(func(f *File) *string { return &f.Operators.KeyFile })},
		{name: "tokens", kind: listing, begin: func(f *File, _ int) { f.Operators.Tokens = append(f.Operators.Tokens, Token{}) }, keys: []key{
			{name: "name", kind: text, take: word(func(f *File) *string { return &token(f).Name })},
			{name: "role", kind: text, take: func(f *File, l hujson.Literal) error {
				if token(f).Write = l.String() == "write"; !token(f).Write && l.String() != "read" {
					return fmt.Errorf(`is %q, expected "read" or "write"`, l.String())
				}
				return nil
			}},
			{name: "hash", kind: text, take: func(f *File, l hujson.Literal) error {
				token(f).Hash = l.String()
				if len(l.String()) != 64 || strings.Trim(l.String(), "0123456789abcdef") != "" {
					return fmt.Errorf("expected 64 hex digits, as `puffinlink token` prints them")
				}
				return nil
			}},
		}},
	}},
}

// listens checks an address: a socket's path, or one that no other machine can reach.
func listens(address string) error {
	if at, is := strings.CutPrefix(address, "unix:"); is {
		if !strings.HasPrefix(at, "/") || len(at) > 100 {
			return fmt.Errorf("is %q, expected unix: and a path from the root of 100 bytes at most", address)
		}
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf(`is %q, expected "unix:/PATH" or a loopback address as "127.0.0.1:7070"`, address)
	}
	return nil
}

// Parse reads a file's text. Its error holds a line "LINE: what is wrong" for each mistake.
func Parse(in []byte) (File, error) {
	f := Defaults()
	root, err := hujson.Parse(in)
	if err != nil {
		return f, fmt.Errorf("%s", strings.TrimPrefix(err.Error(), "hujson: "))
	}
	r := reader{text: in, file: &f}
	r.object("", root, keys)
	if len(r.wrong) == 0 {
		r.whole(root)
	}
	if len(r.wrong) > 0 {
		return f, errors.New(strings.Join(r.wrong, "\n"))
	}
	return f, nil
}

type reader struct {
	text  []byte
	file  *File
	wrong []string
}

func (r *reader) fail(at int, format string, args ...any) { r.failLine(r.line(at), format, args...) }

func (r *reader) failLine(line int, format string, args ...any) {
	r.wrong = append(r.wrong, fmt.Sprintf("%d: %s", line, fmt.Sprintf(format, args...)))
}

// line is that of a place in the text.
func (r *reader) line(at int) int {
	return 1 + strings.Count(string(r.text[:min(at, len(r.text))]), "\n")
}

// whole checks what no key can tell alone.
func (r *reader) whole(root hujson.Value) {
	o := &r.file.Operators
	at := root.StartOffset
	if v := root.Find("/operators"); v != nil {
		at = v.StartOffset
	}
	if !strings.HasPrefix(o.Listen, "unix:") && o.Listen != "" && len(o.Tokens) == 0 {
		r.fail(at, "operators.listen is an address that every user of the machine reaches: expected tokens beside it")
	}
	if len(o.Tokens) > 0 && o.KeyFile == "" {
		r.fail(at, "operators.tokens: expected operators.key_file beside them, for their hashes")
	}
	if o.Listen == "" && (len(o.Tokens) > 0 || o.KeyFile != "") {
		r.fail(at, "operators: expected listen, without which nothing else there counts")
	}
	r.wholeFleet()
	seen := map[string]bool{}
	for _, t := range o.Tokens {
		if seen[t.Name] {
			r.fail(at, "operators.tokens: two are named %q", t.Name)
		}
		seen[t.Name] = true
		if t.Name == "" || t.Hash == "" {
			r.fail(at, "operators.tokens: expected name, role and hash in each")
		}
	}
}

func is(v hujson.Value, want kind) bool {
	switch v := v.Value.(type) {
	case *hujson.Object:
		return want == object
	case *hujson.Array:
		return want == listing || want == texts && !slices.ContainsFunc(v.Elements, func(e hujson.Value) bool { return !is(e, text) })
	case hujson.Literal:
		return v.Kind() == '0' && want == number || v.Kind() == '"' && want == text || (v.Kind() == 't' || v.Kind() == 'f') && want == flag
	}
	return false
}

func (r *reader) object(under string, v hujson.Value, known []key) {
	o, isObject := v.Value.(*hujson.Object)
	if !isObject {
		r.fail(v.StartOffset, "%s is %.40s, expected an object", cmp.Or(under, "the file"), v.Pack())
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		full := strings.TrimPrefix(under+"."+name, ".")
		i := slices.IndexFunc(known, func(k key) bool { return k.name == name })
		switch {
		case i < 0:
			r.fail(m.Name.StartOffset, "%s is not known, the nearest key is %s", full, nearest(name, known))
		case seen[name]:
			r.fail(m.Name.StartOffset, "%s is stated twice", full)
		case !is(m.Value, known[i].kind):
			r.fail(m.Value.StartOffset, "%s is %.40s, expected %s", full, packed(m.Value), known[i].kind)
		default:
			r.value(full, m.Value, &known[i])
		}
		seen[name] = true
	}
}

// packed is a value as it stands, without the white space before it.
func packed(v hujson.Value) string {
	v = v.Clone()
	v.BeforeExtra, v.AfterExtra = nil, nil
	return string(v.Pack())
}

func (r *reader) value(full string, v hujson.Value, k *key) {
	switch k.kind {
	case object:
		if k.begin != nil {
			k.begin(r.file, r.line(v.StartOffset))
		}
		r.object(full, v, k.keys)
	case listing:
		for i, e := range v.Value.(*hujson.Array).Elements {
			k.begin(r.file, r.line(e.StartOffset))
			r.object(fmt.Sprintf("%s[%d]", full, i), e, k.keys)
		}
	case texts:
		for _, e := range v.Value.(*hujson.Array).Elements {
			if err := k.take(r.file, e.Value.(hujson.Literal)); err != nil {
				r.fail(e.StartOffset, "%s %v", full, err)
			}
		}
	default:
		if err := k.take(r.file, v.Value.(hujson.Literal)); err != nil {
			r.fail(v.StartOffset, "%s %v", full, err)
		}
	}
}

// nearest is the known key that takes the fewest changes of letters.
func nearest(name string, known []key) (best string) {
	least := 1 << 30
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k.name); d < least {
			best, least = k.name, d
		}
	}
	return best
}
