package systemtest

import (
	"os"
	"testing"

	"puffinlink.example/puffinlink/internal/leaktest"
)

// TestMain runs the tests, or one process of the system where this program was started as that.
func TestMain(m *testing.M) {
	if text := os.Getenv(childSpecVariable); text != "" {
		os.Exit(runChild(text))
	}
	leaktest.Main(m)
}
