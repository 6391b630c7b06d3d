// Package workerclient is the leader's connection to one worker: it keeps the lease of the worker's attempts renewed, receives
// which attempts run and which have completed, and sends commands that start and stop attempts.
//
// A Link is made for one incarnation of one worker under one fencing token, and is driven by Run. It reports through Events; what
// a report means for jobs is decided in package scheduler. Five concerns act together in a link:
//
//   - Lease renewal (renewal.go, listcall.go, acknowledgement.go, lease.go, leasegrants.go, clock.go). One call after another,
//     usually as a long poll that waits at the worker for a completion, renews the lease, acknowledges completions that are
//     durable, and brings the lists of running and finished attempts. leaseState bounds the worker's clock, so that no start is
//     sent that the lease would cut short, and knows by when everything that was ever granted has expired (Link.LeasesExpiredBy):
//     only then may an attempt start elsewhere.
//   - Polling (poll.go, idle.go, activity.go). A poll requests the lists at once and grants nothing. Out-of-band polls are made
//     beside the renewal where its response is overdue and where the state of an attempt has to be known soon: after a start
//     without a response and after a stop. Where there are too many workers for a long poll at each, activity decides how long an
//     idle one is left alone.
//   - Commands (commands.go, commandqueue.go, outcome.go). A start is sent once at most, as its execution twice, or late, would
//     do harm; one without a response is Unclear. A stop is idempotent and retried until it is answered. Polls and stops are
//     hedged (hedging.go): a further request is sent while the first one has no response.
//   - Health (health.go). Calls without a response, and refused ones, raise doubt and in the end make the worker unreachable. In
//     doubt no start is sent; while the worker is unreachable nothing is sent but polls.
//   - Connections (connections.go, hostpool.go, admission.go, dial.go, exchange.go, semaphore.go). All links of a process share
//     one budget of connections, with a rate limit on new ones. Each worker has its pool; a call waits for its turn before its
//     time-out begins.
//
// Time-outs follow the measured round trips (roundtrip.go). Before each call, and once more when its connection is there
// (permit.go), the link checks that the leader lease of this process is valid.
//
// One lock, Link.mu, guards the state of a link. The types of that state (leaseState, health, activity, commandQueue, pollState,
// roundTrips) do no I/O and can be tested without it.
package workerclient
