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
	for point, name := range Names {
		if point > 0 && (name == "" || seen[name]) {
			t.Errorf("point %d is named %q", point, name)
		}
		seen[name] = true
	}
}

// A build without the tag failpoints contains neither the name of the variable that arms a point nor the names of the points.
func TestPlainBuildHasNoFailpoints(t *testing.T) {
	containsFailpoints := func(tags string) bool {
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
	if containsFailpoints("") {
		t.Error("the plain build contains failpoints")
	}
	if !containsFailpoints("failpoints") {
		t.Error("no failpoints found in the build with the tag failpoints: this test cannot detect them")
	}
}
