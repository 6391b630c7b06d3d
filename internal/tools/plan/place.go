package plan

import (
	"cmp"
	"math"
	"slices"
)

// Offer describes the backends that can be bought at a location.
type Offer struct {
	Location string  `json:"Location"`
	Price    float64 `json:"Price"`    // of one backend
	Capacity float64 `json:"Capacity"` // of one backend in core seconds per second, at the utilization that meets the goals
	Max      int     `json:"Most"`     // maximum number of backends at the location
}

// Purchase is a number of backends for each offer.
type Purchase struct {
	Counts []int   `json:"Counts"` // in the order of the offers
	Price  float64 `json:"Price"`
	Bound  float64 `json:"Bound"` // lower bound of the price of any purchase; equal to Price if the search was exhaustive
}

// maxExactPurchases is the largest number of possible purchases that are searched exhaustively.
const maxExactPurchases = 2_000_000

// CheapestPurchase finds the cheapest purchase whose capacity sustains demand after the loss of any one location and of spare
// further backends, those with the largest capacity. Up to maxExactPurchases possible purchases are searched exhaustively by
// branch and bound. Beyond that the result is approximate, and its Bound limits the difference from the optimum.
func CheapestPurchase(offers []Offer, demand float64, spare int) (Purchase, error) {
	if len(offers) < 2 {
		return Purchase{}, invalid("%d locations: expected two at least, or the loss of one leaves nothing", len(offers))
	}
	for _, offer := range offers {
		if !(offer.Capacity > 0) || !(offer.Price > 0) || offer.Max < 1 {
			return Purchase{}, invalid("location %s offers capacity %g at %g, %d at most: expected more than none of each", offer.Location, offer.Capacity, offer.Price, offer.Max)
		}
	}
	best := Purchase{Price: math.Inf(1)}
	all := make([]int, len(offers))
	for i, offer := range offers {
		all[i] = offer.Max
	}
	if !sustains(offers, all, demand, spare) {
		return best, invalid("all searchers that may stand there do not bear %.3g core seconds a second with a location lost", demand)
	}
	purchases := 1.0
	for _, offer := range offers {
		purchases *= float64(offer.Max + 1)
	}
	if purchases <= maxExactPurchases {
		search := purchaseSearch{offers: offers, demand: demand, spare: spare, counts: make([]int, len(offers)), best: best}
		search.enumerate(0, 0)
		search.best.Bound = search.best.Price
		return search.best, nil
	}
	best = greedyPurchase(offers, demand, spare)
	best.Bound = priceLowerBound(offers, demand)
	return best, nil
}

// sustains reports whether a purchase has enough capacity after the loss of any location and of the largest spare backends.
func sustains(offers []Offer, counts []int, demand float64, spare int) bool {
	for lost := range offers {
		remaining := 0.0
		var surviving []Offer
		for i, offer := range offers {
			if i != lost && counts[i] > 0 {
				remaining += offer.Capacity * float64(counts[i])
				surviving = append(surviving, Offer{Capacity: offer.Capacity, Max: counts[i]})
			}
		}
		slices.SortFunc(surviving, func(x, y Offer) int { return cmp.Compare(y.Capacity, x.Capacity) })
		for failures := spare; failures > 0 && len(surviving) > 0; surviving = surviving[1:] {
			failed := min(failures, surviving[0].Max)
			remaining -= float64(failed) * surviving[0].Capacity
			failures -= failed
		}
		if remaining < demand-1e-9 {
			return false
		}
	}
	return true
}

// purchaseSearch is the state of the exhaustive search.
type purchaseSearch struct {
	offers []Offer
	demand float64
	spare  int
	counts []int // of the current purchase
	best   Purchase
}

// enumerate tries all counts of the i-th and later offers. price is the price of the earlier ones; a branch that is not
// cheaper than the best purchase so far is skipped.
func (search *purchaseSearch) enumerate(i int, price float64) {
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
		search.enumerate(i+1, price+float64(n)*search.offers[i].Price)
	}
	search.counts[i] = 0
}

