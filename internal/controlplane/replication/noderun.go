package replication

import (
	"context"
	"time"
)

// step runs one step of the core. Its effects count as tasks from then on.
func (n *Node) step(step func()) effects {
	view, ready := n.config.View(), n.config.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.observe(n.config.Clock.Now(), view, ready)
	step()
	if n.core.tickEarlier {
		n.core.tickEarlier = false
		n.wake()
	}
	work := n.core.takeEffects()
	n.tasks.Add(len(work.writes) + len(work.calls))
	return work
}

func (n *Node) wake() { n.wakeUp.Notify() }

// runStep runs a step whose caller must not wait for its effects.
func (n *Node) runStep(step func()) { n.perform(n.step(step), false) }

// perform carries out effects, each on its own goroutine, but for the last one if the present goroutine may wait.
func (n *Node) perform(work effects, mayWait bool) {
	for mayWait && len(work.writes)+len(work.calls) == 1 {
		if len(work.writes) == 1 {
			work = n.write(work.writes[0])
		} else {
			work = n.send(work.calls[0])
		}
	}
	for _, one := range work.writes {
		go func() { n.perform(n.write(one), true) }()
	}
	for _, one := range work.calls {
		go func() { n.perform(n.send(one), true) }()
	}
}

func (n *Node) spawn(task func()) { n.tasks.Go(task) }

func (n *Node) write(one storeWrite) effects {
	defer n.tasks.Done()
	err := n.config.Store.Write(one.changes...)
	return n.step(func() { one.done(err) })
}

func (n *Node) send(one rpc) effects {
	defer n.tasks.Done()
	ctx, cancel := context.WithTimeout(n.ctx, one.timeout)
	defer cancel()
	err := n.config.Caller.Call(ctx, one.address, one.route, one.request, one.reply)
	return n.step(func() { one.done(err) })
}

// Run campaigns and leads until the context ends; then it resigns all terms and waits for their handlers. The node
// must not be used afterwards.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.shutdown() //nolint:contextcheck // its calls last until the node's own context ends
			return
		case <-timer.C:
		case <-n.wakeUp:
		}
		var next time.Duration
		n.runStep(func() { next = n.core.tick() }) //nolint:contextcheck // effects end with the node's own context
		timer.Reset(max(next-n.config.Clock.Now(), time.Millisecond))
	}
}

// shutdown gives the resignations the time of one heartbeat to arrive.
func (n *Node) shutdown() {
	n.runStep(n.core.stop)
	ended := make(chan struct{})
	go func() { n.tasks.Wait(); close(ended) }()
	timer := time.NewTimer(n.config.Timing.HeartbeatInterval)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	n.cancel()
	<-ended
}
