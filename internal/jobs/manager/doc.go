// Package manager runs the schedulers of the replication groups that this node leads. It feeds each scheduler, a state
// machine without I/O, with requests, the reports of workers, the platform's list of workers and the time. It replicates
// the scheduler's decisions and carries them out.
//
// # Durability
//
// Each event is handled under the leadership's lock. The resulting entries are proposed to the group's replicas before the
// lock is released, so proposals have the same order as events. Commands are sent and completions acknowledged only after
// a majority of replicas has synced the entries (proposals.go). Therefore a new leader knows every command that was ever
// sent.
//
// # Replies
//
// A request is executed only under a valid leader lease. Otherwise the error says that the request was certainly not
// executed. A reply is sent only after everything that it may reveal is durable. In addition, either the lease was still
// valid after the state was read, or a majority has synced a batch that was proposed later. Otherwise the error says that
// the request may have been executed (package rpcerror). The exceptions are counts of pending jobs and the summaries for
// metrics, which may include state that is not durable yet.
//
// # Structure
//
// A leadership (leadership.go) has a link to each worker of the group's service (links.go). Calls of clients are in
// manager.go, calls of operators in operatorcalls.go. The package makes no scheduling decisions.
package manager