// greedyPurchase starts with all offered backends and removes as many as the demand allows, those with the highest price for
// their capacity first. It then adds a backend wherever that allows removing others of a higher total price, and repeats
// both until nothing changes.
func greedyPurchase(offers []Offer, demand float64, spare int) (purchase Purchase) {
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
		for _, i := range order { // one more backend of offer j may replace several of offer i
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
	for i, count := range counts {
		purchase.Price += float64(count) * offers[i].Price
	}
	purchase.Counts = counts
	return purchase
}

// priceLowerBound returns a lower bound of the price of any purchase. After the loss of any location the others must sustain
// the demand. The sum over all locations is (locations - 1) x capacity >= locations x demand, and capacity costs at least as
// much as in the cheapest offer.
func priceLowerBound(offers []Offer, demand float64) float64 {
	cheapest := math.Inf(1)
	for _, offer := range offers {
		cheapest = min(cheapest, offer.Price/offer.Capacity)
	}
	locations := float64(len(offers))
	return locations / (locations - 1) * demand * cheapest
}

// Assignment lists, for each shard, the backends that hold its copies, as positions in Site.Backends.
type Assignment [][]int

// Placement is an assignment of copies to backends, with its measures.
type Placement struct {
	Copies         Assignment `json:"Copies"`
	Moves          int        `json:"Moves"` // copies on a backend that does not hold them in the current assignment
	MaxUtilization float64    `json:"Most"`  // highest load of a backend divided by its capacity
	Bound          float64    `json:"Bound"` // lower bound of MaxUtilization for any placement
}

// Place assigns the given number of copies of each shard to backends, with no two copies of a shard in one location. It
// balances the load, and keeps copies on their current backends where the balance is about as good. load is the load of each
// shard, divided evenly among its copies. The capacity of a backend is Cores x Speed. The result is a heuristic; Bound limits
// its difference from the optimum.
func Place(site *Site, load []float64, copies int, current Assignment) (Placement, error) {
	locations := map[string]bool{}
	capacity, totalCapacity := make([]float64, len(site.Backends)), 0.0
	for i, backend := range site.Backends {
		locations[backend.Location] = true
		capacity[i] = float64(backend.Cores) * backend.Speed
		totalCapacity += capacity[i]
	}
	if copies < 1 || len(locations) < copies {
		return Placement{}, invalid("%d copies in %d locations: expected a location for each copy", copies, len(locations))
	}
	placement := Placement{Copies: make(Assignment, len(load))}
	totalLoad, largest := 0.0, 0.0
	for _, shardLoad := range load {
		totalLoad += shardLoad
		largest = max(largest, shardLoad/float64(copies))
	}
	placement.Bound = max(totalLoad/totalCapacity, largest/slices.Max(capacity))
	order := make([]int, len(load))
	for shard := range order {
		order[shard] = shard
	}
	slices.SortStableFunc(order, func(x, y int) int { return cmp.Compare(load[y], load[x]) })
	used := make([]float64, len(site.Backends))
	isCurrent := func(shard, i int) bool { return shard < len(current) && slices.Contains(current[shard], i) }
	for _, shard := range order {
		perCopy := load[shard] / float64(copies)
		for range copies {
			bestBackend, lowest := -1, math.Inf(1)
			for i := range site.Backends {
				if slices.ContainsFunc(placement.Copies[shard], func(other int) bool { return site.Backends[other].Location == site.Backends[i].Location }) {
					continue
				}
				utilization := (used[i] + perCopy) / capacity[i]
				if isCurrent(shard, i) && utilization <= placement.Bound*(1+keepInPlaceTolerance) {
					utilization = -1 + utilization // prefer a backend that holds the copy already
				}
				if utilization < lowest {
					bestBackend, lowest = i, utilization
				}
			}
			used[bestBackend] += perCopy
			placement.Copies[shard] = append(placement.Copies[shard], bestBackend)
		}
	}
	placement.rebalance(site, load, copies, used, capacity)
	for shard, list := range placement.Copies {
		for _, i := range list {
			if !isCurrent(shard, i) {
				placement.Moves++
			}
		}
	}
	for i := range used {
		placement.MaxUtilization = max(placement.MaxUtilization, used[i]/capacity[i])
	}
	return placement, nil
}

// keepInPlaceTolerance is the relative amount by which a backend's utilization may exceed the lower bound before a copy is
// placed elsewhere than on its current backend.
const keepInPlaceTolerance = 0.05

// rebalance moves copies away from the most utilized backend as long as that lowers the maximum, in at most four moves for
// each shard.
func (placement *Placement) rebalance(site *Site, load []float64, copies int, used, capacity []float64) {
	for range 4 * len(load) {
		source := 0
		for i := range used {
			if used[i]/capacity[i] > used[source]/capacity[source] {
				source = i
			}
		}
		worst := used[source] / capacity[source]
		if worst <= placement.Bound*(1+keepInPlaceTolerance/2) {
			return
		}
		bestShard, bestCopy, bestTarget, lowest := -1, -1, -1, worst-1e-12
		for shard, list := range placement.Copies {
			copyIndex := slices.Index(list, source)
			if copyIndex < 0 {
				continue
			}
			perCopy := load[shard] / float64(copies)
			for target := range site.Backends {
				sameLocation := slices.ContainsFunc(list, func(other int) bool {
					return other != source && site.Backends[other].Location == site.Backends[target].Location
				})
				if target == source || sameLocation || perCopy == 0 {
					continue
				}
				if after := max((used[target]+perCopy)/capacity[target], (used[source]-perCopy)/capacity[source]); after < lowest {
					bestShard, bestCopy, bestTarget, lowest = shard, copyIndex, target, after
				}
			}
		}
		if bestShard < 0 {
			return
		}
		perCopy := load[bestShard] / float64(copies)
		used[source], used[bestTarget] = used[source]-perCopy, used[bestTarget]+perCopy
		placement.Copies[bestShard][bestCopy] = bestTarget
	}
}
