package workerclient

import "sync"

// delivery hands reports to Events one after another, in the order in which they were posted.
type delivery struct {
	events  Events
	mu      sync.Mutex
	waiting []func(Events)
	busy    bool // some goroutine is handing them over
}

// post hands a report over, after those before it. It returns at once while another goroutine does that.
func (d *delivery) post(report func(Events)) {
	d.mu.Lock()
	d.waiting = append(d.waiting, report)
	if d.busy {
		d.mu.Unlock()
		return
	}
	d.busy = true
	for len(d.waiting) > 0 {
		reports := d.waiting
		d.waiting = nil
		d.mu.Unlock()
		for _, report := range reports {
			report(d.events)
		}
		d.mu.Lock()
	}
	d.busy = false
	d.mu.Unlock()
}
