package workerclient

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

var errSilent = errors.New("no answer")

// world is a link without a network: what becomes of its calls is drawn.
type world struct {
	t       *rapid.T
	link    *Link
	now     time.Time
	zero    time.Time     // when the worker's clock showed its first reading
	first   time.Duration // that reading
	rate    float64
	lapsed  time.Time // the truth about all calls sent so far, whatever is still to become of them
	flights []flight
}

// flight is a call whose fate is known to the world only.
type flight struct {
	due    time.Time // when the link learns of its end
	settle func(received time.Time)
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), zero: time.Unix(900, 0)}
	w.first = time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "first reading"))
	w.rate = rapid.Float64Range(0.98, 1).Draw(t, "rate")
	w.link = NewLink(Config{
		MaxLease: holdMax, Events: newRecorder(), HTTP: http.DefaultClient,
		Now: func() time.Time { return w.now }, LeaderLeaseValid: func() bool { return true },
	})
	return w
}

func (w *world) clock(at time.Time) time.Duration {
	return w.first + time.Duration(float64(at.Sub(w.zero))*w.rate)
}

func (w *world) draw(most time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(most)).Draw(w.t, label))
}

// carriedOut notes a grant that takes effect at a time; it may count from then on instead of from when it was sent.
func (w *world) carriedOut(validUntil time.Duration, sent, at time.Time, fromArrival bool) {
	if fromArrival {
		validUntil += w.clock(at) - w.clock(sent)
	}
	validUntil = min(validUntil, w.clock(at)+holdMax)
	if validUntil <= w.clock(at) {
		return
	}
	local := time.Duration(float64(validUntil-w.clock(at)) / w.rate)
	w.lapsed = later(w.lapsed, at.Add(local))
}

// send decides what becomes of a call: validUntil is 0 where it carries no grant.
func (w *world) send(validUntil, wait, timeout time.Duration, settle func(a answer, err error, received time.Time)) {
	sent := w.now
	if validUntil > w.clock(sent)+holdMax {
		w.t.Fatalf("grant reaches %v beyond the longest hold", validUntil-w.clock(sent)-holdMax)
	}
	if rapid.IntRange(0, 3).Draw(w.t, "lost or late") == 0 {
		if rapid.Bool().Draw(w.t, "given up early") {
			timeout = w.draw(timeout, "time-out")
		}
		left := sent.Add(w.draw(timeout, "way there"))
		if validUntil != 0 && rapid.Bool().Draw(w.t, "late") {
			at := left.Add(w.draw(lateLimit, "delay"))
			w.carriedOut(validUntil, left, at, rapid.Bool().Draw(w.t, "from arrival"))
		}
		w.flights = append(w.flights, flight{sent.Add(timeout), func(received time.Time) {
			settle(answer{}, rpcerror.WrapMayHaveExecuted(errSilent), received)
		}})
		return
	}
	left := sent.Add(w.draw(timeout, "way there"))
	if validUntil != 0 {
		w.carriedOut(validUntil, sent, left, false)
	}
	readAt := left.Add(w.draw(wait, "wait"))
	received := readAt.Add(w.draw(100*time.Millisecond, "way back"))
	clockMS := w.clock(readAt).Milliseconds()
	w.flights = append(w.flights, flight{received, func(received time.Time) {
		settle(answer{http.StatusOK, reply{ClockMS: &clockMS}}, nil, received)
	}})
}

func (w *world) hold() {
	c := w.link.beginHold()
	wait := time.Duration(c.request.waitMS) * time.Millisecond
	w.send(c.validUntil, wait, c.timeout, func(a answer, err error, received time.Time) {
		w.link.settleHold(c, a, err, received)
		if err != nil && rapid.Bool().Draw(w.t, "no look is answered instead") {
			w.link.setContact(unreachable)
		} else {
			w.link.listed = w.link.listed || err == nil
			w.link.setContact(reachable)
		}
		w.hold()
	})
}

// look makes a call for the lists beside the hold.
func (w *world) look() {
	c := w.link.beginLook(w.link.roundTrips.lookLimit())
	w.send(c.validUntil, 0, c.timeout, func(a answer, err error, received time.Time) {
		w.link.settleHold(c, a, err, received)
	})
}

func (w *world) start() {
	if !w.link.startable(w.now) {
		return
	}
	if w.clock(w.now)+w.link.pace.minimumLead > w.link.granted.validUntil {
		w.t.Fatal("a start is held for too short a time")
	}
	c := w.link.beginStart()
	w.send(c.validUntil, 0, c.timeout, func(a answer, err error, received time.Time) {
		w.link.settleStart(c, a, err, received)
	})
}

// advance moves the time to the next end of a call, or by the given time if there is none before.
func (w *world) advance(by time.Duration) {
	end := w.now.Add(by)
	for {
		next := -1
		for i, f := range w.flights {
			if !f.due.After(end) && (next < 0 || f.due.Before(w.flights[next].due)) {
				next = i
			}
		}
		if next < 0 {
			w.now = end
			return
		}
		f := w.flights[next]
		w.flights = append(w.flights[:next], w.flights[next+1:]...)
		w.now = f.due
		f.settle(f.due)
		w.check()
	}
}

func (w *world) check() {
	if lapsedBy := w.link.LeasesExpiredBy(); lapsedBy.Before(w.lapsed) {
		w.t.Fatalf("LapsedBy is %v before the truth", w.lapsed.Sub(lapsedBy))
	}
	if !w.link.clock.known {
		return
	}
	clock := w.clock(w.now)
	if low, high := w.link.clock.lowest(w.now), w.link.clock.highest(w.now); low > clock || clock > high {
		w.t.Fatalf("clock shows %v, bounds are %v and %v", clock, low, high)
	}
}

func TestLapsedByIsNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.hold()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.advance(w.draw(700*time.Millisecond, "pause"))
			if rapid.Bool().Draw(t, "start") {
				w.start()
			}
			if rapid.Bool().Draw(t, "look") {
				w.look()
			}
			w.check()
		}
	})
}

func TestLapsedByOfAnsweredGrants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var clock clockBounds
		var grants grantLedger
		sent := time.Unix(50, 0)
		received := sent.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "round trip")))
		clock.observe(sent, received, 70_000)
		g := grants.begin(clock.untilPassed(76*time.Second, sent), sent, longestOrderLimit)
		grants.answered(g, received, clock.untilPassed(76*time.Second, received))
		if most := received.Add(6200 * time.Millisecond); grants.lapsedBy().After(most) {
			t.Fatalf("an answered grant of 6 s counts for %v", grants.lapsedBy().Sub(received))
		}
	})
}

func TestWithdrawnGrantsDoNotCount(t *testing.T) {
	var grants grantLedger
	grants.withdrawn(grants.begin(time.Second, time.Unix(50, 0), longestOrderLimit))
	if !grants.lapsedBy().IsZero() {
		t.Fatalf("lapses by %v", grants.lapsedBy())
	}
}
