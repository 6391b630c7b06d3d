// Package jobapi holds the internal requests by which any node reaches the scheduler that leads a service's jobs.
package jobapi

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. The same job handed in or cancelled again stays one job with one end.
var (
	SubmitCall  = transport.NewIdempotent[Submit, Submitted]("/jobs/submit")
	StatusCall  = transport.NewIdempotent[Status, StatusReply]("/jobs/status")
	CancelCall  = transport.NewIdempotent[Cancel, Cancelled]("/jobs/cancel")
	PendingCall = transport.NewIdempotent[Pending, PendingReply]("/jobs/pending")
)

// Queue is what the configuration says of a job's route at the moment the job is handed in.
type Queue struct {
	Route           string  `msgpack:"r"`
	Service         string  `msgpack:"s"`
	Priority        int     `msgpack:"p"` // 0 goes first
	MaxAttempts     int     `msgpack:"a"`
	Extension       float64 `msgpack:"e"`
	TargetLatencyMS int64   `msgpack:"t"`
	Guards          bool    `msgpack:"g"` // the service's workers reject what does not fit
}

// Submit hands a job in. The same ID again is the same job.
type Submit struct {
	Group         string            `msgpack:"g"` // replication group that schedules the service
	ID            job.ID            `msgpack:"i"`
	Queue         Queue             `msgpack:"q"`
	Specification job.Specification `msgpack:"s"`
}

// Submitted is the reply to Submit: the job is durable. A refusal is an rpcerror.NotExecuted error.
type Submitted struct{}

// Status asks for a job's state.
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

// Pending asks how many jobs of a route have not ended.
type Pending struct {
	Group string `msgpack:"g"`
	Route string `msgpack:"r"`
}

// PendingReply is that number.
type PendingReply struct {
	Count int `msgpack:"c"`
}
