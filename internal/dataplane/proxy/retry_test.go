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

// step is the result of an attempt in a test's sequence and the decision that must follow it.
type step struct {
	elapsed time.Duration
	result  attemptResult
	want    decision
}

// attemptAgainAfter returns the decision to make another attempt after a wait.
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
		{"a successful attempt finishes the request", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: answered}, ok},
		}},
		{"an overload is answered at once", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{overloaded, ms(1200)}, refusal(http.StatusTooManyRequests, ms(1200))},
		}},
		{"a submission that was not executed waits for a newer leader, for up to a quarter of the time", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(410), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(2850)/4 - ms(410))},
			{ms(715), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"a status request waits longer for a newer leader", statusOperation, testAllowed, []step{
			{ms(800), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(1400), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"a submission that was not executed is refused at once after its waiting time", submitOperation, testAllowed, []step{
			{ms(900), attemptResult{kind: notExecuted}, unavailable},
		}},
		{"an attempt that may have been executed is retried with increasing delays until the timeout", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(100))},
			{ms(170), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(200))},
			{ms(380), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(400))},
			{ms(800), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(400))},
			{ms(2500), attemptResult{kind: mayHaveExecuted}, gatewayTimeout},
		}},
		{"a request is not refused if an earlier attempt may have been executed", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(470), attemptResult{kind: notExecuted}, attemptAgainAfter(ms(400))},
			{ms(2810), attemptResult{kind: notExecuted}, gatewayTimeout},
		}},
		{"an overload is retried if an earlier attempt may have been executed", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{overloaded, ms(1000)}, attemptAgainAfter(ms(1000))},
			{ms(1070), attemptResult{kind: answered}, ok},
		}},
		{"a retry delay beyond the time left finishes the request at once", submitOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(60), attemptResult{overloaded, ms(5000)}, gatewayTimeout},
		}},
		{"a cancellation that may have been executed is not refused", cancelOperation, testAllowed, []step{
			{ms(5), attemptResult{kind: mayHaveExecuted}, attemptAgainAfter(ms(50))},
			{ms(2840), attemptResult{kind: notExecuted}, gatewayTimeout},
		}},
		{"a status request that may have been executed is retried", statusOperation, testAllowed, []step{
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
	Convey("An attempt's timeout is the limit of its operation, or the time left if that is shorter", t, func() {
		submit, read := newRetrier(submitOperation, testAllowed), newRetrier(statusOperation, testAllowed)
		So(submit.attemptTimeout(0), ShouldEqual, ms(1500))
		So(read.attemptTimeout(0), ShouldEqual, ms(900))
		So(submit.attemptTimeout(ms(2000)), ShouldEqual, ms(850))
	})
	Convey("With a short timeout, half of it is left for attempts", t, func() {
		r := newRetrier(submitOperation, ms(200))
		So(r.timeout, ShouldEqual, ms(100))
	})
	Convey("No attempt is made with too little time left", t, func() {
		r := newRetrier(submitOperation, 0)
		So(r.begin(0), ShouldResemble, refusal(http.StatusServiceUnavailable, time.Second))
		r = newRetrier(submitOperation, testAllowed)
		So(r.begin(ms(2830)).finished, ShouldBeTrue)
		So(r.begin(ms(1000)).finished, ShouldBeFalse)
	})
}

func TestAttemptResultFollowsErrorExecutionState(t *testing.T) {
	Convey("The error of an attempt determines whether it may have been executed", t, func() {
		cause := errors.New("x")
		So(classifyAttempt(nil).kind, ShouldEqual, answered)
		So(classifyAttempt(cause).kind, ShouldEqual, mayHaveExecuted)
		So(classifyAttempt(rpcerror.WrapMayHaveExecuted(cause)).kind, ShouldEqual, mayHaveExecuted)
		So(classifyAttempt(rpcerror.WrapNotExecuted(cause, 0)).kind, ShouldEqual, notExecuted)
		So(classifyAttempt(rpcerror.WrapNotExecuted(cause, ms(7))), ShouldResemble, attemptResult{overloaded, ms(7)})
	})
}

// randomAttemptResult returns a random result of an attempt.
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

// TestRetrierRefusesOnlyUnexecutedRequests makes random sequences of attempts. A request must be refused only if none of
// its attempts may have been executed, must succeed only after a successful attempt, and must end in time.
func TestRetrierRefusesOnlyUnexecutedRequests(t *testing.T) {
	random := random.PCG(20261202)
	for range 20_000 {
		kind := operation(random.Unit() * 3)
		timeout := time.Duration(random.Unit() * float64(4*time.Second))
		r := newRetrier(kind, timeout)
		elapsed, anyUnclear := time.Duration(0), false
		last := attemptResult{kind: notExecuted}
		d := r.begin(elapsed)
		for attempts := 0; !d.finished; attempts++ {
			if attempts > 100 {
				t.Fatalf("operation %d, timeout %v: not finished after 100 attempts", kind, timeout)
			}
			attemptTimeout := r.attemptTimeout(elapsed)
			if attemptTimeout <= 0 {
				t.Fatalf("operation %d, timeout %v: an attempt with timeout %v is started", kind, timeout, attemptTimeout)
			}
			elapsed += time.Duration(random.Unit() * float64(attemptTimeout))
			last = randomAttemptResult(&random)
			anyUnclear = anyUnclear || last.kind == mayHaveExecuted
			d = r.next(last, elapsed)
			elapsed += time.Duration(random.Unit() * float64(d.wait)) // a newer leader may end the wait early
		}
		refused := d.status == http.StatusTooManyRequests || d.status == http.StatusServiceUnavailable
		switch {
		case refused && anyUnclear:
			t.Fatalf("operation %d, timeout %v: status %d although an attempt may have been executed", kind, timeout, d.status)
		case refused && d.retryAfter <= 0:
			t.Fatalf("operation %d, timeout %v: status %d without a retry delay", kind, timeout, d.status)
		case (d.status == http.StatusOK) != (last.kind == answered):
			t.Fatalf("operation %d, timeout %v: status %d after %+v", kind, timeout, d.status, last)
		case d.status == http.StatusGatewayTimeout && !anyUnclear:
			t.Fatalf("operation %d, timeout %v: status 504 although no attempt can have been executed", kind, timeout)
		case elapsed > r.timeout:
			t.Fatalf("operation %d, timeout %v: finished after %v", kind, timeout, elapsed)
		}
	}
}
