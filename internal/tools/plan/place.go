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
	for _, offer := range offers {
		if !(offer.Capacity > 0) || !(offer.Price > 0) || offer.Max < 1 {
			return Purchase{}, wrong("location %s offers capacity %g at %g, %d at most: expected more than none of each", offer.Location, offer.Capacity, offer.Price, offer.Max)
		}
	}
	best := Purchase{Price: math.Inf(1)}
	all := make([]int, len(offers))
	for i, offer := range offers {
		all[i] = offer.Max
	}
	if !sustains(offers, all, demand, spare) {
		return best, wrong("all searchers that may stand there do not bear %.3g core seconds a second with a location lost", demand)
	}
	combinations := 1.0
	for _, offer := range offers {
		combinations *= float64(offer.Max + 1)
	}
	if combinations <= maxExactPurchases {
		search := purchaseSearch{offers: offers, demand: demand, spare: spare, counts: make([]int, len(offers)), best: best}
		search.from(0, 0)
		search.best.Bound = search.best.Price
		return search.best, nil
	}
	best = greedy(offers, demand, spare)
	best.Bound = lowerBound(offers, demand)
	return best, nil
}

// sustains tells whether a purchase bears the demand through the worst loss.
func sustains(offers []Offer, counts []int, demand float64, spare int) bool {
	for lost := range offers {
		remaining := 0.0
		var sizes []Offer
		for i, o := range offers {
			if i != lost && counts[i] > 0 {
				remaining += o.Capacity * float64(counts[i])
				sizes = append(sizes, Offer{Capacity: o.Capacity, Max: counts[i]})
			}
		}
		slices.SortFunc(sizes, func(x, y Offer) int { return cmp.Compare(y.Capacity, x.Capacity) })
		for n := spare; n > 0 && len(sizes) > 0; sizes = sizes[1:] {
			failed := min(n, sizes[0].Max)
			remaining -= float64(failed) * sizes[0].Capacity
			n -= failed
		}
		if remaining < demand-1e-9 {
			return false
		}
	}
	return true
}

// purchaseSearch goes through all purchases.
type purchaseSearch struct {
	offers []Offer
	demand float64
	spare  int
	counts []int // of the purchase that is looked at
	best   Purchase
}

// from goes through the counts of the i-th offer and of all after it; price is that of the ones before.
func (search *purchaseSearch) from(i int, price float64) {
	if price >= search.best.Price-1e-12 {
		return
	}
	if i == len(search.offers) {
		if sustains(search.offers, search.counts, search.demand, search.spare) {
			search.best = Purchase{Counts: slices.Clone(search.counts), Price: price}
		}
		return
	}
	for n := 0; n <= search.offers[i].Max; n++ {
		search.counts[i] = n
		search.from(i+1, price+float64(n)*search.offers[i].Price)
	}
	search.counts[i] = 0
}

// greedy takes backends off the fullest purchase while it still bears, the dearest for its capacity first, and then
// tries to swap one for a cheaper one.
func greedy(offers []Offer, demand float64, spare int) (b Purchase) {
	counts := make([]int, len(offers))
	order := make([]int, len(offers))
	for i, offer := range offers {
		counts[i], order[i] = offer.Max, i
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
	Copies         Copies  `json:"Copies"`
	Moves          int     `json:"Moves"` // copies that stand elsewhere than today
	MaxUtilization float64 `json:"Most"`  // load of the fullest backend against its capacity
	Bound          float64 `json:"Bound"` // no placement has less
}

// Place puts so many copies of each shard on backends, no two of one shard in one location, so that what is asked for is
// balanced; of those about as good, the one that moves least from today's. load is what each shard brings, all copies
// together; capacity of a backend is its Cores x Speed.
func Place(site *Site, load []float64, copies int, today Copies) (Placement, error) {
	locations := map[string]bool{}
	capacity, totalCapacity := make([]float64, len(site.Backends)), 0.0
	for i, shard := range site.Backends {
		locations[shard.Location] = true
		capacity[i] = float64(shard.Cores) * shard.Speed
		totalCapacity += capacity[i]
	}
	if copies < 1 || len(locations) < copies {
		return Placement{}, wrong("%d copies in %d locations: expected a location for each copy", copies, len(locations))
	}
	placed := Placement{Copies: make(Copies, len(load))}
	totalLoad, largest := 0.0, 0.0
	for _, shardLoad := range load {
		totalLoad += shardLoad
		largest = max(largest, shardLoad/float64(copies))
	}
	placed.Bound = max(totalLoad/totalCapacity, largest/slices.Max(capacity))
	order := make([]int, len(load))
	for shard := range order {
		order[shard] = shard
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(load[y], load[x]) })
	used := make([]float64, len(site.Backends))
	placedToday := func(shard, i int) bool { return shard < len(today) && slices.Contains(today[shard], i) }
	for _, shard := range order {
		perCopy := load[shard] / float64(copies)
		for range copies {
			best, least := -1, math.Inf(1)
			for i := range site.Backends {
				if slices.ContainsFunc(placed.Copies[shard], func(other int) bool { return site.Backends[other].Location == site.Backends[i].Location }) {
					continue
				}
				utilization := (used[i] + perCopy) / capacity[i]
				if placedToday(shard, i) && utilization <= placed.Bound*(1+stayTolerance) {
					utilization = -1 + utilization // it stays where it is while that is about as good
				}
				if utilization < least {
					best, least = i, utilization
				}
			}
			used[best] += perCopy
			placed.Copies[shard] = append(placed.Copies[shard], best)
		}
	}
	placed.rebalance(site, load, copies, used, capacity)
	for shard, list := range placed.Copies {
		for _, i := range list {
			if !placedToday(shard, i) {
				placed.Moves++
			}
		}
	}
	for i := range used {
		placed.MaxUtilization = max(placed.MaxUtilization, used[i]/capacity[i])
	}
	return placed, nil
}

// stayTolerance is how much above the least possible a backend may be filled by what stands there already.
const stayTolerance = 0.05

// rebalance moves copies off the fullest backend while that helps.
func (p *Placement) rebalance(site *Site, load []float64, copies int, used, capacity []float64) {
	for range 4 * len(load) {
		source := 0
		for i := range used {
			if used[i]/capacity[i] > used[source]/capacity[source] {
				source = i
			}
		}
		worst := used[source] / capacity[source]
		if worst <= p.Bound*(1+stayTolerance/2) {
			return
		}
		bestShard, bestCopy, bestTarget, least := -1, -1, -1, worst-1e-12
		for shard, list := range p.Copies {
			copyNo := slices.Index(list, source)
			if copyNo < 0 {
				continue
			}
			each := load[shard] / float64(copies)
			for target := range site.Backends {
				clash := slices.ContainsFunc(list, func(other int) bool {
					return other != source && site.Backends[other].Location == site.Backends[target].Location
				})
				if target == source || clash || each == 0 {
					continue
				}
				if after := max((used[target]+each)/capacity[target], (used[source]-each)/capacity[source]); after < least {
					bestShard, bestCopy, bestTarget, least = shard, copyNo, target, after
				}
			}
		}
		if bestShard < 0 {
			return
		}
		each := load[bestShard] / float64(copies)
		used[source], used[bestTarget] = used[source]-each, used[bestTarget]+each
		p.Copies[bestShard][bestCopy] = bestTarget
	}
}
