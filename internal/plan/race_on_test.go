//go:build race

package plan

const raceOn = true
