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
	tickInterval   = 200 * time.Millisecond
	reportInterval = time.Second
	dispatchRest   = 4 // times what a dispatch took, until the next one
)

// lead is one leadership of one group.
type lead struct {
	config       Config
	term         *replication.Term
	ctx          context.Context
	stop         context.CancelFunc
	mu           sync.Mutex
	scheduler    *scheduler.Scheduler
	links        map[workerclient.WorkerID]*workerclient.Link
	unheard      map[workerclient.WorkerID]bool // links whose last call failed
	proposed     uint64                         // number of proposals so far
	committed    uint64                         // and of those that are durable
	nextDispatch time.Time                      // no dispatch before
	ticked       time.Time
	planned      int64 // next due time that the loop knows, milliseconds since 1970; 0 for none
	reported     time.Time
	wake         chan struct{} // a repetition may be due earlier than the loop thinks
}

func newLead(config Config, term *replication.Term, state map[string][]byte) (*lead, error) {
	jobs, err := scheduler.New(config.Settings, steady(), state)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &lead{
		config: config, term: term, ctx: ctx, stop: stop, scheduler: jobs,
		links: map[workerclient.WorkerID]*workerclient.Link{}, unheard: map[workerclient.WorkerID]bool{}, wake: make(chan struct{}, 1),
	}, nil
}

func (l *lead) close() {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Close()
	}
	l.links = map[workerclient.WorkerID]*workerclient.Link{}
}

// run drives what is due by time until the leadership ends.
func (l *lead) run() {
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
		timer.Reset(l.pause())
	}
}

// report logs the load now and then.
func (l *lead) report(now scheduler.Now) {
	if now.Monotonic.Sub(l.reported) < reportInterval {
		return
	}
	l.reported = now.Monotonic
	if entry := l.config.Log.Check(zap.DebugLevel, "load"); entry != nil {
		entry.Write(zap.String("group", l.term.Group()), zap.Any("load", l.scheduler.CurrentLoad(now)))
	}
}

// pause is the time until the next tick: earlier if a repetition is due.
func (l *lead) pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	pause := time.Until(l.ticked.Add(tickInterval)) // a wake-up must not put the tick off
	if l.scheduler.NeedsDispatch() {
		pause = min(pause, time.Until(l.nextDispatch))
	}
	if l.planned = l.scheduler.NextDueMS(); l.planned != 0 {
		dueMS := l.planned
		pause = min(pause, time.Duration(dueMS-time.Now().UnixMilli())*time.Millisecond)
	}
	return max(time.Millisecond, pause)
}

// tick does what is due by time, and a dispatch that was put off.
func (l *lead) tick() {
	l.step(func(now scheduler.Now) {
		dueMS := l.scheduler.NextDueMS()
		if now.Monotonic.Sub(l.ticked) < tickInterval && (dueMS == 0 || dueMS > now.WallMS) {
			return
		}
		l.ticked = now.Monotonic
		for id := range l.unheard {
			link := l.links[id]
			if link != nil && now.Monotonic.After(link.LeasesExpiredBy()) {
				l.scheduler.ExpireLease(now, id)
			}
		}
		l.scheduler.Tick(now)
		l.report(now)
	})
}

// step runs one event and proposes what comes of it. The lock covers both, so that proposals keep the events' order.
func (l *lead) step(event func(scheduler.Now)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return
	}
	event(steady())
	l.dispatch()
	l.propose()
}

// dispatch lets waiting tasks start. It rests for a multiple of what it takes, so that it leaves most of the processor to
// the rest; the loop then comes back to it. The lock is held.
func (l *lead) dispatch() {
	if dueMS := l.scheduler.NextDueMS(); dueMS != 0 && (l.planned == 0 || dueMS < l.planned) {
		l.planned = dueMS
		l.hasten()
	}
	if !l.scheduler.NeedsDispatch() {
		return
	}
	begin := time.Now()
	if begin.Before(l.nextDispatch) {
		l.hasten()
		return
	}
	l.scheduler.Dispatch(steady())
	l.nextDispatch = begin.Add((1 + dispatchRest) * time.Since(begin))
}

// propose makes the gathered effects durable; the lock is held.
func (l *lead) propose() {
	effects := l.scheduler.TakeEffects()
	if effects.Empty() {
		return
	}
	l.proposed++
	number := l.proposed
	l.term.Propose(effects.Entries, func() { l.carryOut(number, effects) })
}

