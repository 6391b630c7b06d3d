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
	result  attemptResult
	want    decision
}

func attemptAgainAfter(wait time.Duration) decision { return decision{wait: wait} }

func TestRetryDecisions(t *testing.T) {
	gatewayTimeout := decision{finished: true, status: http.StatusGatewayTimeout}
	unavailable := refusal(http.StatusServiceUnavailable, time.Second)
	ok := decision{finished: true, status: http.StatusOK}
	cases := []struct {
		name    string
		kind    operation
		allowed time.Duration
		steps   []step
	}{
		{"an answer ends a request", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: answered}, ok},
		}},
		{"an overload is passed on at once", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{overloaded, ms(1200)}, refusal(http.StatusTooManyRequests, ms(1200))},
		}},
		{"a refusal waits for a newer leader, and ends in a quarter of the time", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(410), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(2850)/4 - ms(410))},
			{ms(715), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"a reading waits longer for a newer leader", statusOperation, testAllowed, []step{
			{ms(800), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(1400), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"a late refusal is passed on at once", submitOperation, testAllowed, []step{
			{ms(900), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"an unclear try is repeated after pauses that grow, until the time is over", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(100))},
			{ms(170), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(200))},
			{ms(380), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(400))},
			{ms(800), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(400))},
			{ms(2500), attemptResult{kind: mayHaveExecuted}, gatewayTimeout},
		}},
		{"a refusal after an unclear try is no refusal", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(470), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(2810), attemptResult{kind: notExecuted}, gatewayTimeout},
		}},
		{"an overload after an unclear try is no refusal", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{overloaded, ms(1000)}, attemptAgainAfter(ms(1000))},
			{ms(1070), attemptResult{kind: answered}, ok},
		}},
		{"an overload for longer than the time left ends at once", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{overloaded, ms(5000)}, gatewayTimeout},
		}},
		{"a cancellation that may have run is not refused either", cancelOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(2840), attemptResult{kind: notExecuted}, gatewayTimeout},
		}},
		{"a reading is repeated after an unclear try", statusOperation, testAllowed, []step{
			{ms(900), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(1000), attemptResult{kind: answered}, ok},
		}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			r := newRetrier(c.kind, c.allowed)
			for _, s := range c.steps {
				So(r.next(s.result, s.elapsed), ShouldResemble, s.want)
			}
		})
	}
}

func TestAttemptTimeoutIsBoundedByOperationAndRemainingTime(t *testing.T) {
	Convey("A try takes the time of its kind at most, and what is left", t, func() {
		submit, read := newRetrier(submitOperation, testAllowed), newRetrier(statusOperation, testAllowed)
		So(submit.attemptTimeout(0), ShouldEqual, ms(1500))
		So(read.attemptTimeout(0), ShouldEqual, ms(900))
		So(submit.attemptTimeout(ms(2000)), ShouldEqual, ms(850))
	})
	Convey("A short time keeps half of it for tries", t, func() {
		r := newRetrier(submitOperation, ms(200))
		So(r.timeout, ShouldEqual, ms(100))
	})
	Convey("Without time for a try none is made", t, func() {
		r := newRetrier(submitOperation, 0)
		So(r.begin(0), ShouldResemble, refusal(http.StatusServiceUnavailable, time.Second))
		r = newRetrier(submitOperation, testAllowed)
		So(r.begin(ms(2830)).finished, ShouldBeTrue)
		So(r.begin(ms(1000)).finished, ShouldBeFalse)
	})
}

func TestAttemptResultFollowsErrorExecutionState(t *testing.T) {
	Convey("The result of an attempt follows from what its error says of the execution", t, func() {
		cause := errors.New("x")
		So(classifyAttempt(nil).kind, ShouldEqual, answered)
		So(classifyAttempt(cause).kind, ShouldEqual, mayHaveExecuted)
		So(classifyAttempt(rpcerror.WrapMayHaveExecuted(cause)).kind, ShouldEqual, mayHaveExecuted)
		So(classifyAttempt(rpcerror.WrapNotExecuted(cause, 0)).kind, ShouldEqual, notExecuted)
		So(classifyAttempt(rpcerror.WrapNotExecuted(cause, ms(7))), ShouldResemble, attemptResult{overloaded, ms(7)})
	})
}

// randomAttempt draws an attempt's result.
func randomAttemptResult(random *random.PCG) attemptResult {
	switch draw := random.Unit(); {
	case draw < 0.05:
		return attemptResult{kind: answered}
	case draw < 0.5:
		return attemptResult{kind: notExecuted}
	case draw < 0.75:
		return attemptResult{overloaded, time.Duration(random.Exp() * float64(ms(500)))}
	default:
		return attemptResult{kind: mayHaveExecuted}
	}
}

// TestCertainty plays random sequences of attempts: a request is refused only if none of its attempts was unclear, succeeds
// only by an answer, and ends in time.
func TestRetrierRefusesOnlyUnexecutedRequests(t *testing.T) {
	random := random.PCG(20261202)
	for range 20_000 {
		kind := operation(random.Unit() * 3)
		allowed := time.Duration(random.Unit() * float64(4*time.Second))
		r := newRetrier(kind, allowed)
		elapsed, anyUnclear := time.Duration(0), false
		last := attemptResult{kind: notExecuted}
		d := r.begin(elapsed)
		for attempts := 0; !d.finished; attempts++ {
			if attempts > 100 {
				t.Fatalf("kind %d, allowed %v: it does not end", kind, allowed)
			}
			most := r.attemptTimeout(elapsed)
			if most <= 0 {
				t.Fatalf("kind %d, allowed %v: a try of %v is begun", kind, allowed, most)
			}
			elapsed += time.Duration(random.Unit() * float64(most))
			last = randomAttemptResult(&random)
			anyUnclear = anyUnclear || last.kind == mayHaveExecuted
			d = r.next(last, elapsed)
			elapsed += time.Duration(random.Unit() * float64(d.wait)) // a newer leader may end the wait
		}
		refused := d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable
		switch {
		case refused && anyUnclear:
			t.Fatalf("kind %d, allowed %v: %d after an unclear try", kind, allowed, d.status)
		case refused && d.retryAfter <= 0:
			t.Fatalf("kind %d, allowed %v: %d without a time to come back", kind, allowed, d.status)
		case (d.status == http.StatusOK) != (last.kind == answered):
			t.Fatalf("kind %d, allowed %v: %d after %+v", kind, allowed, d.status, last)
		case d.status == http.StatusGatewayTimeout && !anyUnclear:
			t.Fatalf("kind %d, allowed %v: 504 though nothing ran", kind, allowed)
		case elapsed > r.timeout:
			t.Fatalf("kind %d, allowed %v: ended after %v", kind, allowed, elapsed)
		}
	}
}
