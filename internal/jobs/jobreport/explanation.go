package jobreport

import "puffinlink.example/puffinlink/internal/jobs/job"

// Cause identifies why a worker does not take a task.
type Cause string

// The causes that exclude a worker. The first that applies is reported.
const (
	CauseMissingLabel     Cause = "label"            // the worker lacks a label that the task requires
	CauseTotalCapacity    Cause = "size"             // the task requests more than the worker's total capacity
	CauseDraining         Cause = "draining"         // the platform is about to remove the worker
	CauseOperatorDraining Cause = "operatorDraining" // an operator drains the worker
	CauseNotInInventory   Cause = "unlisted"         // the platform has not listed the worker since this leader took over
	CauseUnreachable      Cause = "unreachable"      // the worker did not answer the last call
	CauseNotFenced        Cause = "notFenced"        // the worker has not confirmed this leader's fencing token yet
	CauseOrphans          Cause = "unwantedRuns"     // attempts that belong to no job are being stopped at the worker
	CauseBackoff          Cause = "resting"          // the worker gets no starts for a short time, because it rejected a start or an attempt stalled there
	CauseWindow           Cause = "window"           // the worker has as many unproven attempts as its window allows
	CauseFreeCapacity     Cause = "room"             // the task requests more than the worker's free capacity
	CauseAntiAffinity     Cause = "antiAffinity"     // the worker has as many tasks of the stage as the job allows
	CauseOther            Cause = "other"
)

// Reason identifies why the tasks of a stage wait.
type Reason string

// The reasons why tasks wait.
const (
	ReasonDependsOn    Reason = "dependsOn"  // earlier stages are not complete
	ReasonNotDue       Reason = "notDue"     // the repetition is not due yet
	ReasonGangActive   Reason = "gangParts"  // attempts of members of the gang may still be under way
	ReasonGangCapacity Reason = "gangRoom"   // the free capacity does not suffice for all members of the gang at once
	ReasonBackoff      Reason = "pause"      // a start failed shortly before
	ReasonNoWorker     Reason = "noSearcher" // every worker is excluded
	ReasonQueueOrder   Reason = "turn"       // a worker could take a task, but other tasks precede it in the queue
)

// Exclusion lists the workers that one cause excludes.
type Exclusion struct {
	Cause   Cause    `msgpack:"c" json:"cause"`
	Count   int      `msgpack:"n" json:"count"`
	Workers []string `msgpack:"s" json:"searchers"` // IDs of the first few workers
}

// WaitingStage explains why tasks of one stage wait.
type WaitingStage struct {
	Repetition       int           `msgpack:"r" json:"repetition"`
	Stage            int           `msgpack:"s" json:"stage"`
	Tasks            int           `msgpack:"t" json:"tasks"`
	Reason           Reason        `msgpack:"w" json:"reason"`
	DependsOn        []int         `msgpack:"d" json:"dependsOn,omitempty"` // earlier stages that are not complete
	DueMS            int64         `msgpack:"m" json:"dueMs,omitzero"`      // when the repetition is due, milliseconds since 1970
	WaitMS           int64         `msgpack:"a" json:"ageMs,omitzero"`      // time since the stage last began to wait, milliseconds
	StagesAhead      int           `msgpack:"h" json:"ahead,omitzero"`      // number of stages that precede this one in the queue
	Request          job.Resources `msgpack:"q" json:"request"`             // resources that one task requests
	AcceptingWorkers []string      `msgpack:"o" json:"open,omitempty"`      // IDs of the first few workers that could take a task
	Exclusions       []Exclusion   `msgpack:"x" json:"ruledOut,omitempty"`
}

// Explanation explains why a job's tasks wait.
type Explanation struct {
	ID            job.ID         `msgpack:"i" json:"id"`
	State         job.State      `msgpack:"s" json:"state"`
	WaitingStages []WaitingStage `msgpack:"w" json:"waiting"`
	Truncated     bool           `msgpack:"y" json:"truncated,omitzero"` // more stages wait than are listed
}
