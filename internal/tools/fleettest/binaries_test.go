package fleettest

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// binaries are those that the tests of one process make, in a directory of theirs.
var binaries struct {
	sync.Mutex
	dir  string
	made map[string]string
}

// Main runs tests and then removes the binaries that they made.
func Main(m *testing.M) (code int) {
	defer func() { os.RemoveAll(binaries.dir) }()
	return m.Run()
}

// failpointsTag is the tag of a build whose numbered points can be armed.
const failpointsTag = "failpoints"

// Build hands out the binary with the tags named. All are made before the first is handed out: a compiler takes every core,
// and no cluster is to run beside one.
func Build(t testing.TB, tags string) string {
	t.Helper()
	b := &binaries
	b.Lock()
	defer b.Unlock()
	if b.made == nil {
		dir, err := os.MkdirTemp("", "rig")
		if err != nil {
			t.Fatal(err)
		}
		b.dir, b.made = dir, map[string]string{}
		for _, each := range []string{"", failpointsTag} {
			path := filepath.Join(dir, "puffinlink-"+each)
			if out, err := exec.Command("go", "build", "-tags", each, "-o", path, "puffinlink.example/puffinlink/cmd/puffinlink").CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			b.made[each] = path
		}
	}
	if b.made[tags] == "" {
		t.Fatalf("no binary was made with the tags %q", tags)
	}
	return b.made[tags]
}

// BuildModified makes a binary of a copy in which a piece of a file of the repository is another, as a mistake would have it.
func BuildModified(t testing.TB, file, old, fresh string) (path string) {
	t.Helper()
	full, err := filepath.Abs(filepath.Join("..", "..", file))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(full)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(text, []byte(old)); n != 1 {
		t.Fatalf("%s: %q stands there %d times, expected once", file, old, n)
	}
	text = bytes.Replace(text, []byte(old), []byte(fresh), 1)
	dir := t.TempDir()
	copied, overlay := filepath.Join(dir, "copy.go"), filepath.Join(dir, "overlay.json")
	names, _ := json.Marshal(map[string]any{"Replace": map[string]string{full: copied}})
	for path, text := range map[string][]byte{copied: text, overlay: names} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path = filepath.Join(dir, "puffinlink")
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", path, "puffinlink.example/puffinlink/cmd/puffinlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}
