// Package jobapi defines the internal RPCs by which any node reaches the leader that schedules a service's jobs.
//
// A node that does not lead the replication group rejects each call with an error that marks it as not executed, so that the
// caller may send the call to another node. Package manager serves the RPCs. Packages proxy and operations call them.
package jobapi

import (
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/transport"
)

// The RPCs are idempotent: if a job is submitted or cancelled repeatedly, it remains one job with one final state.
var (
	SubmitCall  = transport.NewIdempotent[SubmitRequest, SubmitReply]("/jobs/submit")
	StatusCall  = transport.NewIdempotent[StatusRequest, StatusReply]("/jobs/status")
	CancelCall  = transport.NewIdempotent[CancelRequest, CancelReply]("/jobs/cancel")
	PendingCall = transport.NewIdempotent[PendingRequest, PendingReply]("/jobs/pending")
)

// Queue contains the settings of a job's route at the time when the job is submitted. Later changes of the configuration
// do not affect the job.
type Queue struct {
	Route            string       `msgpack:"r"`
	Service          string       `msgpack:"s"`
	Priority         int          `msgpack:"p"`           // 0 is the highest priority
	MaxAttempts      int          `msgpack:"a"`           // number of failed attempts of a task after which the job fails; values below 1 count as 1
	Extension        float64      `msgpack:"e"`           // multiple of the critical path that a job may take; values below 1 count as 1
	TargetLatencyMS  int64        `msgpack:"t"`           // time that a job may take in addition, milliseconds
	EnforcesCapacity bool         `msgpack:"g"`           // the service's workers reject tasks that exceed their free capacity
	Key              queuekey.Key `msgpack:"k,omitempty"` // names the queue whatever its route and service; unknown in requests and records of older builds
}

// SubmitRequest adds a job. A repeated request with the same ID does not add another job.
type SubmitRequest struct {
	Group         string            `msgpack:"g"` // replication group that schedules the service's jobs
	ID            job.ID            `msgpack:"i"`
	Queue         Queue             `msgpack:"q"`
	Specification job.Specification `msgpack:"s"`
	Version       uint64            `msgpack:"v,omitempty"` // of the configuration by which the caller chose the group
}

// SubmitReply is the reply to SubmitRequest. It is sent once the job is durable. A rejected request is answered by an error
// with rpcerror.NotExecuted.
type SubmitReply struct {
	IDTaken bool `msgpack:"t,omitempty"` // the group has a job with this ID from another queue, so this one was not accepted and never runs
}

// StatusRequest requests a job's state.
type StatusRequest struct {
	Group   string       `msgpack:"g"`
	ID      job.ID       `msgpack:"i"`
	Queue   queuekey.Key `msgpack:"q,omitempty"` // unknown if the job may be of any queue
	Version uint64       `msgpack:"v,omitempty"` // as in SubmitRequest
}

// StatusReply is the reply to StatusRequest. State is empty if the job is not known.
type StatusReply struct {
	Known bool      `msgpack:"k"`
	State job.State `msgpack:"s"`
	// NoSuchJob is set if no group knew the job. It is not set if only the group of the request is known not to know it.
	NoSuchJob bool `msgpack:"n,omitempty"`
}

// CancelRequest cancels a job.
type CancelRequest struct {
	Group   string       `msgpack:"g"`
	ID      job.ID       `msgpack:"i"`
	Queue   queuekey.Key `msgpack:"q,omitempty"` // as in StatusRequest
	Version uint64       `msgpack:"v,omitempty"` // as in SubmitRequest
}

// CancelReply is the reply to CancelRequest. It is sent once the cancellation is durable.
type CancelReply struct {
	Known     bool      `msgpack:"k"`
	State     job.State `msgpack:"s"`           // state of a known job after the call; a job that had ended before keeps its state
	NoSuchJob bool      `msgpack:"n,omitempty"` // as in StatusReply
}

// PendingRequest requests the number of a queue's jobs that have not ended. The reply may include changes that are not durable
// yet.
type PendingRequest struct {
	Group   string       `msgpack:"g"`
	Route   string       `msgpack:"r"`
	Queue   queuekey.Key `msgpack:"q,omitempty"` // unknown in requests of older builds, which count the jobs of a route's name
	Version uint64       `msgpack:"v,omitempty"` // as in SubmitRequest
}

// PendingReply is the reply to PendingRequest.
type PendingReply struct {
	Count int `msgpack:"c"`
}
