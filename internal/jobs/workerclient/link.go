package workerclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// The pace of a link. Those that depend on how long attempts may be held are shares of that time where it is short.
const (
	longPollWait           = time.Second            // how long a worker may wait for a completion before it answers a renewal
	renewalAge             = 900 * time.Millisecond // a grant that was asked for longer ago is renewed
	minLeaseLead           = 1500 * time.Millisecond
	leadFraction           = 4                      // minLeaseLead and longPollWait are at most this part of the longest lease
	renewalFraction        = 6                      // renewalAge is at most this part of the longest lease
	maxIdleInterval        = 3 * time.Second        // between two polls of an idle worker
	idleFraction           = 2                      // maxIdleInterval is at most this part of the longest lease
	maxCommandsInFlight    = 5                      // commands under way at once; the renewal and the out-of-band poll have connections besides
	unreachablePollTimeout = 600 * time.Millisecond // of the renewal loop's polls while the worker is unreachable

	// abandonMargin is how much longer than its hedge a renewal may last: usually the poll's end decides about the renewal.
	abandonMargin = 100 * time.Millisecond
)

// Config describes a link.
type Config struct {
	Instance         Instance
	FencingToken     uint64
	MaxLease         time.Duration // the longest time for which a worker holds its attempts
	LeaderLeaseValid func() bool   // whether this process may send commands at this moment; asked right before each call
	Events           Events
	HTTP             *http.Client // shared by all links, from NewHTTPClient or of the budget
	Connections      *Connections // the budget of all links; nil for none
	// MinTimeout is how long a call is given at least beyond the wait that it asks for; 0 to let the round trips decide.
	MinTimeout time.Duration
	Log        *zap.Logger      // may be nil
	Now        func() time.Time // the local steady clock; time.Now when nil
}

// ending says why a link has ended.
type ending uint8

const (
	open ending = iota
	closed
	gone
	fenced
)

// Link is the connection to one incarnation of one worker under one fencing token. Its methods may be called from any goroutine;
// none of them waits for the worker but Run.
type Link struct {
	config Config
	caller *caller
	pool   *hostPool
	log    *zap.Logger
	now    func() time.Time
	pace   pace
	events eventQueue

	context                context.Context // of all calls
	cancel                 context.CancelFunc
	done                   chan struct{} // closed when the link ends
	acknowledgementArrived chan struct{} // an acknowledgement has come
	commandQueued          chan struct{} // a command was queued

	deliveryHistory   deliveryHistory // used by one delivery at a time
	awaitedCompletion uint64          // the newest completion that the renewal loop has waited for to be acknowledged; used by that loop only

	mu             sync.Mutex
	quiescent      sync.Cond // no order worker is left, or no poll is under way
	ending         ending
	health         health
	activity       activity
	acknowledged   uint64
	lease          leaseState
	roundTrips     roundTrips
	pendingRenewal *pendingRenewal // nil before the first one
	polls          pollState
	commands       commandQueue
	hedges         int // further hedged requests of idempotent calls under way
	counts         Counts
}

// Counts says how many calls for the lists a link has made so far.
type Counts struct {
	Renewals            uint64 // by the renewal loop, its polls included
	Polls               uint64 // out of band
	OverdueRenewals     uint64 // renewals whose answer was overdue
	RepeatedCompletions uint64 // renewals whose newest completion had been listed before, as it was not acknowledged yet
	HedgedRequests      uint64 // of polls and stops whose answer was overdue
}

// pace holds the link's times, which depend on how long attempts may be held.
type pace struct{ longPollWait, renewalAge, minLeaseLead, maxIdleInterval time.Duration }

func paceFor(maxLease time.Duration) pace {
	return pace{
		longPollWait:    min(longPollWait, maxLease/leadFraction).Truncate(time.Millisecond),
		renewalAge:      min(renewalAge, maxLease/renewalFraction),
		minLeaseLead:    min(minLeaseLead, maxLease/leadFraction),
		maxIdleInterval: min(maxIdleInterval, maxLease/idleFraction),
	}
}

