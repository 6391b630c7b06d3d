package proxy

import (
	"net/http"
	"time"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

// This file decides what follows an attempt at a leader. It does no I/O and reads no clock.

// operation is the kind of a client's request, which sets its times.
type operation uint8

const (
	submission operation = iota
	cancellation
	reading
)

// Times of the decisions.
const (
	answerReserve       = 150 * time.Millisecond  // kept of the client's time for the way of the answer
	submitAttemptLimit  = 1500 * time.Millisecond // of one attempt of a submission or a cancellation
	readingAttemptLimit = 900 * time.Millisecond  // of one attempt of a reading
	leaderPatience      = 400 * time.Millisecond  // one wait for a newer leader
	minAttemptTime      = 50 * time.Millisecond   // an attempt that would have less time is not begun
	minBackoff          = 50 * time.Millisecond   // before the attempt after the first unclear one; doubles up to leaderPatience
	earlyRetryAfter     = time.Second             // the hint of a refusal for want of a leader
)

// result is how one attempt ended.
type result uint8

const (
	answered    result = iota
	notExecuted        // it was not executed, and the callee named no time for a retry: no leader, or not the leader
	overloaded         // it was not executed, and the callee named a time for a retry
	unclear            // it may have been executed
)

// attempt is one attempt's result.
type attempt struct {
	result result
	delay  time.Duration // asked for by a callee that is overloaded
}

// attemptOf classifies the error of an attempt.
func attemptOf(err error) attempt {
	switch {
	case err == nil:
		return attempt{result: answered}
	case rpcerror.ExecutionOf(err) != rpcerror.NotExecuted:
		return attempt{result: unclear}
	case rpcerror.RetryAfter(err) > 0:
		return attempt{result: overloaded, delay: rpcerror.RetryAfter(err)}
	default:
		return attempt{result: notExecuted}
	}
}

// decision is what to do after an attempt: to finish with an answer, or to make another attempt after a wait.
type decision struct {
	finished   bool
	status     int           // of the answer
	retryAfter time.Duration // of the answer, for statuses 429 and 503
	wait       time.Duration // before the next attempt; a leader newer than that of the last attempt ends it
}

// retrier decides on the attempts of one request. Times are counted from the request's arrival. Its answer is 429 or 503
// only when no attempt can have been executed.
type retrier struct {
	limit           time.Duration // by when the answer is due
	patience        time.Duration // by when a request that has not run is refused
	attemptLimit    time.Duration
	mayHaveExecuted bool
	unclearNext     time.Duration // pause before the attempt after the next unclear one
}

// newRetrier begins a request for which the client and the route allow so much time.
func newRetrier(kind operation, allowed time.Duration) retrier {
	limit := max(allowed-answerReserve, allowed/2)
	r := retrier{limit: limit, patience: limit / 2, attemptLimit: submitAttemptLimit, unclearNext: minBackoff}
	switch kind {
	case submission:
		r.patience = limit / 4
	case reading:
		r.attemptLimit = readingAttemptLimit
	}
	return r
}

// attemptTime is the time limit of an attempt that begins now.
func (r *retrier) attemptTime(elapsed time.Duration) time.Duration {
	return min(r.attemptLimit, r.limit-elapsed)
}

// begin decides on the first attempt: without enough time left it is not made.
func (r *retrier) begin(elapsed time.Duration) decision {
	if r.limit-elapsed < minAttemptTime {
		return r.giveUp()
	}
	return decision{}
}

// next decides what follows an attempt that ended now.
func (r *retrier) next(last attempt, elapsed time.Duration) decision {
	if last.result == answered {
		return decision{finished: true, status: http.StatusOK}
	}
	if last.result == unclear {
		r.mayHaveExecuted = true
	}
	if r.mayHaveExecuted {
		return r.afterUnclear(last, elapsed)
	}
	if last.result == overloaded {
		return refusal(http.StatusTooManyRequests, last.delay)
	}
	remaining := r.patience - elapsed
	if remaining < minAttemptTime {
		return r.giveUp()
	}
	return decision{wait: min(leaderPatience, remaining)}
}

// giveUp is the answer when there will be no more attempts.
func (r *retrier) giveUp() decision {
	if r.mayHaveExecuted {
		return decision{finished: true, status: http.StatusGatewayTimeout}
	}
	return refusal(http.StatusServiceUnavailable, earlyRetryAfter)
}

// afterUnclear repeats the request while there is time, as the same ID stays one job.
func (r *retrier) afterUnclear(last attempt, elapsed time.Duration) decision {
	wait := leaderPatience
	switch last.result {
	case unclear:
		wait = r.unclearNext
		r.unclearNext = min(2*r.unclearNext, leaderPatience)
	case overloaded:
		wait = max(last.delay, minBackoff)
	}
	if r.limit-elapsed-wait < minAttemptTime {
		return r.giveUp()
	}
	return decision{wait: wait}
}

func refusal(status int, retryAfter time.Duration) decision {
	return decision{finished: true, status: status, retryAfter: retryAfter}
}
