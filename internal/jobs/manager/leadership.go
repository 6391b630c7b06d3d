package manager

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	tickInterval       = 200 * time.Millisecond
	loadLogInterval    = time.Second
	dispatchRestFactor = 4 // times what a dispatch took, until the next one
)

// lead is one leadership of one group.
type leadership struct {
	config       Config
	term         *replication.Term
	ctx          context.Context
	stop         context.CancelFunc
	mu           sync.Mutex
	scheduler    *scheduler.Scheduler
	links        map[workerclient.WorkerID]*workerclient.Link
	unreachable  map[workerclient.WorkerID]bool // links whose last call failed
	proposed     uint64                         // number of proposals so far
	committed    uint64                         // and of those that are durable
	nextDispatch time.Time                      // no dispatch before
	tickedAt     time.Time
	plannedDueMS int64 // next due time that the loop knows, milliseconds since 1970; 0 for none
	loadLoggedAt time.Time
	wake         chan struct{} // a repetition may be due earlier than the loop thinks
}

func newLeadership(config Config, term *replication.Term, state map[string][]byte) (*leadership, error) {
	jobs, err := scheduler.New(config.Settings, currentTime(), state)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &leadership{
		config: config, term: term, ctx: ctx, stop: stop, scheduler: jobs,
		links: map[workerclient.WorkerID]*workerclient.Link{}, unreachable: map[workerclient.WorkerID]bool{}, wake: make(chan struct{}, 1),
	}, nil
}

func (l *leadership) close() {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Close()
	}
	l.links = map[workerclient.WorkerID]*workerclient.Link{}
}

// loop drives what is due by time until the leadership ends.
func (l *leadership) loop() {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-l.term.Ended():
			return
		case <-l.wake:
		case <-timer.C:
			l.tick()
		}
		timer.Reset(l.nextWait())
	}
}

// logLoad logs the load now and then.
func (l *leadership) logLoad(now scheduler.Now) {
	if now.Monotonic.Sub(l.loadLoggedAt) < loadLogInterval {
		return
	}
	l.loadLoggedAt = now.Monotonic
	if entry := l.config.Log.Check(zap.DebugLevel, "load"); entry != nil {
		entry.Write(zap.String("group", l.term.Group()), zap.Any("load", l.scheduler.CurrentLoad(now)))
	}
}

// nextWait is the time until the next tick: earlier if a repetition is due.
func (l *leadership) nextWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := time.Until(l.tickedAt.Add(tickInterval)) // a wake-up must not put the tick off
	if l.scheduler.NeedsDispatch() {
		pause = min(pause, time.Until(l.nextDispatch))
	}
	if l.plannedDueMS = l.scheduler.NextDueMS(); l.plannedDueMS != 0 {
		dueMS := l.plannedDueMS
		pause = min(pause, time.Duration(dueMS-time.Now().UnixMilli())*time.Millisecond)
	}
	return max(time.Millisecond, pause)
}

// tick does what is due by time, and a dispatch that was put off.
func (l *leadership) tick() {
	l.handle(func(now scheduler.Now) {
		dueMS := l.scheduler.NextDueMS()
		if now.Monotonic.Sub(l.tickedAt) < tickInterval && (dueMS == 0 || dueMS > now.WallMS) {
			return
		}
		l.tickedAt = now.Monotonic
		for id := range l.unreachable {
			link := l.links[id]
			if link != nil && now.Monotonic.After(link.LeasesExpiredBy()) {
				l.scheduler.ExpireLease(now, id)
			}
		}
		l.scheduler.Tick(now)
		l.logLoad(now)
	})
}

// handle runs one event and proposes what comes of it. The lock covers both, so that proposals keep the events' order.
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

// dispatch lets waiting tasks start. It rests for a multiple of what it takes, so that it leaves most of the processor to
// the rest; the loop then comes back to it. The lock is held.
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
	l.nextDispatch = begin.Add((1 + dispatchRestFactor) * time.Since(begin))
}

// propose makes the gathered effects durable; the lock is held.
func (l *leadership) propose() {
	effects := l.scheduler.TakeEffects()
	if effects.Empty() {
		return
	}
	l.proposed++
	number := l.proposed
	l.term.Propose(effects.Entries, func() { l.execute(number, effects) })
}

// execute does what has become durable.
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
	if l.scheduler.StillWanted(command.Worker, command.Start) {
		l.traceCommand(command)
		link.Start(*command.Start)
	}
}

// commit runs an event and waits until it, and all before it, is durable.
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

// wakeLoop lets the loop look again when the next repetition is due.
func (l *leadership) wakeLoop() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// setInventory takes the workers of the group's service and keeps a link to each.
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

// found takes some workers of the group's service, before the whole list is known.
func (l *leadership) addInventoryPage(instances []workerclient.Instance) {
	l.handle(func(now scheduler.Now) {
		for i := range instances {
			l.connect(&instances[i])
		}
		l.scheduler.AddInventoryPage(now, instances)
	})
}

func (l *leadership) connect(instance *workerclient.Instance) {
	if l.links[instance.ID] != nil || l.scheduler.WasRemoved(instance.ID) {
		return
	}
	link := workerclient.NewLink(workerclient.Config{
		Instance: *instance, FencingToken: l.term.Number(), MaxLease: l.config.Settings.MaxLease,
		LeaderLeaseValid: l.term.Valid, Events: linkEvents{l}, HTTP: l.config.HTTP, Connections: l.config.Connections,
		Log: l.config.Log, Now: time.Now,
	})
	l.links[instance.ID] = link
	l.unreachable[instance.ID] = true
	go link.Run(l.ctx)
}

func (l *leadership) disconnect(id workerclient.WorkerID, link *workerclient.Link) {
	link.Close()
	delete(l.links, id)
	delete(l.unreachable, id)
}

// linkEvents receives the reports of a leadership's links.
type linkEvents struct{ leadership *leadership }

// Listing implements worker.Events.
func (e linkEvents) Listing(report workerclient.Listing) {
	e.leadership.traceCompletions(&report)
	e.leadership.handle(func(now scheduler.Now) {
		delete(e.leadership.unreachable, report.Worker)
		e.leadership.scheduler.HandleReport(now, &report)
	})
}

// StartResult implements worker.Events.
func (e linkEvents) StartResult(result workerclient.StartResult) {
	if result.Outcome != workerclient.Started {
		e.leadership.config.Log.Debug("start not confirmed", zap.Stringer("task", result.Command.Task),
			zap.String("searcher", string(result.Worker)), zap.Stringer("outcome", result.Outcome))
	}
	if result.Outcome == workerclient.RejectedFencingToken {
		e.leadership.term.Resign()
		return
	}
	e.leadership.handle(func(now scheduler.Now) { e.leadership.scheduler.HandleStartResult(now, &result) })
}

// StopResult implements worker.Events.
func (e linkEvents) StopResult(result workerclient.StopResult) {
	e.leadership.handle(func(scheduler.Now) { e.leadership.scheduler.HandleStopResult(&result) })
}

// Gone implements worker.Events.
func (e linkEvents) Gone(removed workerclient.Gone) {
	e.leadership.handle(func(now scheduler.Now) {
		e.leadership.scheduler.RemoveWorker(now, removed.Worker)
		if link := e.leadership.links[removed.Worker]; link != nil {
			e.leadership.disconnect(removed.Worker, link)
		}
	})
}

// Fenced implements worker.Events.
func (e linkEvents) Fenced(workerclient.Fenced) { e.leadership.term.Resign() }

// Reachability implements worker.Events.
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
