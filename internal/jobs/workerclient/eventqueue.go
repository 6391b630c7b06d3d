package workerclient

import "sync"

// eventQueue delivers reports to Events one at a time, in the order in which they were posted.
type eventQueue struct {
	events     Events
	mu         sync.Mutex
	waiting    []func(Events)
	delivering bool // a goroutine is delivering reports
}

// post delivers a report after those posted before. If another goroutine is delivering reports, post returns at once and leaves the
// delivery to it.
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
