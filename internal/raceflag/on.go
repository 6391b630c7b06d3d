//go:build race

// Package raceflag tells tests of pure modules whether the race detector is on, which finds nothing where there is no
// goroutine and takes ten times as long.
package raceflag

// On is whether it is.
const On = true
