package workerclient

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/wakeup"
)

// Durations of a link. Some of them are shortened if the maximum lease is short (see timingsFor).
const (
	longPollWait             = time.Second             // maximum time for which a worker holds a long poll while it waits for a completion
	renewalAge               = 900 * time.Millisecond  // a lease that was requested longer ago than this is renewed
	minRemainingLease        = 1500 * time.Millisecond // a start is sent only if the lease is valid for at least this long
	minRemainingLeaseDivisor = 4                       // minRemainingLease and longPollWait are limited to the maximum lease divided by this
	renewalAgeDivisor        = 6                       // renewalAge is limited to the maximum lease divided by this
	maxIdleInterval          = 3 * time.Second         // maximum time between two polls of an idle worker
	idleIntervalDivisor      = 2                       // maxIdleInterval is limited to the maximum lease divided by this
	maxCommandsInFlight      = 5                       // concurrent commands; the renewal and the out-of-band poll use further connections
	unreachablePollTimeout   = 600 * time.Millisecond  // timeout of the renewal loop's polls while the worker is unreachable

	// overduePollMargin is added to the timeout of a renewal. It lets the poll that is sent when the renewal is overdue end first, so
	// that usually the poll determines whether the worker is reachable.
	overduePollMargin = 100 * time.Millisecond
)

// Config configures a link. Instance, FencingToken, MaxLease, LeaderLeaseValid, Events and HTTP are required.
type Config struct {
	Instance         Instance
	FencingToken     uint64
	MaxLease         time.Duration // the longest lease that a worker accepts; setting bounds.holdMaxMs
	LeaderLeaseValid func() bool   // reports whether this process may send calls now; called right before each call
	// OnFenced is called as soon as the worker rejects a call because it has seen a higher fencing token. It is called before the
	// rejection is reported, as reports may be delayed. It must make LeaderLeaseValid false permanently for all links under the
	// token. May be nil.
	OnFenced    func()
	Events      Events
	HTTP        *http.Client // shared by all links; from NewHTTPClient or Connections.HTTPClient
	Connections *Connections // budget shared by all links; nil for no limit
	// MinTimeout is the minimum timeout of a call, not counting the requested long poll wait. 0 means that timeouts depend on the
	// measured round-trip times only.
	MinTimeout time.Duration
	Log        *zap.Logger      // may be nil
	Now        func() time.Time // local monotonic clock; defaults to time.Now
}

// endReason is the reason why a link has ended. Only the first reason counts.
type endReason uint8

const (
	notEnded       endReason = iota
	closedLocally            // by Close, or by the end of Run's context
	workerReplaced           // another incarnation responds at the address of the worker
	tokenRejected            // the worker has seen a higher fencing token
)

// Link connects to one incarnation of one worker under one fencing token. Its methods are safe for concurrent use. Only Run waits for
// the worker.
type Link struct {
	config  Config
	rpc     *rpcClient
	pool    *hostPool
	log     *zap.Logger
	now     func() time.Time
	timings timings
	events  eventQueue

	context                context.Context // parent of the contexts of all calls
	cancel                 context.CancelFunc
	done                   chan struct{} // closed when the link ends
	acknowledgementArrived wakeup.Signal // notifies the renewal loop of Acknowledge
	commandQueued          wakeup.Signal // notifies the renewal loop of Start and Stop

	deliveryHistory   deliveryHistory // used by one delivery at a time; not guarded by mu
	awaitedCompletion uint64          // newest completion whose acknowledgement was awaited; used by the renewal loop only

	mu              sync.Mutex
	inFlightChanged sync.Cond // signalled when a command sender, a poll or a hedged request has ended
	endReason       endReason
	health          health
	activity        activity
	acknowledged    uint64 // number of the newest durable completion
	lease           leaseState
	rtt             rttEstimator
	pendingRenewal  *pendingRenewal // nil before the first renewal
	polls           pollState
	commands        commandQueue
	hedges          int // hedged requests in flight
	counts          Counts
}

// Counts holds the numbers of list calls and hedged requests that a link has made so far.
type Counts struct {
	Renewals            uint64 // calls of the renewal loop, including its polls
	Polls               uint64 // out-of-band polls
	OverdueRenewals     uint64 // renewals whose response was overdue
	RepeatedCompletions uint64 // responses to renewals that listed only unacknowledged completions which were listed before
	HedgedRequests      uint64 // hedged requests for polls and stops
}

