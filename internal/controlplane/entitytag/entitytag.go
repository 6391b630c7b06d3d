// Package entitytag parses and formats versions as HTTP entity tags (RFC 9110, section 8.8.3). ETag headers have the current
// version. Operators send the version that an update is based on in If-Match.
package entitytag

import (
	"errors"
	"strconv"
	"strings"
)

// ErrInvalidVersion is the error of a header that is not a single version.
var ErrInvalidVersion = errors.New("not a version")

// Parse parses a version, with or without the quotes of an entity tag. The error is ErrInvalidVersion, also for weak tags and
// lists.
func Parse(header string) (version uint64, err error) {
	version, err = strconv.ParseUint(strings.Trim(strings.TrimSpace(header), `"`), 10, 64)
	if err != nil {
		return 0, ErrInvalidVersion
	}
	return version, nil
}

// Format formats a version as a strong entity tag.
func Format(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
