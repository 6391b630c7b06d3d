package entitytag

import (
	"errors"
	"testing"
)

func TestParseAcceptsFormattedVersionsOnly(t *testing.T) {
	for header, version := range map[string]uint64{`7`: 7, `"7"`: 7, ` "0" `: 0, Format(1 << 63): 1 << 63} { //nolint:gocritic // the space is what is tested
		if got, err := Parse(header); err != nil || got != version {
			t.Errorf("%q: got %d, %v, expected %d", header, got, err, version)
		}
	}
	for _, header := range []string{"", "*", `"a"`, "-1", `W/"7"`, "18446744073709551616"} {
		if got, err := Parse(header); !errors.Is(err, ErrInvalidVersion) {
			t.Errorf("%q: got %d, %v", header, got, err)
		}
	}
}
