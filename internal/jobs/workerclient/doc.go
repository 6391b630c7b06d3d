// Package workerclient connects a leader to one worker. It renews the lease of the worker's attempts, receives the lists of running
// and finished attempts, and sends the commands that start and stop attempts.
//
// A Link serves one incarnation of one worker under one fencing token. Link.Run drives it, and the link reports through Events.
// Package scheduler decides what a report means for a job.
//
// A link guarantees:
//
//   - No start is sent that the worker's lease would cut short.
//   - A start is sent at most once.
//   - No call is sent after the leader lease of this process has expired, as far as this process can know. The link checks the lease
//     before each call, and again once the call has a connection (permit.go).
//   - Link.LeasesExpiredBy is never earlier than the expiry of any lease that the link has granted. An attempt may be started on
//     another worker only after that time.
//
// A link never decides where an attempt runs, and it never stores anything.
//
// The package has five parts:
//
//   - Lease renewal (renewal.go, listcall.go, acknowledgement.go, lease.go, leasegrants.go, clock.go). Each renewal extends the lease,
//     acknowledges completions that are durable, and returns the lists of running and finished attempts. Usually a renewal is a long
//     poll: the worker waits for a completion before it responds. leaseState keeps bounds on the worker's clock and the expiry of all
//     grants.
//   - Polling (poll.go, idle.go, activity.go). A poll requests the lists at once and grants no lease. Out-of-band polls are sent in
//     parallel to the renewal: when the response to the renewal is overdue, after a start without a response, and after a stop. If
//     there are too many workers for a long poll at each of them, activity determines how often an idle worker is polled.
//   - Commands (commands.go, commandqueue.go, outcome.go). A start that is executed twice or late does harm, so it is never retried.
//     The outcome of a start without a response is Unclear. A stop is idempotent and is retried until the worker answers it. Polls and
//     stops are hedged (hedging.go): further requests are sent while the first one has no response.
//   - Health (health.go). Missing responses and refused calls raise the suspicion level and finally make the worker unreachable. No
//     start is sent to a suspected worker. An unreachable worker receives only polls.
//   - Connections (connections.go, hostpool.go, admission.go, dial.go, exchange.go, semaphore.go). All links of a process share one
//     budget of connections and one rate limit for new connections. Each worker has a pool. A call waits for a connection before its
//     timeout begins.
//
// Timeouts adapt to the measured round-trip times (roundtrip.go).
//
// Link.mu guards the state of a link. The types of that state (leaseState, health, activity, commandQueue, pollState, rttEstimator)
// do no I/O and can be tested without the lock.
package workerclient
