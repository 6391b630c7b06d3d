package clients

import (
	"reflect"
	"testing"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"puffinlink.example/puffinlink/internal/goldentest"
)

// TestEncodedFormsMatchGoldenFiles checks the keys of a query's body, which clients write and this package only reads.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	goldentest.Check(t, goldentest.JSONExperiment, goldentest.Form{Name: "target", Value: new(target)})
	read := body{Targets: targets{limit: 1}}
	text := `{"targets":[{"partition":3,"share":0.5,"est_us":120.5,"route":"near"}],"query":{"a":1}}`
	if err := json.Unmarshal([]byte(text), &read); err != nil {
		t.Fatal(err)
	}
	partition, share := 3, 0.5
	want := body{
		Targets: targets{limit: 1, list: []target{{Partition: &partition, Share: &share, EstUs: 120.5, Route: "near"}}},
		Query:   jsontext.Value(`{"a":1}`),
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("read as %+v, want %+v", read, want)
	}
}
