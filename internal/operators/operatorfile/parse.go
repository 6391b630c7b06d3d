package operatorfile

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// Parse parses and validates the text of a file. Its error has a line "LINE: MISTAKE" for each mistake.
func Parse(text []byte) (File, error) {
	f := Defaults()
	root, err := hujson.Parse(text)
	if err != nil {
		return f, ValidationError(strings.TrimPrefix(err.Error(), "hujson: "))
	}
	r := parser{text: text, file: &f}
	r.parseObject("", root, fileKeys)
	if len(r.mistakes) == 0 {
		r.checkFile(root)
	}
	if len(r.mistakes) > 0 {
		return f, ValidationError(strings.Join(r.mistakes, "\n"))
	}
	return f, nil
}

// parser collects the values and the mistakes of a file.
type parser struct {
	text     []byte
	file     *File
	mistakes []string
}

// report records a mistake at an offset in the text.
func (r *parser) report(offset int, format string, args ...any) {
	r.reportLine(r.line(offset), format, args...)
}

// reportLine records a mistake at a line.
func (r *parser) reportLine(line int, format string, args ...any) {
	r.mistakes = append(r.mistakes, fmt.Sprintf("%d: %s", line, fmt.Sprintf(format, args...)))
}

// line returns the line number of an offset in the text.
func (r *parser) line(offset int) int {
	return 1 + strings.Count(string(r.text[:min(offset, len(r.text))]), "\n")
}

// checkFile checks the rules that relate several keys.
func (r *parser) checkFile(root hujson.Value) {
	operators := &r.file.Operators
	offset := root.StartOffset
	if v := root.Find("/operators"); v != nil {
		offset = v.StartOffset
	}
	if !strings.HasPrefix(operators.Listen, "unix:") && operators.Listen != "" && len(operators.Tokens) == 0 {
		r.report(offset, "operators.listen is an address that every user of the machine reaches: expected tokens beside it")
	}
	if len(operators.Tokens) > 0 && operators.KeyFile == "" {
		r.report(offset, "operators.tokens: expected operators.key_file beside them, for their hashes")
	}
	if operators.Listen == "" && (len(operators.Tokens) > 0 || operators.KeyFile != "") {
		r.report(offset, "operators: expected listen, without which nothing else there counts")
	}
	r.checkFleet()
	seen := map[string]bool{}
	for _, t := range operators.Tokens {
		if seen[t.Name] {
			r.report(offset, "operators.tokens: two are named %q", t.Name)
		}
		seen[t.Name] = true
		if t.Name == "" || t.Hash == "" {
			r.report(offset, "operators.tokens: expected name, role and hash in each")
		}
	}
}

// hasKind reports whether a value is of a kind.
func hasKind(v hujson.Value, want valueKind) bool {
	switch v := v.Value.(type) {
	case *hujson.Object:
		return want == kindObject
	case *hujson.Array:
		return want == kindObjectList || want == kindStringList && !slices.ContainsFunc(v.Elements, func(e hujson.Value) bool { return !hasKind(e, kindString) })
	case hujson.Literal:
		return v.Kind() == '0' && want == kindNumber || v.Kind() == '"' && want == kindString || (v.Kind() == 't' || v.Kind() == 'f') && want == kindBool
	}
	return false
}

// literal returns a value as a literal. The caller has checked with hasKind that it is a string, a number or a boolean, or it is
// the name of a member, which is always a string.
func literal(v hujson.Value) hujson.Literal {
	l, _ := v.Value.(hujson.Literal)
	return l
}

// elements returns the elements of a list. The caller has checked with hasKind that the value is a list.
func elements(v hujson.Value) []hujson.Value {
	if list, isList := v.Value.(*hujson.Array); isList {
		return list.Elements
	}
	return nil
}

// parseObject parses the members of an object. The parent is the full name of the object, "" for the file.
func (r *parser) parseObject(parent string, value hujson.Value, known []keySpec) {
	object, isObject := value.Value.(*hujson.Object)
	if !isObject {
		r.report(value.StartOffset, "%s is %.40s, expected an object", cmp.Or(parent, "the file"), value.Pack())
		return
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := literal(member.Name).String()
		fullName := strings.TrimPrefix(parent+"."+name, ".")
		i := slices.IndexFunc(known, func(k keySpec) bool { return k.name == name })
		switch {
		case i < 0:
			r.report(member.Name.StartOffset, "%s is not known, the nearest key is %s", fullName, nearest(name, known))
		case seen[name]:
			r.report(member.Name.StartOffset, "%s is stated twice", fullName)
		case !hasKind(member.Value, known[i].kind):
			r.report(member.Value.StartOffset, "%s is %.40s, expected %s", fullName, compactText(member.Value), known[i].kind)
		default:
			r.parseValue(fullName, member.Value, &known[i])
		}
		seen[name] = true
	}
}

// compactText returns the text of a value without the white space and comments around it.
func compactText(value hujson.Value) string {
	value = value.Clone()
	value.BeforeExtra, value.AfterExtra = nil, nil
	return string(value.Pack())
}

// parseValue parses the value of a key. The caller has checked its kind.
func (r *parser) parseValue(fullName string, value hujson.Value, spec *keySpec) {
	switch spec.kind {
	case kindObject:
		if spec.onBegin != nil {
			spec.onBegin(r.file, r.line(value.StartOffset))
		}
		r.parseObject(fullName, value, spec.children)
	case kindObjectList:
		for i, e := range elements(value) {
			spec.onBegin(r.file, r.line(e.StartOffset))
			r.parseObject(fmt.Sprintf("%s[%d]", fullName, i), e, spec.children)
		}
	case kindStringList:
		for _, e := range elements(value) {
			if err := spec.set(r.file, literal(e)); err != nil {
				r.report(e.StartOffset, "%s %v", fullName, err)
			}
		}
	default:
		if err := spec.set(r.file, literal(value)); err != nil {
			r.report(value.StartOffset, "%s %v", fullName, err)
		}
	}
}

// nearest returns the known key with the smallest Levenshtein distance to a name.
func nearest(name string, known []keySpec) (best string) {
	smallest := 1 << 30
	for _, k := range known {
		if d := levenshtein.ComputeDistance(name, k.name); d < smallest {
			best, smallest = k.name, d
		}
	}
	return best
}
