package plan

import (
	"cmp"
	"math"
	"slices"
)

// Offer is what a location has of backends.
type Offer struct {
	Location string  `json:"Location"`
	Price    float64 `json:"Price"`    // of one backend
	Capacity float64 `json:"Capacity"` // core seconds a second of one, at the use that keeps the goals
	Max      int     `json:"Most"`     // that may stand there
}

// Purchase is how many backends stand where.
type Purchase struct {
	Counts []int   `json:"Counts"` // by offer
	Price  float64 `json:"Price"`
	Bound  float64 `json:"Bound"` // no purchase costs less; equal to Price where it is exact
}

// maxExactPurchases is how many purchases are gone through one by one.
const maxExactPurchases = 2_000_000

// CheapestPurchase finds the cheapest purchase whose capacity bears demand with any one location lost and, besides, so many backends
// lost wherever it hurts most. Small ones are gone through one by one, with the cheaper ones first cut off by the best
// found; for large ones the bound says how far it may be from the best.
func CheapestPurchase(offers []Offer, demand float64, spare int) (Purchase, error) {
	if len(offers) < 2 {
		return Purchase{}, wrong("%d locations: expected two at least, or the loss of one leaves nothing", len(offers))
	}
	for _, o := range offers {
		if !(o.Capacity > 0) || !(o.Price > 0) || o.Max < 1 {
			return Purchase{}, wrong("location %s offers capacity %g at %g, %d at most: expected more than none of each", o.Location, o.Capacity, o.Price, o.Max)
		}
	}
	best := Purchase{Price: math.Inf(1)}
	all := make([]int, len(offers))
	for i, o := range offers {
		all[i] = o.Max
	}
	if !sustains(offers, all, demand, spare) {
		return best, wrong("all searchers that may stand there do not bear %.3g core seconds a second with a location lost", demand)
	}
	combinations := 1.0
	for _, o := range offers {
		combinations *= float64(o.Max + 1)
	}
	if combinations <= maxExactPurchases {
		counts := make([]int, len(offers))
		searchAll(offers, demand, spare, 0, 0, counts, &best)
		best.Bound = best.Price
		return best, nil
	}
	best = greedy(offers, demand, spare)
	best.Bound = lowerBound(offers, demand)
	return best, nil
}

// sustains tells whether a purchase bears the demand through the worst loss.
func sustains(offers []Offer, counts []int, demand float64, spare int) bool {
	for lost := range offers {
		left := 0.0
		var sizes []Offer
		for i, o := range offers {
			if i != lost && counts[i] > 0 {
				left += o.Capacity * float64(counts[i])
				sizes = append(sizes, Offer{Capacity: o.Capacity, Max: counts[i]})
			}
		}
		slices.SortFunc(sizes, func(x, y Offer) int { return cmp.Compare(y.Capacity, x.Capacity) })
		for n := spare; n > 0 && len(sizes) > 0; sizes = sizes[1:] {
			gone := min(n, sizes[0].Max)
			left -= float64(gone) * sizes[0].Capacity
			n -= gone
		}
		if left < demand-1e-9 {
			return false
		}
	}
	return true
}

func searchAll(offers []Offer, demand float64, spare, i int, price float64, counts []int, best *Purchase) {
	if price >= best.Price-1e-12 {
		return
	}
	if i == len(offers) {
		if sustains(offers, counts, demand, spare) {
			*best = Purchase{Counts: slices.Clone(counts), Price: price}
		}
		return
	}
	for n := 0; n <= offers[i].Max; n++ {
		counts[i] = n
		searchAll(offers, demand, spare, i+1, price+float64(n)*offers[i].Price, counts, best)
	}
	counts[i] = 0
}

// greedy takes backends off the fullest purchase while it still bears, the dearest for its capacity first, and then
// tries to swap one for a cheaper one.
func greedy(offers []Offer, demand float64, spare int) (b Purchase) {
	counts := make([]int, len(offers))
	order := make([]int, len(offers))
	for i, o := range offers {
		counts[i], order[i] = o.Max, i
	}
	slices.SortStableFunc(order, func(x, y int) int {
		return cmp.Compare(offers[y].Price/offers[y].Capacity, offers[x].Price/offers[x].Capacity)
	})
	for changed := true; changed; {
		changed = false
		for _, i := range order {
			for step := max(1, counts[i]/2); step > 0 && counts[i] > 0; {
				step = min(step, counts[i])
				counts[i] -= step
				if sustains(offers, counts, demand, spare) {
					changed = true
				} else {
					counts[i] += step
					step /= 2
				}
			}
		}
		for _, i := range order { // one more of a cheap one may save two dear ones
			for _, j := range order {
				if i == j || counts[j] == offers[j].Max || counts[i] == 0 {
					continue
				}
				counts[j]++
				removed := 0
				for counts[i] > 0 {
					counts[i]--
					if !sustains(offers, counts, demand, spare) {
						counts[i]++
						break
					}
					removed++
				}
				if float64(removed)*offers[i].Price > offers[j].Price+1e-12 {
					changed = true
				} else {
					counts[j]--
					counts[i] += removed
				}
			}
		}
	}
	for i, removed := range counts {
		b.Price += float64(removed) * offers[i].Price
	}
	b.Counts = counts
	return b
}

