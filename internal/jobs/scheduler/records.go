package scheduler

import (
	"fmt"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Durable records, by key:
//
//	j/ID          jobRecord            a job that has not ended
//	t/ID/K.S.I    taskRecord           a task that was assigned at least once
//	k/ID/K        repetitionRecord     a complete repetition; the records of its tasks are erased
//	e/ID          endedRecord          a job that has ended; its other records are erased
//	d/WORKER      operatorDrainRecord  see operatordrain.go
//	c/            handoverRecord       see queuehandover.go
//	x/QUEUE/ID    earlyCancellationRecord  see earlycancellations.go
//
// ID is the ID of a job and QUEUE the key of its queue. K, S and I are the repetition, stage and index of a task.
const (
	jobPrefix               = "j/"
	taskPrefix              = "t/"
	repetitionPrefix        = "k/"
	endedPrefix             = "e/"
	handoverKey             = "c/"
	earlyCancellationPrefix = "x/"
)

type jobRecord struct {
	Queue         jobapi.Queue      `msgpack:"q"`
	Specification job.Specification `msgpack:"s"`
	Arrival       uint64            `msgpack:"a"` // arrival number: position in the order of submission
	ArrivedMS     int64             `msgpack:"w"` // when it was submitted, milliseconds since 1970
}

type taskRecord struct {
	AttemptNumber  uint64                `msgpack:"x"`           // highest attempt number that was ever assigned
	Worker         workerclient.WorkerID `msgpack:"s,omitempty"` // worker of that attempt; empty once the attempt has ended
	FailedAttempts []uint64              `msgpack:"f,omitempty"` // attempt numbers that ended as failed, without duplicates
	Checkpoint     string                `msgpack:"c,omitempty"` // that of a gang is read from its first member's record, see checkpoints.go
	Done           bool                  `msgpack:"d,omitempty"`
}

type repetitionRecord struct {
	Complete bool `msgpack:"c"`
}

type endedRecord struct {
	State   job.State    `msgpack:"s"`
	EndedMS int64        `msgpack:"t"`           // milliseconds since 1970
	Queue   queuekey.Key `msgpack:"q,omitempty"` // unknown in records of older builds
	endedAt time.Time    // monotonic time at which this leadership ended the job, or began if the job had ended before; not stored
}

func jobKey(id job.ID) string   { return jobPrefix + string(id) }
func endedKey(id job.ID) string { return endedPrefix + string(id) }
func taskKey(id job.TaskID) string {
	return taskPrefix + string(id.Job) + "/" + strings.TrimPrefix(id.String(), string(id.Job)+".")
}
func repetitionKey(id job.ID, repetition int) string {
	return fmt.Sprintf("%s%s/%d", repetitionPrefix, id, repetition)
}

// writeRecord adds a record to the entries to be made durable.
func (s *Scheduler) writeRecord(key string, record any) {
	value, err := msgpack.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", record, err)) // encoding the record types above never fails
	}
	s.effects.Entries = append(s.effects.Entries, replication.Entry{Key: key, Value: value})
}

// eraseRecord adds the removal of a record to the entries to be made durable.
func (s *Scheduler) eraseRecord(key string) {
	s.effects.Entries = append(s.effects.Entries, replication.Entry{Key: key})
}

// writeTaskRecord writes a task's record with its current state.
func (s *Scheduler) writeTaskRecord(task *taskState) {
	record := taskRecord{AttemptNumber: task.attemptNumber, FailedAttempts: task.failedAttempts, Checkpoint: task.resumeCheckpoint(), Done: task.done}
	for _, attempt := range task.attempts {
		if attempt.number == task.attemptNumber {
			record.Worker = attempt.worker.ID
		}
	}
	task.hasRecord = true
	s.writeRecord(taskKey(task.id), record)
}

// DecodeEndedJob reports whether an entry records the end of a job. If it does, DecodeEndedJob returns the job's ID and
// final state.
func DecodeEndedJob(entry *replication.Entry) (id job.ID, state job.State, ended bool) {
	text, found := strings.CutPrefix(entry.Key, endedPrefix)
	if !found || entry.Value == nil {
		return "", "", false
	}
	var record endedRecord
	if err := decodeRecord(entry.Key, entry.Value, &record); err != nil {
		return "", "", false
	}
	return job.ID(text), record.State, true
}
