package systemtest

import (
	"os"
	"testing"

	"puffinlink.example/puffinlink/internal/leaktest"
)

// TestMain runs the tests. If the test binary was started with a childSpec, it runs that child process instead.
func TestMain(m *testing.M) {
	if text := os.Getenv(childSpecVariable); text != "" {
		os.Exit(runChild(text))
	}
	leaktest.Main(m)
}
