package fleet

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failuredetector"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/sealedmessage"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/udptransport"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
)

// Shares of Settings.Lease. A new granter has to wait until the leader lease of its predecessor, and the tokens and contracts
// granted under it, have expired. With these shares, the allowance for clock drift, and an election of 2 s, the new granter is
// ready within one lease if the lease is MinLease or longer.
const (
	// leaderLeaseShare is the share for which a granter may act after its leadership was confirmed.
	leaderLeaseShare = 0.15
	// tokenShare is the share for which granted tokens last.
	tokenShare = 0.4
	// contractShare is the share for which contracts stay confirmed.
	contractShare = 0.5
	// MinLease is the shortest lease, in seconds, that leaves enough time for a change of the granter.
	MinLease = 8.0
)

// Fleet is one node's part in the fleet. While Run runs, Admit, BackendsChanged, SubmitCommand, Progress, Status, Explain, Release
// and Stop may be called from any goroutine. Only the aggregator's goroutine may call CallEnded.
type Fleet struct {
	clock
	settings         Settings
	aggregatorEvents *eventqueue.Queue[aggregator.Event]
	logger           *zap.Logger
	counters         *counters.Set
	events           *eventqueue.Queue[event]

	admission admission    // read by the goroutines that serve queries
	calls     callObserver // used only by the aggregator's goroutine

	// Only the goroutine of Run uses the fields from here to due.
	now           float64
	peers         []membership.Name // all other nodes
	strictHash    uint64
	transport     *udptransport.Transport // nil before it is open, and after the release
	store         *aggregatorstore.Log    // nil while it is closed, and always without a directory
	stored        aggregatorstore.LogContents
	sealer        *sealedmessage.Sealer
	detector      *failuredetector.Detector // nil before address and directory are open, and after the release
	voter         voter
	quotaClient   *quota.Client
	contractLease *residency.Lease
	tables        clusterTables
	granterClient granterClient
	leadership    leadership
	outliers      outlierDetection
	commands      commandQueue
	isolated      bool   // the state that was logged last
	openError     string // the error that was logged last; "" once address and directory are open
	// staleNotifiedAt is the time at which each node was last notified that its incarnation is stale.
	staleNotifiedAt map[membership.Name]float64
	// due holds the time of the next run of each periodic task.
	due struct{ open, probe, request, gossip, verdicts, fileTables float64 }

	released    chan struct{}
	stopping    chan struct{}
	stopped     chan struct{}
	releaseOnce sync.Once
}

// New returns a node's Fleet, which Run then executes. New tries to open the directory and the address, which the previous
// process of this node may still hold. Until both are open the node has neither tokens nor minimums, and confirms no contract.
// The error joins one ValidationError for each invalid setting.
func New(settings Settings, aggregatorEvents *eventqueue.Queue[aggregator.Event], logger *zap.Logger, counters *counters.Set) (*Fleet, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	clock := newClock(time.Now())
	f := &Fleet{
		clock:            clock,
		settings:         settings,
		aggregatorEvents: aggregatorEvents,
		logger:           logger,
		counters:         counters,
		events:           eventqueue.New[event](),
		admission:        admission{clock: clock, location: settings.Location, maxDeadline: settings.MaxDeadline},
		calls:            callObserver{observer: outlier.NewObserver()},
		now:              clock.Now(),
		peers:            settings.Membership.Others(settings.Self),
		strictHash:       settings.strictHash(),
		quotaClient:      quota.NewClient(settings.Lease*tokenShare, len(settings.Membership.Members)),
		contractLease:    residency.NewLease(settings.Lease*contractShare, settings.MaxDeadline),
		granterClient:    granterClient{voters: settings.Membership.Voters()},
		leadership:       newLeadership(&settings),
		outliers:         outlierDetection{self: settings.Self, verdictAt: map[outlier.Backend]float64{}},
		staleNotifiedAt:  map[membership.Name]float64{},
		released:         make(chan struct{}),
		stopping:         make(chan struct{}),
		stopped:          make(chan struct{}),
	}
	f.tables.contracts = f.initialContracts()
	f.publishTrafficView()
	f.open()
	return f, nil
}

// Release closes the address and the directory, so that the next process of this node can open them. Afterwards this process
// exchanges no messages with other nodes. Its tokens and contracts stay valid until they expire. Its minimums end at once, as the
// next process spends them. Release returns once this is done, or once the Fleet has stopped.
func (f *Fleet) Release() {
	f.releaseOnce.Do(func() { f.events.Put(event{kind: releaseRequested}) })
	select {
	case <-f.released:
	case <-f.stopped:
	}
}

// Stop ends Run and waits until Run has returned. It must be called only once.
func (f *Fleet) Stop() {
	close(f.stopping)
	<-f.stopped
}

// clock derives Unix seconds from the monotonic clock, so that a step of the wall clock changes no timeout.
type clock struct {
	startedAt time.Time
	startUnix float64
}

func newClock(now time.Time) clock {
	return clock{startedAt: now, startUnix: float64(now.UnixNano()) / 1e9}
}

// Now returns the time in Unix seconds.
func (c *clock) Now() float64 { return c.seconds(time.Now()) }

func (c *clock) seconds(t time.Time) float64 { return c.startUnix + t.Sub(c.startedAt).Seconds() }
