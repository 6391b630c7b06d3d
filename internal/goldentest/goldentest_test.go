package goldentest

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

type inner struct {
	Flag  bool              `json:"f"`
	Texts map[string]uint16 `json:"t"`
}

type outer struct {
	inner
	Inner    *inner     `json:"i"`
	Numbers  [2]float32 `json:"n"`
	At       time.Time  `json:"a"`
	Skipped  func()     `json:"-"`
	Untagged int
	hidden   int
}

// errorCounter counts the failures that checkTags reports.
type errorCounter struct{ texts []string }

func (*errorCounter) Helper() {}
func (c *errorCounter) Errorf(format string, arguments ...any) {
	c.texts = append(c.texts, fmt.Sprintf(format, arguments...))
}

func TestFillSetsEveryField(t *testing.T) {
	var filled outer
	if err := JSON.Fill(&filled); err != nil {
		t.Fatal(err)
	}
	if filled.Inner == nil || !filled.Inner.Flag || len(filled.Inner.Texts) != 1 || filled.Numbers[1] == 0 ||
		filled.At.IsZero() || filled.Untagged == 0 || filled.Skipped != nil || filled.hidden != 0 {
		t.Errorf("filled as %+v", filled)
	}
	var again outer
	if err := JSON.Fill(&again); err != nil || !reflect.DeepEqual(filled, again) {
		t.Errorf("filled again as %+v: %v", again, err)
	}
}

func TestFillRefusesWhatItCannotSet(t *testing.T) {
	for _, pointer := range []any{new(struct{ Call func() }), new(struct{ Any any }), new(struct{ hidden int })} {
		if err := JSON.Fill(pointer); err == nil {
			t.Errorf("%T was filled", pointer)
		}
	}
}

func TestCheckTagsFindsGoNames(t *testing.T) {
	var found errorCounter
	checkTags(&found, JSON, reflect.TypeFor[[]outer]())
	want := []string{`goldentest.outer.Untagged has no name in a tag "json"`}
	if !reflect.DeepEqual(found.texts, want) {
		t.Errorf("found %q, want %q", found.texts, want)
	}
}
