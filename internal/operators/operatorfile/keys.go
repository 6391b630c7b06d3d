package operatorfile

import (
	"net"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// valueKind is the kind of value that a key requires. Its text is part of error messages.
type valueKind string

// keySpec describes a key that an object may have.
type keySpec struct {
	name     string
	kind     valueKind
	children []keySpec        // of an object, or of each element of a list of objects
	onBegin  func(*File, int) // called with the line at which the object or the element begins
	set      func(*File, hujson.Literal) error
}

// shortString returns a setter for a string of 1 to 64 bytes.
func shortString(field func(*File) *string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		if *field(f) = l.String(); l.String() == "" || len(l.String()) > 64 {
			return invalid("has %d bytes, expected 1 to 64", len(l.String()))
		}
		return nil
	}
}

// shortStrings returns a setter that appends a string of 1 to 64 bytes to a list. It rejects duplicates.
func shortStrings(field func(*File) *[]string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		list := field(f)
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

// boolean returns a setter for true or false.
func boolean(field func(*File) *bool) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error { *field(f) = l.Bool(); return nil }
}

// lastElement returns a pointer to the last element of a list.
func lastElement[T any](list []T) *T { return &list[len(list)-1] }

// numberInRange returns a setter for a number from low to high.
func numberInRange(field func(*File) *float64, low, high float64) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		v := l.Float()
		if !(v >= low && v <= high) {
			return invalid("is %g, expected %g to %g", v, low, high)
		}
		*field(f) = v
		return nil
	}
}

// convertedNumber returns a setter for a number from low to high that is stored in another unit.
func convertedNumber(store func(*File, float64), low, high float64) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		var v float64
		err := numberInRange(func(*File) *float64 { return &v }, low, high)(f, l)
		store(f, v)
		return err
	}
}

// positiveInteger returns a setter for a whole number from 1 to high.
func positiveInteger(field func(*File) *int, high int) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		v := l.Float()
		if v != float64(int(v)) || int(v) < 1 || int(v) > high {
			return invalid("is %s, expected a whole number from 1 to %d", l, high)
		}
		*field(f) = int(v)
		return nil
	}
}

// absolutePath returns a setter for an absolute path.
func absolutePath(field func(*File) *string) func(*File, hujson.Literal) error {
	return func(f *File, l hujson.Literal) error {
		if !strings.HasPrefix(l.String(), "/") {
			return invalid("is %q, expected a path from the root", l.String())
		}
		*field(f) = l.String()
		return nil
	}
}

// lastToken returns the token that is being parsed.
func lastToken(f *File) *Token { return lastElement(f.Operators.Tokens) }

