package opfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/override"
)

func TestEveryMistakeIsToldWithItsLine(t *testing.T) {
	hash := strings.Repeat("0a", 32)
	for in, want := range map[string]string{
		"{":                                "line 1",
		"[]":                               "1: the file is [], expected an object",
		"{\n// c\n\"override\": {}}":       "3: override is not known, the nearest key is overrides",
		"{\"overrides\":\n{\"ramps\": 3}}": "2: overrides.ramps is not known, the nearest key is ramp_s",
		`{"overrides": 3}`:                 "1: overrides is 3, expected an object",
		`{"overrides": {"ramp_s": "3"}}`:   `1: overrides.ramp_s is "3", expected a number`,
		`{"overrides": {"ramp_s": 0.1}}`:   "1: overrides.ramp_s is 0.1, expected 1 to 600",
		`{"overrides": {"ramp_s": 2, "ramp_s": 2}}`: "1: overrides.ramp_s is stated twice",
		`{"overrides": {"most": 1.5}}`:              "1: overrides.most is 1.5, expected a whole number from 1 to 100000",
		`{"overrides": {"shard_share": -1}}`:        "1: overrides.shard_share is -1, expected 0 to 1",
		`{"overrides": {"directory": "x"}}`:         `1: overrides.directory is "x", expected a path from the root`,
		`{"operators": {"listen": "0.0.0.0:1"}}`:    "expected \"unix:/PATH\" or a loopback address",
		`{"operators": {"listen": "127.0.0.1:1"}}`:  "1: operators.listen is an address that every user",
		`{"operators": {"key_file": "/k"}}`:         "1: operators: expected listen",
		`{"operators": {"listen": "unix:/s", "tokens": [{"name": "a", "role": "rite", "hash": "` + hash + `"}]}}`: `operators.tokens[0].role is "rite", expected "read" or "write"`,
		`{"operators": {"listen": "unix:/s", "tokens": [{"name": "a", "role": "read", "hash": "12"}]}}`:           "expected 64 hex digits",
		`{"operators": {"listen": "unix:/s", "tokens": [{"name": "a", "role": "read", "hash": "` + hash + `"}]}}`: "expected operators.key_file beside them",
		`{"operators": {"listen": "unix:/s", "tokens": [7]}}`:                                                     "operators.tokens[0] is 7, expected an object",
	} {
		if _, err := Parse([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, expected %q", in, err, want)
		}
	}
	if _, err := Parse([]byte("{\"a\":1,\n\"b\":2}")); err == nil || strings.Count(err.Error(), "\n") != 1 {
		t.Errorf("two mistakes are told as %v", err)
	}
}

func TestWhatIsStatedCounts(t *testing.T) {
	f, err := Parse([]byte("{}"))
	if err != nil || f.Overrides.On || f.Operators.Listen != "" || f.Overrides.Limits.Ramp != override.Defaults().Ramp {
		t.Fatalf("an empty file: %+v, %v", f, err)
	}
	at := filepath.Join(t.TempDir(), "operator.json5")
	text := `{ // for one searcher at a time
		"overrides": {"directory": "/var/lib/p", "most_hours": 2, "ramp_s": 30, /* slowly */ "location_share": 0.25,},
		"operators": {"listen": "unix:/run/p.sock"},
	}`
	if err := os.WriteFile(at, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err = Read(at)
	if o := f.Overrides; err != nil || !o.On || o.Directory != "/var/lib/p" || o.Limits.MostTime != 7200 || o.Limits.Ramp != 30 ||
		o.Limits.PlaceGone != 0.25 || o.Limits.Most != 10000 || f.Operators.Listen != "unix:/run/p.sock" {
		t.Fatalf("got %+v, %v", f, err)
	}
	if f, err = Read("../../deploy/operator.json5"); err != nil || f.Overrides.On || f.Operators.Listen != "" {
		t.Fatalf("the file that is deployed: %+v, %v", f, err)
	}
	if _, err := Read(at + "x"); err == nil {
		t.Fatal("a file that is not there was read")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"overrides": {"ramp_s": 3}}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		if file, err := Parse(in); err == nil && !(file.Overrides.Limits.Ramp >= 1 && file.Overrides.Limits.Most >= 1) {
			t.Fatalf("%q: %+v", in, file)
		}
	})
}