// timings holds the durations of a link that depend on the maximum lease.
type timings struct{ longPollWait, renewalAge, minRemainingLease, maxIdleInterval time.Duration }

// timingsFor returns the durations for a maximum lease. They are shorter for short leases, so that a lease is renewed several times
// before it expires.
func timingsFor(maxLease time.Duration) timings {
	return timings{
		longPollWait:      min(longPollWait, maxLease/minRemainingLeaseDivisor).Truncate(time.Millisecond),
		renewalAge:        min(renewalAge, maxLease/renewalAgeDivisor),
		minRemainingLease: min(minRemainingLease, maxLease/minRemainingLeaseDivisor),
		maxIdleInterval:   min(maxIdleInterval, maxLease/idleIntervalDivisor),
	}
}

// NewLink returns a new link. The link counts towards its connection budget until Run has returned. No lease is granted and no start
// is sent before Run is called.
func NewLink(config Config) *Link {
	l := &Link{
		config: config, log: config.Log, now: config.Now, timings: timingsFor(config.MaxLease),
		events:                 eventQueue{events: config.Events},
		done:                   make(chan struct{}),
		acknowledgementArrived: wakeup.New(),
		commandQueued:          wakeup.New(),
	}
	if l.config.Connections == nil {
		l.config.Connections = unlimited()
	}
	l.pool = l.config.Connections.addLink(config.Instance.Address)
	l.rpc = newRPCClient(config.HTTP, config.Instance.Address, config.Instance.ID, config.LeaderLeaseValid)
	l.rtt.minTimeout = config.MinTimeout
	if l.log == nil {
		l.log = zap.NewNop()
	}
	if l.now == nil {
		l.now = time.Now
	}
	l.log = l.log.With(zap.String("worker_id", string(config.Instance.ID)))
	l.context, l.cancel = context.WithCancel(context.Background())
	l.inFlightChanged.L = &l.mu
	return l
}

// LeasesExpiredBy returns the local time by which every lease granted by this link has certainly expired, provided that no further
// lease is granted. It returns the zero time if no lease was granted.
func (l *Link) LeasesExpiredBy() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.grants.expiredBy()
}

// Counts returns the numbers of calls made so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Close ends the link and cancels the calls in flight. Their results and those of queued commands are still reported before Run
// returns.
func (l *Link) Close() { l.end(closedLocally) }

// end ends the link. Reasons after the first one are ignored.
func (l *Link) end(reason endReason) {
	switch {
	case reason == closedLocally:
		l.cancel()
	case reason == tokenRejected && l.config.OnFenced != nil:
		l.config.OnFenced()
	}
	l.mu.Lock()
	first := l.endReason == notEnded
	if first {
		l.endReason = reason
		close(l.done)
		l.dispatch()
	}
	l.mu.Unlock()
	if first {
		l.reportEnd(reason)
	}
}

func (l *Link) reportEnd(reason endReason) {
	id := l.config.Instance.ID
	switch reason {
	case workerReplaced:
		l.log.Info("worker incarnation is over")
		l.events.post(func(e Events) { e.WorkerReplaced(WorkerReplaced{id}) })
	case tokenRejected:
		l.log.Info("worker has seen a higher fencing token", zap.Uint64("fencing_token", l.config.FencingToken))
		l.events.post(func(e Events) { e.FencingTokenRejected(FencingTokenRejected{id}) })
	}
}

func (l *Link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.endReason != notEnded
}

// endedBy ends the link if the response shows that the incarnation has ended or that the link's fencing token is outdated. It reports
// whether that is the case.
func (l *Link) endedBy(response workerResponse) bool {
	switch {
	case response.status == http.StatusMisdirectedRequest:
		l.end(workerReplaced)
	case response.status == http.StatusConflict && response.body.Reason == reasonFencingToken:
		l.end(tokenRejected)
	default:
		return false
	}
	return true
}

// setReachability records whether the worker is reachable and reports a change. An unreachable worker receives no commands and no
// lease grants.
func (l *Link) setReachability(to reachability) {
	l.mu.Lock()
	changed := l.endReason == notEnded && l.health.setReachability(to)
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

// sendTime returns the local time to record for a call that is sent now. The caller holds the lock.
func (l *Link) sendTime() time.Time { return l.commands.sendTime(l.now()) }

// resultTime returns the local time to record for the result of a command.
func (l *Link) resultTime() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commands.resultTime(l.now())
}
