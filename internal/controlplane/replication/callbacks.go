package replication

import "sync"

// callbackQueue runs functions one after another. Its goroutine exists only while functions are queued.
type callbackQueue struct {
	spawn   func(func())
	last    func() // final callback, which the owner of the queue adds; nil if there is none
	mu      sync.Mutex
	queue   []func()
	running bool
}

func (c *callbackQueue) add(callback func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, callback)
	if !c.running {
		c.running = true
		c.spawn(c.run)
	}
}

func (c *callbackQueue) run() {
	for {
		c.mu.Lock()
		batch := c.queue
		c.queue = nil
		c.running = len(batch) > 0
		c.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		for _, callback := range batch {
			callback()
		}
	}
}
