// Package queueowner decides which replication group may act for a job's ID that it does not know. It does no I/O and reads no clock.
//
// A queue belongs to the service of its route. The configuration may remove the route, or give the queue to another service, whose jobs
// another group schedules. An ID must stay one job nevertheless, also if requests are late, if nodes know configurations of different
// age, and if leaders change.
//
// # Protocol
//
// Each period in which a queue belongs to one service is a tenure, from one version of the configuration to another
// (configuration.QueueDirectory). Each group has a durable minimum version. For a queue, a group may act by its latest tenure unless that
// tenure ended in its minimum version or earlier. It decides by no configuration older than its minimum version.
//
// Before a group accepts an ID that it does not know, all other groups that have or had the queue must have answered two things: that
// their minimum version is now at least the version in which the asking group's tenure began, and that they do not know the ID. If one
// knows it, the job is that group's, and the call is executed there. The same holds before a group answers that there is no such job.
//
// # Why an ID stays one job
//
// Let two groups accept the same ID of a queue in tenures that began in versions a < b. The group of the later tenure asked the other one.
// When that one replied, its minimum version was b or higher. If it accepted the ID before, it knew the ID and said so. It can't accept it
// afterwards: its tenure ended in b or earlier, and as it decides by no configuration older than b, it knows this. Two tenures don't begin
// in one version. A group that accepts an ID twice doesn't, as it knows the ID, until it forgets ended jobs after their retention time.
//
// Only queues that were moved have other groups. For all others the decision needs no call.
package queueowner
