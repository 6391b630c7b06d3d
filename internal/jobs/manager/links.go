package manager

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// setInventory passes the complete list of the service's workers to the scheduler. It opens links to new workers and closes
// the links to workers that the scheduler no longer knows.
func (l *leadership) setInventory(instances []workerclient.Instance) {
	l.handle(func(now scheduler.Now) {
		for i := range instances {
			l.connect(&instances[i])
		}
		l.scheduler.SetInventory(now, instances)
		for id, link := range l.links {
			if !l.scheduler.KnowsWorker(id) {
				l.disconnect(id, link)
			}
		}
	})
}

// addInventoryPage adds some of the service's workers before the first complete list has been read.
func (l *leadership) addInventoryPage(instances []workerclient.Instance) {
	l.handle(func(now scheduler.Now) {
		for i := range instances {
			l.connect(&instances[i])
		}
		l.scheduler.AddInventoryPage(now, instances)
	})
}

// connect starts a link to a worker that has none, unless the worker was removed. The caller must hold l.mu.
func (l *leadership) connect(instance *workerclient.Instance) {
	if l.links[instance.ID] != nil || l.scheduler.WasRemoved(instance.ID) {
		return
	}
	link := workerclient.NewLink(workerclient.Config{
		Instance: *instance, FencingToken: l.term.Number(), MaxLease: l.config.Settings.MaxLease,
		LeaderLeaseValid: l.term.Valid, OnFenced: l.term.Resign, Events: linkEvents{l}, HTTP: l.config.HTTP, Connections: l.config.Connections,
		Log: l.config.Log, Now: time.Now,
	})
	l.links[instance.ID] = link
	l.unreachable[instance.ID] = true
	go link.Run(l.ctx)
}

// disconnect closes and removes a link. The caller must hold l.mu.
func (l *leadership) disconnect(id workerclient.WorkerID, link *workerclient.Link) {
	link.Close()
	delete(l.links, id)
	delete(l.unreachable, id)
}

// linkEvents implements workerclient.Events. It passes the events of a leadership's links to the scheduler.
type linkEvents struct{ leadership *leadership }

// Listing implements workerclient.Events. A worker that sent a list is reachable.
func (e linkEvents) Listing(report workerclient.Listing) {
	e.leadership.traceCompletions(&report)
	e.leadership.handle(func(now scheduler.Now) {
		delete(e.leadership.unreachable, report.Worker)
		e.leadership.scheduler.HandleReport(now, &report)
	})
}

// StartResult implements workerclient.Events. It ignores a rejection because of a higher fencing token: by then
// workerclient.Config.OnFenced has already ended the leadership.
func (e linkEvents) StartResult(result workerclient.StartResult) {
	if result.Outcome != workerclient.Started {
		e.leadership.config.Log.Debug("start not confirmed", zap.Stringer("task", result.Command.Task),
			zap.String("worker_id", string(result.Worker)), zap.Stringer("outcome", result.Outcome))
	}
	if result.Outcome == workerclient.RejectedFencingToken {
		return
	}
	e.leadership.handle(func(now scheduler.Now) { e.leadership.scheduler.HandleStartResult(now, &result) })
}

// StopResult implements workerclient.Events.
func (e linkEvents) StopResult(result workerclient.StopResult) {
	e.leadership.handle(func(scheduler.Now) { e.leadership.scheduler.HandleStopResult(&result) })
}

// WorkerReplaced implements workerclient.Events. It removes the worker and closes its link.
func (e linkEvents) WorkerReplaced(removed workerclient.WorkerReplaced) {
	e.leadership.handle(func(now scheduler.Now) {
		e.leadership.scheduler.RemoveWorker(now, removed.Worker)
		if link := e.leadership.links[removed.Worker]; link != nil {
			e.leadership.disconnect(removed.Worker, link)
		}
	})
}

// FencingTokenRejected implements workerclient.Events. It does nothing because workerclient.Config.OnFenced has already ended the
// leadership.
func (e linkEvents) FencingTokenRejected(workerclient.FencingTokenRejected) {}

// Reachability implements workerclient.Events.
func (e linkEvents) Reachability(change workerclient.ReachabilityChange) {
	e.leadership.handle(func(now scheduler.Now) {
		if change.Reachable {
			delete(e.leadership.unreachable, change.Worker)
		} else {
			e.leadership.unreachable[change.Worker] = true
		}
		e.leadership.scheduler.SetReachable(now, change.Worker, change.Reachable)
	})
}
