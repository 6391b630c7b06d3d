package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// commaList is a flag's list: comma-separated, and the flag may be repeated.
type commaList []string

var _ flags.Unmarshaler = (*commaList)(nil)

// UnmarshalFlag adds what one flag lists.
func (l *commaList) UnmarshalFlag(value string) error {
	*l = append(*l, strings.Split(value, ",")...)
	return nil
}

// timeFlag is a flag's time, as 2026-11-30T08:00:00Z.
type timeFlag struct{ time.Time }

// UnmarshalFlag reads a time in the form of RFC 3339.
func (m *timeFlag) UnmarshalFlag(value string) error {
	at, err := time.Parse(time.RFC3339, value)
	if err != nil {
		return &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("expected a time as 2026-11-30T08:00:00Z but got %q", value)}
	}
	m.Time = at
	return nil
}

// overrideKind is what an override does.
type overrideKind string

const (
	overrideWeight overrideKind = "weight"
	overrideEject  overrideKind = "out"
	overridePin    overrideKind = "pin"
)

// UnmarshalFlag takes one of the kinds.
func (k *overrideKind) UnmarshalFlag(value string) error {
	switch kind := overrideKind(value); kind {
	case overrideWeight, overrideEject, overridePin:
		*k = kind
		return nil
	}
	return usageErrorf("<kind> must be one of %q,%q,%q but got %q", overrideWeight, overrideEject, overridePin, value)
}
