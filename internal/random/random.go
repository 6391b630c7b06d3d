// Package random provides a pseudorandom number generator for deterministic state machines and simulations.
//
// The numbers depend on the seed alone. The state of the generator is copied with the struct that holds it, which tests that
// explore all interleavings rely on. The generator is not safe for concurrent use.
//
// The PCG of math/rand/v2 is a different generator with different sequences. It cannot replace this one, because recorded
// simulations and seeded tests depend on these sequences. Package policy contains its own generator, because it consists of a
// single file without dependencies on this module.
package random

import "math"

// PCG is a permuted congruential generator (XSH RR 64/32; O'Neill, "PCG: a family of simple fast space-efficient
// statistically good algorithms for random number generation", 2014). Its value is its state. A generator with a given seed is
// made by the conversion PCG(seed).
type PCG uint64

// Unit returns a number drawn uniformly from the open interval between 0 and 1.
func (g *PCG) Unit() float64 {
	old := uint64(*g)
	*g = PCG(old*6364136223846793005 + 1442695040888963407)
	x, r := uint32(((old>>18)^old)>>27), uint32(old>>59)
	return (float64(x>>r|x<<(-r&31)) + 0.5) / (1 << 32)
}

// Exp returns a number drawn from the exponential distribution with mean 1.
func (g *PCG) Exp() float64 { return -math.Log(g.Unit()) }

// Normal returns a number drawn from the standard normal distribution, by the Box-Muller transform.
func (g *PCG) Normal() float64 {
	return math.Sqrt(-2*math.Log(g.Unit())) * math.Cos(2*math.Pi*g.Unit())
}
