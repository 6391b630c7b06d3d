package workerclient

import (
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// confirmedLease is the newest lease that the worker has confirmed.
type confirmedLease struct {
	validUntil  time.Duration // on the worker's clock; 0 when there is none
	requestedAt time.Time
}

// leaseState is what a link knows about its worker's lease: how the worker's clock runs, up to when its attempts certainly go on, and by
// when everything that was ever granted has certainly expired. It does no I/O; the link's lock guards it.
type leaseState struct {
	clock     clockBounds
	grants    leaseGrants
	confirmed confirmedLease
}

// remaining is how long the confirmed lease lasts at the least, on the worker's clock; it is negative when the lease may be over.
func (s *leaseState) remaining(at time.Time) time.Duration {
	return s.confirmed.validUntil - s.clock.highest(at)
}

// extension is the end of the longest lease that the worker is certain not to cut short, and whether it is later than the confirmed one.
func (s *leaseState) extension(maxLease time.Duration, at time.Time) (validUntil time.Duration, longer bool) {
	validUntil = (s.clock.lowest(at) + maxLease).Truncate(time.Millisecond)
	return validUntil, validUntil > s.confirmed.validUntil
}

// grant records that a call is about to be sent that lets attempts go on up to a time on the worker's clock.
func (s *leaseState) grant(validUntil time.Duration, sentAt time.Time, timeout time.Duration) *leaseGrant {
	return s.grants.begin(s.clock.untilPassed(validUntil, sentAt), sentAt, timeout)
}

// observe takes in the clock of a response, if it carries one.
func (s *leaseState) observe(response workerResponse, sentAt, received time.Time) {
	if response.body.ClockMS != nil {
		s.clock.observe(sentAt, received, *response.body.ClockMS)
	}
}

// settle takes the grant of a call that has ended out of those that are open, by what became of the call; nil is the grant of a call without one.
func (s *leaseState) endGrant(grant *leaseGrant, validUntil time.Duration, err error, received time.Time) {
	switch {
	case grant == nil:
	case err == nil:
		s.grants.answered(grant, received, s.clock.untilPassed(validUntil, received))
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		s.grants.withdrawn(grant)
	default:
		s.grants.unanswered(grant, received)
	}
}
