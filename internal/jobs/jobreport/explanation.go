package jobreport

import "puffinlink.example/puffinlink/internal/jobs/job"

// Cause is why a worker does not take a task.
type Cause string

// The causes that exclude a worker. The first that applies is reported.
const (
	CauseLabel            Cause = "label"            // it lacks a label that the task requires
	CauseSize             Cause = "size"             // the task does not fit even when the worker is empty
	CauseDraining         Cause = "draining"         // the platform is about to take it away
	CauseOperatorDraining Cause = "operatorDraining" // an operator drains it
	CauseUnlisted         Cause = "unlisted"         // the platform has not listed it since this leader took over
	CauseUnreachable      Cause = "unreachable"      // the last call was not answered
	CauseNotFenced        Cause = "notFenced"        // it has not confirmed this leader's fencing token yet
	CauseOrphans          Cause = "unwantedRuns"     // attempts that no job wants are being stopped there
	CauseBackoff          Cause = "resting"          // no starts for a moment after it rejected one or an attempt stalled
	CauseWindow           Cause = "window"           // it has as many attempts as its window allows
	CauseCapacity         Cause = "room"             // its free capacity is too small
	CauseAntiAffinity     Cause = "antiAffinity"     // it has as many tasks of the stage as the job allows
	CauseOther            Cause = "other"
)

// Reason is why tasks wait.
type Reason string

// The reasons for which tasks wait.
const (
	ReasonDependsOn    Reason = "dependsOn"  // earlier stages are not complete
	ReasonNotDue       Reason = "notDue"     // the repetition's time has not come
	ReasonGangActive   Reason = "gangParts"  // attempts of members of the gang may still be under way
	ReasonGangCapacity Reason = "gangRoom"   // there is not capacity for all members of the gang at once
	ReasonBackoff      Reason = "pause"      // a short pause after a start that failed
	ReasonNoWorker     Reason = "noSearcher" // every worker is excluded
	ReasonTurn         Reason = "turn"       // a worker could take it; others go first
)

// Excluded is the workers that one cause excludes.
type Excluded struct {
	Cause   Cause    `msgpack:"c" json:"cause"`
	Count   int      `msgpack:"n" json:"count"`
	Workers []string `msgpack:"s" json:"searchers"` // the first few
}

// Waiting is the tasks of one stage that wait.
type Waiting struct {
	Repetition  int           `msgpack:"r" json:"repetition"`
	Stage       int           `msgpack:"s" json:"stage"`
	Tasks       int           `msgpack:"t" json:"tasks"`
	Reason      Reason        `msgpack:"w" json:"reason"`
	DependsOn   []int         `msgpack:"d" json:"dependsOn,omitempty"` // earlier stages that are not complete
	DueMS       int64         `msgpack:"m" json:"dueMs,omitzero"`      // milliseconds since 1970
	AgeMS       int64         `msgpack:"a" json:"ageMs,omitzero"`      // since the stage last began to wait
	Ahead       int           `msgpack:"h" json:"ahead,omitzero"`      // stages that come before this one in the present order
	Request     job.Resources `msgpack:"q" json:"request"`             // of one task
	OpenWorkers []string      `msgpack:"o" json:"open,omitempty"`      // the first few workers that could take one
	Excluded    []Excluded    `msgpack:"x" json:"ruledOut,omitempty"`
}

// Why explains why a job's tasks wait.
type Why struct {
	ID        job.ID    `msgpack:"i" json:"id"`
	State     job.State `msgpack:"s" json:"state"`
	Waiting   []Waiting `msgpack:"w" json:"waiting"`
	Truncated bool      `msgpack:"y" json:"truncated,omitzero"` // further stages wait that are not listed
}
