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
func (d *eventQueue) post(report func(Events)) {
	d.mu.Lock()
	d.waiting = append(d.waiting, report)
	if d.delivering {
		d.mu.Unlock()
		return
	}
	d.delivering = true
	for len(d.waiting) > 0 {
		reports := d.waiting
		d.waiting = nil
		d.mu.Unlock()
		for _, report := range reports {
			report(d.events)
		}
		d.mu.Lock()
	}
	d.delivering = false
	d.mu.Unlock()
}
