package workerclient

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

var errNoResponse = errors.New("no response")

// simulation is a link without a network. The outcomes of its calls are drawn at random.
type simulation struct {
	t             *rapid.T
	link          *Link
	now           time.Time
	epoch         time.Time     // local time of the first reading of the worker's clock
	firstReading  time.Duration // value of that reading
	clockRate     float64
	leasesExpired time.Time // expiry of all grants sent so far, including those whose calls have not ended
	calls         []callInFlight
}

// callInFlight is a call whose outcome is drawn, but not yet known to the link.
type callInFlight struct {
	endsAt    time.Time // time at which the call ends for the link
	handleEnd func(received time.Time)
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), epoch: time.Unix(900, 0)}
	s.firstReading = time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "first reading"))
	s.clockRate = rapid.Float64Range(0.98, 1).Draw(t, "rate")
	s.link = NewLink(Config{
		MaxLease: testMaxLease, Events: newRecorder(), HTTP: http.DefaultClient,
		Now: func() time.Time { return s.now }, LeaderLeaseValid: func() bool { return true },
	})
	return s
}

func (s *simulation) workerClock(at time.Time) time.Duration {
	return s.firstReading + time.Duration(float64(at.Sub(s.epoch))*s.clockRate)
}

func (s *simulation) drawDuration(limit time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(s.t, label))
}

// recordExecution records that the worker executes a call with a grant. If fromArrival is true, the duration of the grant counts from
// the execution instead of from the sending.
func (s *simulation) recordExecution(validUntil time.Duration, sentAt, executedAt time.Time, fromArrival bool) {
	if fromArrival {
		validUntil += s.workerClock(executedAt) - s.workerClock(sentAt)
	}
	validUntil = min(validUntil, s.workerClock(executedAt)+testMaxLease)
	if validUntil <= s.workerClock(executedAt) {
		return
	}
	local := time.Duration(float64(validUntil-s.workerClock(executedAt)) / s.clockRate)
	s.leasesExpired = later(s.leasesExpired, executedAt.Add(local))
}

// send draws the outcome of a call. validUntil is 0 if the call grants no lease.
func (s *simulation) send(validUntil, wait, timeout time.Duration, handleEnd func(response workerResponse, err error, received time.Time)) {
	sentAt := s.now
	if validUntil > s.workerClock(sentAt)+testMaxLease {
		s.t.Fatalf("grant exceeds the maximum lease by %v", validUntil-s.workerClock(sentAt)-testMaxLease)
	}
	if rapid.IntRange(0, 3).Draw(s.t, "lost or late") == 0 {
		if rapid.Bool().Draw(s.t, "abandoned early") {
			timeout = s.drawDuration(timeout, "timeout")
		}
		departedAt := sentAt.Add(s.drawDuration(timeout, "send delay"))
		if validUntil != 0 && rapid.Bool().Draw(s.t, "late") {
			executedAt := departedAt.Add(s.drawDuration(maxLateExecution, "execution delay"))
			s.recordExecution(validUntil, departedAt, executedAt, rapid.Bool().Draw(s.t, "from arrival"))
		}
		s.calls = append(s.calls, callInFlight{sentAt.Add(timeout), func(received time.Time) {
			handleEnd(workerResponse{}, rpcerror.WrapMayHaveExecuted(errNoResponse), received)
		}})
		return
	}
	arrivedAt := sentAt.Add(s.drawDuration(timeout, "request delay"))
	if validUntil != 0 {
		s.recordExecution(validUntil, sentAt, arrivedAt, false)
	}
	readAt := arrivedAt.Add(s.drawDuration(wait, "wait"))
	received := readAt.Add(s.drawDuration(100*time.Millisecond, "response delay"))
	clockMS := s.workerClock(readAt).Milliseconds()
	s.calls = append(s.calls, callInFlight{received, func(received time.Time) {
		handleEnd(workerResponse{http.StatusOK, responseBody{ClockMS: &clockMS}}, nil, received)
	}})
}

