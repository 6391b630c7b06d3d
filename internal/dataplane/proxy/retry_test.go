package proxy

import (
	"errors"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const testAllowed = 3 * time.Second

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// step is one attempt of a test's sequence and what has to follow it.
type step struct {
	elapsed time.Duration
	attempt attempt
	want    decision
}

func retryAfter(wait time.Duration) decision { return decision{wait: wait} }

func TestDecisions(t *testing.T) {
	gatewayTimeout := decision{finished: true, status: http.StatusGatewayTimeout}
	unavailable := refusal(http.StatusServiceUnavailable, time.Second)
	ok := decision{finished: true, status: http.StatusOK}
	cases := []struct {
		name    string
		kind    operation
		allowed time.Duration
		steps   []step
	}{
		{"an answer ends a request", submission, testAllowed, []step{
			{ms(5), attempt{result: answered}, ok},
		}},
		{"an overload is passed on at once", submission, testAllowed, []step{
			{ms(5), attempt{overloaded, ms(1200)}, refusal(http.StatusTooManyRequests, ms(1200))},
		}},
		{"a refusal waits for a newer leader, and ends in a quarter of the time", submission, testAllowed, []step{
			{ms(5), attempt{result: notExecuted}, retryAfter(ms(400))},
			{ms(410), attempt{result: notExecuted}, retryAfter(ms(2850)/4 - ms(410))},
			{ms(715), attempt{result: notExecuted}, unavailable},
		}},
		{"a reading waits longer for a newer leader", reading, testAllowed, []step{
			{ms(800), attempt{result: notExecuted}, retryAfter(ms(400))},
			{ms(1400), attempt{result: notExecuted}, unavailable},
		}},
		{"a late refusal is passed on at once", submission, testAllowed, []step{
			{ms(900), attempt{result: notExecuted}, unavailable},
		}},
		{"an unclear try is repeated after pauses that grow, until the time is over", submission, testAllowed, []step{
			{ms(5), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(60), attempt{result: unclear}, retryAfter(ms(100))},
			{ms(170), attempt{result: unclear}, retryAfter(ms(200))},
			{ms(380), attempt{result: unclear}, retryAfter(ms(400))},
			{ms(800), attempt{result: unclear}, retryAfter(ms(400))},
			{ms(2500), attempt{result: unclear}, gatewayTimeout},
		}},
		{"a refusal after an unclear try is no refusal", submission, testAllowed, []step{
			{ms(5), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(60), attempt{result: notExecuted}, retryAfter(ms(400))},
			{ms(470), attempt{result: notExecuted}, retryAfter(ms(400))},
			{ms(2810), attempt{result: notExecuted}, gatewayTimeout},
		}},
		{"an overload after an unclear try is no refusal", submission, testAllowed, []step{
			{ms(5), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(60), attempt{overloaded, ms(1000)}, retryAfter(ms(1000))},
			{ms(1070), attempt{result: answered}, ok},
		}},
		{"an overload for longer than the time left ends at once", submission, testAllowed, []step{
			{ms(5), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(60), attempt{overloaded, ms(5000)}, gatewayTimeout},
		}},
		{"a cancellation that may have run is not refused either", cancellation, testAllowed, []step{
			{ms(5), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(2840), attempt{result: notExecuted}, gatewayTimeout},
		}},
		{"a reading is repeated after an unclear try", reading, testAllowed, []step{
			{ms(900), attempt{result: unclear}, retryAfter(ms(50))},
			{ms(1000), attempt{result: answered}, ok},
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			r := newRetrier(c.kind, c.allowed)
			for _, s := range c.steps {
				So(r.next(s.attempt, s.elapsed), ShouldResemble, s.want)
			}
		})
	}
}

func TestTimesOfAttempts(t *testing.T) {
	Convey("A try takes the time of its kind at most, and what is left", t, func() {
		submit, read := newRetrier(submission, testAllowed), newRetrier(reading, testAllowed)
		So(submit.attemptTime(0), ShouldEqual, ms(1500))
		So(read.attemptTime(0), ShouldEqual, ms(900))
		So(submit.attemptTime(ms(2000)), ShouldEqual, ms(850))
	})
	Convey("A short time keeps half of it for tries", t, func() {
		r := newRetrier(submission, ms(200))
		So(r.limit, ShouldEqual, ms(100))
	})
	Convey("Without time for a try none is made", t, func() {
		r := newRetrier(submission, 0)
		So(r.begin(0), ShouldResemble, refusal(http.StatusServiceUnavailable, time.Second))
		r = newRetrier(submission, testAllowed)
		So(r.begin(ms(2830)).finished, ShouldBeTrue)
		So(r.begin(ms(1000)).finished, ShouldBeFalse)
	})
}

func TestErrorsAsAttempts(t *testing.T) {
	Convey("The result of an attempt follows from what its error says of the execution", t, func() {
		cause := errors.New("x")
		So(attemptOf(nil).result, ShouldEqual, answered)
		So(attemptOf(cause).result, ShouldEqual, unclear)
		So(attemptOf(rpcerror.WrapMayHaveExecuted(cause)).result, ShouldEqual, unclear)
		So(attemptOf(rpcerror.WrapNotExecuted(cause, 0)).result, ShouldEqual, notExecuted)
		So(attemptOf(rpcerror.WrapNotExecuted(cause, ms(7))), ShouldResemble, attempt{overloaded, ms(7)})
	})
}

// randomAttempt draws an attempt's result.
func randomAttempt(random *random.PCG) attempt {
	switch draw := random.Unit(); {
	case draw < 0.05:
		return attempt{result: answered}
	case draw < 0.5:
		return attempt{result: notExecuted}
	case draw < 0.75:
		return attempt{overloaded, time.Duration(random.Exp() * float64(ms(500)))}
	default:
		return attempt{result: unclear}
	}
}

// TestCertainty plays random sequences of attempts: a request is refused only if none of its attempts was unclear, succeeds
// only by an answer, and ends in time.
func TestCertainty(t *testing.T) {
	random := random.PCG(20261202)
	for range 20_000 {
		kind := operation(random.Unit() * 3)
		allowed := time.Duration(random.Unit() * float64(4*time.Second))
		r := newRetrier(kind, allowed)
		elapsed, anyUnclear := time.Duration(0), false
		last := attempt{result: notExecuted}
		d := r.begin(elapsed)
		for attempts := 0; !d.finished; attempts++ {
			if attempts > 100 {
				t.Fatalf("kind %d, allowed %v: it does not end", kind, allowed)
			}
			most := r.attemptTime(elapsed)
			if most <= 0 {
				t.Fatalf("kind %d, allowed %v: a try of %v is begun", kind, allowed, most)
			}
			elapsed += time.Duration(random.Unit() * float64(most))
			last = randomAttempt(&random)
			anyUnclear = anyUnclear || last.result == unclear
			d = r.next(last, elapsed)
			elapsed += time.Duration(random.Unit() * float64(d.wait)) // a newer leader may end the wait
		}
		refusedNow := d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable
		switch {
		case refusedNow && anyUnclear:
			t.Fatalf("kind %d, allowed %v: %d after an unclear try", kind, allowed, d.status)
		case refusedNow && d.retryAfter <= 0:
			t.Fatalf("kind %d, allowed %v: %d without a time to come back", kind, allowed, d.status)
		case (d.status == http.StatusOK) != (last.result == answered):
			t.Fatalf("kind %d, allowed %v: %d after %+v", kind, allowed, d.status, last)
		case d.status == http.StatusGatewayTimeout && !anyUnclear:
			t.Fatalf("kind %d, allowed %v: 504 though nothing ran", kind, allowed)
		case elapsed > r.limit:
			t.Fatalf("kind %d, allowed %v: ended after %v", kind, allowed, elapsed)
		}
	}
}
