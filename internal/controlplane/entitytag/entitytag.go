// Package entitytag reads and writes versions as HTTP's entity tags, by which operators say what an order builds on.
package entitytag

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoVersion means that a header holds something else than a version.
var ErrNoVersion = errors.New("not a version")

// Parse reads a version, with or without the quotes of an entity tag.
func Parse(header string) (version uint64, err error) {
	version, err = strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
	if err != nil {
		return 0, ErrNoVersion
	}
	return version, nil
}

// Format writes a version as an entity tag.
func Format(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
