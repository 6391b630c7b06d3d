package manager

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

// dispatchPauseFactor is how many times as long as a dispatch took the next one is postponed.
const dispatchPauseFactor = 4

// handle runs one event and proposes what comes of it. The lock covers both, so that proposals keep the order of events.
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

// commit runs an event and waits until it and all events before it are durable, and it is certain that no other leader had
// been elected when it ran. The error says whether the event may take effect nevertheless.
func (l *leadership) commit(ctx context.Context, event func(scheduler.Now)) error {
	done := make(chan struct{})
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return rpcerror.WrapNotExecuted(errNotLeader, 0)
	}
	event(currentTime())
	l.dispatch()
	l.propose()
	if l.committed == l.proposed && l.term.Valid() {
		l.mu.Unlock()
		return nil
	}
	l.term.Propose(nil, func() { close(done) })
	l.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-l.term.Ended():
		return rpcerror.WrapMayHaveExecuted(errLeadershipEnded)
	case <-ctx.Done():
		return rpcerror.WrapMayHaveExecuted(ctx.Err())
	}
}

// dispatch lets waiting tasks start. The next one is postponed by a multiple of the time that this one took, so that
// dispatches leave most of a processor to other work; the loop makes up for it. The lock is held.
func (l *leadership) dispatch() {
	if dueMS := l.scheduler.NextDueMS(); dueMS != 0 && (l.plannedDueMS == 0 || dueMS < l.plannedDueMS) {
		l.plannedDueMS = dueMS
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

// propose proposes the gathered entries, and has the other effects executed once those are durable; the lock is held.
func (l *leadership) propose() {
	effects := l.scheduler.TakeEffects()
	if effects.Empty() {
		return
	}
	l.proposed++
	number := l.proposed
	l.term.Propose(effects.Entries, func() { l.execute(number, effects) })
}

// execute sends the commands and acknowledgements whose entries have become durable.
func (l *leadership) execute(number uint64, effects scheduler.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.committed = number
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

// send hands a command to its worker's link, unless a start is not wanted any more. The lock is held.
func (l *leadership) send(command *scheduler.Command) {
	link := l.links[command.Worker]
	if link == nil {
		return
	}
	if command.Stop != nil {
		l.traceCommand(command)
		link.Stop(*command.Stop)
		return
	}
	if l.scheduler.ShouldSendStart(command.Worker, command.Start) {
		l.traceCommand(command)
		link.Start(*command.Start)
	}
}
