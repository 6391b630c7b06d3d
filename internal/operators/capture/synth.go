package capture

import (
	"math"

	"puffinlink.example/puffinlink/internal/random"
)

// Synth is a load that nobody has captured, as it is stated. Times are seconds.
type Synth struct {
	At, For, Span float64 // begins, lasts, one interval
	PerS          float64 // queries, in the mean
	Indexes       []SynthIndex
	Shards        int
	Skew          float64   // of popularity: shard of rank r is asked for as 1 / r^Skew
	Day           []float64 // factors over a day, evenly apart, with straight lines between; none for 1
	Bursts        []Burst
	MonthEnd      float64 // factor on the last day of each month of 30 days from the beginning; 0 or 1 for none
	Seed          uint64  // of what chance adds; 0 for none
}

// SynthIndex is one index of it.
type SynthIndex struct {
	Index, Customer string
	Share           float64 // of queries
	Parts           int
	Hint            float64 // work of a part
}

// Burst multiplies the load for a while.
type Burst struct{ From, For, Factor float64 }

// mostIntervals is a month of seconds: more would not fit in memory.
const mostIntervals = 31 * 86400

// around draws a count about a mean, as arrivals that know nothing of one another come: by the normal approximation
// of Poisson's distribution.
func around(g *random.PCG, mean float64) int64 {
	if *g == 0 || mean <= 0 {
		return int64(math.Round(mean))
	}
	return max(0, int64(math.Round(mean+g.Normal()*math.Sqrt(mean))))
}

func (s *Synth) check() error {
	total := 0.0
	for i, x := range s.Indexes {
		if x.Index == "" || !(x.Share > 0) || x.Parts < 1 || x.Parts > s.Shards || !(x.Hint >= 0) {
			return invalid("index %d (%q): share %g, %d parts, hint %g; expected a name, more than none, 1 to %d parts, and 0 or more", i, x.Index, x.Share, x.Parts, x.Hint, s.Shards)
		}
		total += x.Share
	}
	switch {
	case len(s.Indexes) == 0:
		return invalid("expected at least one index")
	case math.Abs(total-1) > 1e-6:
		return invalid("shares of the indexes sum to %g, expected 1", total)
	case !(s.PerS > 0) || !(s.For > 0) || !(s.Span > 0) || s.Shards < 1 || !(s.Skew >= 0) || s.At < 0:
		return invalid("%g lookups a second for %g s by %g s over %d shards of skew %g, expected more than none of each, and a skew of 0 or more", s.PerS, s.For, s.Span, s.Shards, s.Skew)
	case s.For/s.Span > mostIntervals:
		return invalid("%g intervals, %d at most", s.For/s.Span, mostIntervals)
	}
	for _, f := range s.Day {
		if !(f >= 0) {
			return invalid("a factor of %g over the day, expected 0 or more", f)
		}
	}
	for _, b := range s.Bursts {
		if !(b.Factor >= 0) || !(b.For > 0) {
			return invalid("a burst of %g times for %g s, expected 0 or more for more than none", b.Factor, b.For)
		}
	}
	return nil
}

// factor is what the load is multiplied by, so many seconds after its beginning.
func (s *Synth) factor(t float64) float64 {
	f := 1.0
	if n := len(s.Day); n > 0 {
		at := math.Mod(t, 86400) / 86400 * float64(n)
		i := int(at)
		f = s.Day[i%n] + (at-float64(i))*(s.Day[(i+1)%n]-s.Day[i%n])
	}
	for _, b := range s.Bursts {
		if t >= b.From && t < b.From+b.For {
			f *= b.Factor
		}
	}
	if s.MonthEnd > 0 && int(t/86400)%30 == 29 {
		f *= s.MonthEnd
	}
	return f
}

// Popularity is the share of parts of each shard.
func Popularity(shards int, skew float64) []float64 {
	list, sum := make([]float64, shards), 0.0
	for r := range list {
		list[r] = math.Pow(float64(r+1), -skew)
		sum += list[r]
	}
	for r := range list {
		list[r] /= sum
	}
	return list
}

// Make makes the capture: what is asked for, without outcomes, as nobody has served it. Each interval goes to each.
func (s *Synth) Make(each func(*Interval) error) error {
	if err := s.check(); err != nil {
		return err
	}
	generator := random.PCG(s.Seed)
	popular := Popularity(s.Shards, s.Skew)
	remainders := make([][]float64, len(s.Indexes)) // what rounding owes each shard
	for k := range remainders {
		remainders[k] = make([]float64, s.Shards)
	}
	for n := 0; float64(n)*s.Span < s.For-1e-9; n++ {
		t := float64(n) * s.Span
		interval := Interval{At: s.At + t, Span: s.Span, Aggregators: []string{"synth"}}
		rate := s.PerS * s.factor(t+s.Span/2)
		for k, load := range s.Indexes {
			queries := around(&generator, rate*load.Share*s.Span)
			if queries == 0 {
				continue
			}
			parts := queries * int64(load.Parts)
			interval.Loads = append(interval.Loads, Load{Index: load.Index, Customer: load.Customer, Queries: queries, Parts: parts, Hint: load.Hint * float64(parts)})
			interval.Indexes = append(interval.Indexes, IndexLoad{Index: load.Index, Parts: map[int]int64{load.Parts: queries}})
			for shard, share := range popular {
				remainder := remainders[k][shard] + float64(parts)*share
				if complete := math.Floor(remainder); complete > 0 {
					interval.Shards = append(interval.Shards, ShardLoad{load.Index, shard, int64(complete)})
					remainder -= complete
				}
				remainders[k][shard] = remainder
			}
		}
		interval.sort()
		if err := each(&interval); err != nil {
			return err
		}
	}
	return nil
}
