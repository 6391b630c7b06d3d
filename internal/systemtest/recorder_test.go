package systemtest

import (
	"encoding/json"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

const holdMax = 6 * time.Second // the longest time for which a worker holds its runs

// runName names a run across all lives of workers.
type runName struct {
	life, task string
	execution  uint64
}

// endName names an end by its number.
type endName struct {
	life   string
	number uint64
}

// recorder reads what passes between machines and workers.
type recorder struct {
	mu          sync.Mutex
	senders     map[runName]string
	ends        map[endName]runName
	noted       map[runName]time.Time
	heldUntil   map[string]time.Time
	lapses      []checker.LeaseExpiry
	checkpoints map[checker.Checkpoint]bool
	lists       []checker.Inventory
	lines       []line
	leaders     map[string]string // the machine that last held, by a worker's address
}

// line is one call for the account of a broken rule.
type line struct {
	at   time.Time
	call call
}

func newRecorder() *recorder {
	return &recorder{
		senders: map[runName]string{}, ends: map[endName]runName{}, noted: map[runName]time.Time{}, heldUntil: map[string]time.Time{},
		checkpoints: map[checker.Checkpoint]bool{}, leaders: map[string]string{},
	}
}

// order is what the recorder reads of a call to a worker.
type order struct {
	Task         string `json:"task"`
	Execution    uint64 `json:"execution"`
	ValidUntilMS int64  `json:"validUntilMs"`
	LastSeen     uint64 `json:"lastSeen"`
}

// report is what it reads of an answer.
type report struct {
	ClockMS  int64               `json:"clockMs"`
	Running  [][]json.RawMessage `json:"running"`
	Finished [][]json.RawMessage `json:"finished"`
}

// delivered takes a call to a worker on its way there.
func (r *recorder) delivered(c call) {
	var o order
	if json.Unmarshal(c.body, &o) != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaders[c.to] = c.from
	r.lines = append(r.lines, line{now, c})
	if c.path == string(cluster.StartCall) {
		name := runName{c.life, o.Task, o.Execution}
		if r.senders[name] == "" {
			r.senders[name] = c.from
		}
	}
}

// answered takes a call to a worker with its answer.
func (r *recorder) answered(c call) {
	var o order
	var a report
	if json.Unmarshal(c.body, &o) != nil || json.Unmarshal(c.answer, &a) != nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{now, c})
	r.hold(c.life, o.ValidUntilMS, a.ClockMS, now)
	r.note(c, o, now)
	r.list(c.life, a)
}

// hold takes in a grant, and notes a lapse between it and the one before.
func (r *recorder) hold(life string, validUntil, clock int64, now time.Time) {
	until := r.heldUntil[life]
	if !until.IsZero() && now.After(until) {
		r.lapses = append(r.lapses, checker.LeaseExpiry{Worker: life, At: until})
		delete(r.heldUntil, life)
	}
	if validUntil <= clock {
		return
	}
	left := min(time.Duration(validUntil-clock)*time.Millisecond, holdMax)
	if granted := now.Add(left); granted.After(r.heldUntil[life]) {
		r.heldUntil[life] = granted
	}
}

func (r *recorder) note(c call, o order, now time.Time) {
	if c.path != string(cluster.HoldCall) || c.status != 200 {
		return
	}
	for number := o.LastSeen; number > 0; number-- {
		name, known := r.ends[endName{c.life, number}]
		if !known || !r.noted[name].IsZero() {
			return
		}
		r.noted[name] = now
	}
}

func (r *recorder) list(life string, a report) {
	const task, execution, how, saved = 0, 1, 2, 3 // columns
	for _, entry := range a.Running {
		r.checkpoints[checker.Checkpoint{Task: textOf(entry[task]), Text: textOf(entry[how])}] = true
	}
	for _, entry := range a.Finished {
		number, row := numberOf(entry[0]), entry[1:]
		r.ends[endName{life, number}] = runName{life, textOf(row[task]), numberOf(row[execution])}
		r.checkpoints[checker.Checkpoint{Task: textOf(row[task]), Text: textOf(row[saved])}] = true
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

// listed takes an answer of the platform.
func (r *recorder) listed(c call) {
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
		r.lists = append(r.lists, seen)
	}
}

// leader is the machine that last told a worker anything.
func (r *recorder) leader(worker string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaders[worker]
}

// fill adds what was recorded to a history.
func (r *recorder) fill(h *checker.History, runs []cluster.RunRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range runs {
		name := runName{record.Worker, record.Task.String(), record.Execution}
		run := checker.Attempt{
			Worker: record.Worker, Task: name.task, Number: record.Execution, Specification: record.Specification,
			Checkpoint: record.Checkpoint, Late: record.Late, Sender: r.senders[name], StartedAt: record.StartedAt,
			EndedAt: record.EndedAt, Outcome: string(record.How),
		}
		if record.Acknowledged {
			run.AcknowledgedAt = r.noted[name]
			if run.AcknowledgedAt.IsZero() {
				run.AcknowledgedAt = record.EndedAt // the answer was lost
			}
		}
		h.Attempts = append(h.Attempts, run)
	}
	for life, until := range r.heldUntil {
		if until.Before(h.SeenUntil) {
			r.lapses = append(r.lapses, checker.LeaseExpiry{Worker: life, At: until})
		}
	}
	for checkpoint := range r.checkpoints {
		h.Checkpoints = append(h.Checkpoints, checkpoint)
	}
	h.LeaseExpiries, h.Inventories = r.lapses, r.lists
}
