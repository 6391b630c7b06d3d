package operatorfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"puffinlink.example/puffinlink/internal/operators/override"
)

func TestEachMistakeIsReportedWithItsLine(t *testing.T) {
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
		t.Errorf("two mistakes: got %v, expected two lines", err)
	}
}

func TestStatedValuesReplaceDefaults(t *testing.T) {
	f, err := Parse([]byte("{}"))
	if err != nil || f.Overrides.On || f.Operators.Listen != "" || f.Overrides.Limits.SlowStart != override.Defaults().SlowStart {
		t.Fatalf("empty file: got %+v, %v", f, err)
	}
	operatorPath := filepath.Join(t.TempDir(), "operator.json5")
	text := `{ // for one searcher at a time
		"overrides": {"directory": "/var/lib/p", "most_hours": 2, "ramp_s": 30, /* slowly */ "location_share": 0.25,},
		"operators": {"listen": "unix:/run/p.sock"},
	}`
	if err := os.WriteFile(operatorPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err = Read(operatorPath)
	if o := f.Overrides; err != nil || !o.On || o.Directory != "/var/lib/p" || o.Limits.MaxDuration != 7200 || o.Limits.SlowStart != 30 ||
		o.Limits.MaxLocationLoss != 0.25 || o.Limits.MaxOverrides != 10000 || f.Operators.Listen != "unix:/run/p.sock" {
		t.Fatalf("got %+v, %v", f, err)
	}
	if f, err = Read("../../../deploy/operator.json5"); err != nil || f.Overrides.On || f.Operators.Listen != "" {
		t.Fatalf("file in deploy: got %+v, %v", f, err)
	}
	if _, err := Read(operatorPath + "x"); err == nil {
		t.Fatal("reading a missing file returned no error")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"overrides": {"ramp_s": 3}}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		if file, err := Parse(in); err == nil && !(file.Overrides.Limits.SlowStart >= 1 && file.Overrides.Limits.MaxOverrides >= 1) {
			t.Fatalf("%q: %+v", in, file)
		}
	})
}

const fleetKeys = `"key_file": "/k", "version": 1, "mixers": [
{"name": "a", "address": "10.0.0.1:1", "location": "n", "votes": true}, {"name": "b", "address": "10.0.0.2:1", "location": "n", "votes": true},
{"name": "c", "address": "10.0.0.3:1", "location": "s", "votes": true}, {"name": "d", "address": "10.0.0.4:1", "location": "s"}]`

