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

// binaries holds the binaries that this test process has built, in one temporary directory.
var binaries struct {
	sync.Mutex
	dir        string
	pathByTags map[string]string
}

// RunTests runs the tests, then removes the binaries that they built.
func RunTests(m *testing.M) (code int) {
	defer func() { os.RemoveAll(binaries.dir) }()
	return m.Run()
}

// failpointsTag is the build tag that compiles the failpoints in.
const failpointsTag = "failpoints"

// BinaryPath returns the path of the binary built with the given tags. The first call builds all binaries, because the compiler
// uses every core and must not run while a cluster does.
func BinaryPath(t testing.TB, tags string) string {
	t.Helper()
	b := &binaries
	b.Lock()
	defer b.Unlock()
	if b.pathByTags == nil {
		dir, err := os.MkdirTemp("", "fleettest")
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
		t.Fatalf("no binary was built with the tags %q", tags)
	}
	return b.pathByTags[tags]
}

// modification replaces a text in a source file to simulate a programming mistake.
type modification struct {
	file             string // relative to the repository's root
	old, replacement string
}

// apply returns the absolute path of the source file and its modified text. It fails the test unless the file contains the old
// text exactly once.
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
		t.Fatalf("%s contains %q %d times, expected once", m.file, m.old, n)
	}
	return path, bytes.Replace(text, []byte(m.old), []byte(m.replacement), 1)
}

// BuildModifiedBinary builds the program with a modification and returns the path of the binary. It leaves the source as it is.
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
