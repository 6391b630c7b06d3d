package systemtest

import (
	"encoding/json"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// maxLease is the maximum duration of a worker's lease.
const maxLease = 6 * time.Second

// attemptKey identifies an attempt across all incarnations of workers.
type attemptKey struct {
	incarnation, task string
	number            uint64
}

// completionKey identifies a completion by the number that the worker's incarnation gave it.
type completionKey struct {
	incarnation string
	number      uint64
}

// recorder records the calls between machines and workers, and the inventories of the platform.
type recorder struct {
	mu            sync.Mutex
	senders       map[attemptKey]string        // machine that first sent the start command
	completions   map[completionKey]attemptKey // attempt that each reported completion ended
	acknowledged  map[attemptKey]time.Time     // time of the first acknowledged completion
	leaseUntil    map[string]time.Time         // end of the current lease, by incarnation
	leaseExpiries []checker.LeaseExpiry
	checkpoints   map[checker.Checkpoint]bool
	inventories   []checker.Inventory
	calls         []recordedCall
	leaders       map[string]string // the machine that last sent a command or a lease renewal, by worker
}

// recordedCall is a call for the violation report, with the time when it was recorded.
type recordedCall struct {
	at   time.Time
	call call
}

func newRecorder() *recorder {
	return &recorder{
		senders: map[attemptKey]string{}, completions: map[completionKey]attemptKey{}, acknowledged: map[attemptKey]time.Time{}, leaseUntil: map[string]time.Time{},
		checkpoints: map[checker.Checkpoint]bool{}, leaders: map[string]string{},
	}
}

// workerCall holds the fields of a call to a worker that the recorder reads.
type workerCall struct {
	Task         string `json:"task"`
	Execution    uint64 `json:"execution"`
	ValidUntilMS int64  `json:"validUntilMs"`
	LastSeen     uint64 `json:"lastSeen"`
}

// workerReply holds the fields of a worker's reply that the recorder reads.
type workerReply struct {
	ClockMS  int64               `json:"clockMs"`
	Running  [][]json.RawMessage `json:"running"`
	Finished [][]json.RawMessage `json:"finished"`
}

// recordDelivery records a call to a worker before it is delivered, and the sender of a start command.
func (r *recorder) recordDelivery(c call) {
	var request workerCall
	if json.Unmarshal(c.body, &request) != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders[c.to] = c.from
	r.calls = append(r.calls, recordedCall{now, c})
	if c.path == string(cluster.StartCall) {
		key := attemptKey{c.incarnation, request.Task, request.Execution}
		if r.senders[key] == "" {
			r.senders[key] = c.from
		}
	}
}

// recordReply records a call to a worker that was answered, with the lease, acknowledgements and tasks in it.
func (r *recorder) recordReply(c call) {
	var request workerCall
	var reply workerReply
	if json.Unmarshal(c.body, &request) != nil || json.Unmarshal(c.answer, &reply) != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, recordedCall{now, c})
	r.recordLease(c.incarnation, request.ValidUntilMS, reply.ClockMS, now)
	r.recordAcknowledgements(c, request, now)
	r.recordTasks(c.incarnation, reply)
}

// recordLease records the lease that a call granted. If the previous lease ran out before, it records the expiry.
func (r *recorder) recordLease(incarnation string, validUntil, clock int64, now time.Time) {
	until := r.leaseUntil[incarnation]
	if !until.IsZero() && now.After(until) {
		r.leaseExpiries = append(r.leaseExpiries, checker.LeaseExpiry{Worker: incarnation, At: until})
		delete(r.leaseUntil, incarnation)
	}
	if validUntil <= clock {
		return
	}
	remaining := min(time.Duration(validUntil-clock)*time.Millisecond, maxLease)
	if granted := now.Add(remaining); granted.After(r.leaseUntil[incarnation]) {
		r.leaseUntil[incarnation] = granted
	}
}

// recordAcknowledgements records the completions that a successful lease call acknowledged.
func (r *recorder) recordAcknowledgements(c call, request workerCall, now time.Time) {
	if c.path != string(cluster.LeaseCall) || c.status != 200 {
		return
	}
	for number := request.LastSeen; number > 0; number-- {
		key, known := r.completions[completionKey{c.incarnation, number}]
		if !known || !r.acknowledged[key].IsZero() {
			return
		}
		r.acknowledged[key] = now
	}
}

// recordTasks records the checkpoints and completions that a worker reported.
func (r *recorder) recordTasks(incarnation string, reply workerReply) {
	const task, attemptNumber, outcome, checkpoint = 0, 1, 2, 3 // columns of a finished attempt, after its completion number
	for _, entry := range reply.Running {                       // the third column of a running attempt is its checkpoint
		r.checkpoints[checker.Checkpoint{Task: textOf(entry[task]), Text: textOf(entry[outcome])}] = true
	}
	for _, entry := range reply.Finished {
		number, row := numberOf(entry[0]), entry[1:]
		r.completions[completionKey{incarnation, number}] = attemptKey{incarnation, textOf(row[task]), numberOf(row[attemptNumber])}
		r.checkpoints[checker.Checkpoint{Task: textOf(row[task]), Text: textOf(row[checkpoint])}] = true
	}
}

func textOf(field json.RawMessage) (text string) {
	json.Unmarshal(field, &text)
	return text
}

func numberOf(field json.RawMessage) (number uint64) {
	json.Unmarshal(field, &number)
	return number
}

// recordInventory records an inventory that the platform has sent, if it lists draining workers.
func (r *recorder) recordInventory(c call) {
	var list struct {
		Instances []struct{ Identifier, State string }
	}
	if json.Unmarshal(c.answer, &list) != nil {
		return
	}
	inventory := checker.Inventory{Machine: c.from, At: time.Now()}
	for _, instance := range list.Instances {
		if instance.State == "draining" {
			inventory.Draining = append(inventory.Draining, instance.Identifier)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(inventory.Draining) > 0 {
		r.inventories = append(r.inventories, inventory)
	}
}

// leader returns the name of the machine that last sent a call to a worker.
func (r *recorder) leader(worker string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaders[worker]
}

// fill adds the fake workers' runs and the recorded calls to a history.
func (r *recorder) fill(h *checker.History, runs []cluster.AttemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range runs {
		key := attemptKey{record.Worker, record.Task.String(), record.Number}
		attempt := checker.Attempt{
			Worker: record.Worker, Task: key.task, Number: record.Number, Specification: record.Specification,
			Checkpoint: record.Checkpoint, Late: record.Late, Sender: r.senders[key], StartedAt: record.StartedAt,
			EndedAt: record.EndedAt, Outcome: string(record.Outcome),
		}
		if record.Acknowledged {
			attempt.AcknowledgedAt = r.acknowledged[key]
			if attempt.AcknowledgedAt.IsZero() {
				attempt.AcknowledgedAt = record.EndedAt // the reply to the acknowledgement was lost
			}
		}
		h.Attempts = append(h.Attempts, attempt)
	}
	for incarnation, until := range r.leaseUntil {
		if until.Before(h.SeenUntil) {
			r.leaseExpiries = append(r.leaseExpiries, checker.LeaseExpiry{Worker: incarnation, At: until})
		}
	}
	for checkpoint := range r.checkpoints {
		h.Checkpoints = append(h.Checkpoints, checkpoint)
	}
	h.LeaseExpiries, h.Inventories = r.leaseExpiries, r.inventories
}
