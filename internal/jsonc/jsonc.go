// Package jsonc decodes JSON with comments and trailing commas, and reports a mistake with its line.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode decodes all of a text into a pointer, strictly: a key that it has no field for is an error. The error begins with
// the line, as "3: ...", and wraps an UnknownKeyError, a TypeError or encoding/json's; of a text that is no JSON it is a
// SyntaxError, " line 3, ...".
func Decode(text []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return SyntaxError(strings.TrimPrefix(err.Error(), "hujson: "))
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err = d.Decode(into); err == nil {
		return nil
	}
	at := d.InputOffset()
	if t := (*json.UnmarshalTypeError)(nil); errors.As(err, &t) {
		at = t.Offset
		err = TypeError{t.Field, t.Value, t.Type.String()}
	} else if _, name, is := strings.Cut(err.Error(), "unknown field "); is { // the decoder stands behind its object
		at = int64(max(0, bytes.Index(plain, []byte(name))))
		err = UnknownKeyError(name)
	}
	return fmt.Errorf("%d: %w", 1+bytes.Count(plain[:min(int(at), len(plain))], []byte{'\n'}), err)
}
