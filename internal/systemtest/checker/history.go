// Package checker checks the history of an end-to-end test against the rules of the system. A history contains only what was
// observed from outside: the calls of clients and operators, the platform's answers, and what workers received and did.
// The package shares no code with the system. Only tests import it.
package checker

import "time"

// Bounds are the time limits in the rules.
type Bounds struct {
	Contact            time.Duration // a machine without a fault for this long is in contact
	ConfigurationApply time.Duration // from the acknowledgement of a configuration until every proxy in contact applies it
	RollbackSlack      time.Duration // from the first effect of a new version at a proxy until the older version must not be seen there
	Drain              time.Duration // from an inventory that lists a worker as draining until no attempt starts there
	Cancel             time.Duration // from the acknowledgement of a cancellation until no attempt of the job starts
	Stop               time.Duration // from the end of Cancel until the job's running attempts have stopped
	JobVisibility      time.Duration // from the acceptance of a job until every proxy in contact knows it
	EarlyStart         time.Duration // a scheduled repetition may start this long before its due time
	ShutdownReadSlack  time.Duration // from a request's last byte until a graceful shutdown must answer the request instead of aborting it
	ShutdownGrace      time.Duration // from the start of a graceful shutdown until the process is killed
	AcknowledgementLag time.Duration // from an acknowledged completion of a task or job until no attempt of it starts
}

// History is everything that was observed in a test.
type History struct {
	Bounds           Bounds
	Core             []string // machines that store the control state
	Faults           []Fault
	Workers          []Worker
	Attempts         []Attempt
	Checkpoints      []Checkpoint
	LeaseExpiries    []LeaseExpiry
	Inventories      []Inventory
	Requests         []Request
	OperatorRequests []OperatorRequest
	AbortedRequests  []AbortedRequest
	LoadEndedAt      time.Time // when the load ended; later answers must show that all jobs have ended, except those that run until cancelled
	SeenUntil        time.Time // the end of the history
}

// FaultKind is the kind of component that a fault affects.
type FaultKind uint8

const (
	// MachineFault is a kill, start, pause or partition of a machine of the system.
	MachineFault FaultKind = iota
	// WorkerFault is a crash, unresponsive period, delayed command, drain or removal of a worker.
	WorkerFault
)

// Fault is one injected fault.
type Fault struct {
	Kind    FaultKind
	Machine string // name of the machine, or identifier of the worker
	From    time.Time
	To      time.Time // zero if it lasts until the end of the history
	Planned bool      // a graceful shutdown with the subsequent start
}

// Resources are the resources that a task requests or that a worker has.
type Resources struct {
	Processors   int64 `json:"processors"`
	MemoryMB     int64 `json:"memoryRequestMb"`
	Accelerators int64 `json:"accelerators"`
}

// Worker is one incarnation of a worker, from its start to its crash.
type Worker struct {
	ID               string
	Service          string
	Labels           []string
	Capacity         Resources
	EnforcesCapacity bool
}

// Attempt is one attempt of a task at a worker.
type Attempt struct {
	Worker         string // identifier of the worker's incarnation
	Task           string // name of the task as in the wire protocol
	Number         uint64
	Specification  string
	Checkpoint     string
	Late           bool   // started by a command that was executed late and never answered
	Sender         string // machine that sent the command; empty if unknown
	StartedAt      time.Time
	EndedAt        time.Time // zero while it runs
	Outcome        string    // empty while it runs, and if its worker crashed
	AcknowledgedAt time.Time // when lastSeen of a poll first covered the completion; zero before
}

// Checkpoint is a checkpoint that a worker reported for a task.
type Checkpoint struct {
	Task string
	Text string
}

// LeaseExpiry is an instant at which a worker's lease expired.
type LeaseExpiry struct {
	Worker string
	At     time.Time
}

// Inventory is an answer of the platform that lists workers as draining.
type Inventory struct {
	Machine  string // machine that requested the list
	Draining []string
	At       time.Time
}

// Request is one request of a client.
type Request struct {
	Machine     string // machine that received it
	Incarnation int    // incarnation of the machine's processes
	Method      string
	Host        string
	Path        string
	Body        []byte
	SentAt      time.Time
	AnsweredAt  time.Time
	Status      int // 0 where there was no complete reply
	Answer      []byte
}

// AbortedRequest is a client's request that a machine had read completely before it closed the connection without a complete
// reply.
type AbortedRequest struct {
	Machine string
	Path    string
	SentAt  time.Time
	At      time.Time
}

// OperatorRequest is one request of an operator to one machine.
type OperatorRequest struct {
	Machine    string
	Method     string
	BuiltOn    int64
	Body       []byte
	SentAt     time.Time
	AnsweredAt time.Time
	Status     int // 0 where there was no complete reply
	Answer     []byte
}

// Violation is one violation of a rule.
type Violation struct {
	Rule    string
	Subject string // task, job, path or configuration version
	Detail  string
	At      time.Time
}

// String returns the violation on one line.
func (v Violation) String() string {
	return v.Rule + " " + v.Subject + " at " + v.At.Format("15:04:05.000") + ": " + v.Detail
}

// Names of the rules in violations.
const (
	// OverCapacity: attempts at a worker that does not enforce its limits need more than its capacity.
	OverCapacity = "LIMIT"
	// DuplicateAttempt: an attempt starts while another attempt of its task runs, or after the task is done.
	DuplicateAttempt = "TWICE"
	// StageOrder: an attempt starts before the stages that it depends on are done, or before its due time.
	StageOrder = "ORDER"
	// Placement: an attempt starts at a worker of another service, without a required label, or with too many tasks of its stage.
	Placement = "ROUTE"
	// AttemptBudget: an attempt starts after the last attempt that the route permits has failed.
	AttemptBudget = "BUDGET"
	// Gang: a member of a gang ends because the others have not started, although there was no fault.
	Gang = "GANG"
	// Unrequested: an attempt belongs to no submitted task or to a cancelled job, or has a wrong specification or checkpoint.
	Unrequested = "UNASKED"
	// RejectedJob: an attempt starts although every submission of its job was rejected.
	RejectedJob = "REFUSED"
	// DrainingWorker: an attempt starts at a worker that has been listed as draining for longer than Bounds.Drain.
	DrainingWorker = "DRAIN"
	// InconsistentState: an answer to a client has a state that the attempts contradict, or an unreadable one.
	InconsistentState = "MIXED"
	// Lost: an accepted job, an acknowledged configuration or a request during a graceful shutdown is lost, or a job has a final
	// state without cause.
	Lost = "LOST"
	// Config: an answer contradicts the configuration that must be active, or an acknowledged configuration.
	Config = "CONFIG"
)
