package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker records what clients and backends saw, and compares it with quotas and contracts. It shares no code with aggregators.
type Checker struct {
	mu         sync.Mutex
	queries    []query
	subqueries []subquery
	contracts  []contract
}

// query is one that ended: it was admitted at some time from sent to ended, if at all.
type query struct {
	aggregator, tenant string
	sent, ended        time.Time
	status             int
	text               string // of an answer that is none: why
}

type subquery struct {
	backend, zone, tenant string
	at                    time.Time
}

// contract is a tenant's contract from a time on, from which no subquery outside of it may begin.
type contract struct {
	tenant string
	zones  []string
	from   time.Time
	until  time.Time // zero for still
}

// NewChecker has seen nothing.
func NewChecker() *Checker { return &Checker{} }

// RecordSubquery records a subquery at a backend, by its query, which begins with the tenant's name.
func (c *Checker) RecordSubquery(backend, zone, query string) {
	tenant, _, _ := strings.Cut(query, " ")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subqueries = append(c.subqueries, subquery{backend, zone, tenant, time.Now()})
}

// RecordQuery records the end of a query.
func (c *Checker) RecordQuery(aggregator, tenant string, sent time.Time, status int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = append(c.queries, query{aggregator, tenant, sent, time.Now(), status, text})
}

// RequireZones requires that from now on no subquery of a tenant begins outside of zones; it replaces the requirement before.
func (c *Checker) RequireZones(tenant string, zones ...string) {
	c.RequireZonesFrom(time.Now(), tenant, zones...)
}

// RequireZonesFrom is the same from a time on.
func (c *Checker) RequireZonesFrom(from time.Time, tenant string, zones ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.contracts {
		if active := &c.contracts[i]; active.tenant == tenant && active.until.IsZero() {
			active.until = from
		}
	}
	c.contracts = append(c.contracts, contract{tenant: tenant, zones: zones, from: from})
}

// ContractViolations lists the subqueries that began in a zone that a contract did not allow.
func (c *Checker) ContractViolations() (wrong []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.subqueries {
		for _, k := range c.contracts {
			if call.tenant == k.tenant && call.at.After(k.from) && (k.until.IsZero() || call.at.Before(k.until)) && !slices.Contains(k.zones, call.zone) {
				wrong = append(wrong, fmt.Sprintf("%s: a subquery began at %s in %s, %s after the contract held that allows %q", call.tenant, call.backend, call.zone,
					call.at.Sub(k.from).Round(time.Millisecond), k.zones))
			}
		}
	}
	return wrong
}

// admitted lists those of a tenant that were.
func (c *Checker) admitted(tenant string, aggregator string) (list []query) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.queries {
		if l.tenant == tenant && (aggregator == "" || l.aggregator == aggregator) && l.status == 200 {
			list = append(list, l)
		}
	}
	return list
}

// QuotaExcess returns by how many queries a tenant went over its quota in any window, and which. What was admitted counts in a
// window only where sending and answer both lie in it, so that nothing is counted that may have been admitted outside. A
// query that is refused after it was admitted, or lost, is not seen, which only lessens the count.
func (c *Checker) QuotaExcess(tenant string, rate, burst float64) (over float64, window string) {
	list := c.admitted(tenant, "")
	if len(list) == 0 {
		return 0, ""
	}
	first := list[0].sent
	for _, l := range list {
		if l.sent.Before(first) {
			first = l.sent
		}
	}
	// For each window's beginning, those sent from there on in the order of their answers: the n-th ends the window that
	// holds n of them.
	slices.SortFunc(list, func(a, b query) int { return a.ended.Compare(b.ended) })
	step := max(1, len(list)/400)
	starts := make([]time.Time, 0, 400)
	for i := 0; i < len(list); i += step {
		starts = append(starts, list[i].sent)
	}
	starts = append(starts, first)
	for _, from := range starts {
		n := 0.0
		for _, l := range list {
			if l.sent.Before(from) {
				continue
			}
			n++
			if excess := n - rate*l.ended.Sub(from).Seconds() - burst; excess > over {
				over, window = excess, fmt.Sprintf("%g queries in %s, %s after the first", n, l.ended.Sub(from).Round(time.Millisecond), from.Sub(first).Round(time.Millisecond))
			}
		}
	}
	return over, window
}

// Rate is how many of a tenant's queries were admitted a second between two times, at one aggregator or at all.
func (c *Checker) Rate(tenant, aggregator string, from, to time.Time) float64 {
	n := 0
	for _, l := range c.admitted(tenant, aggregator) {
		if l.sent.After(from) && l.ended.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// Unanswered counts queries without a final answer, but for those of aggregators that were killed.
func (c *Checker) Unanswered(but ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.queries {
		if l.status == 0 && !slices.Contains(but, l.aggregator) {
			n++
		}
	}
	return n
}

// RejectionReasons counts the queries that were not admitted, by aggregator, status and text.
func (c *Checker) RejectionReasons() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[string]int{}
	for _, l := range c.queries {
		if l.status != 200 {
			n[fmt.Sprintf("%s: %s: %d %s", l.aggregator, l.tenant, l.status, l.text)]++
		}
	}
	return n
}

// StatusCounts counts a tenant's answers since a time, at one aggregator or at all.
func (c *Checker) StatusCounts(tenant, aggregator string, since time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[int]int{}
	for _, l := range c.queries {
		if l.tenant == tenant && (aggregator == "" || l.aggregator == aggregator) && !l.sent.Before(since) {
			n[l.status]++
		}
	}
	return n
}

// P99 is the time that 99 of 100 of a tenant's answers took, of those sent between two times.
func (c *Checker) P99(tenant string, from, to time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var took []time.Duration
	for _, l := range c.queries {
		if l.tenant == tenant && l.sent.After(from) && l.sent.Before(to) && l.status == 200 {
			took = append(took, l.ended.Sub(l.sent))
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)*99/100]
}
