package scheduler

import (
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// manualCluster is a scheduler with workers that have room for one task each, and a job of one stage. The test plays the part of
// the workers and of the scheduler's caller, event by event.
type manualCluster struct {
	settings  Settings
	scheduler *Scheduler
	now       Now
	instances []workerclient.Instance
	durable   map[string][]byte
	percent   int // progress of the attempts that run, which only rises
}

const manualJob = job.ID("00000000000000aa")

// newManualCluster returns a cluster in which an attempt of each task of the stage runs, each on a worker of its own.
func newManualCluster(stage job.Stage) *manualCluster {
	c := &manualCluster{
		settings: Settings{MaxStopDuration: 400 * time.Millisecond, MaxLease: 6 * time.Second, MinDrainDuration: time.Second, StatusRetention: time.Hour},
		now:      Now{Monotonic: time.Unix(1_700_000_000, 0), WallMS: 1_700_000_000_000}, durable: map[string][]byte{},
	}
	for number := range max(2, stage.Count) {
		c.instances = append(c.instances, workerclient.Instance{ID: manualWorker(number), Service: "x", Capacity: stage.Resources})
	}
	c.startLeadership()
	c.scheduler.Submit(c.now, &jobapi.SubmitRequest{ID: manualJob, Queue: jobapi.Queue{Route: "r", MaxAttempts: 3},
		Specification: job.Specification{Stages: []job.Stage{stage}}})
	So(c.confirmStarts(), ShouldHaveLength, stage.Count)
	return c
}

// manualWorker returns the ID of a worker.
func manualWorker(number int) workerclient.WorkerID {
	return workerclient.WorkerID([]string{"s0", "s1", "s2", "s3"}[number])
}

// startLeadership starts a new leadership from the durable records. All workers are listed and have reported nothing.
func (c *manualCluster) startLeadership() {
	c.restore()
	c.scheduler.SetInventory(c.now, c.instances)
	for i := range c.instances {
		c.report(c.instances[i].ID)
	}
}

// restore starts a new leadership from the durable records, which has not read the list of workers yet.
func (c *manualCluster) restore() {
	var err error
	c.scheduler, err = New(c.settings, c.now, c.durable)
	So(err, ShouldBeNil)
}

func (c *manualCluster) advance(duration time.Duration) {
	c.now = Now{Monotonic: c.now.Monotonic.Add(duration), WallMS: c.now.WallMS + duration.Milliseconds()}
}

// report delivers a worker's report that lists the given attempts.
func (c *manualCluster) report(worker workerclient.WorkerID, running ...workerclient.RunningTask) {
	c.advance(time.Millisecond)
	c.scheduler.HandleReport(c.now, &workerclient.Listing{Worker: worker, SentAt: c.now.Monotonic, Running: running})
}

// finish delivers a worker's report that lists the completion of an attempt and nothing that runs.
func (c *manualCluster) finish(worker workerclient.WorkerID, completion workerclient.FinishedTask) {
	c.advance(time.Millisecond)
	c.scheduler.HandleReport(c.now, &workerclient.Listing{Worker: worker, SentAt: c.now.Monotonic, Finished: []workerclient.FinishedTask{completion}})
}

// commit makes the scheduler's entries durable and returns its commands.
func (c *manualCluster) commit() []Command {
	effects := c.scheduler.TakeEffects()
	for _, entry := range effects.Entries {
		if entry.Value == nil {
			delete(c.durable, entry.Key)
			continue
		}
		c.durable[entry.Key] = entry.Value
	}
	return effects.Commands
}

// confirmStarts dispatches, confirms the starts and returns them. There must be no other commands.
func (c *manualCluster) confirmStarts() (starts []workerclient.StartCommand) {
	c.scheduler.Dispatch(c.now)
	for _, command := range c.commit() {
		So(command.Start, ShouldNotBeNil)
		c.advance(time.Millisecond)
		starts = append(starts, *command.Start)
		c.scheduler.HandleStartResult(c.now, &workerclient.StartResult{Worker: command.Worker, Command: *command.Start, Outcome: workerclient.Started, At: c.now.Monotonic})
	}
	return starts
}

// stops returns the stop commands since the last call, as results without an answer.
func (c *manualCluster) stops() (stops []workerclient.StopResult) {
	for _, command := range c.commit() {
		if command.Stop != nil {
			stops = append(stops, workerclient.StopResult{Worker: command.Worker, Command: *command.Stop, At: c.now.Monotonic})
		}
	}
	return stops
}
