// Package policy decides what an aggregator does with its queries: admission, the choice of backends, the order of sending,
// hedges, retries, and when a query is answered. It is a pure state machine. New makes an instance from its settings;
// Step takes the time and all events since the last call, in order, and appends the actions that follow. Between two calls
// nothing changes: there is no I/O, no clock, no goroutine and nothing shared, and the same settings and events give the same
// actions to the last bit.
//
// All times and durations are float64 seconds, as the decisions calculate with them; times are those of the clock that Step
// is given.
//
// The interface is in ids.go, settings.go, events.go, overrides.go and actions.go. The decisions are in these files alone,
// which deploy/balancer.toml lists:
//
//	tuning.go         every tuned value
//	step.go           Step, the state machines of queries and subqueries, the handling of the list and of overrides
//	queries.go        admission, load shedding, deadlines, how a query ends
//	binding.go        which backend a subquery is pending for: latency, queue, slow start, pins and weights
//	sending.go        the order of sending, hedges and retries
//	backendhealth.go  windows, probes, faults, unreachable backends
//
// The other files keep what an instance remembers, and decide nothing. The ordinary path is the scheduling rule SWAG;
// docs/design.md has its source, and says when each exception to it acts.
package policy