// lowerBound is a price that no purchase beats. With a location lost the others bear the demand, for each location: summed
// over all of them, (locations - 1) x capacity >= locations x demand, and capacity costs at least the cheapest.
func lowerBound(offers []Offer, demand float64) float64 {
	cheapest := math.Inf(1)
	for _, o := range offers {
		cheapest = min(cheapest, o.Price/o.Capacity)
	}
	n := float64(len(offers))
	return n / (n - 1) * demand * cheapest
}

// Copies is where the copies of each shard stand, by places of backends.
type Copies [][]int

// Placement is a placement and what it comes to.
type Placement struct {
	Copies Copies  `json:"Copies"`
	Moves  int     `json:"Moves"` // copies that stand elsewhere than today
	Most   float64 `json:"Most"`  // load of the fullest backend against its capacity
	Bound  float64 `json:"Bound"` // no placement has less
}

// Place puts so many copies of each shard on backends, no two of one shard in one location, so that what is asked for is
// balanced; of those about as good, the one that moves least from today's. load is what each shard brings, all copies
// together; capacity of a backend is its Cores x Speed.
func Place(site *Site, load []float64, copies int, today Copies) (Placement, error) {
	locations := map[string]bool{}
	capacity, totalCapacity := make([]float64, len(site.Backends)), 0.0
	for i, s := range site.Backends {
		locations[s.Location] = true
		capacity[i] = float64(s.Cores) * s.Speed
		totalCapacity += capacity[i]
	}
	if copies < 1 || len(locations) < copies {
		return Placement{}, wrong("%d copies in %d locations: expected a location for each copy", copies, len(locations))
	}
	placed := Placement{Copies: make(Copies, len(load))}
	totalLoad, largest := 0.0, 0.0
	for _, l := range load {
		totalLoad += l
		largest = max(largest, l/float64(copies))
	}
	placed.Bound = max(totalLoad/totalCapacity, largest/slices.Max(capacity))
	order := make([]int, len(load))
	for s := range order {
		order[s] = s
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(load[y], load[x]) })
	used := make([]float64, len(site.Backends))
	placedToday := func(s, i int) bool { return s < len(today) && slices.Contains(today[s], i) }
	for _, s := range order {
		perCopy := load[s] / float64(copies)
		for range copies {
			best, least := -1, math.Inf(1)
			for i := range site.Backends {
				if slices.ContainsFunc(placed.Copies[s], func(o int) bool { return site.Backends[o].Location == site.Backends[i].Location }) {
					continue
				}
				utilization := (used[i] + perCopy) / capacity[i]
				if placedToday(s, i) && utilization <= placed.Bound*(1+roomToStay) {
					utilization = -1 + utilization // it stays where it is while that is about as good
				}
				if utilization < least {
					best, least = i, utilization
				}
			}
			used[best] += perCopy
			placed.Copies[s] = append(placed.Copies[s], best)
		}
	}
	placed.rebalance(site, load, copies, used, capacity)
	for s, list := range placed.Copies {
		for _, i := range list {
			if !placedToday(s, i) {
				placed.Moves++
			}
		}
	}
	for i := range used {
		placed.Most = max(placed.Most, used[i]/capacity[i])
	}
	return placed, nil
}

// roomToStay is how much above the least possible a backend may be filled by what stands there already.
const roomToStay = 0.05

// rebalance moves copies off the fullest backend while that helps.
func (p *Placement) rebalance(site *Site, load []float64, copies int, used, capacity []float64) {
	for range 4 * len(load) {
		from := 0
		for i := range used {
			if used[i]/capacity[i] > used[from]/capacity[from] {
				from = i
			}
		}
		worst := used[from] / capacity[from]
		if worst <= p.Bound*(1+roomToStay/2) {
			return
		}
		bestShard, bestCopy, bestTo, least := -1, -1, -1, worst-1e-12
		for s, list := range p.Copies {
			copyNo := slices.Index(list, from)
			if copyNo < 0 {
				continue
			}
			each := load[s] / float64(copies)
			for to := range site.Backends {
				clash := slices.ContainsFunc(list, func(o int) bool { return o != from && site.Backends[o].Location == site.Backends[to].Location })
				if to == from || clash || each == 0 {
					continue
				}
				if after := max((used[to]+each)/capacity[to], (used[from]-each)/capacity[from]); after < least {
					bestShard, bestCopy, bestTo, least = s, copyNo, to, after
				}
			}
		}
		if bestShard < 0 {
			return
		}
		each := load[bestShard] / float64(copies)
		used[from], used[bestTo] = used[from]-each, used[bestTo]+each
		p.Copies[bestShard][bestCopy] = bestTo
	}
}
