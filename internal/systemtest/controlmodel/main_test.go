package controlmodel

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent is how much of it may gather, in percent of what is in use: the worlds are small and short-lived.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
