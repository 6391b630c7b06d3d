package plan

import (
	"math"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/policy"
)

// pcg draws what an emulation needs beside what every generator draws.
type pcg struct{ random.PCG }

// about draws a positive figure of this mean and squared coefficient of variation, lognormal: work has a long tail, and
// two figures fix it.
func (g *pcg) about(mean, scv float64) float64 {
	if scv <= 0 {
		return mean
	}
	s2 := math.Log(1 + scv)
	return mean * math.Exp(math.Sqrt(s2)*g.Normal()-s2/2)
}

// work draws what a part of an index takes on a core of speed 1, by its shape or else lognormal.
func (g *pcg) work(x *Index) float64 {
	if len(x.Shape) == 0 {
		return g.about(x.Work, x.Scv)
	}
	at := g.Unit() * float64(len(x.Shape)-1)
	i := min(int(at), len(x.Shape)-2)
	return x.Work * (x.Shape[i] + (at-float64(i))*(x.Shape[i+1]-x.Shape[i]))
}

// happening is one thing to come in the emulated world.
type happening struct {
	at   float64
	no   int // order among those at one time
	what func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].no < a[j].no
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) } //nolint:forcetypeassert // heap.Interface takes any, and only happenings are pushed

func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// work is a part call at a backend.
type work struct {
	aggregator *aggregator
	subquery   policy.SubqueryID
	no         policy.CallNo
	k          policy.IndexID
	sent       float64
	gone       bool // its aggregator waits no more
}

// station is a backend: so many cores, and a queue before them.
type station struct {
	Backend
	id      policy.BackendID
	busy    int
	queue   []*work
	most    int
	used    float64 // core seconds
	calls   int64
	refused int64
}

// query is a query as its client sees it, all tries together.
type query struct {
	share  int
	began  float64
	tries  int
	shards []int
	counts bool // began after the warm-up
}

// taken is a try that an aggregator holds.
type taken struct {
	of         *query
	subqueries []policy.SubqueryID
}

// aggregator is one decision module in the emulated world.
type aggregator struct {
	m          *policy.Aggregator
	events     []policy.Event
	actions    []policy.Action
	stepped    float64
	waiting    bool // a step is on the agenda
	queries    map[policy.QueryID]*taken
	subqueries map[policy.SubqueryID]policy.IndexID
	made       map[policy.SubqueryID]policy.CallNo
	out        map[callKey]*work
	lastID     uint64
	mostHeld   int
	mostOut    int
}

type callKey struct {
	subquery policy.SubqueryID
	no       policy.CallNo
}

// world is a fleet under a load.
type world struct {
	f           *Site
	a           *Ask
	g           pcg
	now         float64
	agenda      agenda
	no          int
	stations    []*station
	byID        map[policy.BackendID]*station
	aggregators []*aggregator
	popular     []float64 // sums up to each shard
	warm        float64
	end         float64
	got         Outcome
}
