package capture

import (
	"math"

	"puffinlink.example/puffinlink/internal/random"
)

// SyntheticLoad describes a load from which intervals are generated. Times are in seconds.
type SyntheticLoad struct {
	Start, Duration, Span float64 // beginning and duration of the load, and length of an interval
	QueriesPerSecond      float64 // on average
	Indexes               []SyntheticIndex
	Shards                int
	Skew                  float64   // the popularity of the shard with rank r is proportional to 1 / r^Skew
	DayFactors            []float64 // evenly spaced over a day and linearly interpolated; empty for a constant 1
	Bursts                []Burst
	MonthEndFactor        float64 // on the last day of each 30-day month from the beginning; 0 or 1 for none
	Seed                  uint64  // of the random variation; 0 for none
}

// SyntheticIndex is one index of a synthetic load.
type SyntheticIndex struct {
	Index, Customer string
	Share           float64 // of queries
	Parts           int
	Hint            float64 // expected work of a subquery
}

// Burst multiplies the load by a factor for a duration.
type Burst struct{ From, Duration, Factor float64 }

// maxIntervals is the number of seconds in a month. More intervals would not fit in memory.
const maxIntervals = 31 * 86400

// sampleCount draws the number of independent arrivals with a mean. It uses the normal approximation of the Poisson
// distribution. A zero generator adds no random variation.
func sampleCount(g *random.PCG, mean float64) int64 {
	if *g == 0 || mean <= 0 {
		return int64(math.Round(mean))
	}
	return max(0, int64(math.Round(mean+g.Normal()*math.Sqrt(mean))))
}

// check returns an error if the parameters are invalid.
func (s *SyntheticLoad) check() error {
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
	case !(s.QueriesPerSecond > 0) || !(s.Duration > 0) || !(s.Span > 0) || s.Shards < 1 || !(s.Skew >= 0) || s.Start < 0:
		return invalid("%g lookups a second for %g s by %g s over %d shards of skew %g, expected more than none of each, and a skew of 0 or more", s.QueriesPerSecond, s.Duration, s.Span, s.Shards, s.Skew)
	case s.Duration/s.Span > maxIntervals:
		return invalid("%g intervals, %d at most", s.Duration/s.Span, maxIntervals)
	}
	for _, f := range s.DayFactors {
		if !(f >= 0) {
			return invalid("a factor of %g over the day, expected 0 or more", f)
		}
	}
	for _, b := range s.Bursts {
		if !(b.Factor >= 0) || !(b.Duration > 0) {
			return invalid("a burst of %g times for %g s, expected 0 or more for more than none", b.Factor, b.Duration)
		}
	}
	return nil
}

// factor returns the factor of the load t seconds after its beginning.
func (s *SyntheticLoad) factor(t float64) float64 {
	f := 1.0
	if n := len(s.DayFactors); n > 0 {
		at := math.Mod(t, 86400) / 86400 * float64(n)
		i := int(at)
		f = s.DayFactors[i%n] + (at-float64(i))*(s.DayFactors[(i+1)%n]-s.DayFactors[i%n])
	}
	for _, b := range s.Bursts {
		if t >= b.From && t < b.From+b.Duration {
			f *= b.Factor
		}
	}
	if s.MonthEndFactor > 0 && int(t/86400)%30 == 29 {
		f *= s.MonthEndFactor
	}
	return f
}

// Popularity returns the share of the subqueries that each shard receives. The shares sum to 1.
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

// Generate generates the intervals and calls each for every one. They hold queries and subqueries but no outcomes, because no
// aggregator has served the load.
func (s *SyntheticLoad) Generate(each func(*Interval) error) error {
	if err := s.check(); err != nil {
		return err
	}
	generator := random.PCG(s.Seed)
	popular := Popularity(s.Shards, s.Skew)
	remainders := make([][]float64, len(s.Indexes)) // fractions of subqueries that rounding has carried over, by index and shard
	for k := range remainders {
		remainders[k] = make([]float64, s.Shards)
	}
	for n := 0; float64(n)*s.Span < s.Duration-1e-9; n++ {
		t := float64(n) * s.Span
		interval := Interval{At: s.Start + t, Span: s.Span, Aggregators: []string{"synth"}}
		rate := s.QueriesPerSecond * s.factor(t+s.Span/2)
		for k, load := range s.Indexes {
			queries := sampleCount(&generator, rate*load.Share*s.Span)
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
