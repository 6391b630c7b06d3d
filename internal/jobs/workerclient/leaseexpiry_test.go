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

// simulation is a link without a network: what becomes of its calls is drawn.
type simulation struct {
	t             *rapid.T
	link          *Link
	now           time.Time
	zero          time.Time     // when the worker's clock showed its first reading
	first         time.Duration // that reading
	rate          float64
	leasesExpired time.Time // the truth about all calls sent so far, whatever is still to become of them
	calls         []callInFlight
}

// callInFlight is a call whose fate is known to the world only.
type callInFlight struct {
	due    time.Time // when the link learns of its end
	settle func(received time.Time)
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: time.Unix(1000, 0), zero: time.Unix(900, 0)}
	w.first = time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "first reading"))
	w.rate = rapid.Float64Range(0.98, 1).Draw(t, "rate")
	w.link = NewLink(Config{
		MaxLease: testMaxLease, Events: newRecorder(), HTTP: http.DefaultClient,
		Now: func() time.Time { return w.now }, LeaderLeaseValid: func() bool { return true },
	})
	return w
}

func (w *simulation) clock(at time.Time) time.Duration {
	return w.first + time.Duration(float64(at.Sub(w.zero))*w.rate)
}

func (w *simulation) draw(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(w.t, label))
}

// executed notes a grant that takes effect at a time; it may count from then on instead of from when it was sent.
func (w *simulation) executed(validUntil time.Duration, sent, at time.Time, fromArrival bool) {
	if fromArrival {
		validUntil += w.clock(at) - w.clock(sent)
	}
	validUntil = min(validUntil, w.clock(at)+testMaxLease)
	if validUntil <= w.clock(at) {
		return
	}
	local := time.Duration(float64(validUntil-w.clock(at)) / w.rate)
	w.leasesExpired = later(w.leasesExpired, at.Add(local))
}

// send decides what becomes of a call: validUntil is 0 where it carries no grant.
func (w *simulation) send(validUntil, wait, timeout time.Duration, settle func(a workerResponse, err error, received time.Time)) {
	sent := w.now
	if validUntil > w.clock(sent)+testMaxLease {
		w.t.Fatalf("grant reaches %v beyond the longest hold", validUntil-w.clock(sent)-testMaxLease)
	}
	if rapid.IntRange(0, 3).Draw(w.t, "lost or late") == 0 {
		if rapid.Bool().Draw(w.t, "given up early") {
			timeout = w.draw(timeout, "time-out")
		}
		left := sent.Add(w.draw(timeout, "way there"))
		if validUntil != 0 && rapid.Bool().Draw(w.t, "late") {
			at := left.Add(w.draw(maxLateExecution, "delay"))
			w.executed(validUntil, left, at, rapid.Bool().Draw(w.t, "from arrival"))
		}
		w.calls = append(w.calls, callInFlight{sent.Add(timeout), func(received time.Time) {
			settle(workerResponse{}, rpcerror.WrapMayHaveExecuted(errNoResponse), received)
		}})
		return
	}
	left := sent.Add(w.draw(timeout, "way there"))
	if validUntil != 0 {
		w.executed(validUntil, sent, left, false)
	}
	readAt := left.Add(w.draw(wait, "wait"))
	received := readAt.Add(w.draw(100*time.Millisecond, "way back"))
	clockMS := w.clock(readAt).Milliseconds()
	w.calls = append(w.calls, callInFlight{received, func(received time.Time) {
		settle(workerResponse{http.StatusOK, responseBody{ClockMS: &clockMS}}, nil, received)
	}})
}

func (w *simulation) renew() {
	c := w.link.beginRenewal()
	wait := time.Duration(c.request.waitMS) * time.Millisecond
	w.send(c.validUntil, wait, c.timeout, func(a workerResponse, err error, received time.Time) {
		w.link.settleListCall(c, a, err, received)
		if err != nil && rapid.Bool().Draw(w.t, "no look is answered instead") {
			w.link.setContact(unreachable)
		} else {
			w.link.activity.listed = w.link.activity.listed || err == nil
			w.link.setContact(reachable)
		}
		w.renew()
	})
}

// look makes a call for the lists beside the renewal.
func (w *simulation) poll() {
	c := w.link.beginPoll(w.link.roundTrips.pollTimeout())
	w.send(c.validUntil, 0, c.timeout, func(a workerResponse, err error, received time.Time) {
		w.link.settleListCall(c, a, err, received)
	})
}

func (w *simulation) start() {
	if !w.link.startable(w.now) {
		return
	}
	if w.clock(w.now)+w.link.pace.minLeaseLead > w.link.lease.confirmed.validUntil {
		w.t.Fatal("a start is held for too short a time")
	}
	c := w.link.beginStart()
	w.send(c.validUntil, 0, c.timeout, func(a workerResponse, err error, received time.Time) {
		w.link.settleStart(c, a, err, received)
	})
}

// advance moves the time to the next end of a call, or by the given time if there is none before.
func (w *simulation) advance(by time.Duration) {
	end := w.now.Add(by)
	for {
		next := -1
		for i, f := range w.calls {
			if !f.due.After(end) && (next < 0 || f.due.Before(w.calls[next].due)) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		f := w.calls[next]
		w.calls = append(w.calls[:next], w.calls[next+1:]...)
		w.now = f.due
		f.settle(f.due)
		w.check()
	}
}

func (w *simulation) check() {
	if expiredBy := w.link.LeasesExpiredBy(); expiredBy.Before(w.leasesExpired) {
		w.t.Fatalf("LapsedBy is %v before the truth", w.leasesExpired.Sub(expiredBy))
	}
	if !w.link.lease.clock.known {
		return
	}
	clock := w.clock(w.now)
	if low, high := w.link.lease.clock.lowest(w.now), w.link.lease.clock.highest(w.now); low > clock || clock > high {
		w.t.Fatalf("clock shows %v, bounds are %v and %v", clock, low, high)
	}
}

func TestLeaseExpiryIsNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.renew()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.advance(w.draw(700*time.Millisecond, "pause"))
			if rapid.Bool().Draw(t, "start") {
				w.start()
			}
			if rapid.Bool().Draw(t, "look") {
				w.poll()
			}
			w.check()
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
		g := grants.begin(clock.untilPassed(76*time.Second, sent), sent, maxCommandTimeout)
		grants.answered(g, received, clock.untilPassed(76*time.Second, received))
		if most := received.Add(6200 * time.Millisecond); grants.expiredBy().After(most) {
			t.Fatalf("an answered grant of 6 s counts for %v", grants.expiredBy().Sub(received))
		}
	})
}

func TestWithdrawnGrantsDoNotCount(t *testing.T) {
	var grants leaseGrants
	grants.withdrawn(grants.begin(time.Second, time.Unix(50, 0), maxCommandTimeout))
	if !grants.expiredBy().IsZero() {
		t.Fatalf("lapses by %v", grants.expiredBy())
	}
}
