package capture

import (
	"reflect"
	"testing"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles compares the encoding of an interval with its golden file.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	var times Histogram
	times.Add(0.002, 3)
	times.Add(0.25, 1)
	codec := goldentest.JSON
	codec.Values = map[reflect.Type]any{reflect.TypeFor[Histogram](): times}
	goldentest.Check(t, codec, goldentest.Form{Name: "interval", Value: new(Interval)})
	goldentest.CheckConstants(t, goldentest.Constant{Have: fileHeader, Want: "puffinlink capture 1\n"})
}
