// Package manager runs the schedulers of the replication groups that this node leads. It is what stands between the
// pure state machine of package scheduler and the world: it feeds schedulers with requests, workers' reports, the
// platform's inventory and time, and does what they decide.
//
// # Durable first
//
// Each event runs under the leadership's lock, and the records that come of it are proposed to the group's replicas
// before the lock is released, so that proposals keep the order of the events. Only once a majority of replicas has
// synced them are the commands sent and the completions acknowledged (proposals.go). A successor therefore knows of
// every command that was ever sent.
//
// # What a reply means
//
// A request is begun only under a valid leader lease, else the error says that it was certainly not executed. Its reply
// is sent once all that it may tell of is durable, and the lease held after the state was read, or a majority synced a
// batch that began later; else the error says that it may have been executed (package rpcerror). Counts of pending jobs
// and summaries alone may be ahead of what is durable.
//
// A leadership (leadership.go) has a link to each worker of the group's service (links.go). manager.go serves the calls
// of clients, operatorcalls.go those of operators.
package manager
