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
	mu               sync.Mutex
	queries          []queryRecord
	subqueries       []subqueryRecord
	zoneRequirements []zoneRequirement
}

// query is one that ended: it was admitted at some time from sent to ended, if at all.
type queryRecord struct {
	aggregator, tenant string
	sent, ended        time.Time
	status             int
	reason             string // of an answer that is none: why
}

type subqueryRecord struct {
	backend, zone, tenant string
	at                    time.Time
}

// contract is a tenant's contract from a time on, from which no subquery outside of it may begin.
type zoneRequirement struct {
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
	c.subqueries = append(c.subqueries, subqueryRecord{backend, zone, tenant, time.Now()})
}

// RecordQuery records the end of a query.
func (c *Checker) RecordQuery(aggregator, tenant string, sent time.Time, status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = append(c.queries, queryRecord{aggregator, tenant, sent, time.Now(), status, reason})
}

// RequireZones requires that from now on no subquery of a tenant begins outside of zones; it replaces the requirement before.
func (c *Checker) RequireZones(tenant string, zones ...string) {
	c.RequireZonesFrom(time.Now(), tenant, zones...)
}

// RequireZonesFrom is the same from a time on.
func (c *Checker) RequireZonesFrom(from time.Time, tenant string, zones ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.zoneRequirements {
		if active := &c.zoneRequirements[i]; active.tenant == tenant && active.until.IsZero() {
			active.until = from
		}
	}
	c.zoneRequirements = append(c.zoneRequirements, zoneRequirement{tenant: tenant, zones: zones, from: from})
}

// ContractViolations lists the subqueries that began in a zone that a contract did not allow.
func (c *Checker) ContractViolations() (violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.subqueries {
		for _, requirement := range c.zoneRequirements {
			if record.tenant == requirement.tenant && record.at.After(requirement.from) && (requirement.until.IsZero() || record.at.Before(requirement.until)) && !slices.Contains(requirement.zones, record.zone) {
				violations = append(violations, fmt.Sprintf("%s: a subquery began at %s in %s, %s after the contract held that allows %q", record.tenant, record.backend, record.zone,
					record.at.Sub(requirement.from).Round(time.Millisecond), requirement.zones))
			}
		}
	}
	return violations
}

// admitted lists those of a tenant that were.
func (c *Checker) admittedQueries(tenant string, aggregator string) (records []queryRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.queries {
		if record.tenant == tenant && (aggregator == "" || record.aggregator == aggregator) && record.status == 200 {
			records = append(records, record)
		}
	}
	return records
}

// QuotaExcess returns by how many queries a tenant went over its quota in any window, and which. What was admitted counts in a
// window only where sending and answer both lie in it, so that nothing is counted that may have been admitted outside. A
// query that is refused after it was admitted, or lost, is not seen, which only lessens the count.
func (c *Checker) QuotaExcess(tenant string, perSecond, burst float64) (excess float64, window string) {
	admitted := c.admittedQueries(tenant, "")
	if len(admitted) == 0 {
		return 0, ""
	}
	first := admitted[0].sent
	for _, record := range admitted {
		if record.sent.Before(first) {
			first = record.sent
		}
	}
	// For each window's beginning, those sent from there on in the order of their answers: the n-th ends the window that
	// holds n of them.
	slices.SortFunc(admitted, func(a, b queryRecord) int { return a.ended.Compare(b.ended) })
	step := max(1, len(admitted)/400)
	starts := make([]time.Time, 0, 400)
	for i := 0; i < len(admitted); i += step {
		starts = append(starts, admitted[i].sent)
	}
	starts = append(starts, first)
	for _, from := range starts {
		n := 0.0
		for _, record := range admitted {
			if record.sent.Before(from) {
				continue
			}
			n++
			if windowExcess := n - perSecond*record.ended.Sub(from).Seconds() - burst; windowExcess > excess {
				excess, window = windowExcess, fmt.Sprintf("%g queries in %s, %s after the first", n, record.ended.Sub(from).Round(time.Millisecond), from.Sub(first).Round(time.Millisecond))
			}
		}
	}
	return excess, window
}

// Rate is how many of a tenant's queries were admitted a second between two times, at one aggregator or at all.
func (c *Checker) AdmittedRate(tenant, aggregator string, from, to time.Time) float64 {
	n := 0
	for _, record := range c.admittedQueries(tenant, aggregator) {
		if record.sent.After(from) && record.ended.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// Unanswered counts queries without a final answer, but for those of aggregators that were killed.
func (c *Checker) UnansweredCount(excluded ...string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.queries {
		if record.status == 0 && !slices.Contains(excluded, record.aggregator) {
			n++
		}
	}
	return n
}

// RejectionReasons counts the queries that were not admitted, by aggregator, status and text.
func (c *Checker) RejectionReasons() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, record := range c.queries {
		if record.status != 200 {
			counts[fmt.Sprintf("%s: %s: %d %s", record.aggregator, record.tenant, record.status, record.reason)]++
		}
	}
	return counts
}

// StatusCounts counts a tenant's answers since a time, at one aggregator or at all.
func (c *Checker) StatusCounts(tenant, aggregator string, since time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, record := range c.queries {
		if record.tenant == tenant && (aggregator == "" || record.aggregator == aggregator) && !record.sent.Before(since) {
			counts[record.status]++
		}
	}
	return counts
}

// P99 is the time that 99 of 100 of a tenant's answers took, of those sent between two times.
func (c *Checker) P99(tenant string, from, to time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var latencies []time.Duration
	for _, record := range c.queries {
		if record.tenant == tenant && record.sent.After(from) && record.sent.Before(to) && record.status == 200 {
			latencies = append(latencies, record.ended.Sub(record.sent))
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}
