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
	dir        string
	pathByTags map[string]string
}

// Main runs tests and then removes the binaries that they made.
func RunTests(m *testing.M) (code int) {
	defer func() { os.RemoveAll(binaries.dir) }()
	return m.Run()
}

// failpointsTag is the tag of a build whose numbered points can be armed.
const failpointsTag = "failpoints"

// Build hands out the binary with the tags named. All are made before the first is handed out: a compiler takes every core,
// and no cluster is to run beside one.
func BinaryPath(t testing.TB, tags string) string {
	t.Helper()
	b := &binaries
	b.Lock()
	defer b.Unlock()
	if b.pathByTags == nil {
		dir, err := os.MkdirTemp("", "rig")
		if err != nil {
			t.Fatal(err)
		}
		b.dir, b.pathByTags = dir, map[string]string{}
		for _, buildTags := range []string{"", failpointsTag} {
			path := filepath.Join(dir, "puffinlink-"+buildTags)
			if out, err := exec.Command("go", "build", "-tags", buildTags, "-o", path, "puffinlink.example/puffinlink/cmd/puffinlink").CombinedOutput(); err != nil {
				t.Fatalf("%v: %s", err, out)
			}
			b.pathByTags[buildTags] = path
		}
	}
	if b.pathByTags[tags] == "" {
		t.Fatalf("no binary was made with the tags %q", tags)
	}
	return b.pathByTags[tags]
}

// modification replaces a text of a source file, as a mistake would have it.
type modification struct {
	file             string // from the repository's root
	old, replacement string
}

// apply returns the path of the source file and its text with the modification. The old text has to stand there once.
func (m modification) apply(t testing.TB) (path string, text []byte) {
	t.Helper()
	path, err := filepath.Abs(filepath.Join("..", "..", "..", m.file))
	if err != nil {
		t.Fatal(err)
	}
	text, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := bytes.Count(text, []byte(m.old)); n != 1 {
		t.Fatalf("%s: %q stands there %d times, expected once", m.file, m.old, n)
	}
	return path, bytes.Replace(text, []byte(m.old), []byte(m.replacement), 1)
}

// BuildModified makes a binary of the program with a modification.
func BuildModifiedBinary(t testing.TB, m modification) (path string) {
	t.Helper()
	sourcePath, text := m.apply(t)
	dir := t.TempDir()
	modifiedPath, overlayPath := filepath.Join(dir, "copy.go"), filepath.Join(dir, "overlay.json")
	overlayJSON, _ := json.Marshal(map[string]any{"Replace": map[string]string{sourcePath: modifiedPath}})
	for path, text := range map[string][]byte{modifiedPath: text, overlayPath: overlayJSON} {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path = filepath.Join(dir, "puffinlink")
	if out, err := exec.Command("go", "build", "-overlay", overlayPath, "-o", path, "puffinlink.example/puffinlink/cmd/puffinlink").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}