func TestFleetMistakesAreReportedWithTheirLine(t *testing.T) {
	fleetWith := func(old, replacement string) string {
		if !strings.Contains(fleetKeys, old) {
			t.Fatalf("fleetKeys does not contain %q", old)
		}
		return "{\n\"fleet\": {" + strings.Replace(fleetKeys, old, replacement, 1) + "}}"
	}
	withFleet := func(rest string) string { return "{\"fleet\": {" + fleetKeys + "},\n" + rest + "}" }
	for text, want := range map[string]string{
		fleetWith(`"a"`, `"b"`):                         `2: fleet: two mixers are named "b"`,
		fleetWith("10.0.0.1:1", "10.0.0.2:1"):           "2: fleet: b: address 10.0.0.2:1 is another mixer's too",
		fleetWith("10.0.0.1:1", "10.0.0.1"):             `2: fleet: a: address is "10.0.0.1", expected HOST:PORT`,
		fleetWith(`"s", "votes": true`, `"s"`):          "2: fleet: 2 mixers vote, expected 3, 5 or 7",
		fleetWith(`"location": "s"}`, `"votes": true}`): "2: fleet: 4 mixers vote, expected 3, 5 or 7",
		fleetWith(`"version": 1, `, ""):                 "2: fleet: version is 0, expected 1 or more",
		fleetWith(`"key_file": "/k", `, ""):             "2: fleet: expected key_file, a file of 64 hex digits",
		fleetWith(`"key_file": "/k"`, `"lease_s": 2`):   "2: fleet.lease_s is 2, expected 8 to 300",
		fleetWith(`"votes": true`, `"votes": "yes"`):    `3: fleet.mixers[0].votes is "yes", expected true or false`,
		`{"quotas": {"version": 1}}`:                    "1: quotas: expected a section fleet beside it",
		"{\n\n\"contracts\": {\"version\": 1}}":         "3: contracts: expected a section fleet beside it",
		withFleet(`"quotas": {"tenants": []}`):          "4: quotas: expected version",
		withFleet(`"contracts": {"tenants": []}`):       "4: contracts: expected version",
		withFleet("\"quotas\": {\"version\": 1, \"tenants\": [\n{\"tenant\": \"t\", \"per_s\": 5, \"burst\": 5},\n{\"tenant\": \"t\", \"per_s\": 5, \"burst\": 5}]}"): `6: quotas: tenant "t", expected a name that no other quota here has`,
		withFleet(`"quotas": {"version": 1, "tenants": [{"tenant": "t", "burst": 5}]}`):                                                                               `4: quotas: tenant "t": per_s has to be more than 0`,
		withFleet(`"quotas": {"version": 1, "tenants": [{"tenant": "t", "per_s": 5, "burst": 5, "floor_share": 1.5}]}`):                                               "4: quotas.tenants[0].floor_share is 1.5, expected 0 to 1",
		withFleet("\"contracts\": {\"version\": 1, \"tenants\": [\n{\"tenant\": \"t\"}]}"):                                                                            `5: contracts: tenant "t" has no zone, expected one at the least`,
		withFleet(`"contracts": {"version": 1, "tenants": [{"tenant": "t", "zones": ["n", "n"]}]}`):                                                                   `4: contracts.tenants[0].zones names "n" twice`,
		withFleet(`"contracts": {"version": 1, "tenants": [{"tenant": "t", "zones": ["n", 4]}]}`):                                                                     "4: contracts.tenants[0].zones is [\"n\", 4], expected a list of strings",
		withFleet(`"contracts": {"version": 1, "tenants": [{"tenant": "t", "zones": ["n"]}, {"tenant": "t", "zones": ["s"]}]}`):                                       `4: contracts: tenant "t", expected a name that no other contract here has`,
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s:\ngot %v, expected %q", text, err, want)
		}
	}
	f, err := Parse([]byte(withFleet(`"quotas": {"version": 3, "tenants": [{"tenant": "t", "per_s": 50, "burst": 20}]},
		"contracts": {"version": 2, "strict": ["*"], "tenants": [{"tenant": "t", "zones": ["n", "s"], "mixers_too": true, "indexes": ["reads"]}]}`)))
	if err != nil || !f.Fleet.On || len(f.Fleet.Aggregators) != 4 || f.Fleet.Aggregators[3].Votes || f.Fleet.Lease != 10 || f.Quotas.Tenants[0].MinimumShare != defaultMinimumShare ||
		!f.Contracts.Tenants[0].RestrictsAggregators || len(f.Contracts.Tenants[0].Zones) != 2 || f.Contracts.Strict[0] != "*" {
		t.Fatalf("valid fleet: got %+v, %v", f, err)
	}
	if warnings := f.Warnings(); len(warnings) != 1 || !strings.Contains(warnings[0], "admits none") {
		t.Errorf("warnings: got %q", warnings)
	}
}

func TestKeyFileReadableByOthersIsRejected(t *testing.T) {
	keyPath := filepath.Join(t.TempDir(), "key")
	for mode, want := range map[os.FileMode]string{0o640: "expected 0600", 0o600: ""} {
		os.Remove(keyPath)
		if err := os.WriteFile(keyPath, []byte(strings.Repeat("0a", KeyBytes)+"\n"), mode); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadKey(keyPath); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("mode %o: got %v, expected %q", mode, err, want)
		}
	}
}
