package replication

import "sync"

// taskGroup counts running tasks. Unlike with a sync.WaitGroup, tasks may begin while others wait for the end of all: calls of other
// members arrive until the process has shut down. The zero value has no tasks.
type taskGroup struct {
	mutex   sync.Mutex
	running int
	idle    chan struct{} // closed once no task runs; nil while nobody waits
}

// add adds tasks, each of which must call done at its end.
func (g *taskGroup) add(count int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running += count
}

// done ends a task.
func (g *taskGroup) done() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	if g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// run runs a task on a goroutine of its own.
func (g *taskGroup) run(task func()) {
	g.add(1)
	go func() {
		defer g.done()
		task()
	}()
}

// idleSignal returns a channel that is closed as soon as no task runs. Tasks that begin after that don't matter.
func (g *taskGroup) idleSignal() <-chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.running == 0 {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	return g.idle
}
