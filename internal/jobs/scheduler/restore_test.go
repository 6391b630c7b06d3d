package scheduler

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

func TestCorruptStateIsNotRestored(t *testing.T) {
	encode := func(record any) []byte {
		value, err := msgpack.Marshal(record)
		So(err, ShouldBeNil)
		return value
	}
	now := Now{Monotonic: time.Unix(1000, 0), WallMS: 1_000_000}
	id := job.ID("00000000000000aa")
	task := job.TaskID{Job: id}
	oneTask := jobRecord{Specification: job.Specification{Stages: []job.Stage{{Count: 1}}}}
	Convey("Records that agree are restored", t, func() {
		_, err := New(Settings{}, now, map[string][]byte{jobKey(id): encode(oneTask), taskKey(task): encode(taskRecord{AttemptNumber: 1})})
		So(err, ShouldBeNil)
	})
	Convey("A record that cannot be read, or contradicts others, makes no scheduler", t, func() {
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
			{"a task whose name has too few parts", map[string][]byte{taskPrefix + string(id) + "/0.0": encode(taskRecord{})}},
			{"a task of a job without a record", map[string][]byte{taskKey(task): encode(taskRecord{AttemptNumber: 1})}},
			{"a task of a stage that the job has not", map[string][]byte{jobKey(id): encode(oneTask), taskKey(noStage): encode(taskRecord{})}},
			{"a task beyond the count of its own stage", map[string][]byte{jobKey(id): encode(oneTask), taskKey(noTask): encode(taskRecord{})}},
		} {
			Convey(corrupt.name, func() {
				_, err := New(Settings{}, now, corrupt.state)
				So(err, ShouldWrap, ErrCorruptState)
			})
		}
	})
}
