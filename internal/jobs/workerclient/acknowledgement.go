package workerclient

import "time"

const (
	acknowledgementTimeout     = 60 * time.Millisecond  // how long the renewal after new completions waits for their acknowledgement
	repeatedCompletionsTimeout = 150 * time.Millisecond // and how long the one after completions that were listed before
)

// Acknowledge records that the completions up to a number are durable: the next renewal or poll lets the worker forget them.
func (l *Link) Acknowledge(number uint64) {
	l.mu.Lock()
	l.acknowledged = max(l.acknowledged, number)
	l.mu.Unlock()
	l.acknowledgementArrived.Notify()
}

// awaitAcknowledgement waits until the completions up to a number are durable: for a short time after new ones, so that further
// completions are received soon in any case, and for longer when the same ones are listed again.
func (l *Link) awaitAcknowledgement(number uint64) {
	timeout := acknowledgementTimeout
	if number <= l.awaitedCompletion {
		timeout = repeatedCompletionsTimeout
		l.countRepeatedCompletions()
	}
	l.awaitedCompletion = max(l.awaitedCompletion, number)
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	for {
		l.mu.Lock()
		over := l.acknowledged >= number || l.ending != open
		l.mu.Unlock()
		if over {
			return
		}
		select {
		case <-l.acknowledgementArrived:
		case <-l.done:
		case <-limit.C:
			return
		}
	}
}

// markIdleIfAcknowledged records that a worker is idle if its last response lists nothing but completions that are durable by now.
// The next call acknowledges them, however late it is.
func (l *Link) markIdleIfAcknowledged(last renewalResult, newest uint64) {
	lists := &last.response.body
	if len(lists.Running) > 0 || len(lists.Finished) >= maxFinishedPerResponse {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acknowledged >= newest && l.commands.answeredBefore(last.call.sentAt) {
		l.activity.mayHaveWork = false
	}
}

func (l *Link) countRepeatedCompletions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.RepeatedCompletions++
}
