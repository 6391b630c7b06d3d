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
	tickInterval    = 200 * time.Millisecond
	loadLogInterval = time.Second
)

// leadership is one leadership of one group: from the election of this node until its term ends.
type leadership struct {
	config       Config
	term         *replication.Term
	ctx          context.Context
	stop         context.CancelFunc
	mu           sync.Mutex // guards what follows
	scheduler    *scheduler.Scheduler
	links        map[workerclient.WorkerID]*workerclient.Link
	unreachable  map[workerclient.WorkerID]bool // workers that have not answered yet, or not of late
	proposed     uint64                         // number of the newest proposal
	committed    uint64                         // number of the newest one that is durable
	nextDispatch time.Time                      // no dispatch before
	tickedAt     time.Time                      // last tick
	plannedDueMS int64                          // next due time that the loop waits for, milliseconds since 1970; 0 for none
	loadLoggedAt time.Time
	wake         wakeup.Signal // the loop is to compute its wait anew
}

// newLeadership restores the group's scheduler from its replicated state.
func newLeadership(config Config, term *replication.Term, state map[string][]byte) (*leadership, error) {
	jobs, err := scheduler.New(config.Settings, currentTime(), state)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return &leadership{
		config: config, term: term, ctx: ctx, stop: stop, scheduler: jobs,
		links: map[workerclient.WorkerID]*workerclient.Link{}, unreachable: map[workerclient.WorkerID]bool{}, wake: wakeup.New(),
	}, nil
}

// close ends the leadership here: nothing is sent to workers any more.
func (l *leadership) close() {
	l.stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.links {
		link.Close()
	}
	l.links = map[workerclient.WorkerID]*workerclient.Link{}
}

// loop does what is due by time, until the leadership ends.
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

// logLoad logs the load once in loadLogInterval, at the level debug.
func (l *leadership) logLoad(now scheduler.Now) {
	if now.Monotonic.Sub(l.loadLoggedAt) < loadLogInterval {
		return
	}
	l.loadLoggedAt = now.Monotonic
	if entry := l.config.Log.Check(zap.DebugLevel, "load"); entry != nil {
		entry.Write(zap.String("group", l.term.Group()), zap.Any("load", l.scheduler.CurrentLoad(now)))
	}
}

// nextWait is the time until the next tick, or until a repetition or a postponed dispatch is due if that is earlier.
func (l *leadership) nextWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := time.Until(l.tickedAt.Add(tickInterval)) // a wake-up must not postpone the tick
	if l.scheduler.NeedsDispatch() {
		wait = min(wait, time.Until(l.nextDispatch))
	}
	if l.plannedDueMS = l.scheduler.NextDueMS(); l.plannedDueMS != 0 {
		dueMS := l.plannedDueMS
		wait = min(wait, time.Duration(dueMS-time.Now().UnixMilli())*time.Millisecond)
	}
	return max(time.Millisecond, wait)
}

// tick does what is due by time, and a dispatch that was postponed.
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

// wakeLoop lets the loop compute its wait anew.
func (l *leadership) wakeLoop() { l.wake.Notify() }
