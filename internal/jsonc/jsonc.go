// Package jsonc decodes JSON with comments and trailing commas, and reports errors with their line.
package jsonc

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Decode decodes a text into the value that a pointer points to. A key without a field is an error. The text of an error begins
// with the line, as in "3: ...", and the error wraps an UnknownKeyError, a TypeError or an error of encoding/json. If the
// text is not valid JSON, the error is a SyntaxError, as in " line 3, ...".
func Decode(text []byte, into any) error {
	plain, err := hujson.Standardize(bytes.Clone(text))
	if err != nil {
		return SyntaxError(strings.TrimPrefix(err.Error(), "hujson: "))
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err = decoder.Decode(into); err == nil {
		return nil
	}
	offset := decoder.InputOffset()
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) {
		offset = typeErr.Offset
		err = TypeError{typeErr.Field, typeErr.Value, typeErr.Type.String()}
	} else if _, name, isUnknown := strings.Cut(err.Error(), "unknown field "); isUnknown { // the decoder's offset is after the object, so the key is searched for
		offset = int64(max(0, bytes.Index(plain, []byte(name))))
		err = UnknownKeyError(name)
	}
	return fmt.Errorf("%d: %w", 1+bytes.Count(plain[:min(int(offset), len(plain))], []byte{'\n'}), err)
}
