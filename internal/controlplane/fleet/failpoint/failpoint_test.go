package failpoint

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

func TestEveryPointHasAName(t *testing.T) {
	seen := map[string]bool{}
	for p, name := range Names {
		if p > 0 && (name == "" || seen[name]) {
			t.Errorf("point %d is named %q", p, name)
		}
		seen[name] = true
	}
}

// The plain build has neither the variable that arms a point nor the name of one.
func TestPlainBuildHasNoFailpoints(t *testing.T) {
	has := func(tags string) bool {
		path := filepath.Join(t.TempDir(), "mixer")
		if out, err := exec.Command("go", "build", "-tags", tags, "-o", path, "puffinlink.example/puffinlink/cmd/puffinlink").CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return bytes.Contains(text, []byte("PUFFINLINK_FAILPOINT")) || bytes.Contains(text, []byte(Names[Spend]))
	}
	if has("") {
		t.Error("the plain build can be armed")
	}
	if !has("failpoints") {
		t.Error("the build with failpoints can't be told from the plain one by this test")
	}
}
