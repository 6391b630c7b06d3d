// Package checker checks histories of a running system against its rules. A history holds only what could be seen from
// outside: the calls of clients and operators, the platform's answers, and what workers received and did. The package
// shares no code with the system. Only tests import it.
package checker

import "time"

// Bounds are the times that the rules name.
type Bounds struct {
	Contact            time.Duration // without a fault for that long, a machine is in contact
	ConfigurationApply time.Duration // from a change's acknowledgement until every front in contact applies it
	RollbackSlack      time.Duration // after a new version's effect was seen at a front, while the older one may still be seen there
	Drain              time.Duration // from an inventory with a draining worker until nothing starts there any more
	Cancel             time.Duration // from a cancellation's acknowledgement until nothing of the job starts any more
	Stop               time.Duration // further until what runs of the job has stopped
	Visible            time.Duration // from a job's acceptance until every front in contact knows it
	Early              time.Duration // by which a scheduled repetition may start before its time
	LossSlack          time.Duration // from a request's last byte until a graceful shutdown must have answered it
	Grace              time.Duration // from the begin of a graceful shutdown until the process is killed
	AcknowledgeLag     time.Duration // from an end's acknowledgement or a job's completion until nothing starts any more
}

// History is everything that was seen.
type History struct {
	Bounds           Bounds
	Core             []string // machines that hold the control state
	Faults           []Fault
	Workers          []Worker
	Attempts         []Attempt
	Checkpoints      []Checkpoint
	LeaseExpiries    []LeaseExpiry
	Inventories      []Inventory
	Requests         []Request
	OperatorRequests []OperatorRequest
	AbortedRequests  []AbortedRequest
	EndedAt          time.Time // when the load ended; requests after it must show jobs that can end as ended
	SeenUntil        time.Time // when the history ends
}

// FaultKind is what a fault concerns.
type FaultKind uint8

const (
	// MachineFault is a kill, start, pause or partition of a machine of the system.
	MachineFault FaultKind = iota
	// WorkerFault is a crash, silence, late command, drain or loss of a worker.
	WorkerFault
)

// Fault is one fault that was made.
type Fault struct {
	Kind    FaultKind
	Machine string // or the worker's identifier
	From    time.Time
	To      time.Time // the zero time while it lasts
	Planned bool      // a graceful shutdown, and the start after it
}

// Resources are what a task asks for and what a worker has.
type Resources struct {
	Processors   int64 `json:"processors"`
	MemoryMB     int64 `json:"memoryRequestMb"`
	Accelerators int64 `json:"accelerators"`
}

// Worker is one incarnation of a worker, from its start to its crash.
type Worker struct {
	ID       string
	Service  string
	Labels   []string
	Capacity Resources
	Guards   bool
}

// Attempt is one attempt of a task that a worker has begun on a command.
type Attempt struct {
	Worker         string // the identifier of its incarnation
	Task           string // as on the wire
	Number         uint64
	Specification  string
	Checkpoint     string
	Late           bool   // carried out after its command had been left unanswered
	Sender         string // the machine that sent the command; empty where that is not known
	StartedAt      time.Time
	EndedAt        time.Time // the zero time while it runs
	Outcome        string    // empty while it runs, and when its worker crashed
	AcknowledgedAt time.Time // when a lease renewal's lastSeen reached its end; the zero time before
}

// Checkpoint is one that a worker has listed for a task.
type Checkpoint struct {
	Task string
	Text string
}

// LeaseExpiry is an instant at which a worker's lease ran out.
type LeaseExpiry struct {
	Worker string
	At     time.Time
}

// Inventory is an answer of the platform that shows a worker as draining.
type Inventory struct {
	Machine  string // that requested it
	Draining []string
	At       time.Time
}

// Request is one call of a client.
type Request struct {
	Machine     string // that it was sent to
	Incarnation int    // of that machine's processes
	Method      string
	Host        string
	Path        string
	Body        []byte
	SentAt      time.Time
	AnsweredAt  time.Time
	Status      int // 0 where there was no complete reply
	Answer      []byte
}

// AbortedRequest is a client's request that a machine had read completely, and whose connection it closed without a complete reply.
type AbortedRequest struct {
	Machine string
	Path    string
	SentAt  time.Time
	At      time.Time
}

// OperatorRequest is one call of an operator to one machine.
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

// Violation is a broken rule.
type Violation struct {
	Rule    string
	Subject string // the task, job, worker or version
	Detail  string
	At      time.Time
}

// String is the violation on one line.
func (v Violation) String() string {
	return v.Rule + " " + v.Subject + " at " + v.At.Format("15:04:05.000") + ": " + v.Detail
}

// The rules, as violations name them.
const (
	// OverCapacity: attempts at a worker that does not enforce its limits need more than its capacity.
	OverCapacity = "LIMIT"
	// DuplicateAttempt: an attempt starts while another of its task runs, or after the task is done.
	DuplicateAttempt = "TWICE"
	// StageOrder: an attempt starts before the stages that it depends on are done, or before its time.
	StageOrder = "ORDER"
	// Placement: an attempt starts at a worker of another service, without a required label, or with too many of its stage.
	Placement = "ROUTE"
	// AttemptBudget: an attempt starts after the last one that the route allows has failed.
	AttemptBudget = "BUDGET"
	// Gang: a member of a gang waits for the others in vain although there was no fault.
	Gang = "GANG"
	// Unrequested: an attempt is of no submitted task, of another specification or checkpoint, or of a cancelled job.
	Unrequested = "UNASKED"
	// RejectedJob: an attempt starts although every submission of its job was rejected.
	RejectedJob = "REFUSED"
	// DrainingWorker: an attempt starts at a worker that has been draining for long.
	DrainingWorker = "DRAIN"
	// InconsistentState: a client is shown a state that the attempts contradict, or one that cannot be read.
	InconsistentState = "MIXED"
	// Lost: an accepted job, an acknowledged configuration or a request during a graceful shutdown is lost.
	Lost = "LOST"
	// Config: an answer contradicts the configuration that must be active, or a change that was acknowledged.
	Config = "CONFIG"
)
