// Package random is a generator for pure modules: what it draws hangs on its seed alone. The decision module has its own,
// as it is one file by itself.
package random

import "math"

// PCG is a permuted congruential generator (XSH RR 64/32) that begins at its seed.
type PCG uint64

// Unit draws evenly from between 0 and 1, without both.
func (g *PCG) Unit() float64 {
	old := uint64(*g)
	*g = PCG(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return (float64(x>>r|x<<(-r&31)) + 0.5) / (1 << 32)
}

// Exp draws from the exponential distribution of mean 1.
func (g *PCG) Exp() float64 { return -math.Log(g.Unit()) }

// Normal draws from the normal distribution of mean 0 and variance 1, by Box and Muller's method.
func (g *PCG) Normal() float64 {
	return math.Sqrt(-2*math.Log(g.Unit())) * math.Cos(2*math.Pi*g.Unit())
}
