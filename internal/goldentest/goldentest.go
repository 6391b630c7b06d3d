// Package goldentest compares the encoded forms of Go types with golden files in a package's testdata directory. It detects
// changes of Go names or tags that change the encoded bytes. Only tests import it. It writes golden files only if
// GOLDEN_UPDATE is 1.
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

// UpdateVariable is the environment variable that makes Check write golden files instead of comparing them, if it is set to 1.
const UpdateVariable = "GOLDEN_UPDATE"

// Codec is an encoding with the options that production code uses.
type Codec struct {
	Name   string // part of the golden file's name: wire.NAME.txt
	Tag    string // key of the struct tags that name the fields
	Text   bool   // the encoded form is one line of text; otherwise the golden file holds it in hexadecimal
	Encode func(value any) ([]byte, error)
	Decode func(encoded []byte, value any) error
	// Values holds the values that Fill sets for types with their own encoding and without fields that Fill could set.
	Values map[reflect.Type]any
}

// Form is a type whose encoded form is checked. Its name in the golden file stays the same if the Go type is renamed.
type Form struct {
	Name  string
	Value any // a pointer to a zero value
}

// Check fills and encodes each form, compares the bytes with the golden file, and checks that decoding the golden bytes
// returns the form's value. Every exported field must have a tag of the codec, so that no encoded name comes from a Go name.
func Check(t *testing.T, codec Codec, forms ...Form) {
	t.Helper()
	path := filepath.Join("testdata", "wire."+codec.Name+".txt")
	encoded := encodeAll(t, codec, forms)
	if os.Getenv(UpdateVariable) == "1" {
		writeGoldenFile(t, path, codec, forms, encoded)
		return
	}
	golden := readGoldenFile(t, path, codec)
	if len(golden) != len(forms) {
		t.Errorf("%s has %d forms, the test %d", path, len(golden), len(forms))
	}
	for i, form := range forms {
		t.Run(codec.Name+"/"+form.Name, func(t *testing.T) {
			checkTags(t, codec, reflect.TypeOf(form.Value).Elem())
			compareForm(t, codec, form, encoded[i], golden[form.Name])
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

// compareForm compares the encoded bytes of one form with the golden ones, and the decoded golden bytes with the form's value.
func compareForm(t *testing.T, codec Codec, form Form, encoded, golden []byte) {
	t.Helper()
	if golden == nil {
		t.Fatal("the golden file does not contain this form")
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

// writeGoldenFile writes a golden file. It has a line for each form, with the form's name, a tab and the encoded form.
func writeGoldenFile(t *testing.T, path string, codec Codec, forms []Form, encoded [][]byte) {
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

// readGoldenFile returns the encoded forms in a golden file by their names.
func readGoldenFile(t *testing.T, path string, codec Codec) map[string][]byte {
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

// Constant is a constant that is sent over the wire or written to disk: a header, a path, a key of a record, or a number.
type Constant struct {
	Have any // the constant, of any type based on a string or an integer
	Want any // its expected value as a literal: a string or an int
}

// CheckConstants checks that constants have their expected literal values.
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
			t.Errorf("constant is %v, want %v as on the wire", have, constant.Want)
		}
	}
}
