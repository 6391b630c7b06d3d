// Package random is a generator for deterministic state machines and simulations: what it draws depends on its seed alone,
// and its state is copied with the struct that holds it, which explorations of all interleavings rely on. math/rand/v2's PCG
// is another generator with other sequences: recorded simulations and seeded tests are pinned to this one's. Package policy
// has its own, as it is one file by itself.
package random

import "math"

// PCG is a permuted congruential generator (XSH RR 64/32; O'Neill, "PCG: a family of simple fast space-efficient
// statistically good algorithms for random number generation", 2014). Its value is its state; a conversion from a seed starts
// it.
type PCG uint64

// Unit draws uniformly from the open interval between 0 and 1.
func (g *PCG) Unit() float64 {
	old := uint64(*g)
	*g = PCG(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return (float64(x>>r|x<<(-r&31)) + 0.5) / (1 << 32)
}

// Exp draws from the exponential distribution of mean 1.
func (g *PCG) Exp() float64 { return -math.Log(g.Unit()) }

// Normal draws from the standard normal distribution, by the method of Box and Muller.
func (g *PCG) Normal() float64 {
	return math.Sqrt(-2*math.Log(g.Unit())) * math.Cos(2*math.Pi*g.Unit())
}
