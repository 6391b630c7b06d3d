// Package goldentest compares the encoded forms of Go types with files of a package's testdata directory. The files hold
// the forms of before, so that a change of a Go name or a tag that changes the bytes is found.
package goldentest

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// UpdateVariable is the environment variable that, set to 1, has golden files written rather than compared.
const UpdateVariable = "GOLDEN_UPDATE"

// Codec is an encoding as production code sets it up.
type Codec struct {
	Name   string // of the golden file
	Tag    string // key of the struct tags that name the fields
	Text   bool   // the encoded form is one line of text
	Encode func(value any) ([]byte, error)
	Decode func(encoded []byte, value any) error
	// Values are those of types that have an encoding of their own and no fields that Fill could set.
	Values map[reflect.Type]any
}

// Form is a type with the name that it has in the golden file. The name does not follow the type's Go name.
type Form struct {
	Name  string
	Value any // a pointer to a zero value
}

// Check fills each form, encodes it, compares the bytes with the golden file, and decodes these again. Every exported
// field must have a tag of the codec, so that no name on the wire comes from a Go name.
func Check(t *testing.T, codec Codec, forms ...Form) {
	t.Helper()
	path := filepath.Join("testdata", "wire."+codec.Name+".txt")
	encoded := encodeAll(t, codec, forms)
	if os.Getenv(UpdateVariable) == "1" {
		write(t, path, codec, forms, encoded)
		return
	}
	golden := read(t, path, codec)
	if len(golden) != len(forms) {
		t.Errorf("%s has %d forms, the test %d", path, len(golden), len(forms))
	}
	for i, form := range forms {
		t.Run(codec.Name+"/"+form.Name, func(t *testing.T) {
			checkTags(t, codec, reflect.TypeOf(form.Value).Elem())
			compare(t, codec, form, encoded[i], golden[form.Name])
		})
	}
}

func encodeAll(t *testing.T, codec Codec, forms []Form) [][]byte {
	t.Helper()
	var encoded [][]byte
	for _, form := range forms {
		if err := codec.Fill(form.Value); err != nil {
			t.Fatalf("%s: %v", form.Name, err)
		}
		one, err := codec.Encode(form.Value)
		if err != nil {
			t.Fatalf("encode %s: %v", form.Name, err)
		}
		encoded = append(encoded, one)
	}
	return encoded
}

// compare checks one form in both directions.
func compare(t *testing.T, codec Codec, form Form, encoded, golden []byte) {
	t.Helper()
	if golden == nil {
		t.Fatal("it has no golden form")
	}
	if !bytes.Equal(encoded, golden) {
		t.Errorf("encoded as\n%q\nwant\n%q", encoded, golden)
	}
	decoded := reflect.New(reflect.TypeOf(form.Value).Elem())
	if err := codec.Decode(golden, decoded.Interface()); err != nil {
		t.Fatalf("decode: %v", err)
	}
	if !reflect.DeepEqual(decoded.Interface(), form.Value) {
		t.Errorf("decoded as\n%+v\nwant\n%+v", decoded.Elem(), reflect.ValueOf(form.Value).Elem())
	}
}

// write makes a golden file: a line for each form, with its name, a tab and its encoded form.
func write(t *testing.T, path string, codec Codec, forms []Form, encoded [][]byte) {
	t.Helper()
	var lines bytes.Buffer
	for i, form := range forms {
		line := string(encoded[i])
		if !codec.Text {
			line = hex.EncodeToString(encoded[i])
		}
		if strings.Contains(line, "\n") {
			t.Fatalf("the text of %s has more than one line", form.Name)
		}
		lines.WriteString(form.Name + "\t" + line + "\n")
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, lines.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
}

// read returns the encoded forms of a golden file by their names.
func read(t *testing.T, path string, codec Codec) map[string][]byte {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden := make(map[string][]byte)
	for line := range strings.Lines(string(content)) {
		name, form, found := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		if _, twice := golden[name]; twice || !found {
			t.Fatalf("%s: bad or repeated line %q", path, line)
		}
		golden[name] = []byte(form)
		if codec.Text {
			continue
		}
		if golden[name], err = hex.DecodeString(form); err != nil {
			t.Fatalf("%s: %s: %v", path, name, err)
		}
	}
	return golden
}

// Constant is a constant that goes over the wire or to disk: a header, a path, a key of a record, or a number.
type Constant struct {
	Have any // the constant, of any type based on a string or an integer
	Want any // its value as a literal: a string or an int
}

// CheckConstants compares constants with the literal values that they had before.
func CheckConstants(t *testing.T, constants ...Constant) {
	t.Helper()
	for _, constant := range constants {
		have := reflect.ValueOf(constant.Have)
		want := reflect.ValueOf(constant.Want)
		if !have.CanConvert(want.Type()) || want.Kind() == reflect.String && have.Kind() != reflect.String {
			t.Errorf("%v can't be compared with %v", constant.Have, constant.Want)
			continue
		}
		if have := have.Convert(want.Type()).Interface(); have != constant.Want {
			t.Errorf("%v was %v on the wire", have, constant.Want)
		}
	}
}