func (s *simulation) renew() {
	c := s.link.beginRenewal()
	wait := time.Duration(c.request.waitMS) * time.Millisecond
	s.send(c.validUntil, wait, c.timeout, func(response workerResponse, err error, received time.Time) {
		s.link.handleListResponse(c, response, err, received)
		if err != nil && rapid.Bool().Draw(s.t, "no poll is answered instead") {
			s.link.setReachability(unreachable)
		} else {
			s.link.activity.listed = s.link.activity.listed || err == nil
			s.link.setReachability(reachable)
		}
		s.renew()
	})
}

// poll sends an out-of-band poll.
func (s *simulation) poll() {
	c := s.link.beginPoll(s.link.rtt.pollTimeout())
	s.send(c.validUntil, 0, c.timeout, func(response workerResponse, err error, received time.Time) {
		s.link.handleListResponse(c, response, err, received)
	})
}

func (s *simulation) start() {
	if !s.link.canSendStart(s.now) {
		return
	}
	if s.workerClock(s.now)+s.link.timings.minRemainingLease > s.link.lease.confirmed.validUntil {
		s.t.Fatal("a start would be sent with too short a lease")
	}
	c := s.link.beginStart()
	s.send(c.validUntil, 0, c.timeout, func(response workerResponse, err error, received time.Time) {
		s.link.handleStartResponse(c, response, err, received)
	})
}

// advance moves the time forward by the given duration. Calls that end meanwhile are ended at their time, in order.
func (s *simulation) advance(by time.Duration) {
	end := s.now.Add(by)
	for {
		next := -1
		for i, call := range s.calls {
			if !call.endsAt.After(end) && (next < 0 || call.endsAt.Before(s.calls[next].endsAt)) {
				next = i
			}
		}
		if next < 0 {
			s.now = end
			return
		}
		call := s.calls[next]
		s.calls = append(s.calls[:next], s.calls[next+1:]...)
		s.now = call.endsAt
		call.handleEnd(call.endsAt)
		s.check()
	}
}

func (s *simulation) check() {
	if expiredBy := s.link.LeasesExpiredBy(); expiredBy.Before(s.leasesExpired) {
		s.t.Fatalf("LeasesExpiredBy is %v too early", s.leasesExpired.Sub(expiredBy))
	}
	if !s.link.lease.clock.initialized {
		return
	}
	clock := s.workerClock(s.now)
	if low, high := s.link.lease.clock.lowest(s.now), s.link.lease.clock.highest(s.now); low > clock || clock > high {
		s.t.Fatalf("worker clock is %v, outside of its bounds %v and %v", clock, low, high)
	}
}

func TestLeaseExpiryIsNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.renew()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.advance(s.drawDuration(700*time.Millisecond, "pause"))
			if rapid.Bool().Draw(t, "start") {
				s.start()
			}
			if rapid.Bool().Draw(t, "poll") {
				s.poll()
			}
			s.check()
		}
	})
}

func TestLeaseExpiryOfAnsweredGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clock clockBounds
		var grants leaseGrants
		sent := time.Unix(50, 0)
		received := sent.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "round trip")))
		clock.observe(sent, received, 70_000)
		g := grants.begin(clock.maxTimeUntil(76*time.Second, sent), sent, maxCommandTimeout)
		grants.answered(g, received, clock.maxTimeUntil(76*time.Second, received))
		if limit := received.Add(6200 * time.Millisecond); grants.expiredBy().After(limit) {
			t.Fatalf("an answered grant of 6 s expires after %v", grants.expiredBy().Sub(received))
		}
	})
}

func TestGrantOfUnsentCallDoesNotCount(t *testing.T) {
	var grants leaseGrants
	grants.notExecuted(grants.begin(time.Second, time.Unix(50, 0), maxCommandTimeout))
	if !grants.expiredBy().IsZero() {
		t.Fatalf("a grant whose call was not executed expires by %v", grants.expiredBy())
	}
}
