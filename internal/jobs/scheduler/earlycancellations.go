package scheduler

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// A cancellation may overtake the submission of its job, which waits in the socket of a node that is paused. The client is told that there is
// no such job, so the job must not run when its submission arrives. This file remembers such cancellations, for as long as ended jobs.

// MaxEarlyCancellations is the maximum number of cancellations that a group remembers. It is more than the jobs of a day of the largest
// deployments, so that clients which cancel IDs at random can't fill the group's state.
const MaxEarlyCancellations = 10_000

// earlyCancellation names a job that was cancelled before it was submitted.
type earlyCancellation struct {
	queue queuekey.Key
	id    job.ID
}

// earlyCancellationRecord records when a job was cancelled that had not been submitted.
type earlyCancellationRecord struct {
	CancelledMS int64     `msgpack:"t"` // milliseconds since 1970
	cancelledAt time.Time // monotonic time of the cancellation, or of the election if the job was cancelled before; not stored
}

func (c earlyCancellation) key() string {
	return fmt.Sprintf("%s%016x/%s", earlyCancellationPrefix, uint64(c.queue), c.id)
}

// parseEarlyCancellationKey is the inverse of key. Its error wraps ErrCorruptState.
func parseEarlyCancellationKey(key string) (earlyCancellation, error) {
	queue, id, _ := strings.Cut(strings.TrimPrefix(key, earlyCancellationPrefix), "/")
	number, err := strconv.ParseUint(queue, 16, 64)
	if err != nil {
		return earlyCancellation{}, fmt.Errorf("%w: record %q: %w", ErrCorruptState, key, err)
	}
	return earlyCancellation{queuekey.Key(number), job.ID(id)}, nil
}

// CancelEarly remembers the cancellation of a job that is not known. When the job is submitted later, it counts as accepted and cancelled,
// and never runs. CancelEarly returns false if too many cancellations are remembered, and remembers nothing then.
func (s *Scheduler) CancelEarly(now Now, queue queuekey.Key, id job.ID) (remembered bool) {
	cancellation := earlyCancellation{queue, id}
	if _, found := s.earlyCancellations[cancellation]; found {
		return true
	}
	if len(s.earlyCancellations) >= MaxEarlyCancellations {
		return false
	}
	record := earlyCancellationRecord{CancelledMS: now.WallMS, cancelledAt: now.Monotonic}
	s.writeRecord(cancellation.key(), record)
	s.addEarlyCancellation(cancellation, record)
	return true
}

func (s *Scheduler) addEarlyCancellation(cancellation earlyCancellation, record earlyCancellationRecord) {
	s.earlyCancellations[cancellation] = record
	s.countJobs(cancellation.queue, 1, 0) // another group that has the queue must hear of it
}

func (s *Scheduler) forgetEarlyCancellation(cancellation earlyCancellation) {
	delete(s.earlyCancellations, cancellation)
	s.eraseRecord(cancellation.key())
	s.countJobs(cancellation.queue, -1, 0)
}

// SubmitCancelled ends a job that was cancelled before its submission, which arrives now. It returns false if there was no such
// cancellation.
func (s *Scheduler) SubmitCancelled(now Now, queue queuekey.Key, id job.ID) bool {
	cancellation := earlyCancellation{queue, id}
	if _, found := s.earlyCancellations[cancellation]; !found {
		return false
	}
	s.forgetEarlyCancellation(cancellation)
	s.addEndedJob(now, id, endedRecord{State: job.Cancelled, EndedMS: now.WallMS, Queue: queue})
	s.countJobs(queue, 1, 0)
	return true
}

// pruneEarlyCancellations forgets cancellations when jobs that ended then are forgotten as well.
func (s *Scheduler) pruneEarlyCancellations(now Now) {
	for cancellation, record := range s.earlyCancellations {
		if s.retentionIsOver(now, record.cancelledAt, record.CancelledMS) {
			s.forgetEarlyCancellation(cancellation)
		}
	}
}
