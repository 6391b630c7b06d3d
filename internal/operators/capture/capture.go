// Package capture records what load an aggregator had, by intervals, so that the planner can say what would become of it on
// another fleet. The recorder takes what the module's actor sees and counts; it does no I/O, has no clock and no goroutine.
// Blocks and files are in block.go and files.go, merging and cutting in merge.go, made-up loads in synth.go.
package capture

import (
	"puffinlink.example/puffinlink/policy"
)

// Caps of what one interval holds, each with its reason.
const (
	// mostRows is of backends by index: 1,000 backends of four indexes take 10 MB. Those beyond it are counted as others.
	mostRows = 4096
	// others is their name.
	others = "(others)"
)

// Names are what the module has numbers for.
type Names struct {
	Indexes, Customers []string
	Soft               []float64 // soft deadlines by index, seconds
	Shards             int
}

// BackendCalls is a backend in a recorder: its part calls out, and what came of the interval's. It lives while the list names the
// backend or a call to it is out.
type BackendCalls struct {
	name, location string
	inFlight       int
	rows           []*BackendLoad // by index; nil where nothing came
	removed        bool
}

// Recorder counts one aggregator's load. One goroutine alone uses it.
type Recorder struct {
	aggregator      string
	names           Names
	span            float64
	started         bool
	from            float64
	loads           [][]Load // by index and customer
	parts           []map[int]int64
	latency         []Histogram
	shards          [][]int64
	backends        map[policy.BackendID]*BackendCalls
	rowCount        int
	queriesInFlight meter
	callsInFlight   meter
}

// meter is the integral of a count over time.
type meter struct {
	current, most int64
	at, sum       float64
}

func (m *meter) move(now float64, by int64) {
	m.sum += float64(m.current) * max(0, now-m.at)
	m.at = now
	m.current = max(0, m.current+by)
	m.most = max(m.most, m.current)
}

// cut ends an interval and begins the next.
func (m *meter) endInterval(now, span float64) Level {
	m.move(now, 0)
	l := Level{m.sum / span, m.most}
	m.sum, m.most = 0, m.current
	return l
}

// New makes a recorder of an aggregator with intervals of span seconds.
func New(aggregator string, names Names, span float64) *Recorder {
	rec := &Recorder{aggregator: aggregator, names: names, span: span, backends: map[policy.BackendID]*BackendCalls{}}
	rec.clear()
	return rec
}

func (rec *Recorder) clear() {
	n := len(rec.names.Indexes)
	rec.loads, rec.parts, rec.latency, rec.shards = make([][]Load, n), make([]map[int]int64, n), make([]Histogram, n), make([][]int64, n)
	for k := range n {
		rec.loads[k] = make([]Load, len(rec.names.Customers)+1)
		rec.parts[k], rec.shards[k] = map[int]int64{}, make([]int64, rec.names.Shards)
	}
	rec.rowCount = 0
}

// BackendAdded notes a backend's name and location.
func (rec *Recorder) BackendAdded(id policy.BackendID, name, location string) {
	s := rec.backend(id)
	s.name, s.location, s.removed = name, location, false
}

// BackendRemoved lets go of a backend that the list no longer names, with the interval in hand.
func (rec *Recorder) BackendRemoved(id policy.BackendID) {
	if s := rec.backends[id]; s != nil {
		s.removed = true
	}
}

func (rec *Recorder) backend(id policy.BackendID) *BackendCalls {
	s := rec.backends[id]
	if s == nil {
		s = &BackendCalls{rows: make([]*BackendLoad, len(rec.names.Indexes))}
		rec.backends[id] = s
	}
	return s
}

func (rec *Recorder) load(k policy.IndexID, c policy.CustomerID) *Load {
	list := rec.loads[k]
	if int(c) < 0 || int(c) >= len(list) {
		c = policy.CustomerID(len(list) - 1)
	}
	return &list[c]
}

// QueryStarted counts a query with its parts; the hint is of all of them, seconds.
func (rec *Recorder) QueryStarted(now float64, k policy.IndexID, c policy.CustomerID, resent bool, hint float64, shards func(yield func(policy.ShardID) bool)) {
	load := rec.load(k, c)
	load.Queries++
	load.Hint += hint
	if resent {
		load.Resent++
	}
	count := 0
	for s := range shards {
		count++
		if int(s) < len(rec.shards[k]) {
			rec.shards[k][s]++
		}
	}
	load.Parts += int64(count)
	rec.parts[k][count]++
	rec.queriesInFlight.move(now, 1)
}

// End is how a query ended.
type End uint8

