package scheduler

import (
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// This file holds what a group must know and remember when the configuration gives a queue to another service, whose jobs another group
// schedules. Package queueowner decides which group may accept a job.

// handoverRecord records which queues the group has released.
type handoverRecord struct {
	// MinConfigurationVersion is the version of the configuration up to which the group has released its queues: it accepts no job for
	// a tenure that ended in this version or earlier, and decides by no older version.
	MinConfigurationVersion uint64 `msgpack:"v"`
}

// jobCounts are numbers of a queue's jobs.
type jobCounts struct {
	known   int // also of jobs that have ended
	pending int // of jobs that have not ended
}

// countJobs adds to the counts of a queue's jobs.
func (s *Scheduler) countJobs(queue queuekey.Key, known, pending int) {
	counts := s.jobCounts[queue]
	counts.known += known
	counts.pending += pending
	if counts == (jobCounts{}) {
		delete(s.jobCounts, queue)
		return
	}
	s.jobCounts[queue] = counts
}

// MinConfigurationVersion returns the version up to which the group has released its queues; 0 if it has released none.
func (s *Scheduler) MinConfigurationVersion() uint64 { return s.minConfigurationVersion }

// ReleaseQueues releases the queues whose tenures ended in a version of the configuration or earlier. A release lasts for good.
func (s *Scheduler) ReleaseQueues(version uint64) {
	if version <= s.minConfigurationVersion {
		return
	}
	s.minConfigurationVersion = version
	s.writeRecord(handoverKey, handoverRecord{MinConfigurationVersion: version})
}

// Knows reports whether a job of a queue is known. If the queue is unknown, the job may be of any queue.
func (s *Scheduler) Knows(queue queuekey.Key, id job.ID) bool {
	known, found := s.queueOf(id)
	return found && known.Matches(queue)
}

// IsVacant reports whether no job of a queue is known, not even an ended one. Jobs of unknown queues may be of any queue.
func (s *Scheduler) IsVacant(queue queuekey.Key) bool {
	return s.jobCounts[queue].known == 0 && s.jobCounts[queuekey.Unknown].known == 0
}

// PendingJobs returns the number of a queue's jobs that have not ended. Jobs of older builds count if they are of the given route.
func (s *Scheduler) PendingJobs(queue queuekey.Key, route string) int {
	if queue == queuekey.Unknown {
		return s.pendingByRoute[route]
	}
	count := s.jobCounts[queue].pending
	if s.jobCounts[queuekey.Unknown].pending == 0 {
		return count
	}
	for _, j := range s.jobs {
		if j.Queue.Key == queuekey.Unknown && j.Queue.Route == route {
			count++
		}
	}
	return count
}
