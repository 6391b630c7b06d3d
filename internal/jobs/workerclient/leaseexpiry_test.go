package workerclient

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

var errNoResponse = errors.New("no answer")

// simulation is a link without a network: what becomes of its calls is drawn at random.
type simulation struct {
	t             *rapid.T
	link          *Link
	now           time.Time
	epoch         time.Time     // when the worker's clock showed its first reading
	firstReading  time.Duration // that reading
	clockRate     float64
	leasesExpired time.Time // when all grants sent so far have expired, whatever is still to become of their calls
	calls         []callInFlight
}

// callInFlight is a call whose outcome is known to the simulation only.
type callInFlight struct {
	due       time.Time // when the link learns of its end
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

// executed records a grant that takes effect at a time; it may count from then on instead of from when it was sent.
func (s *simulation) recordExecution(validUntil time.Duration, sent, at time.Time, fromArrival bool) {
	if fromArrival {
		validUntil += s.workerClock(at) - s.workerClock(sent)
	}
	validUntil = min(validUntil, s.workerClock(at)+testMaxLease)
	if validUntil <= s.workerClock(at) {
		return
	}
	local := time.Duration(float64(validUntil-s.workerClock(at)) / s.clockRate)
	s.leasesExpired = later(s.leasesExpired, at.Add(local))
}

// send decides what becomes of a call: validUntil is 0 where it carries no grant.
func (s *simulation) send(validUntil, wait, timeout time.Duration, handleEnd func(a workerResponse, err error, received time.Time)) {
	sent := s.now
	if validUntil > s.workerClock(sent)+testMaxLease {
		s.t.Fatalf("grant reaches %v beyond the longest lease", validUntil-s.workerClock(sent)-testMaxLease)
	}
	if rapid.IntRange(0, 3).Draw(s.t, "lost or late") == 0 {
		if rapid.Bool().Draw(s.t, "given up early") {
			timeout = s.drawDuration(timeout, "time-out")
		}
		left := sent.Add(s.drawDuration(timeout, "way there"))
		if validUntil != 0 && rapid.Bool().Draw(s.t, "late") {
			at := left.Add(s.drawDuration(maxLateExecution, "delay"))
			s.recordExecution(validUntil, left, at, rapid.Bool().Draw(s.t, "from arrival"))
		}
		s.calls = append(s.calls, callInFlight{sent.Add(timeout), func(received time.Time) {
			handleEnd(workerResponse{}, rpcerror.WrapMayHaveExecuted(errNoResponse), received)
		}})
		return
	}
	left := sent.Add(s.drawDuration(timeout, "way there"))
	if validUntil != 0 {
		s.recordExecution(validUntil, sent, left, false)
	}
	readAt := left.Add(s.drawDuration(wait, "wait"))
	received := readAt.Add(s.drawDuration(100*time.Millisecond, "way back"))
	clockMS := s.workerClock(readAt).Milliseconds()
	s.calls = append(s.calls, callInFlight{received, func(received time.Time) {
		handleEnd(workerResponse{http.StatusOK, responseBody{ClockMS: &clockMS}}, nil, received)
	}})
}

func (s *simulation) renew() {
	c := s.link.beginRenewal()
	wait := time.Duration(c.request.waitMS) * time.Millisecond
	s.send(c.validUntil, wait, c.timeout, func(a workerResponse, err error, received time.Time) {
		s.link.handleListResponse(c, a, err, received)
		if err != nil && rapid.Bool().Draw(s.t, "no look is answered instead") {
			s.link.setReachability(unreachable)
		} else {
			s.link.activity.listed = s.link.activity.listed || err == nil
			s.link.setReachability(reachable)
		}
		s.renew()
	})
}

// poll makes a call for the lists beside the renewal.
func (s *simulation) poll() {
	c := s.link.beginPoll(s.link.rtt.pollTimeout())
	s.send(c.validUntil, 0, c.timeout, func(a workerResponse, err error, received time.Time) {
		s.link.handleListResponse(c, a, err, received)
	})
}

func (s *simulation) start() {
	if !s.link.canSendStart(s.now) {
		return
	}
	if s.workerClock(s.now)+s.link.timings.minRemainingLease > s.link.lease.confirmed.validUntil {
		s.t.Fatal("the lease of a start is too short")
	}
	c := s.link.beginStart()
	s.send(c.validUntil, 0, c.timeout, func(a workerResponse, err error, received time.Time) {
		s.link.handleStartResponse(c, a, err, received)
	})
}

// advance moves the time to the next end of a call, or by the given time if there is none before.
func (s *simulation) advance(by time.Duration) {
	end := s.now.Add(by)
	for {
		next := -1
		for i, f := range s.calls {
			if !f.due.After(end) && (next < 0 || f.due.Before(s.calls[next].due)) {
				next = i
			}
		}
		if next < 0 {
			s.now = end
			return
		}
		f := s.calls[next]
		s.calls = append(s.calls[:next], s.calls[next+1:]...)
		s.now = f.due
		f.handleEnd(f.due)
		s.check()
	}
}

func (s *simulation) check() {
	if expiredBy := s.link.LeasesExpiredBy(); expiredBy.Before(s.leasesExpired) {
		s.t.Fatalf("LeasesExpiredBy is %v too early", s.leasesExpired.Sub(expiredBy))
	}
	if !s.link.lease.clock.known {
		return
	}
	clock := s.workerClock(s.now)
	if low, high := s.link.lease.clock.lowest(s.now), s.link.lease.clock.highest(s.now); low > clock || clock > high {
		s.t.Fatalf("clock shows %v, bounds are %v and %v", clock, low, high)
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
			if rapid.Bool().Draw(t, "look") {
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
		if most := received.Add(6200 * time.Millisecond); grants.expiredBy().After(most) {
			t.Fatalf("an answered grant of 6 s counts for %v", grants.expiredBy().Sub(received))
		}
	})
}

func TestGrantOfUnsentCallDoesNotCount(t *testing.T) {
	var grants leaseGrants
	grants.notExecuted(grants.begin(time.Second, time.Unix(50, 0), maxCommandTimeout))
	if !grants.expiredBy().IsZero() {
		t.Fatalf("expires by %v", grants.expiredBy())
	}
}
