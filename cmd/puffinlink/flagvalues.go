package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// commaList is a flag value that is a comma-separated list. The flag may be repeated.
type commaList []string

var _ flags.Unmarshaler = (*commaList)(nil)

// UnmarshalFlag appends the elements of one occurrence of the flag.
func (l *commaList) UnmarshalFlag(value string) error {
	*l = append(*l, strings.Split(value, ",")...)
	return nil
}

// timeFlag is a flag value that is a time, for example 2026-11-30T08:00:00Z.
type timeFlag struct{ time.Time }

// UnmarshalFlag parses a time in RFC 3339 format.
func (m *timeFlag) UnmarshalFlag(value string) error {
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("expected a time as 2026-11-30T08:00:00Z but got %q", value)}
	}
	m.Time = at
	return nil
}

// overrideKind is the effect of an override.
type overrideKind string

const (
	overrideWeight overrideKind = "weight"
	overrideEject  overrideKind = "out"
	overridePin    overrideKind = "pin"
)

// UnmarshalFlag accepts the names of the kinds only.
func (k *overrideKind) UnmarshalFlag(value string) error {
	switch kind := overrideKind(value); kind {
	case overrideWeight, overrideEject, overridePin:
		*k = kind
		return nil
	}
	return usageErrorf("<kind> must be one of %q,%q,%q but got %q", overrideWeight, overrideEject, overridePin, value)
}
