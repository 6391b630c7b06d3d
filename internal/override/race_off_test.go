//go:build !race

package override

const raceOn = false
