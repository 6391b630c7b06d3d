package systemtest

import (
	"encoding/json"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const maxLease = 6 * time.Second // the longest time of a worker's lease

// attemptKey names an attempt across all incarnations of workers.
type attemptKey struct {
	incarnation, task string
	number            uint64
}

// completionKey names a completion by its number.
type completionKey struct {
	incarnation string
	number      uint64
}

// recorder records the calls between machines and workers.
type recorder struct {
	mu            sync.Mutex
	senders       map[attemptKey]string
	completions   map[completionKey]attemptKey
	acknowledged  map[attemptKey]time.Time
	leaseUntil    map[string]time.Time
	leaseExpiries []checker.LeaseExpiry
	checkpoints   map[checker.Checkpoint]bool
	inventories   []checker.Inventory
	calls         []recordedCall
	leaders       map[string]string // the machine that last sent a command or a lease renewal, by worker
}

// recordedCall is one call for the report on a violation.
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

// workerCall is what the recorder reads of a call to a worker.
type workerCall struct {
	Task         string `json:"task"`
	Execution    uint64 `json:"execution"`
	ValidUntilMS int64  `json:"validUntilMs"`
	LastSeen     uint64 `json:"lastSeen"`
}

// workerReply is what the recorder reads of a worker's reply.
type workerReply struct {
	ClockMS  int64               `json:"clockMs"`
	Running  [][]json.RawMessage `json:"running"`
	Finished [][]json.RawMessage `json:"finished"`
}

// recordDelivery records a call to a worker before it is delivered.
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
		name := attemptKey{c.incarnation, request.Task, request.Execution}
		if r.senders[name] == "" {
			r.senders[name] = c.from
		}
	}
}

// recordReply records a call to a worker with its reply.
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

// recordLease records a lease renewal, and an expiry between it and the renewal before.
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

func (r *recorder) recordAcknowledgements(c call, request workerCall, now time.Time) {
	if c.path != string(cluster.LeaseCall) || c.status != 200 {
		return
	}
	for number := request.LastSeen; number > 0; number-- {
		name, known := r.completions[completionKey{c.incarnation, number}]
		if !known || !r.acknowledged[name].IsZero() {
			return
		}
		r.acknowledged[name] = now
	}
}

func (r *recorder) recordTasks(incarnation string, reply workerReply) {
	const task, attemptNumber, outcome, checkpoint = 0, 1, 2, 3 // columns
	for _, entry := range reply.Running {
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

// recordInventory records an inventory that the platform has sent.
func (r *recorder) recordInventory(c call) {
	var list struct {
		Instances []struct{ Identifier, State string }
	}
	if json.Unmarshal(c.answer, &list) != nil {
		return
	}
	seen := checker.Inventory{Machine: c.from, At: time.Now()}
	for _, instance := range list.Instances {
		if instance.State == "draining" {
			seen.Draining = append(seen.Draining, instance.Identifier)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(seen.Draining) > 0 {
		r.inventories = append(r.inventories, seen)
	}
}

// leader is the machine that last sent anything to a worker.
func (r *recorder) leader(worker string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaders[worker]
}

// fill adds what was recorded to a history.
func (r *recorder) fill(h *checker.History, runs []cluster.AttemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range runs {
		name := attemptKey{record.Worker, record.Task.String(), record.Number}
		attempt := checker.Attempt{
			Worker: record.Worker, Task: name.task, Number: record.Number, Specification: record.Specification,
			Checkpoint: record.Checkpoint, Late: record.Late, Sender: r.senders[name], StartedAt: record.StartedAt,
			EndedAt: record.EndedAt, Outcome: string(record.Outcome),
		}
		if record.Acknowledged {
			attempt.AcknowledgedAt = r.acknowledged[name]
			if attempt.AcknowledgedAt.IsZero() {
				attempt.AcknowledgedAt = record.EndedAt // the answer was lost
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
