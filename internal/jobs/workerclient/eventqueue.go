package workerclient

import "sync"

// eventQueue hands reports to Events one after another, in the order in which they were posted.
type eventQueue struct {
	events     Events
	mu         sync.Mutex
	waiting    []func(Events)
	delivering bool // some goroutine is handing them over
}

// post hands a report over, after those before it. It returns at once while another goroutine does that.
func (q *eventQueue) post(report func(Events)) {
	q.mu.Lock()
	q.waiting = append(q.waiting, report)
	if q.delivering {
		q.mu.Unlock()
		return
	}
	q.delivering = true
	for len(q.waiting) > 0 {
		reports := q.waiting
		q.waiting = nil
		q.mu.Unlock()
		for _, report := range reports {
			report(q.events)
		}
		q.mu.Lock()
	}
	q.delivering = false
	q.mu.Unlock()
}
