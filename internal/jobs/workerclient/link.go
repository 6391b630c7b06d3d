package workerclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/wakeup"
)

// The times of a link. Those that depend on how long a lease may be are shares of the longest lease where that is short (see paceFor).
const (
	longPollWait           = time.Second             // how long a worker may wait for a completion before it responds to a long poll
	renewalAge             = 900 * time.Millisecond  // a lease that was requested longer ago is renewed
	minLeaseLead           = 1500 * time.Millisecond // a start is sent only if the lease lasts for so much longer
	leadFraction           = 4                       // minLeaseLead and longPollWait are at most this fraction of the longest lease
	renewalFraction        = 6                       // renewalAge is at most this fraction of the longest lease
	maxIdleInterval        = 3 * time.Second         // between two polls of an idle worker
	idleFraction           = 2                       // maxIdleInterval is at most this fraction of the longest lease
	maxCommandsInFlight    = 5                       // at once; the renewal and the out-of-band poll have connections besides
	unreachablePollTimeout = 600 * time.Millisecond  // of the renewal loop's polls while the worker is unreachable

	// overduePollMargin is how much longer a renewal may last than the poll made once it is overdue: usually that poll decides.
	overduePollMargin = 100 * time.Millisecond
)

// Config describes a link. Instance, FencingToken, MaxLease, LeaderLeaseValid, Events and HTTP are needed.
type Config struct {
	Instance         Instance
	FencingToken     uint64
	MaxLease         time.Duration // the longest lease that a worker takes; bounds.holdMaxMs of the settings
	LeaderLeaseValid func() bool   // whether this process may send calls at this moment; called right before each one
	// FencedOff is called as soon as the worker has refused a call since it has seen a higher fencing token, before that is
	// reported, as reports may wait. It is to make LeaderLeaseValid false for good, for all links under the token. May be nil.
	FencedOff   func()
	Events      Events
	HTTP        *http.Client // shared by all links, from NewHTTPClient or of the budget
	Connections *Connections // the budget of all links; nil for none
	// MinTimeout is how long a call is given at least beyond the wait that it asks for; 0 to let the round trips decide.
	MinTimeout time.Duration
	Log        *zap.Logger      // may be nil
	Now        func() time.Time // the local monotonic clock; time.Now when nil
}

// ending is why a link has ended. Only the first reason counts.
type ending uint8

const (
	open   ending = iota
	closed        // by Close, or with the context of Run
	gone          // the incarnation of the worker is over
	fenced        // the worker has seen a higher fencing token
)

// Link is the connection to one incarnation of one worker under one fencing token. Its methods may be called from any goroutine; only
// Run waits for the worker.
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
	acknowledgementArrived wakeup.Signal // signals Acknowledge to the renewal loop
	commandQueued          wakeup.Signal // signals Start and Stop to the renewal loop

	deliveryHistory   deliveryHistory // used by one delivery at a time, without the lock
	awaitedCompletion uint64          // the newest one whose acknowledgement was awaited; used by the renewal loop only

	mu             sync.Mutex
	quiescent      sync.Cond // signalled when a sender of commands, a poll or a hedged request is over
	ending         ending
	health         health
	activity       activity
	acknowledged   uint64 // the number of the newest completion that is durable
	lease          leaseState
	roundTrips     roundTrips
	pendingRenewal *pendingRenewal // nil before the first one
	polls          pollState
	commands       commandQueue
	hedges         int // hedged requests under way
	counts         Counts
}

// Counts is how many calls for the lists, and hedged requests, a link has made so far.
type Counts struct {
	Renewals            uint64 // calls of the renewal loop, its polls included
	Polls               uint64 // out-of-band polls
	OverdueRenewals     uint64 // renewals whose response was overdue
	RepeatedCompletions uint64 // responses to renewals that listed no newer completion than one before, as it was not acknowledged yet
	HedgedRequests      uint64 // of polls and stops whose response was overdue
}

// pace is the times of a link that depend on the longest lease.
type pace struct{ longPollWait, renewalAge, minLeaseLead, maxIdleInterval time.Duration }

// paceFor shortens the times for a worker whose leases are short, so that a lease is renewed several times before it expires.
func paceFor(maxLease time.Duration) pace {
	return pace{
		longPollWait:    min(longPollWait, maxLease/leadFraction).Truncate(time.Millisecond),
		renewalAge:      min(renewalAge, maxLease/renewalFraction),
		minLeaseLead:    min(minLeaseLead, maxLease/leadFraction),
		maxIdleInterval: min(maxIdleInterval, maxLease/idleFraction),
	}
}

// NewLink makes a link, which counts towards its budget until Run has returned. No lease is granted, and so no start sent, before Run.
func NewLink(config Config) *Link {
	l := &Link{
		config: config, log: config.Log, now: config.Now, pace: paceFor(config.MaxLease),
		events:                 eventQueue{events: config.Events},
		done:                   make(chan struct{}),
		acknowledgementArrived: wakeup.New(),
		commandQueued:          wakeup.New(),
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
	l.log = l.log.With(zap.String("worker_id", string(config.Instance.ID)))
	l.context, l.cancel = context.WithCancel(context.Background())
	l.quiescent.L = &l.mu
	return l
}

// LeasesExpiredBy is the local time by which every lease that this link has ever granted has certainly expired, provided that no
// further one is granted. It is the zero time when none was granted.
func (l *Link) LeasesExpiredBy() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.grants.expiredBy()
}

// Counts returns the counts so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Close ends the link. Calls under way are cancelled; their results and those of queued commands are still reported before Run
// returns.
func (l *Link) Close() { l.end(closed) }

// end ends the link, for the first reason that is given.
func (l *Link) end(reason ending) {
	switch {
	case reason == closed:
		l.cancel()
	case reason == fenced && l.config.FencedOff != nil:
		l.config.FencedOff()
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
		l.log.Info("worker incarnation is over")
		l.events.post(func(e Events) { e.Gone(Gone{id}) })
	case fenced:
		l.log.Info("worker has seen a higher fencing token", zap.Uint64("fencing_token", l.config.FencingToken))
		l.events.post(func(e Events) { e.Fenced(Fenced{id}) })
	}
}

func (l *Link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending != open
}

// endedBy ends the link if a response says that its incarnation is over or that its fencing token is outdated.
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

// setContact records what a call has shown about the worker, and reports a change. While a worker is unreachable it gets no commands
// and no lease grants.
func (l *Link) setContact(to contact) {
	l.mu.Lock()
	changed := l.ending == open && l.health.moveTo(to)
	if to == reachable {
		l.health.responded()
	}
	if changed && to == unreachable && l.pendingRenewal != nil {
		l.pendingRenewal.cancel() // the renewal loop polls the worker from now on
	}
	l.dispatch()
	l.mu.Unlock()
	if !changed {
		return
	}
	report := ReachabilityChange{Worker: l.config.Instance.ID, Reachable: to == reachable}
	l.log.Debug("worker reachability changed", zap.Bool("reachable", report.Reachable))
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
