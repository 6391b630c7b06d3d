package controlmodel

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent is the garbage collector's target percentage. It is high because each simulation is small and short-lived.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
