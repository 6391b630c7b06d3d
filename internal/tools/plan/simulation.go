package plan

import (
	"math"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// generator is a random number generator with the additional distributions of the emulation.
type generator struct{ random.PCG }

// drawLogNormal draws from the lognormal distribution with the given mean and squared coefficient of variation. The
// distribution suits work, because it has a long tail and two parameters determine it.
func (g *generator) drawLogNormal(mean, scv float64) float64 {
	if scv <= 0 {
		return mean
	}
	logVariance := math.Log(1 + scv)
	return mean * math.Exp(math.Sqrt(logVariance)*g.Normal()-logVariance/2)
}

// drawWork draws the processing time of a subquery on a core of speed 1. It interpolates the index's quantiles, or uses a
// lognormal distribution if there are none.
func (g *generator) drawWork(index *Index) float64 {
	if len(index.WorkQuantiles) == 0 {
		return g.drawLogNormal(index.Work, index.WorkSCV)
	}
	position := g.Unit() * float64(len(index.WorkQuantiles)-1)
	i := min(int(position), len(index.WorkQuantiles)-2)
	return index.Work * (index.WorkQuantiles[i] + (position-float64(i))*(index.WorkQuantiles[i+1]-index.WorkQuantiles[i]))
}

// scheduledEvent is a function to run at a point of emulated time.
type scheduledEvent struct {
	at       float64
	sequence int // order among events at the same time
	run      func()
}

// eventHeap is a heap of the scheduled events, the earliest first. It implements heap.Interface.
type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(event any) { *h = append(*h, event.(scheduledEvent)) } //nolint:forcetypeassert // heap.Interface takes any, and only scheduledEvent values are pushed

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// call is one call for a subquery to a backend.
type call struct {
	aggregator *emulatedAggregator
	subquery   policy.SubqueryID
	number     policy.CallNumber
	index      policy.IndexID
	sentAt     float64
	completed  bool // the aggregator has been notified of its end
}

// emulatedBackend models a backend as a queue with one server for each core.
type emulatedBackend struct {
	Backend
	id        policy.BackendID
	busyCores int
	waiting   []*call
	maxQueued int
	busyTime  float64 // core seconds within the measured interval
	calls     int64
	rejected  int64
}

// query is a query from its client's side, with all its attempts.
type query struct {
	kind      int // position in Workload.Mix
	startedAt float64
	attempts  int
	shards    []int
	measured  bool // started after the warm-up and counts in the outcome
}

// pendingQuery is one attempt of a query at an aggregator that has not answered it yet.
type pendingQuery struct {
	query      *query
	subqueries []policy.SubqueryID
}

// emulatedAggregator is an aggregator that runs the real policy.
type emulatedAggregator struct {
	policy         *policy.Aggregator
	events         []policy.Event
	actions        []policy.Action
	lastStep       float64 // time of the last step
	stepScheduled  bool    // a step is in the event heap
	queries        map[policy.QueryID]*pendingQuery
	subqueries     map[policy.SubqueryID]policy.IndexID
	nextCallNumber map[policy.SubqueryID]policy.CallNumber // number of the next call for each subquery
	inFlight       map[callKey]*call
	lastID         uint64 // last ID that was assigned to a query or subquery
	maxPending     int
	maxInFlight    int
}

// callKey identifies a call at its aggregator.
type callKey struct {
	subquery policy.SubqueryID
	number   policy.CallNumber
}

// emulation is the state of one run: a deployment under a workload. Times are in seconds from the start of the run.
type emulation struct {
	site                 *Site
	workload             *Workload
	random               generator
	now                  float64
	pendingEvents        eventHeap
	lastSequence         int
	backends             []*emulatedBackend
	backendsByID         map[policy.BackendID]*emulatedBackend
	aggregators          []*emulatedAggregator
	cumulativePopularity []float64 // for each shard, the sum of the frequencies up to it
	warmUpEnd            float64   // queries count in the outcome from here on
	end                  float64   // clients start no new query from here on
	outcome              Outcome
}
