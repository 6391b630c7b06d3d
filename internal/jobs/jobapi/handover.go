package jobapi

import (
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// Calls between the leaders of two groups, about queues that belonged to one of them and then to the other. They are idempotent.
var (
	HandedOverCall = transport.NewIdempotent[HandedOverRequest, HandedOverReply]("/jobs/handed-over")
	ReleaseCall    = transport.NewIdempotent[ReleaseRequest, ReleaseReply]("/jobs/release")
)

// Operation is what a client wants of a job.
type Operation uint8

// The operations.
const (
	ReadOperation Operation = iota
	SubmitOperation
	CancelOperation
)

// HandedOverRequest asks a group that had a queue before whether it knows a job, and executes the operation if it does. The caller's
// group has had the queue since Version. The called group releases the queue: from the reply on it accepts no job for tenures that ended
// in Version or earlier.
type HandedOverRequest struct {
	Group     string       `msgpack:"g"` // the group that is asked
	Queue     queuekey.Key `msgpack:"q"`
	Version   uint64       `msgpack:"v"`
	ID        job.ID       `msgpack:"i,omitempty"` // empty to ask for the counts only
	Operation Operation    `msgpack:"o,omitempty"`
}

// HandedOverReply is the reply to HandedOverRequest. It is sent once the release and the operation are durable.
type HandedOverReply struct {
	Known   bool      `msgpack:"k"`
	State   job.State `msgpack:"s"` // of a known job, after the operation
	Pending int       `msgpack:"c"` // number of the queue's jobs in the group that have not ended
	Vacant  bool      `msgpack:"e"` // the group knows no job of the queue
}

// ReleaseRequest makes a group release queues that it had before Version, as HandedOverRequest does for one queue.
type ReleaseRequest struct {
	Group   string         `msgpack:"g"`
	Version uint64         `msgpack:"v"`
	Queues  []queuekey.Key `msgpack:"q"`
}

// ReleaseReply is the reply to ReleaseRequest. It is sent once the release is durable.
type ReleaseReply struct {
	Vacant []queuekey.Key `msgpack:"e"` // those of the queues of which the group knows no job
}
