package replication

import (
	"context"
	"time"
)

// step runs one step of the core and returns its effects, which are counted as tasks until they are done.
func (n *Node) step(step func()) effects {
	view, ready := n.config.View(), n.config.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.updateInputs(n.config.Clock.Now(), view, ready)
	step()
	if n.core.tickRequested {
		n.core.tickRequested = false
		n.wake()
	}
	taken := n.core.takeEffects()
	n.tasks.add(len(taken.writes) + len(taken.calls))
	return taken
}

func (n *Node) wake() { n.wakeUp.Notify() }

// runStep runs a step without waiting for its effects.
func (n *Node) runStep(step func()) { n.perform(n.step(step), false) }

// perform runs each effect on a goroutine of its own. If mayWait is set, it runs a single effect on the current goroutine.
func (n *Node) perform(pending effects, mayWait bool) {
	for mayWait && len(pending.writes)+len(pending.calls) == 1 {
		if len(pending.writes) == 1 {
			pending = n.write(pending.writes[0])
		} else {
			pending = n.send(pending.calls[0])
		}
	}
	for _, write := range pending.writes {
		go func() { n.perform(n.write(write), true) }()
	}
	for _, call := range pending.calls {
		go func() { n.perform(n.send(call), true) }()
	}
}

func (n *Node) spawn(task func()) { n.tasks.run(task) }

func (n *Node) write(write storeWrite) effects {
	defer n.tasks.done()
	err := n.config.Store.Write(write.changes...)
	return n.step(func() { write.done(err) })
}

func (n *Node) send(call rpc) effects {
	defer n.tasks.done()
	ctx, cancel := context.WithTimeout(n.ctx, call.timeout)
	defer cancel()
	err := n.config.Caller.Call(ctx, call.address, call.route, call.request, call.reply)
	return n.step(func() { call.done(err) })
}

// Run campaigns and leads until the context ends. It then resigns all terms and waits for their handlers. The node must not be
// used afterwards.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.shutdown() //nolint:contextcheck // its calls end with the context of the node
			return
		case <-timer.C:
		case <-n.wakeUp:
		}
		var next time.Duration
		n.runStep(func() { next = n.core.tick() }) //nolint:contextcheck // effects end with the context of the node
		timer.Reset(max(next-n.config.Clock.Now(), time.Millisecond))
	}
}

// shutdown resigns all terms. It waits up to one HeartbeatInterval for the resignations to be delivered, and then cancels the
// remaining calls.
func (n *Node) shutdown() {
	n.runStep(n.core.stop)
	ended := n.tasks.idleSignal()
	timer := time.NewTimer(n.config.Timing.HeartbeatInterval)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	n.cancel()
	<-ended
}
