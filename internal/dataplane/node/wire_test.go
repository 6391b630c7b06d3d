package node

import (
	"encoding/json"
	"reflect"
	"testing"
)

// TestEncodedFormsMatchGoldenFiles checks the keys of an aggregator's configuration file, decoded and encoded.
func TestEncodedFormsMatchGoldenFiles(t *testing.T) {
	text := `{"name":"text 1","listen":"text 2","discovery":"text 3","seed":"text 4",` +
		`"limits":{"cores":5.5,"memory_mb":6.5,"sockets":7},"known":{"a":8},"settings":{"b":9}}`
	want := Config{Name: "text 1", Listen: "text 2", Discovery: "text 3", Seed: "text 4",
		Known: json.RawMessage(`{"a":8}`), Settings: json.RawMessage(`{"b":9}`)}
	want.Limits.Cores, want.Limits.MemoryMB, want.Limits.Sockets = 5.5, 6.5, 7
	var read Config
	if err := json.Unmarshal([]byte(text), &read); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read, want) {
		t.Errorf("decoded as %+v, want %+v", read, want)
	}
	if written, err := json.Marshal(want); err != nil || string(written) != text {
		t.Errorf("encoded as %s, %v, want %s", written, err, text)
	}
}
