// Package policy decides how an aggregator processes its queries: admission, the choice of backends, the order of sending,
// hedged requests, retries, and when to answer a query.
//
// An instance is a deterministic state machine. New creates it from its settings. The aggregator calls Step with the current
// time and all events since the last call, in order. Step appends the resulting actions, which the aggregator carries out.
// Equal settings and events give bit-for-bit equal actions.
//
// The package does no I/O, reads no clock, starts no goroutines and shares no state. An instance changes only during Step.
//
// All times and durations are float64 seconds, the unit in which the decisions calculate. Times refer to the clock of Step's
// caller.
//
// The interface is in ids.go, settings.go, events.go, overrides.go and actions.go. All decisions are in the following files,
// which deploy/balancer.toml lists:
//
//	tuning.go         all tuned values
//	step.go           Step, the state machines of queries and subqueries, changes of the list and of overrides
//	queries.go        admission, load shedding, deadlines, the end of a query
//	binding.go        the choice of a backend for a subquery: latency, queue, slow start, pins and weights
//	sending.go        the order of sending, hedged requests and retries
//	backendhealth.go  windows, probes, faults, unreachable backends
//
// The other files hold the records of an instance and decide nothing. By default, queries are scheduled by the SWAG rule.
// docs/design.md names its source and lists the exceptions to it, each with the condition under which it applies.
package policy
