package manager

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// dispatchPauseFactor is the ratio of the pause after a dispatch to the duration of that dispatch. It keeps dispatches from
// using more than a fifth of a processor.
const dispatchPauseFactor = 4

// handle handles one event and proposes the resulting entries. The lock is held for both, so that proposals have the same
// order as events. After the end of the leadership it does nothing.
func (l *leadership) handle(event func(scheduler.Now)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	event(currentTime())
	l.dispatch()
	l.propose()
}

// commit handles an event. It returns once this event and all earlier ones are durable, and it is certain that no other
// leader had been elected when the event was handled. The error says whether the event may still take effect.
func (l *leadership) commit(ctx context.Context, event func(scheduler.Now)) error {
	_, err := l.commitIf(ctx, func(now scheduler.Now) bool {
		event(now)
		return true
	})
	return err
}

// commitIf is like commit for an event that may decide to do nothing. If it returns false, it must not have changed or read anything
// that the caller relies on. Acted is false then, and nothing is waited for.
func (l *leadership) commitIf(ctx context.Context, event func(scheduler.Now) bool) (acted bool, err error) {
	done := make(chan struct{})
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return false, rpcerror.WrapNotExecuted(errNotLeader, 0)
	}
	if !event(currentTime()) {
		l.mu.Unlock()
		return false, nil
	}
	l.dispatch()
	l.propose()
	if l.lastCommitted == l.lastProposed && l.term.Valid() {
		l.mu.Unlock()
		return true, nil
	}
	l.term.Propose(nil, func() { close(done) })
	l.mu.Unlock()
	select {
	case <-done:
		return true, nil
	case <-l.term.Ended():
		return true, rpcerror.WrapMayHaveExecuted(errLeadershipEnded)
	case <-ctx.Done():
		return true, rpcerror.WrapMayHaveExecuted(ctx.Err())
	}
}

// dispatch assigns waiting tasks to workers. The next dispatch is postponed by a multiple of the duration of this one, so that
// dispatches leave most of a processor to other work. The loop runs a postponed dispatch. The caller must hold l.mu.
func (l *leadership) dispatch() {
	if dueMS := l.scheduler.NextDueMS(); dueMS != 0 && (l.awaitedDueMS == 0 || dueMS < l.awaitedDueMS) {
		l.awaitedDueMS = dueMS
		l.wakeLoop()
	}
	if !l.scheduler.NeedsDispatch() {
		return
	}
	begin := time.Now()
	if begin.Before(l.nextDispatch) {
		l.wakeLoop()
		return
	}
	l.scheduler.Dispatch(currentTime())
	l.nextDispatch = begin.Add((1 + dispatchPauseFactor) * time.Since(begin))
}

// propose proposes the entries that the scheduler has collected. The other effects are executed once the entries are durable.
// The caller must hold l.mu.
func (l *leadership) propose() {
	effects := l.scheduler.TakeEffects()
	if effects.Empty() {
		return
	}
	l.lastProposed++
	number := l.lastProposed
	l.term.Propose(effects.Entries, func() { l.execute(number, effects) })
}

// execute sends the commands and acknowledgements of a proposal whose entries have become durable.
func (l *leadership) execute(number uint64, effects scheduler.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCommitted = number
	if l.ctx.Err() != nil {
		return
	}
	l.traceEndedJobs(&effects)
	for i := range effects.Commands {
		l.send(&effects.Commands[i])
	}
	for _, acknowledgement := range effects.Acknowledgements {
		if link := l.links[acknowledgement.Worker]; link != nil {
			link.Acknowledge(acknowledgement.CompletionNumber)
		}
	}
}

// send passes a command to its worker's link. It drops a start command that is no longer needed. The caller must hold l.mu.
func (l *leadership) send(command *scheduler.Command) {
	link := l.links[command.Worker]
	if link == nil {
		l.dropCommand(command)
		return
	}
	if command.Stop != nil {
		l.traceCommand(command, commandSent)
		link.Stop(*command.Stop)
		return
	}
	if l.scheduler.ShouldSendStart(command.Worker, command.Start) {
		l.traceCommand(command, commandSent)
		link.Start(*command.Start)
	}
}

// dropCommand tells the scheduler that a command was not sent, as there is no link to its worker: the worker has not been listed
// during this leadership, or its incarnation has ended. The caller must hold l.mu.
func (l *leadership) dropCommand(command *scheduler.Command) {
	now := currentTime()
	l.traceCommand(command, commandDropped)
	if command.Stop != nil {
		l.scheduler.HandleStopResult(&workerclient.StopResult{Worker: command.Worker, Command: *command.Stop, At: now.Monotonic})
		return
	}
	result := workerclient.StartResult{Worker: command.Worker, Command: *command.Start, Outcome: workerclient.NotSent, At: now.Monotonic}
	l.scheduler.HandleStartResult(now, &result)
}
