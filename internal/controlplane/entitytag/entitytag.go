// Package entitytag reads and writes versions as HTTP's entity tags (RFC 9110, section 8.8.3). By them operators say in If-Match
// which version an update is built on, and learn from ETag which one is current.
package entitytag

import (
	"errors"
	"strconv"
	"strings"
)

// ErrNoVersion means that a header has no version.
var ErrNoVersion = errors.New("not a version")

// Parse reads a version, with or without the quotes of an entity tag. Weak tags and lists are refused; the error is ErrNoVersion.
func Parse(header string) (version uint64, err error) {
	version, err = strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
	if err != nil {
		return 0, ErrNoVersion
	}
	return version, nil
}

// Format writes a version as a strong entity tag.
func Format(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
