// Package capture records the load of an aggregator in intervals. The planner uses the records to predict how another fleet
// would serve that load. The aggregator's event loop calls the Recorder, which only counts: it does no I/O, reads no clock
// and starts no goroutine. A Writer writes the intervals to files. The package also reads, merges and selects captures, and
// generates synthetic loads.
package capture

import (
	"puffinlink.example/puffinlink/policy"
)

// Limits of one interval.
const (
	// maxBackendRows limits the rows for pairs of a backend and an index. 1,000 backends with four indexes take 10 MB. Calls of
	// pairs beyond the limit are counted under the name otherBackends.
	maxBackendRows = 4096
	// otherBackends is the backend name of rows beyond maxBackendRows.
	otherBackends = "(others)"
)

// Names holds the names of the indexes and customers that the aggregator identifies by number.
type Names struct {
	Indexes, Customers []string
	SoftDeadlines      []float64 // by index, in seconds
	Shards             int
}

// BackendCalls holds a recorder's counts for one backend: the subqueries in flight, and the results of the current interval.
// It is kept while the list names the backend or a subquery to it is in flight.
type BackendCalls struct {
	name, location string
	inFlight       int
	rows           []*BackendLoad // by index; nil if no subquery has ended in this interval
	removed        bool
}

// Recorder counts the load of one aggregator. It is not safe for concurrent use.
type Recorder struct {
	aggregator      string
	names           Names
	span            float64 // length of an interval in seconds
	started         bool    // set by the first call of Due
	intervalStart   float64
	loads           [][]Load        // by index and customer
	parts           []map[int]int64 // by index: number of queries by their number of subqueries
	latency         []Histogram
	shards          [][]int64 // by index and shard: number of subqueries
	backends        map[policy.BackendID]*BackendCalls
	rowCount        int // rows of all backends in the current interval
	queriesInFlight inFlightMeter
	callsInFlight   inFlightMeter
}

// inFlightMeter measures the mean over time and the peak of a number in flight.
type inFlightMeter struct {
	current, peak int64
	at, sum       float64 // time of the last adjustment, and the integral of current up to it
}

// adjust adds to the current number.
func (m *inFlightMeter) adjust(now float64, by int64) {
	m.sum += float64(m.current) * max(0, now-m.at)
	m.at = now
	m.current = max(0, m.current+by)
	m.peak = max(m.peak, m.current)
}

// endInterval returns the mean and the peak of the current interval and begins the next.
func (m *inFlightMeter) endInterval(now, span float64) Level {
	m.adjust(now, 0)
	l := Level{m.sum / span, m.peak}
	m.sum, m.peak = 0, m.current
	return l
}

// New returns a recorder for the named aggregator, with intervals of span seconds.
func New(aggregator string, names Names, span float64) *Recorder {
	rec := &Recorder{aggregator: aggregator, names: names, span: span, backends: map[policy.BackendID]*BackendCalls{}}
	rec.clear()
	return rec
}

// clear resets the counts at the beginning of an interval.
func (rec *Recorder) clear() {
	n := len(rec.names.Indexes)
	rec.loads, rec.parts, rec.latency, rec.shards = make([][]Load, n), make([]map[int]int64, n), make([]Histogram, n), make([][]int64, n)
	for k := range n {
		rec.loads[k] = make([]Load, len(rec.names.Customers)+1)
		rec.parts[k], rec.shards[k] = map[int]int64{}, make([]int64, rec.names.Shards)
	}
	rec.rowCount = 0
}

// BackendAdded records a backend's name and location.
func (rec *Recorder) BackendAdded(id policy.BackendID, name, location string) {
	backend := rec.backend(id)
	backend.name, backend.location, backend.removed = name, location, false
}

// BackendRemoved marks a backend that the list no longer names. It is dropped at the end of the first interval at which no
// subquery to it is in flight.
func (rec *Recorder) BackendRemoved(id policy.BackendID) {
	if s := rec.backends[id]; s != nil {
		s.removed = true
	}
}

// backend returns the counts of a backend, which it creates if necessary.
func (rec *Recorder) backend(id policy.BackendID) *BackendCalls {
	s := rec.backends[id]
	if s == nil {
		s = &BackendCalls{rows: make([]*BackendLoad, len(rec.names.Indexes))}
		rec.backends[id] = s
	}
	return s
}

