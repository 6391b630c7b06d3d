package controlmodel

import (
	"os"
	"runtime/debug"
	"testing"
)

// garbage is how much of it may gather, in percent of what is in use: the worlds are small and short-lived.
const garbage = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(garbage)
	os.Exit(m.Run())
}
