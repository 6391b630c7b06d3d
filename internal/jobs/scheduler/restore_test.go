package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

func TestCorruptStateIsRejected(t *testing.T) {
	encode := func(record any) []byte {
		value, err := msgpack.Marshal(record)
		So(err, ShouldBeNil)
		return value
	}
	now := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	id := job.ID("00000000000000aa")
	task := job.TaskID{Job: id}
	oneTask := jobRecord{Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	Convey("Consistent records are restored", t, func() {
		_, err := New(Settings{}, now, map[string][]byte{jobKey(id): encode(oneTask), taskKey(task): encode(taskRecord{AttemptNumber: 1})})
		So(err, ShouldBeNil)
	})
	Convey("A record that cannot be decoded or contradicts other records is rejected with ErrCorruptState", t, func() {
		noStage, noTask := task, task
		noStage.Stage, noTask.Index = 1, 1
		for _, corrupt := range []struct {
			name  string
			state map[string][]byte
		}{
			{"a job that cannot be decoded", map[string][]byte{jobKey(id): []byte("x")}},
			{"an ended job that cannot be decoded", map[string][]byte{endedKey(id): []byte("x")}},
			{"a task that cannot be decoded", map[string][]byte{jobKey(id): encode(oneTask), taskKey(task): []byte("x")}},
			{"a drain that cannot be decoded", map[string][]byte{operatorDrainKey("i-1"): []byte("x")}},
			{"a repetition without a number", map[string][]byte{repetitionPrefix + string(id) + "/x": encode(repetitionRecord{Complete: true})}},
			{"a task whose key has too few parts", map[string][]byte{taskPrefix + string(id) + "/0.0": encode(taskRecord{})}},
			{"a task of a job without a record", map[string][]byte{taskKey(task): encode(taskRecord{AttemptNumber: 1})}},
			{"a task of a stage that the job does not have", map[string][]byte{jobKey(id): encode(oneTask), taskKey(noStage): encode(taskRecord{})}},
			{"a task whose index exceeds the task count of its stage", map[string][]byte{jobKey(id): encode(oneTask), taskKey(noTask): encode(taskRecord{})}},
		} {
			Convey(corrupt.name, func() {
				_, err := New(Settings{}, now, corrupt.state)
				So(err, ShouldWrap, ErrCorruptState)
			})
		}
	})
}

// The task records of a complete repetition are erased. Between two repetitions, only the repetition's own record shows that
// the job has started. The job's state must not revert to queued when a new leader restores it.
func TestRepeatedJobIsRunningBetweenItsRepetitions(t *testing.T) {
	encode := func(record any) []byte {
		value, err := msgpack.Marshal(record)
		So(err, ShouldBeNil)
		return value
	}
	Convey("Given a job whose first repetition is complete and whose second is not due yet", t, func() {
		now := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
		id := job.ID("00000000000000aa")
		specification := job.Specification{Stages: []job.Stage{{Count: 1}}, Repetitions: 2, FirstRunMS: now.WallMS - 1000, IntervalMS: 3_600_000}
		state := map[string][]byte{jobKey(id): encode(jobRecord{Specification: specification})}
		status := func() job.State {
			s, err := New(Settings{}, now, state)
			So(err, ShouldBeNil)
			reported, known := s.Status(id)
			So(known, ShouldBeTrue)
			return reported
		}
		Convey("a new leader reports it as running", func() {
			state[repetitionKey(id, 0)] = encode(repetitionRecord{Complete: true})
			So(status(), ShouldEqual, job.Running)
		})
		Convey("without a complete repetition, a new leader reports it as queued", func() {
			So(status(), ShouldEqual, job.Queued)
		})
	})
}