// The ends of a query.
const (
	Answered End = iota
	Nacked
	Aborted
	Disconnected
	Full // it was never taken
)

// QueryEnded counts the end of a query, so many seconds after it came.
func (rec *Recorder) QueryEnded(now float64, k policy.IndexID, c policy.CustomerID, how End, took float64) {
	e := &rec.load(k, c).Ends
	switch how {
	case Answered:
		if took <= rec.names.Soft[k] {
			e.Satisfied++
		} else {
			e.Late++
		}
		rec.latency[k].Add(took, 1)
	case Nacked:
		e.Nacked++
	case Aborted:
		e.Aborted++
	case Disconnected:
		e.Disconnected++
	case Full:
		e.Full++
		return
	}
	rec.queriesInFlight.move(now, -1)
}

// CallSent counts a part call that goes out, and tells where it sits and whether it found nothing else of this aggregator there.
func (rec *Recorder) CallSent(now float64, id policy.BackendID) (s *BackendCalls, alone bool) {
	rec.callsInFlight.move(now, 1)
	s = rec.backend(id)
	s.inFlight++
	return s, s.inFlight == 1
}

func (rec *Recorder) row(s *BackendCalls, k policy.IndexID) *BackendLoad {
	if s.rows[k] == nil {
		s.rows[k] = &BackendLoad{Backend: s.name, Location: s.location, Index: rec.names.Indexes[k]}
		if rec.rowCount++; rec.rowCount > mostRows {
			s.rows[k].Backend, s.rows[k].Location = others, ""
		}
	}
	return s.rows[k]
}

// CallEnd is how a part call ended.
type CallEnd struct {
	Index   policy.IndexID
	Outcome policy.Outcome
	Elapsed float64 // seconds since it was sent
	Alone   bool    // CallSent found nothing else of this aggregator at the backend
	Load    policy.Load
}

// CallEnded counts the end of a part call to the backend that CallSent returned.
func (rec *Recorder) CallEnded(now float64, backend *BackendCalls, end CallEnd) {
	rec.callsInFlight.move(now, -1)
	backend.inFlight--
	row := rec.row(backend, end.Index)
	row.Calls++
	switch end.Outcome {
	case policy.Answered:
		if row.Latency.histogram == nil {
			row.Latency, row.Alone = newHistogram(1), newHistogram(1)
		}
		row.Latency.Add(end.Elapsed, 1)
		if end.Alone {
			row.Alone.Add(end.Elapsed, 1)
		}
	case policy.Rejected:
		row.Rejected++
	case policy.Canceled, policy.NotSent: // ours
	default:
		row.Failed++
	}
	if end.Load.Has&(policy.HasService|policy.HasUtil) != 0 {
		row.Reports++
		row.Service += end.Load.ServiceS
		row.Util += end.Load.Util
	}
}

// Due tells whether the interval in hand is over.
func (rec *Recorder) Due(now float64) bool {
	if !rec.started {
		rec.started, rec.from = true, now
		rec.queriesInFlight.at, rec.callsInFlight.at = now, now
	}
	return now >= rec.from+rec.span
}

// Cut ends the interval in hand.
func (rec *Recorder) EndInterval(now float64) Interval {
	span := max(now-rec.from, 1e-3)
	interval := Interval{At: rec.from, Span: span, Aggregators: []string{rec.aggregator}, InFlight: rec.queriesInFlight.endInterval(now, span), CallsInFlight: rec.callsInFlight.endInterval(now, span)}
	for k, index := range rec.names.Indexes {
		for c, load := range rec.loads[k] {
			if load.Queries == 0 && load.Ends == (Ends{}) {
				continue
			}
			if load.Index = index; c < len(rec.names.Customers) {
				load.Customer = rec.names.Customers[c]
			}
			interval.Loads = append(interval.Loads, load)
		}
		if len(rec.parts[k]) > 0 || rec.latency[k].Count() > 0 {
			interval.Indexes = append(interval.Indexes, IndexLoad{index, rec.parts[k], rec.latency[k]})
		}
		for shard, n := range rec.shards[k] {
			if n > 0 {
				interval.Shards = append(interval.Shards, ShardLoad{index, shard, n})
			}
		}
	}
	for id, backend := range rec.backends {
		for k, row := range backend.rows {
			if row != nil {
				interval.Backends = append(interval.Backends, *row)
				backend.rows[k] = nil
			}
		}
		if backend.removed && backend.inFlight == 0 {
			delete(rec.backends, id)
		}
	}
	interval.sort()
	rec.clear()
	rec.from = now
	return interval
}
