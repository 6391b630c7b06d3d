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

// Shares of the settings' lease: how long a confirmed granter may act on that, and how long tokens and contracts last.
// With both, the clocks' slack and an election of 2 s the next granter is ready within a lease of MinLease or more.
const (
	authorityShare = 0.15
	tokenShare     = 0.4
	contractShare  = 0.5
	// MinLease is the shortest lease, in seconds, for which that holds.
	MinLease = 8.0
)

// Fleet is one node's part in the fleet. Admit, Called, Listed, Do, Progress, Status, Explain, Release and Stop may be called
// from any goroutine while Run runs.
type Fleet struct {
	clock
	settings         Settings
	aggregatorEvents *eventqueue.Queue[aggregator.Event]
	logger           *zap.Logger
	counters         *counters.Set
	events           *eventqueue.Queue[event]

	admission admission    // what traffic's goroutines read
	calls     callObserver // only the aggregator's goroutine uses it

	// What follows belongs to the goroutine of Run.
	now           float64
	peers         []membership.Name // all other nodes
	strictHash    uint64
	transport     *udptransport.Transport // nil before it is open, and once it is released
	store         *aggregatorstore.Log    // nil where nothing is stored, and while it is closed
	stored        aggregatorstore.LogContents
	sealer        *sealedmessage.Sealer
	detector      *failuredetector.Detector // nil before address and directory are open, and once they are released
	voter         voter
	quotaClient   *quota.Client
	contractLease *residency.Lease
	tables        clusterTables
	granters      granterClient
	leadership    leadership
	outliers      outlierDetection
	commands      commandQueue
	isolated      bool   // as last logged
	openError     string // why address or directory is not open yet, as last logged
	// staleNotifiedAt is when a node was last notified that messages of a higher incarnation came under its name.
	staleNotifiedAt map[membership.Name]float64
	// due is when each periodic task runs next.
	due struct{ open, probe, request, gossip, verdicts, fileTables float64 }

	released    chan struct{}
	stopping    chan struct{}
	stopped     chan struct{}
	releaseOnce sync.Once
}

// New makes a node's Fleet; Run starts it. The node gets neither tokens nor minimums, and confirms no contract, until its
// directory and its address are open: the process before this one may still hold them. The error is a ValidationError for
// each setting that is wrong, joined.
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
		granters:         granterClient{voters: settings.Membership.Voters()},
		leadership:       newLeadership(&settings),
		outliers:         outlierDetection{self: settings.Self, verdictAt: map[outlier.Backend]float64{}},
		staleNotifiedAt:  map[membership.Name]float64{},
		released:         make(chan struct{}),
		stopping:         make(chan struct{}),
		stopped:          make(chan struct{}),
	}
	f.tables.contracts = f.initialContracts()
	f.publish()
	f.open()
	return f, nil
}

// Release gives up address and directory, and stops talking to other nodes, so that the next process of this node may start.
// The tokens and contracts that this one has stay valid until they expire; its minimums end, as they are the next one's. It
// returns once all that is done, or the Fleet has stopped.
func (f *Fleet) Release() {
	f.releaseOnce.Do(func() { f.events.Put(event{kind: releaseRequested}) })
	select {
	case <-f.released:
	case <-f.stopped:
	}
}

// Stop ends Run, and returns once it has ended. It may be called once.
func (f *Fleet) Stop() {
	close(f.stopping)
	<-f.stopped
}

// clock reads Unix seconds off the monotonic clock, so that a step of the wall clock changes no time-out.
type clock struct {
	startedAt time.Time
	startUnix float64
}

func newClock(now time.Time) clock {
	return clock{startedAt: now, startUnix: float64(now.UnixNano()) / 1e9}
}

// Now is the time in Unix seconds.
func (c *clock) Now() float64 { return c.seconds(time.Now()) }

func (c *clock) seconds(t time.Time) float64 { return c.startUnix + t.Sub(c.startedAt).Seconds() }
