package manager

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/wakeup"
)

const (
	// tickInterval is the time between two ticks of the scheduler.
	tickInterval = 200 * time.Millisecond
	// loadLogInterval is the minimum time between two debug log lines about the load.
	loadLogInterval = time.Second
)

// leadership is the leadership of one group by this node, from its election until the end of its term.
type leadership struct {
	config        Config
	term          *replication.Term
	ctx           context.Context
	stop          context.CancelFunc
	mu            sync.Mutex // guards the fields below
	scheduler     *scheduler.Scheduler
	links         map[workerclient.WorkerID]*workerclient.Link
	unreachable   map[workerclient.WorkerID]bool // workers that have not responded yet or have stopped responding
	lastProposed  uint64                         // number of the latest proposal
	lastCommitted uint64                         // number of the latest proposal that is durable
	nextDispatch  time.Time                      // time before which no dispatch runs
	lastTick      time.Time                      // time of the last tick
	awaitedDueMS  int64                          // due time that the loop waits for, in milliseconds since 1970; 0 if there is none
	lastLoadLog   time.Time
	wake          wakeup.Signal // makes the loop compute its wait time again
}

// newLeadership restores the group's scheduler from its replicated state.
func newLeadership(config Config, term *replication.Term, state map[string][]byte) (*leadership, error) {
	groupScheduler, err := scheduler.New(config.Settings, currentTime(), state)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &leadership{
		config: config, term: term, ctx: ctx, stop: stop, scheduler: groupScheduler,
		links: map[workerclient.WorkerID]*workerclient.Link{}, unreachable: map[workerclient.WorkerID]bool{}, wake: wakeup.New(),
	}, nil
}

// close ends the leadership on this node and closes its links. Nothing is sent to workers afterwards.
func (l *leadership) close() {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Close()
	}
	l.links = map[workerclient.WorkerID]*workerclient.Link{}
}

// loop performs the time-based work until the leadership ends.
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

// logLoad logs the load at debug level, at most once per loadLogInterval. The caller must hold l.mu.
func (l *leadership) logLoad(now scheduler.Now) {
	if now.Monotonic.Sub(l.lastLoadLog) < loadLogInterval {
		return
	}
	l.lastLoadLog = now.Monotonic
	if entry := l.config.Log.Check(zap.DebugLevel, "load"); entry != nil {
		entry.Write(zap.String("group", l.term.Group()), zap.Any("load", l.scheduler.CurrentLoad(now)))
	}
}

// nextWait returns the time until the earliest of the next tick, the next due repetition and a postponed dispatch. It is at
// least one millisecond.
func (l *leadership) nextWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := time.Until(l.lastTick.Add(tickInterval)) // a wake-up must not postpone the tick
	if l.scheduler.NeedsDispatch() {
		wait = min(wait, time.Until(l.nextDispatch))
	}
	if l.awaitedDueMS = l.scheduler.NextDueMS(); l.awaitedDueMS != 0 {
		dueMS := l.awaitedDueMS
		wait = min(wait, time.Duration(dueMS-time.Now().UnixMilli())*time.Millisecond)
	}
	return max(time.Millisecond, wait)
}

// tick performs the time-based work if the tick interval is over or a repetition is due. In any case it runs a postponed
// dispatch that is due, as handle does after each event.
func (l *leadership) tick() {
	l.handle(func(now scheduler.Now) {
		dueMS := l.scheduler.NextDueMS()
		if now.Monotonic.Sub(l.lastTick) < tickInterval && (dueMS == 0 || dueMS > now.WallMS) {
			return
		}
		l.lastTick = now.Monotonic
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

// wakeLoop makes the loop compute its wait time again.
func (l *leadership) wakeLoop() { l.wake.Notify() }
