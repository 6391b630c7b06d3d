package scheduler

// A checkpoint of any member of a gang is good for the whole gang, and all members of an attempt must resume from the same one. So
// a gang has a single checkpoint: stageState.gangCheckpoint in memory, and the record of the first member on disk. The record of
// another member contains the gang's checkpoint as of the time when it was written. It is read only if the first member's record
// has none: earlier builds wrote a checkpoint to the record of the member that brought it alone.

// resumeCheckpoint returns the checkpoint from which the task's next attempt resumes. It is empty to start from the beginning.
func (task *taskState) resumeCheckpoint() string {
	if task.stage.GangScheduled {
		return task.stage.gangCheckpoint
	}
	return task.ownCheckpoint
}

// recordCheckpoint stores the newest checkpoint of a task, or of its gang. It ignores an empty one. The checkpoint of a gang is
// written to its record, and that of another task with the next record of the task.
func (s *Scheduler) recordCheckpoint(task *taskState, checkpoint string) {
	stage := task.stage
	switch {
	case checkpoint == "" || !stage.Checkpoints:
	case !stage.GangScheduled:
		task.ownCheckpoint = checkpoint
	case stage.gangCheckpoint != checkpoint:
		stage.gangCheckpoint = checkpoint
		s.writeTaskRecord(stage.tasks[0])
	}
}

// restoreGangCheckpoint replaces the checkpoints that were restored for the members of a gang by the first one of them.
func (stage *stageState) restoreGangCheckpoint() {
	if !stage.GangScheduled {
		return
	}
	for _, member := range stage.tasks {
		if stage.gangCheckpoint == "" {
			stage.gangCheckpoint = member.ownCheckpoint
		}
		member.ownCheckpoint = ""
	}
}
