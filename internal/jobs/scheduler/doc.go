// Package scheduler decides on the jobs of one service: which task starts on which worker and when, what a worker's
// report means for its tasks, and when a job has ended. It is a pure state machine: no I/O, no clock, no goroutine, no
// random numbers. The same events give the same effects, but for the order in which old records are erased.
//
// # Events and effects
//
// Each call of a Scheduler takes the time and one event, changes the state and gathers Effects. The caller makes the
// gathered entries durable on a majority of replicas first, and only then sends the commands and acknowledges the
// completions. Whatever a successor restores therefore covers every command that was ever sent: it knows of each
// attempt that may be under way, and assigns only higher attempt numbers. Package manager is that caller.
//
// # The ordinary path
//
// Jobs are scheduled by SWAG, after "Scheduling Jobs Across Geo-distributed Datacenters", section 4.2 and its algorithm
// 3, as docs/design.md adapts it:
//
//   - Binding (binding.go, cost.go). A task that may start is bound to the worker of least cost: smoothed latency times
//     one plus our attempts and bound tasks there.
//   - Order (ordering.go). Each worker's queue begins at our attempts there. The job of least makespan comes next, which
//     is that of its slowest sub-job: the largest, over its workers, of (queue + own tasks) x latency. Ties go to the
//     smaller job. Its tasks are added to the queues, and so on.
//   - Dispatch (dispatch.go). In that order each task starts at the worker that it is bound to, or at the least costly
//     other one, if that worker takes starts at present and has capacity left (admission.go).
//
// # What comes on top
//
//   - Priorities and deadlines (deadlines.go): SWAG's order holds within a level; a job that can still meet its target
//     goes before a late one, and one that is too late to matter goes last.
//   - Data locality (locality.go): a task waits for a while for capacity on the rack that holds its data.
//   - Gangs (gangs.go): all members start at once or none, on one rack if they want that.
//   - Workers' health (health.go): a window of attempts, failure rates and stalled attempts; slow workers and migration
//     off them (stragglers.go).
//   - Draining, by the platform (inventory.go) and by operators (operatordrain.go).
//
// # The life of an attempt
//
// An attempt begins with assign, which records its number before the command is sent. It ends with a completion that its
// worker lists (completion.go), or as soon as it is certain that it is not under way any more: a report that should list
// it does not (workerreports.go), its start was rejected (commandresults.go), its worker was removed, or all leases
// granted to that worker have expired (reachability.go). Until then the task does not start elsewhere, unless its stage
// allows copies side by side.
//
// The state is in state.go, its durable form in records.go, and its recovery by a new leader in restore.go. explain.go
// tells why tasks wait, operatorreports.go and load.go what there is.
package scheduler