// fileKeys are all keys that a file may have.
var fileKeys = []keySpec{
	{name: "overrides", kind: kindObject, onBegin: func(f *File, _ int) { f.Overrides.On = true }, children: []keySpec{
		{name: "directory", kind: kindString, set: absolutePath(func(f *File) *string { return &f.Overrides.Directory })},
		{name: "most_hours", kind: kindNumber, set: convertedNumber(func(f *File, v float64) { f.Overrides.Limits.MaxDuration = 3600 * v }, 0.01, maxOverrideHours)},
		{name: "most", kind: kindNumber, set: positiveInteger(func(f *File) *int { return &f.Overrides.Limits.MaxOverrides }, maxOverrideCount)},
		{name: "most_pinned_shards", kind: kindNumber, set: positiveInteger(func(f *File) *int { return &f.Overrides.Limits.MaxPins }, 10*maxOverrideCount)},
		{name: "shard_share", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Overrides.Limits.MaxShardLoss }, 0, 1)},
		{name: "location_share", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Overrides.Limits.MaxLocationLoss }, 0, 1)},
		{name: "ramp_s", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Overrides.Limits.SlowStart }, 1, maxRampSeconds)},
		{name: "return_share_per_s", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Overrides.Limits.RecoveryRate }, 0.001, 1)},
	}},
	{name: "capture", kind: kindObject, children: []keySpec{
		{name: "directory", kind: kindString, set: absolutePath(func(f *File) *string { return &f.Capture.Directory })},
		{name: "interval_s", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Capture.Interval }, 1, 3600)},
		{name: "most_mb", kind: kindNumber, set: convertedNumber(func(f *File, v float64) { f.Capture.MaxBytes = int64(v * (1 << 20)) }, 1, 1<<20)},
		{name: "most_hours", kind: kindNumber, set: convertedNumber(func(f *File, v float64) { f.Capture.MaxAge = 3600 * v }, 1, 365*24)},
	}},
	{name: "fleet", kind: kindObject, onBegin: func(f *File, line int) { f.Fleet.On, f.Fleet.Line = true, line }, children: []keySpec{
		{name: "key_file", kind: kindString, set: absolutePath(func(f *File) *string { return &f.Fleet.KeyFile })},
		{name: "directory", kind: kindString, set: absolutePath(func(f *File) *string { return &f.Fleet.Directory })},
		{name: "lease_s", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &f.Fleet.Lease }, minLeaseSeconds, maxLeaseSeconds)},
		{name: "version", kind: kindNumber, set: positiveInteger(func(f *File) *int { return &f.Fleet.Version }, 1<<30)},
		{name: "mixers", kind: kindObjectList, onBegin: func(f *File, _ int) { f.Fleet.Aggregators = append(f.Fleet.Aggregators, Aggregator{}) }, children: []keySpec{
			{name: "name", kind: kindString, set: shortString(func(f *File) *string { return &lastElement(f.Fleet.Aggregators).Name })},
			{name: "address", kind: kindString, set: shortString(func(f *File) *string { return &lastElement(f.Fleet.Aggregators).Address })},
			{name: "location", kind: kindString, set: shortString(func(f *File) *string { return &lastElement(f.Fleet.Aggregators).Location })},
			{name: "votes", kind: kindBool, set: boolean(func(f *File) *bool { return &lastElement(f.Fleet.Aggregators).Votes })},
		}},
	}},
	{name: "quotas", kind: kindObject, onBegin: func(f *File, line int) { f.Quotas.On, f.Quotas.Line = true, line }, children: []keySpec{
		{name: "version", kind: kindNumber, set: positiveInteger(func(f *File) *int { return &f.Quotas.Version }, 1<<30)},
		{name: "tenants", kind: kindObjectList, onBegin: func(f *File, line int) {
			f.Quotas.Tenants = append(f.Quotas.Tenants, Quota{Line: line, MinimumShare: defaultMinimumShare})
		}, children: []keySpec{
			{name: "tenant", kind: kindString, set: shortString(func(f *File) *string { return &lastElement(f.Quotas.Tenants).Tenant })},
			{name: "per_s", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &lastElement(f.Quotas.Tenants).QueriesPerSecond }, 1e-6, 1e9)},
			{name: "burst", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &lastElement(f.Quotas.Tenants).Burst }, 1, 1e9)},
			{name: "floor_share", kind: kindNumber, set: numberInRange(func(f *File) *float64 { return &lastElement(f.Quotas.Tenants).MinimumShare }, 0, 1)},
		}},
	}},
	{name: "contracts", kind: kindObject, onBegin: func(f *File, line int) { f.Contracts.On, f.Contracts.Line = true, line }, children: []keySpec{
		{name: "version", kind: kindNumber, set: positiveInteger(func(f *File) *int { return &f.Contracts.Version }, 1<<30)},
		{name: "strict", kind: kindStringList, set: shortStrings(func(f *File) *[]string { return &f.Contracts.Strict })},
		{name: "tenants", kind: kindObjectList, onBegin: func(f *File, line int) { f.Contracts.Tenants = append(f.Contracts.Tenants, Contract{Line: line}) }, children: []keySpec{
			{name: "tenant", kind: kindString, set: shortString(func(f *File) *string { return &lastElement(f.Contracts.Tenants).Tenant })},
			{name: "zones", kind: kindStringList, set: shortStrings(func(f *File) *[]string { return &lastElement(f.Contracts.Tenants).Zones })},
			{name: "indexes", kind: kindStringList, set: shortStrings(func(f *File) *[]string { return &lastElement(f.Contracts.Tenants).Indexes })},
			{name: "mixers_too", kind: kindBool, set: boolean(func(f *File) *bool { return &lastElement(f.Contracts.Tenants).RestrictsAggregators })},
		}},
	}},
	{name: "operators", kind: kindObject, children: []keySpec{
		{name: "listen", kind: kindString, set: func(f *File, l hujson.Literal) error {
			f.Operators.Listen = l.String()
			return checkListenAddress(l.String())
		}},
		{name: "key_file", kind: kindString, set: absolutePath(func(f *File) *string { return &f.Operators.KeyFile })},
		{name: "tokens", kind: kindObjectList, onBegin: func(f *File, _ int) { f.Operators.Tokens = append(f.Operators.Tokens, Token{}) }, children: []keySpec{
			{name: "name", kind: kindString, set: shortString(func(f *File) *string { return &lastToken(f).Name })},
			{name: "role", kind: kindString, set: func(f *File, l hujson.Literal) error {
				if lastToken(f).Write = l.String() == "write"; !lastToken(f).Write && l.String() != "read" {
					return invalid(`is %q, expected "read" or "write"`, l.String())
				}
				return nil
			}},
			{name: "hash", kind: kindString, set: func(f *File, l hujson.Literal) error {
				lastToken(f).Hash = l.String()
				if len(l.String()) != 64 || strings.Trim(l.String(), "0123456789abcdef") != "" {
					return invalid("expected 64 hex digits, as `puffinlink token` prints them")
				}
				return nil
			}},
		}},
	}},
}

// checkListenAddress accepts the path of a unix socket or a loopback address, which other machines cannot reach.
func checkListenAddress(address string) error {
	if socket, unix := strings.CutPrefix(address, "unix:"); unix {
		if !strings.HasPrefix(socket, "/") || len(socket) > 100 {
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
