//go:build race

// Package raceflag reports whether the race detector is enabled. Tests of code without goroutines use it to do less work
// under the race detector, which cannot find anything there and makes them ten times as slow.
package raceflag

// Enabled reports whether the program was built with the race detector.
const Enabled = true
