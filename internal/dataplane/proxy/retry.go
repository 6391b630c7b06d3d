package proxy

import (
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// This file decides whether a call to a leader is retried. It does no I/O and reads no clock.

// operation is the kind of a client's request. The time limits depend on it.
type operation uint8

const (
	submitOperation operation = iota
	cancelOperation
	statusOperation
)

// Time limits and delays.
const (
	responseReserve       = 150 * time.Millisecond  // part of the client's time that is left for sending the answer
	maxSubmitAttemptTime  = 1500 * time.Millisecond // timeout of one attempt to submit or cancel a job
	maxStatusAttemptTime  = 900 * time.Millisecond  // timeout of one attempt to read a job's state
	maxLeaderWait         = 400 * time.Millisecond  // longest single wait for a newer leader
	minAttemptTime        = 50 * time.Millisecond   // no attempt is started with less time left
	minBackoff            = 50 * time.Millisecond   // delay after the first attempt that may have been executed; doubles up to maxLeaderWait
	unavailableRetryAfter = time.Second             // Retry-After of an answer with status 503
)

// resultKind is the way an attempt ended.
type resultKind uint8

const (
	answered        resultKind = iota
	notExecuted                // not executed, and no retry delay was given: there is no leader, or the callee is not the leader
	overloaded                 // not executed, and the callee gave a retry delay
	mayHaveExecuted            // the callee may have executed it
)

// attemptResult is the result of an attempt.
type attemptResult struct {
	kind       resultKind
	retryAfter time.Duration // retry delay that an overloaded callee gave
}

// classifyAttempt returns the result of an attempt that ended with the given error.
func classifyAttempt(err error) attemptResult {
	switch {
	case err == nil:
		return attemptResult{kind: answered}
	case rpcerror.ExecutionOf(err) != rpcerror.NotExecuted:
		return attemptResult{kind: mayHaveExecuted}
	case rpcerror.RetryAfter(err) > 0:
		return attemptResult{kind: overloaded, retryAfter: rpcerror.RetryAfter(err)}
	default:
		return attemptResult{kind: notExecuted}
	}
}

// decision says how to continue after an attempt: finish with an answer, or make another attempt after a wait.
type decision struct {
	finished   bool
	status     int           // of the answer
	retryAfter time.Duration // of the answer, for statuses 429 and 503
	wait       time.Duration // before the next attempt; a newer leader than that of the last attempt ends the wait
}

// retrier decides on the attempts of one request. Times count from the arrival of the request. The answer is 429 or 503
// only if no attempt can have been executed.
type retrier struct {
	timeout         time.Duration // after this time the request is answered without another attempt
	refusalTimeout  time.Duration // after this time a request that was not executed is refused
	maxAttemptTime  time.Duration
	mayHaveExecuted bool
	nextBackoff     time.Duration // delay after the next attempt that may have been executed
}

// newRetrier returns the retrier of a request. The timeout is the shorter of the client's and the route's.
func newRetrier(kind operation, timeout time.Duration) retrier {
	retryTimeout := max(timeout-responseReserve, timeout/2)
	r := retrier{timeout: retryTimeout, refusalTimeout: retryTimeout / 2, maxAttemptTime: maxSubmitAttemptTime, nextBackoff: minBackoff}
	switch kind {
	case submitOperation:
		r.refusalTimeout = retryTimeout / 4
	case statusOperation:
		r.maxAttemptTime = maxStatusAttemptTime
	}
	return r
}

// attemptTimeout returns the timeout of an attempt that starts now.
func (r *retrier) attemptTimeout(elapsed time.Duration) time.Duration {
	return min(r.maxAttemptTime, r.timeout-elapsed)
}

// begin decides whether the first attempt is made. It is not made if too little time is left.
func (r *retrier) begin(elapsed time.Duration) decision {
	if r.timeout-elapsed < minAttemptTime {
		return r.fail()
	}
	return decision{}
}

// next decides how to continue after an attempt that ended now.
func (r *retrier) next(last attemptResult, elapsed time.Duration) decision {
	if last.kind == answered {
		return decision{finished: true, status: http.StatusOK}
	}
	if last.kind == mayHaveExecuted {
		r.mayHaveExecuted = true
	}
	if r.mayHaveExecuted {
		return r.afterPossibleExecution(last, elapsed)
	}
	if last.kind == overloaded {
		return refusal(http.StatusTooManyRequests, last.retryAfter)
	}
	remaining := r.refusalTimeout - elapsed
	if remaining < minAttemptTime {
		return r.fail()
	}
	return decision{wait: min(maxLeaderWait, remaining)}
}

// fail returns the answer to a request that has had no success and is not attempted again.
func (r *retrier) fail() decision {
	if r.mayHaveExecuted {
		return decision{finished: true, status: http.StatusGatewayTimeout}
	}
	return refusal(http.StatusServiceUnavailable, unavailableRetryAfter)
}

// noQueue returns the answer to a request for which there is no queue. The configuration that says so must be confirmed as the current one,
// since an older one may lack the queue.
func (r *retrier) noQueue(confirmed bool) decision {
	if confirmed && !r.mayHaveExecuted {
		return decision{finished: true, status: http.StatusNotFound}
	}
	return r.fail()
}

// afterPossibleExecution decides how to continue once any attempt may have been executed. It retries while there is
// time. That is safe because submissions with the same ID create only one job.
func (r *retrier) afterPossibleExecution(last attemptResult, elapsed time.Duration) decision {
	wait := maxLeaderWait
	switch last.kind {
	case mayHaveExecuted:
		wait = r.nextBackoff
		r.nextBackoff = min(2*r.nextBackoff, maxLeaderWait)
	case overloaded:
		wait = max(last.retryAfter, minBackoff)
	}
	if r.timeout-elapsed-wait < minAttemptTime {
		return r.fail()
	}
	return decision{wait: wait}
}

// refusal returns a final answer with status 429 or 503.
func refusal(status int, retryAfter time.Duration) decision {
	return decision{finished: true, status: status, retryAfter: retryAfter}
}
