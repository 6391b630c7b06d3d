// Package scheduler decides about the jobs of one service: which task starts on which worker and when, how a worker's
// report changes the state of its tasks, and when a job has ended.
//
// The package is a pure state machine. It performs no I/O, reads no clock, starts no goroutine and uses no random numbers.
// The same sequence of events produces the same effects. The only exception is the order in which old records are erased.
// Package manager is the only caller outside tests and simulations.
//
// # Events and effects
//
// Each call of a Scheduler passes the current time and one event. It changes the state and appends to the Effects. The
// caller first makes the collected entries durable on a majority of replicas. Only then does it send the commands and
// acknowledge the completions. The state that a new leader restores therefore covers every command that was ever sent:
// the new leader knows each attempt that may be under way, and assigns only higher attempt numbers.
//
// # Scheduling algorithm
//
// Jobs are scheduled by SWAG, from "Scheduling Jobs Across Geo-distributed Datacenters", section 4.2 and algorithm 3, as
// adapted in docs/design.md:
//
//   - Binding (binding.go, cost.go). A task that is ready to start is bound to the worker of least cost. The cost is the
//     worker's smoothed latency times one plus the number of our attempts and bound tasks there.
//   - Ordering (ordering.go). Each worker's queue initially contains our attempts there. The job with the smallest
//     makespan is scheduled next, and its tasks are added to the queues before the following job is chosen. A job's
//     makespan is that of its slowest sub-job: the largest value, over its workers, of (queue + own tasks) x latency. Ties
//     go to the smaller job.
//   - Dispatch (dispatch.go). In this order, each task starts at the worker that it is bound to, if that worker accepts
//     starts and has free capacity (admission.go). Otherwise the task starts at the least costly other worker that does.
//
// # Extensions of SWAG
//
//   - Priorities and deadlines (deadlines.go): SWAG's order applies within a level. A job that can still meet its target
//     precedes a late one. A job that is so late that its result is worthless comes last.
//   - Data locality (locality.go): a task waits for a limited time for capacity on the rack that holds its data.
//   - Gangs (gangs.go, checkpoints.go): all members start at once or none does, from the same checkpoint, on a single rack if the
//     gang requests it.
//   - Worker health (health.go): an adaptive limit on concurrent attempts (the window), failure rates and stall detection.
//   - Stragglers (stragglers.go): detection of slow workers, and migration of tasks away from them.
//   - Draining, by the platform (inventory.go) and by operators (operatordrain.go).
//
// # Lifecycle of an attempt
//
// An attempt begins with assign, which records the attempt number before the command is sent. It ends with a completion
// that its worker lists (completion.go), or as soon as it is certain that the attempt is no longer under way:
//
//   - a report that should list the attempt does not (workerreports.go),
//   - the worker rejected the start (commandresults.go),
//   - the worker was removed (inventory.go), or
//   - all leases granted to the worker have expired (reachability.go).
//
// Until then the task does not start elsewhere, unless its stage allows several attempts of a task at the same time.
//
// # Files
//
// The state is defined in state.go, its durable form in records.go, and its recovery by a new leader in restore.go.
// explain.go explains why tasks wait. operatorreports.go and load.go report the current state.
package scheduler