// load returns the counts of a customer's queries of an index. Unknown customers share the last entry.
func (rec *Recorder) load(k policy.IndexID, c policy.CustomerID) *Load {
	list := rec.loads[k]
	if int(c) < 0 || int(c) >= len(list) {
		c = policy.CustomerID(len(list) - 1)
	}
	return &list[c]
}

// QueryStarted counts a query and its subqueries. The hint is the expected work of all subqueries together, in seconds.
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
	rec.queriesInFlight.adjust(now, 1)
}

// End is the outcome of a query.
type End uint8

// Outcomes of a query.
const (
	Answered End = iota
	Rejected
	Aborted
	Disconnected
	Full // rejected, because the aggregator held its maximum number of queries
)

// QueryEnded counts the end of a query. The elapsed time is in seconds since the query arrived.
func (rec *Recorder) QueryEnded(now float64, k policy.IndexID, c policy.CustomerID, end End, elapsed float64) {
	e := &rec.load(k, c).Ends
	switch end {
	case Answered:
		if elapsed <= rec.names.SoftDeadlines[k] {
			e.Satisfied++
		} else {
			e.Late++
		}
		rec.latency[k].Add(elapsed, 1)
	case Rejected:
		e.Rejected++
	case Aborted:
		e.Aborted++
	case Disconnected:
		e.Disconnected++
	case Full:
		e.Full++
		return
	}
	rec.queriesInFlight.adjust(now, -1)
}

// CallSent counts a subquery that is sent to a backend. It returns the backend's counts, which CallEnded needs, and reports
// whether this aggregator had no other subquery in flight at the backend.
func (rec *Recorder) CallSent(now float64, id policy.BackendID) (s *BackendCalls, alone bool) {
	rec.callsInFlight.adjust(now, 1)
	s = rec.backend(id)
	s.inFlight++
	return s, s.inFlight == 1
}

// row returns the counts of a backend and an index in the current interval, which it creates if necessary.
func (rec *Recorder) row(s *BackendCalls, k policy.IndexID) *BackendLoad {
	if s.rows[k] == nil {
		s.rows[k] = &BackendLoad{Backend: s.name, Location: s.location, Index: rec.names.Indexes[k]}
		if rec.rowCount++; rec.rowCount > maxBackendRows {
			s.rows[k].Backend, s.rows[k].Location = otherBackends, ""
		}
	}
	return s.rows[k]
}

// CallEnd describes the end of a subquery.
type CallEnd struct {
	Index   policy.IndexID
	Outcome policy.Outcome
	Elapsed float64 // seconds since the subquery was sent
	Alone   bool    // as returned by CallSent
	Load    policy.Load
}

// CallEnded counts the end of a subquery. The backend is the value that CallSent returned.
func (rec *Recorder) CallEnded(now float64, backend *BackendCalls, end CallEnd) {
	rec.callsInFlight.adjust(now, -1)
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
	case policy.Canceled, policy.NotSent: // caused by this aggregator, so not counted as a failure
	default:
		row.Failed++
	}
	if end.Load.Has&(policy.HasServiceTime|policy.HasUtilization) != 0 {
		row.Reports++
		row.Service += end.Load.ServiceTimeSeconds
		row.Util += end.Load.Utilization
	}
}

// Due reports whether the current interval is over. The first call begins the first interval.
func (rec *Recorder) Due(now float64) bool {
	if !rec.started {
		rec.started, rec.intervalStart = true, now
		rec.queriesInFlight.at, rec.callsInFlight.at = now, now
	}
	return now >= rec.intervalStart+rec.span
}

// EndInterval ends the current interval and returns it.
func (rec *Recorder) EndInterval(now float64) Interval {
	span := max(now-rec.intervalStart, 1e-3)
	interval := Interval{At: rec.intervalStart, Span: span, Aggregators: []string{rec.aggregator}, InFlight: rec.queriesInFlight.endInterval(now, span), CallsInFlight: rec.callsInFlight.endInterval(now, span)}
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
	rec.intervalStart = now
	return interval
}
