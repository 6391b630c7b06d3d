package scheduler

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// checkpointingGang returns a gang of three members that saves checkpoints.
func checkpointingGang() job.Stage {
	gang := smallStage(3)
	gang.GangScheduled, gang.Checkpoints = true, true
	return gang
}

// breakGang delivers the completions of members of the first attempt: the first member fails, the others are broken. Each brings
// a checkpoint of its own.
func (c *manualCluster) breakGang(members ...int) {
	for _, member := range members {
		completion := workerclient.FinishedTask{CompletionNumber: 1, Task: job.TaskID{Job: manualJob, Index: member}, AttemptNumber: 1,
			Outcome: job.OutcomeGangBroken, Checkpoint: fmt.Sprint("saved by ", member)}
		if member == 0 {
			completion.Outcome = job.OutcomeFailed
		}
		c.finish(manualWorker(member), completion)
		c.commit()
	}
}

// restartGang advances the time until the gang may start again, and returns the checkpoint of each member's start.
func (c *manualCluster) restartGang() (checkpoints []string) {
	c.advance(time.Minute)
	for _, start := range c.confirmStarts() {
		checkpoints = append(checkpoints, start.Checkpoint)
	}
	So(checkpoints, ShouldHaveLength, 3)
	return checkpoints
}

// All members of a gang must resume from the same checkpoint: guards against a gang that a new leader starts with a different
// checkpoint for each member (review case 3).
func TestGangResumesFromOneCheckpointAfterChangeOfLeader(t *testing.T) {
	for processed := range 4 {
		Convey(fmt.Sprintf("Given a broken gang of which an earlier leader has processed %d of 3 completions", processed), t, func() {
			members := [][]int{{}, {1}, {1, 0}, {1, 0, 2}}[processed]
			c := newManualCluster(checkpointingGang())
			c.breakGang(members...)
			c.restore()
			c.scheduler.SetInventory(c.now, c.instances)
			for member := range 3 {
				if processed == 0 || member == 2 && processed < 3 || member == 0 && processed == 1 {
					c.breakGang(member)
					continue
				}
				c.report(manualWorker(member))
			}
			Convey("the new leader starts all members from the checkpoint of one of them", func() {
				checkpoints := c.restartGang()
				So(checkpoints[0], ShouldStartWith, "saved by ")
				So(checkpoints[1], ShouldEqual, checkpoints[0])
				So(checkpoints[2], ShouldEqual, checkpoints[0])
			})
		})
	}
	Convey("A new leader starts a gang from the same checkpoint as the earlier one would have", t, func() {
		continued, restored := newManualCluster(checkpointingGang()), newManualCluster(checkpointingGang())
		for _, c := range []*manualCluster{continued, restored} {
			c.breakGang(2, 0, 1)
		}
		restored.startLeadership()
		So(restored.restartGang(), ShouldResemble, continued.restartGang())
	})
}

// Earlier builds wrote a checkpoint to the record of the member that brought it alone. Such records must be read as one gang's.
func TestGangWithDifferentCheckpointsInItsRecordsResumesFromOne(t *testing.T) {
	for _, stored := range []struct {
		checkpoints [3]string
		expected    string
	}{
		{[3]string{"a", "b", "c"}, "a"}, {[3]string{"", "b", "c"}, "b"}, {[3]string{"", "", "c"}, "c"}, {[3]string{"", "", ""}, ""},
	} {
		Convey(fmt.Sprintf("Members whose records have the checkpoints %q all resume from %q", stored.checkpoints, stored.expected), t, func() {
			c := newManualCluster(checkpointingGang())
			for member, checkpoint := range stored.checkpoints {
				value, err := msgpack.Marshal(taskRecord{AttemptNumber: 1, Checkpoint: checkpoint})
				So(err, ShouldBeNil)
				c.durable[taskKey(job.TaskID{Job: manualJob, Index: member})] = value
			}
			c.startLeadership()
			So(c.restartGang(), ShouldResemble, []string{stored.expected, stored.expected, stored.expected})
		})
	}
}