// carryOut does what has become durable.
func (l *lead) carryOut(number uint64, effects scheduler.Effects) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.committed = number
	if l.ctx.Err() != nil {
		return
	}
	l.traceJobs(&effects)
	for i := range effects.Commands {
		l.order(&effects.Commands[i])
	}
	for _, acknowledgement := range effects.Acknowledgements {
		if link := l.links[acknowledgement.Worker]; link != nil {
			link.Acknowledge(acknowledgement.CompletionNumber)
		}
	}
}

func (l *lead) order(command *scheduler.Command) {
	link := l.links[command.Worker]
	if link == nil {
		return
	}
	if command.Stop != nil {
		l.traceOrder(command)
		link.Stop(*command.Stop)
		return
	}
	if l.scheduler.StillWanted(command.Worker, command.Start) {
		l.traceOrder(command)
		link.Start(*command.Start)
	}
}

// durably runs an event and waits until it, and all before it, is durable.
func (l *lead) durably(ctx context.Context, event func(scheduler.Now)) error {
	done := make(chan struct{})
	l.mu.Lock()
	if l.ctx.Err() != nil {
		l.mu.Unlock()
		return rpcerror.WrapNotExecuted(errNotLeader, 0)
	}
	event(steady())
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
		return rpcerror.WrapMayHaveExecuted(errEnded)
	case <-ctx.Done():
		return rpcerror.WrapMayHaveExecuted(ctx.Err())
	}
}

// hasten lets the loop look again when the next repetition is due.
func (l *lead) hasten() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// inventory takes the workers of the group's service and keeps a link to each.
func (l *lead) inventory(instances []workerclient.Instance) {
	l.step(func(now scheduler.Now) {
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
func (l *lead) found(instances []workerclient.Instance) {
	l.step(func(now scheduler.Now) {
		for i := range instances {
			l.connect(&instances[i])
		}
		l.scheduler.AddInventoryPage(now, instances)
	})
}

func (l *lead) connect(instance *workerclient.Instance) {
	if l.links[instance.ID] != nil || l.scheduler.WasRemoved(instance.ID) {
		return
	}
	link := workerclient.NewLink(workerclient.Config{
		Instance: *instance, FencingToken: l.term.Number(), MaxLease: l.config.Settings.MaxLease,
		LeaderLeaseValid: l.term.Valid, Events: events{l}, HTTP: l.config.HTTP, Connections: l.config.Connections,
		Log: l.config.Log, Now: time.Now,
	})
	l.links[instance.ID] = link
	l.unheard[instance.ID] = true
	go link.Run(l.ctx)
}

func (l *lead) disconnect(id workerclient.WorkerID, link *workerclient.Link) {
	link.Close()
	delete(l.links, id)
	delete(l.unheard, id)
}

// events receives the reports of a leadership's links.
type events struct{ lead *lead }

// Listing implements worker.Events.
func (e events) Listing(report workerclient.Listing) {
	e.lead.traceEnds(&report)
	e.lead.step(func(now scheduler.Now) {
		delete(e.lead.unheard, report.Worker)
		e.lead.scheduler.HandleReport(now, &report)
	})
}

// StartResult implements worker.Events.
func (e events) StartResult(result workerclient.StartResult) {
	if result.Outcome != workerclient.Started {
		e.lead.config.Log.Debug("start not confirmed", zap.Stringer("task", result.Command.Task),
			zap.String("searcher", string(result.Worker)), zap.Stringer("outcome", result.Outcome))
	}
	if result.Outcome == workerclient.RejectedFencingToken {
		e.lead.term.Resign()
		return
	}
	e.lead.step(func(now scheduler.Now) { e.lead.scheduler.HandleStartResult(now, &result) })
}

// StopResult implements worker.Events.
func (e events) StopResult(result workerclient.StopResult) {
	e.lead.step(func(now scheduler.Now) { e.lead.scheduler.HandleStopResult(now, &result) })
}

// Gone implements worker.Events.
func (e events) Gone(removed workerclient.Gone) {
	e.lead.step(func(now scheduler.Now) {
		e.lead.scheduler.RemoveWorker(now, removed.Worker)
		if link := e.lead.links[removed.Worker]; link != nil {
			e.lead.disconnect(removed.Worker, link)
		}
	})
}

// Fenced implements worker.Events.
func (e events) Fenced(workerclient.Fenced) { e.lead.term.Resign() }

// Reachability implements worker.Events.
func (e events) Reachability(change workerclient.ReachabilityChange) {
	e.lead.step(func(now scheduler.Now) {
		if change.Reachable {
			delete(e.lead.unheard, change.Worker)
		} else {
			e.lead.unheard[change.Worker] = true
		}
		e.lead.scheduler.SetReachable(now, change.Worker, change.Reachable)
	})
}
