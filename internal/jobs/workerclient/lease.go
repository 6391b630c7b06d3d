package workerclient

import (
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// confirmedLease is the newest lease confirmed by the worker.
type confirmedLease struct {
	validUntil  time.Duration // on the worker's clock; 0 if there is no lease
	requestedAt time.Time
}

// leaseState is the link's knowledge of its worker's lease: the bounds of the worker's clock, the confirmed lease, and the time by
// which all grants have certainly expired. It does no I/O. The link's lock guards it.
type leaseState struct {
	clock     clockBounds
	grants    leaseGrants
	confirmed confirmedLease
}

// remaining returns the minimum remaining time of the confirmed lease, on the worker's clock. It is negative if the lease may have
// expired.
func (s *leaseState) remaining(now time.Time) time.Duration {
	return s.confirmed.validUntil - s.clock.highest(now)
}

// extension returns the end of the longest lease that the worker is certain to accept in full, and whether that extends the confirmed
// lease.
func (s *leaseState) extension(maxLease time.Duration, now time.Time) (validUntil time.Duration, extends bool) {
	validUntil = (s.clock.lowest(now) + maxLease).Truncate(time.Millisecond)
	return validUntil, validUntil > s.confirmed.validUntil
}

// grant records that a call is about to be sent which grants a lease until the given time on the worker's clock.
func (s *leaseState) grant(validUntil time.Duration, sentAt time.Time, timeout time.Duration) *leaseGrant {
	return s.grants.begin(s.clock.maxTimeUntil(validUntil, sentAt), sentAt, timeout)
}

// observe updates the clock bounds from a response, if it contains a clock reading.
func (s *leaseState) observe(response workerResponse, sentAt, received time.Time) {
	if response.body.ClockMS != nil {
		s.clock.observe(sentAt, received, *response.body.ClockMS)
	}
}

// endGrant ends the grant of a call according to the result of the call. The grant is nil if the call granted no lease.
func (s *leaseState) endGrant(grant *leaseGrant, validUntil time.Duration, err error, received time.Time) {
	switch {
	case grant == nil:
	case err == nil:
		s.grants.answered(grant, received, s.clock.maxTimeUntil(validUntil, received))
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		s.grants.notExecuted(grant)
	default:
		s.grants.unanswered(grant, received)
	}
}
