package operatorfile

import (
	"net"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// kind is what a value has to be.
type kind string

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
			return invalid("has %d bytes, expected 1 to 64", len(l.String()))
		}
		return nil
	}
}

// words takes each string of a list, once.
func words(to func(*File) *[]string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		list := to(f)
		if l.String() == "" || len(l.String()) > 64 {
			return invalid("has a string of %d bytes, expected 1 to 64", len(l.String()))
		}
		if slices.Contains(*list, l.String()) {
			return invalid("names %q twice", l.String())
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
			return invalid("is %g, expected %g to %g", v, low, high)
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

// count takes a whole number from 1 to high.
func count(to func(*File) *int, high int) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		v := l.Float()
		if v != float64(int(v)) || int(v) < 1 || int(v) > high {
			return invalid("is %s, expected a whole number from 1 to %d", l, high)
		}
		*to(f) = int(v)
		return nil
	}
}

func path(to func(*File) *string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		if !strings.HasPrefix(l.String(), "/") {
			return invalid("is %q, expected a path from the root", l.String())
		}
		*to(f) = l.String()
		return nil
	}
}

func token(f *File) *Token { return last(f.Operators.Tokens) }

// keys are all that a file may state.
var keys = []key{
	{name: "overrides", kind: object, begin: func(f *File, _ int) { f.Overrides.On = true }, keys: []key{
		{name: "directory", kind: text, take: path(func(f *File) *string { return &f.Overrides.Directory })},
		{name: "most_hours", kind: number, take: scaled(func(f *File, v float64) { f.Overrides.Limits.MaxDuration = 3600 * v }, 0.01, mostHours)},
		{name: "most", kind: number, take: count(func(f *File) *int { return &f.Overrides.Limits.MaxOverrides }, most)},
		{name: "most_pinned_shards", kind: number, take: count(func(f *File) *int { return &f.Overrides.Limits.MaxPins }, 10*most)},
		{name: "shard_share", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.MaxShardLoss }, 0, 1)},
		{name: "location_share", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.MaxLocationLoss }, 0, 1)},
		{name: "ramp_s", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.SlowStart }, 1, mostRamp)},
		{name: "return_share_per_s", kind: number, take: within(func(f *File) *float64 { return &f.Overrides.Limits.RecoveryRate }, 0.001, 1)},
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
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Fleet.Version }, 1<<30)},
		{name: "mixers", kind: listing, begin: func(f *File, _ int) { f.Fleet.Aggregators = append(f.Fleet.Aggregators, Aggregator{}) }, keys: []key{
			{name: "name", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Aggregators).Name })},
			{name: "address", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Aggregators).Address })},
			{name: "location", kind: text, take: word(func(f *File) *string { return &last(f.Fleet.Aggregators).Location })},
			{name: "votes", kind: flag, take: truth(func(f *File) *bool { return &last(f.Fleet.Aggregators).Votes })},
		}},
	}},
	{name: "quotas", kind: object, begin: func(f *File, line int) { f.Quotas.On, f.Quotas.Line = true, line }, keys: []key{
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Quotas.Version }, 1<<30)},
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
		{name: "version", kind: number, take: count(func(f *File) *int { return &f.Contracts.Version }, 1<<30)},
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
					return invalid(`is %q, expected "read" or "write"`, l.String())
				}
				return nil
			}},
			{name: "hash", kind: text, take: func(f *File, l hujson.Literal) error {
				token(f).Hash = l.String()
				if len(l.String()) != 64 || strings.Trim(l.String(), "0123456789abcdef") != "" {
					return invalid("expected 64 hex digits, as `puffinlink token` prints them")
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
			return invalid("is %q, expected unix: and a path from the root of 100 bytes at most", address)
		}
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return invalid(`is %q, expected "unix:/PATH" or a loopback address as "127.0.0.1:7070"`, address)
	}
	return nil
}
