// Package jobapi holds the internal calls by which any node reaches the leader of a service's jobs. A node that does not
// lead the group rejects each call as certainly not executed.
package jobapi

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// The calls. All are idempotent: a job that is submitted or cancelled again stays one job with one final state.
var (
	SubmitCall  = transport.NewIdempotent[Submit, Submitted]("/jobs/submit")
	StatusCall  = transport.NewIdempotent[Status, StatusReply]("/jobs/status")
	CancelCall  = transport.NewIdempotent[Cancel, Cancelled]("/jobs/cancel")
	PendingCall = transport.NewIdempotent[Pending, PendingReply]("/jobs/pending")
)

// Queue is what the configuration says of a job's route when the job is submitted. A later change of the configuration does
// not change it.
type Queue struct {
	Route           string  `msgpack:"r"`
	Service         string  `msgpack:"s"`
	Priority        int     `msgpack:"p"` // 0 goes first
	MaxAttempts     int     `msgpack:"a"` // failed attempts of a task with which its job fails; values below 1 count as 1
	Extension       float64 `msgpack:"e"` // a job may take so many times its critical path; values below 1 count as 1
	TargetLatencyMS int64   `msgpack:"t"` // and this much more, milliseconds
	Guards          bool    `msgpack:"g"` // the service's workers reject what does not fit
}

// Submit adds a job. The same ID again is the same job.
type Submit struct {
	Group         string            `msgpack:"g"` // replication group that schedules the service
	ID            job.ID            `msgpack:"i"`
	Queue         Queue             `msgpack:"q"`
	Specification job.Specification `msgpack:"s"`
}

// Submitted is the reply to Submit, sent once the job is durable. A rejection is an error with rpcerror.NotExecuted.
type Submitted struct{}

// Status requests a job's state.
type Status struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// StatusReply is the state, if the group knows the job.
type StatusReply struct {
	Known bool      `msgpack:"k"`
	State job.State `msgpack:"s"`
}

// Cancel ends a job.
type Cancel struct {
	Group string `msgpack:"g"`
	ID    job.ID `msgpack:"i"`
}

// Cancelled is the reply to Cancel, sent once the cancellation is durable.
type Cancelled struct {
	Known bool      `msgpack:"k"`
	State job.State `msgpack:"s"` // of a known job afterwards; one that had ended before stays what it was
}

// Pending requests the number of jobs of a route that have not ended. It may be ahead of what is durable.
type Pending struct {
	Group string `msgpack:"g"`
	Route string `msgpack:"r"`
}

// PendingReply is that number.
type PendingReply struct {
	Count int `msgpack:"c"`
}
