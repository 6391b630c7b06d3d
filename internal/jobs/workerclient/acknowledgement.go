package workerclient

import "time"

const (
	acknowledgementTimeout     = 60 * time.Millisecond  // maximum wait for the acknowledgement of new completions before the next renewal
	repeatedCompletionsTimeout = 150 * time.Millisecond // the same for completions that were listed before
)

// Acknowledge records that the completions up to the given number are durable. The next renewal or poll lets the worker discard them.
func (l *Link) Acknowledge(number uint64) {
	l.mu.Lock()
	l.acknowledged = max(l.acknowledged, number)
	l.mu.Unlock()
	l.acknowledgementArrived.Notify()
}

// awaitAcknowledgement waits until the completions up to the given number are durable, or until a timeout. The timeout is short after
// new completions, so that further ones are received soon. It is longer if the worker has listed the same completions again.
func (l *Link) awaitAcknowledgement(number uint64) {
	timeout := acknowledgementTimeout
	if number <= l.awaitedCompletion {
		timeout = repeatedCompletionsTimeout
		l.countRepeatedCompletions()
	}
	l.awaitedCompletion = max(l.awaitedCompletion, number)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		l.mu.Lock()
		finished := l.acknowledged >= number || l.endReason != notEnded
		l.mu.Unlock()
		if finished {
			return
		}
		select {
		case <-l.acknowledgementArrived:
		case <-l.done:
		case <-timer.C:
			return
		}
	}
}

// markIdleIfAcknowledged records that the worker is idle if its last response lists only completions that are durable by now. The
// next call acknowledges them, even if that call is delayed because the worker is idle.
func (l *Link) markIdleIfAcknowledged(lastResult renewalResult, newest uint64) {
	lists := &lastResult.response.body
	if len(lists.Running) > 0 || len(lists.Finished) >= maxFinishedPerResponse {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged >= newest && l.commands.allAnsweredBefore(lastResult.call.sentAt) {
		l.activity.mayHaveWork = false
	}
}

func (l *Link) countRepeatedCompletions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RepeatedCompletions++
}
