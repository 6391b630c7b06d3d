package goldentest

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

var timeType = reflect.TypeFor[time.Time]()

// Fill sets every exported field of the value that the pointer refers to, recursively, to a value other than zero. The values
// depend only on the fields' types and order. Fields that the codec's tag excludes by "-" stay as they are. Fill returns a
// FillError if a field cannot be set.
func (c Codec) Fill(pointer any) error {
	filler := filler{codec: c}
	value := reflect.ValueOf(pointer).Elem()
	return filler.fill(value, value.Type().String())
}

// filler fills values. It derives each value from the count of the values set so far, so that different numbers, texts and
// times are distinct.
type filler struct {
	codec Codec
	count int
}

func (f *filler) fill(value reflect.Value, path string) error {
	if !value.CanSet() {
		return fillErrorf("%s can't be set", path)
	}
	if value.Type() == timeType {
		f.count++
		value.Set(reflect.ValueOf(time.Unix(1700000000+int64(f.count), 0).UTC()))
		return nil
	}
	if known, found := f.codec.Values[value.Type()]; found {
		value.Set(reflect.ValueOf(known))
		return nil
	}
	switch value.Kind() {
	case reflect.Struct:
		return f.fillStruct(value, path)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		return f.fill(value.Elem(), path)
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 2, 2))
		return f.fillElements(value, path)
	case reflect.Array:
		return f.fillElements(value, path)
	case reflect.Map:
		return f.fillMap(value, path)
	}
	return f.fillBasic(value, path)
}

func (f *filler) fillStruct(value reflect.Value, path string) error {
	exported := 0
	for i := range value.NumField() {
		field := value.Type().Field(i)
		if !field.IsExported() || field.Tag.Get(f.codec.Tag) == "-" {
			continue
		}
		exported++
		if err := f.fill(value.Field(i), path+"."+field.Name); err != nil {
			return err
		}
	}
	if exported == 0 && value.NumField() > 0 {
		return fillErrorf("%s has no field that can be set", path)
	}
	return nil
}

func (f *filler) fillElements(value reflect.Value, path string) error {
	for i := range value.Len() {
		if err := f.fill(value.Index(i), path+"[]"); err != nil {
			return err
		}
	}
	return nil
}

// fillMap sets a map with a single entry, because the order of several entries may differ from one encoding to the next.
func (f *filler) fillMap(value reflect.Value, path string) error {
	key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
	if err := f.fill(key, path+"[key]"); err != nil {
		return err
	}
	if err := f.fill(element, path+"[]"); err != nil {
		return err
	}
	value.Set(reflect.MakeMap(value.Type()))
	value.SetMapIndex(key, element)
	return nil
}

func (f *filler) fillBasic(value reflect.Value, path string) error {
	f.count++
	switch {
	case value.Kind() == reflect.Bool:
		value.SetBool(true)
	case value.Kind() == reflect.String:
		value.SetString(fmt.Sprintf("text %d", f.count))
	case value.CanInt():
		value.SetInt(int64(f.count))
	case value.CanUint():
		value.SetUint(uint64(f.count))
	case value.CanFloat():
		value.SetFloat(float64(f.count) + 0.5)
	default:
		return fillErrorf("%s has the kind %s, which can't be filled", path, value.Kind())
	}
	return nil
}

// tagReporter is the part of testing.T that checkTags needs.
type tagReporter interface {
	Helper()
	Errorf(format string, arguments ...any)
}

// checkTags reports an error for each exported field of a type, and of the types in it, that has no name in a tag of the
// codec. Such a field would be encoded under its Go name.
func checkTags(t tagReporter, codec Codec, root reflect.Type) {
	t.Helper()
	visited := make(map[reflect.Type]bool)
	var visit func(reflect.Type)
	visit = func(current reflect.Type) {
		if _, own := codec.Values[current]; own || visited[current] || current == timeType {
			return
		}
		visited[current] = true
		switch current.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			visit(current.Elem())
		case reflect.Map:
			visit(current.Key())
			visit(current.Elem())
		case reflect.Struct:
			for _, field := range reflect.VisibleFields(current) {
				if len(field.Index) > 1 || !field.IsExported() || field.Tag.Get(codec.Tag) == "-" {
					continue
				}
				name, _, _ := strings.Cut(field.Tag.Get(codec.Tag), ",")
				if name == "" && !field.Anonymous && !isEncodedAsArray(current, codec.Tag) {
					t.Errorf("%s.%s has no name in a tag %q", current, field.Name, codec.Tag)
				}
				visit(field.Type)
			}
		}
	}
	visit(root)
}

// isEncodedAsArray reports whether a struct is encoded as an array without field names. This is the case if it has a field
// named _msgpack or _ whose tag contains as_array or toarray.
func isEncodedAsArray(structure reflect.Type, tagKey string) bool {
	for _, name := range []string{"_msgpack", "_"} {
		marker, found := structure.FieldByName(name)
		if found && strings.Contains(marker.Tag.Get(tagKey), "array") {
			return true
		}
	}
	return false
}
