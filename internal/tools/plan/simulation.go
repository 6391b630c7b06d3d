package plan

import (
	"math"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// pcg draws what an emulation needs beside what every generator draws.
type pcg struct{ random.PCG }

// logNormal draws a positive figure of this mean and squared coefficient of variation, lognormal: work has a long tail, and
// two figures fix it.
func (g *pcg) logNormal(mean, scv float64) float64 {
	if scv <= 0 {
		return mean
	}
	s2 := math.Log(1 + scv)
	return mean * math.Exp(math.Sqrt(s2)*g.Normal()-s2/2)
}

// call draws what a part of an index takes on a core of speed 1, by its shape or else lognormal.
func (g *pcg) work(x *Index) float64 {
	if len(x.Shape) == 0 {
		return g.logNormal(x.Work, x.Scv)
	}
	at := g.Unit() * float64(len(x.Shape)-1)
	i := min(int(at), len(x.Shape)-2)
	return x.Work * (x.Shape[i] + (at-float64(i))*(x.Shape[i+1]-x.Shape[i]))
}

// scheduledEvent is one thing to come in the emulated world.
type scheduledEvent struct {
	at       float64
	sequence int // order among those at one time
	run      func()
}

type eventHeap []scheduledEvent

func (a eventHeap) Len() int { return len(a) }

func (a eventHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}

func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventHeap) Push(x any) { *a = append(*a, x.(scheduledEvent)) } //nolint:forcetypeassert // heap.Interface takes any, and only happenings are pushed

func (a *eventHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// call is a call for one subquery at a backend.
type call struct {
	aggregator *aggregator
	subquery   policy.SubqueryID
	number     policy.CallNumber
	index      policy.IndexID
	sent       float64
	completed  bool // its aggregator waits no more
}

// queue is a backend as queueing theory sees it: so many servers, its cores, and calls that wait before them.
type queue struct {
	Backend
	id        policy.BackendID
	busy      int
	waiting   []*call
	maxLength int
	used      float64 // core seconds
	calls     int64
	rejected  int64
}

// query is a query as its client sees it, all tries together.
type query struct {
	mix      int
	began    float64
	attempts int
	shards   []int
	counted  bool // began after the warm-up
}

// pendingQuery is a try that an aggregator holds.
type pendingQuery struct {
	query      *query
	subqueries []policy.SubqueryID
}

// aggregator is one decision module in the emulated world.
type aggregator struct {
	policy        *policy.Aggregator
	events        []policy.Event
	actions       []policy.Action
	lastStep      float64
	stepScheduled bool // a step is on the agenda
	queries       map[policy.QueryID]*pendingQuery
	subqueries    map[policy.SubqueryID]policy.IndexID
	nextCall      map[policy.SubqueryID]policy.CallNumber
	inFlight      map[callKey]*call
	lastID        uint64
	maxPending    int
	maxInFlight   int
}

type callKey struct {
	subquery policy.SubqueryID
	number   policy.CallNumber
}

// simulation is a fleet under a load.
type simulation struct {
	site         *Site
	workload     *Workload
	random       pcg
	now          float64
	pending      eventHeap
	lastSequence int
	queues       []*queue
	byID         map[policy.BackendID]*queue
	aggregators  []*aggregator
	popular      []float64 // sums up to each shard
	warm         float64
	end          float64
	outcome      Outcome
}
