package operatorfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// Parse reads a file's text. Its error holds a line "LINE: what is wrong" for each mistake.
func Parse(in []byte) (File, error) {
	f := Defaults()
	root, err := hujson.Parse(in)
	if err != nil {
		return f, ValidationError(strings.TrimPrefix(err.Error(), "hujson: "))
	}
	r := reader{text: in, file: &f}
	r.object("", root, keys)
	if len(r.wrong) == 0 {
		r.checkFile(root)
	}
	if len(r.wrong) > 0 {
		return f, ValidationError(strings.Join(r.wrong, "\n"))
	}
	return f, nil
}

type reader struct {
	text  []byte
	file  *File
	wrong []string
}

func (r *reader) fail(at int, format string, args ...any) { r.failLine(r.line(at), format, args...) }

func (r *reader) failLine(line int, format string, args ...any) {
	r.wrong = append(r.wrong, fmt.Sprintf("%d: %s", line, fmt.Sprintf(format, args...)))
}

// line is that of a place in the text.
func (r *reader) line(at int) int {
	return 1 + strings.Count(string(r.text[:min(at, len(r.text))]), "\n")
}

// checkFile checks what no key can tell alone.
func (r *reader) checkFile(root hujson.Value) {
	o := &r.file.Operators
	at := root.StartOffset
	if v := root.Find("/operators"); v != nil {
		at = v.StartOffset
	}
	if !strings.HasPrefix(o.Listen, "unix:") && o.Listen != "" && len(o.Tokens) == 0 {
		r.fail(at, "operators.listen is an address that every user of the machine reaches: expected tokens beside it")
	}
	if len(o.Tokens) > 0 && o.KeyFile == "" {
		r.fail(at, "operators.tokens: expected operators.key_file beside them, for their hashes")
	}
	if o.Listen == "" && (len(o.Tokens) > 0 || o.KeyFile != "") {
		r.fail(at, "operators: expected listen, without which nothing else there counts")
	}
	r.checkFleet()
	seen := map[string]bool{}
	for _, t := range o.Tokens {
		if seen[t.Name] {
			r.fail(at, "operators.tokens: two are named %q", t.Name)
		}
		seen[t.Name] = true
		if t.Name == "" || t.Hash == "" {
			r.fail(at, "operators.tokens: expected name, role and hash in each")
		}
	}
}

func hasKind(v hujson.Value, desired kind) bool {
	switch v := v.Value.(type) {
	case *hujson.Object:
		return desired == object
	case *hujson.Array:
		return desired == listing || desired == texts && !slices.ContainsFunc(v.Elements, func(e hujson.Value) bool { return !hasKind(e, text) })
	case hujson.Literal:
		return v.Kind() == '0' && desired == number || v.Kind() == '"' && desired == text || (v.Kind() == 't' || v.Kind() == 'f') && desired == flag
	}
	return false
}

// literal is a value that hasKind has found to be a text, a number or a flag, or the name of a member, which always is a text.
func literal(v hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)
	return l
}

// elements are those of a value that hasKind has found to be a list.
func elements(v hujson.Value) []hujson.Value {
	if list, isList := v.Value.(*hujson.Array); isList {
		return list.Elements
	}
	return nil
}

func (r *reader) object(under string, v hujson.Value, known []key) {
	o, isObject := v.Value.(*hujson.Object)
	if !isObject {
		r.fail(v.StartOffset, "%s is %.40s, expected an object", cmp.Or(under, "the file"), v.Pack())
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := literal(m.Name).String()
		full := strings.TrimPrefix(under+"."+name, ".")
		i := slices.IndexFunc(known, func(k key) bool { return k.name == name })
		switch {
		case i < 0:
			r.fail(m.Name.StartOffset, "%s is not known, the nearest key is %s", full, nearest(name, known))
		case seen[name]:
			r.fail(m.Name.StartOffset, "%s is stated twice", full)
		case !hasKind(m.Value, known[i].kind):
			r.fail(m.Value.StartOffset, "%s is %.40s, expected %s", full, packed(m.Value), known[i].kind)
		default:
			r.value(full, m.Value, &known[i])
		}
		seen[name] = true
	}
}

// packed is a value as it stands, without the white space before it.
func packed(v hujson.Value) string {
	v = v.Clone()
	v.BeforeExtra, v.AfterExtra = nil, nil
	return string(v.Pack())
}

func (r *reader) value(full string, v hujson.Value, k *key) {
	switch k.kind {
	case object:
		if k.begin != nil {
			k.begin(r.file, r.line(v.StartOffset))
		}
		r.object(full, v, k.keys)
	case listing:
		for i, e := range elements(v) {
			k.begin(r.file, r.line(e.StartOffset))
			r.object(fmt.Sprintf("%s[%d]", full, i), e, k.keys)
		}
	case texts:
		for _, e := range elements(v) {
			if err := k.take(r.file, literal(e)); err != nil {
				r.fail(e.StartOffset, "%s %v", full, err)
			}
		}
	default:
		if err := k.take(r.file, literal(v)); err != nil {
			r.fail(v.StartOffset, "%s %v", full, err)
		}
	}
}

// nearest is the known key that takes the fewest changes of letters.
func nearest(name string, known []key) (best string) {
	smallest := 1 << 30
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k.name); d < smallest {
			best, smallest = k.name, d
		}
	}
	return best
}