// NewLink makes a link; Run sets it to work.
func NewLink(config Config) *Link {
	l := &Link{
		config: config, log: config.Log, now: config.Now, pace: paceFor(config.MaxLease),
		events:                 eventQueue{events: config.Events},
		done:                   make(chan struct{}),
		acknowledgementArrived: make(chan struct{}, 1),
		commandQueued:          make(chan struct{}, 1),
	}
	if l.config.Connections == nil {
		l.config.Connections = unlimited()
	}
	l.pool = l.config.Connections.join(config.Instance.Address)
	l.caller = newCaller(config.HTTP, config.Instance.Address, config.Instance.ID, config.LeaderLeaseValid)
	l.roundTrips.minTimeout = config.MinTimeout
	if l.log == nil {
		l.log = zap.NewNop()
	}
	if l.now == nil {
		l.now = time.Now
	}
	l.log = l.log.With(zap.String("searcher", string(config.Instance.ID)))
	l.context, l.cancel = context.WithCancel(context.Background())
	l.quiescent.L = &l.mu
	return l
}

// Acknowledge says that the completions up to a number are durable: the worker may forget them.
func (l *Link) Acknowledge(number uint64) {
	l.mu.Lock()
	l.acknowledged = max(l.acknowledged, number)
	l.mu.Unlock()
	select {
	case l.acknowledgementArrived <- struct{}{}:
	default:
	}
}

// LeasesExpiredBy is the local time by which everything that this link has ever granted there has certainly expired, provided that
// nothing more is granted. It is the zero time when nothing was granted.
func (l *Link) LeasesExpiredBy() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.grants.expiredBy()
}

// Counts returns how many calls were made so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Close ends the link. Calls under way are given up, and their results and those of waiting commands are still reported; Run
// returns after that.
func (l *Link) Close() { l.end(closed) }

// release ends the link, for the first reason that comes up.
func (l *Link) end(reason ending) {
	if reason == closed {
		l.cancel()
	}
	l.mu.Lock()
	first := l.ending == open
	if first {
		l.ending = reason
		close(l.done)
		l.dispatch()
	}
	l.mu.Unlock()
	if first {
		l.reportEnd(reason)
	}
}

func (l *Link) reportEnd(reason ending) {
	id := l.config.Instance.ID
	switch reason {
	case gone:
		l.log.Info("searcher's life is over")
		l.events.post(func(e Events) { e.Gone(Gone{id}) })
	case fenced:
		l.log.Info("searcher has seen a higher fencing token", zap.Uint64("token", l.config.FencingToken))
		l.events.post(func(e Events) { e.Fenced(Fenced{id}) })
	}
}

func (l *Link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending != open
}

// endedBy ends the link if an answer says so.
func (l *Link) endedBy(response workerResponse) bool {
	switch {
	case response.status == http.StatusMisdirectedRequest:
		l.end(gone)
	case response.status == http.StatusConflict && response.body.Reason == reasonFencingToken:
		l.end(fenced)
	default:
		return false
	}
	return true
}

// setContact notes what a call has shown, and reports a change. While a worker is unreachable it gets no commands and no
// grants.
func (l *Link) setContact(to contact) {
	l.mu.Lock()
	changed := l.ending == open && l.health.moveTo(to)
	if to == reachable {
		l.health.responded()
	}
	if changed && to == unreachable && l.pendingRenewal != nil {
		l.pendingRenewal.abandon() // the renewal loop looks for the worker
	}
	l.dispatch()
	l.mu.Unlock()
	if !changed {
		return
	}
	report := ReachabilityChange{Worker: l.config.Instance.ID, Reachable: to == reachable}
	l.log.Debug("contact changed", zap.Bool("reachable", report.Reachable))
	l.events.post(func(e Events) { e.Reachability(report) })
}

// sendTime is the local time for a call that is sent now. The caller holds the lock.
func (l *Link) sendTime() time.Time { return l.commands.sendTime(l.now()) }

// resultTime is the local time for the result of a command.
func (l *Link) resultTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commands.resultTime(l.now())
}
