package fleettest

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker records the queries of clients and the subqueries that backends received, and compares them with quotas and contracts.
// It shares no code with the aggregators that it checks.
type Checker struct {
	mu               sync.Mutex
	queries          []queryRecord
	subqueries       []subqueryRecord
	zoneRequirements []zoneRequirement
}

// queryRecord describes a finished query. If the query was admitted, that happened between sent and ended.
type queryRecord struct {
	aggregator, tenant string
	sent, ended        time.Time
	status             int
	reason             string // body of the answer, or the error if there was no answer
}

// subqueryRecord describes a subquery that a backend received.
type subqueryRecord struct {
	backend, zone, tenant string
	at                    time.Time
}

// zoneRequirement lists the zones in which subqueries of a tenant may begin during a period.
type zoneRequirement struct {
	tenant string
	zones  []string
	from   time.Time
	until  time.Time // zero while the requirement is in force
}

// NewChecker returns a checker without records.
func NewChecker() *Checker { return &Checker{} }

// RecordSubquery records that a backend received a subquery. The query text begins with the tenant's name.
func (c *Checker) RecordSubquery(backend, zone, query string) {
	tenant, _, _ := strings.Cut(query, " ")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subqueries = append(c.subqueries, subqueryRecord{backend, zone, tenant, time.Now()})
}

// RecordQuery records a finished query. The status is 0 if there was no answer.
func (c *Checker) RecordQuery(aggregator, tenant string, sent time.Time, status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queries = append(c.queries, queryRecord{aggregator, tenant, sent, time.Now(), status, reason})
}

// RequireZones requires that from now on no subquery of a tenant begins outside of zones. It replaces the tenant's previous
// requirement.
func (c *Checker) RequireZones(tenant string, zones ...string) {
	c.RequireZonesFrom(time.Now(), tenant, zones...)
}

// RequireZonesFrom does the same as RequireZones, from the given time on.
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

// ContractViolations describes each subquery that began in a zone that the requirement in force did not allow.
func (c *Checker) ContractViolations() (violations []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, record := range c.subqueries {
		for _, requirement := range c.zoneRequirements {
			if record.tenant == requirement.tenant && record.at.After(requirement.from) && (requirement.until.IsZero() || record.at.Before(requirement.until)) && !slices.Contains(requirement.zones, record.zone) {
				violations = append(violations, fmt.Sprintf("%s: a subquery began at %s in zone %s, %s after the start of a contract that allows %q", record.tenant, record.backend, record.zone,
					record.at.Sub(requirement.from).Round(time.Millisecond), requirement.zones))
			}
		}
	}
	return violations
}

// admittedQueries returns the admitted queries of a tenant at one aggregator, or at all of them if aggregator is empty.
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

// QuotaExcess returns the largest number of queries by which a tenant exceeded its quota in any time window, and a description of
// that window. A query counts in a window only if it was both sent and answered in it, because it could otherwise have been
// admitted outside of the window. Queries that were lost, or rejected after admission, are not counted, so the result can be too
// low but never too high.
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
	// For each start of a window, go through the queries sent since then in the order of their answers. The answer to the n-th
	// query ends the shortest window that contains n queries.
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

// AdmittedRate returns how many queries of a tenant per second were admitted between two times, at one aggregator or at all of them
// if aggregator is empty.
func (c *Checker) AdmittedRate(tenant, aggregator string, from, to time.Time) float64 {
	n := 0
	for _, record := range c.admittedQueries(tenant, aggregator) {
		if record.sent.After(from) && record.ended.Before(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}

// UnansweredCount returns the number of queries without a final answer, except those sent to the excluded aggregators.
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

// RejectionReasons counts the queries that were not admitted, by aggregator, tenant, status and reason.
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

// StatusCounts counts a tenant's queries sent since a time, by the status of their answers. It counts those at one aggregator, or
// at all of them if aggregator is empty.
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

// P99 returns the latency that 99 of 100 admitted queries of a tenant did not exceed, of those sent between two times. It returns 0
// if there are none.
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
