package replication

import "sync"

// callbackQueue runs functions one after another, on a goroutine that lives only while there are some.
type callbackQueue struct {
	spawn   func(func())
	last    func()
	mu      sync.Mutex
	queue   []func()
	running bool
}

func (c *callbackQueue) add(call func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, call)
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
		for _, call := range batch {
			call()
		}
	}
}
