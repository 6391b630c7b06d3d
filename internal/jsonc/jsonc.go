// Package jsonc reads JSON with comments into a form, and tells a mistake with its line.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode reads all of a text. Its error begins with the line, as "3: ..." or, of what is no JSON at all, as " line 3, ...";
// a key that the form has no place for is one.
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
