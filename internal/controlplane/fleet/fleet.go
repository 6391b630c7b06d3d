// Package fleet lets the nodes of a fleet act together: quotas of tenants, contracts on zones, and what they tell each
// other of backends. One goroutine owns all control state and runs the pure modules below this package; traffic reads
// a view through an atomic pointer and never waits for it, let alone for another node. With the operator's file silent
// none of it exists.
//
// docs/fleet-design.md has the promises and what they rest on.
package fleet

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
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

const (
	maxMessagesPerTurn = 256 // or a flood would hold up what is due

	turnInterval          = 50 * time.Millisecond // of the control goroutine, where nothing comes sooner
	requestInterval       = 0.2                   // a lease is renewed some twenty times while it lasts
	urgentRequestInterval = 0.02                  // where a query found no token
	readIndexInterval     = 0.2                   // whether we still lead
	reportInterval        = 1.0
	gossipInterval        = 0.25
	introductionInterval  = 0.25
	nonceLifetime         = 5.0 // a message and its answer, with links of 2 s
	responseTimeout       = 0.6 // for the granter's answer, before another voter is asked who grants
	commandTimeout        = 10.0
	voterRestartDelay     = 5.0  // a voter whose directory took nothing
	reopenInterval        = 0.25 // where another process still has our address or directory
	maxReportsPerMessage  = 2    // in a message: a datagram's worth
	// Shares of the settings' lease: how long a confirmed granter may act on that, and how long tokens and contracts last.
	// With both, the clocks' slack and an election of 2 s the next granter is ready within a lease of 8 s or more.
	authorityShare, tokenShare, contractShare = 0.15, 0.4, 0.5
	// MinLease is the shortest lease for which that holds.
	MinLease = 8.0
)

// pendingRequest is an asking on its way.
type pendingRequest struct {
	number  uint64
	sentAt  float64
	granter membership.Name
}

// Fleet is the actor.
type Fleet struct {
	settings         Settings
	aggregatorEvents *eventqueue.Queue[aggregator.Event]
	logger           *zap.Logger
	counters         *counters.Set
	events           *eventqueue.Queue[event]
	startedAt        time.Time
	startUnix        float64

	// What traffic reads.
	view                    atomic.Pointer[trafficView]
	contractsConfirmedUntil atomic.Uint64 // until when contracts are sure, as bits of a float
	// What the module's actor alone uses.
	observed           *outlier.Observer
	observationsSentAt float64

	// What follows belongs to the goroutine of control state.
	now                      float64
	peers                    []membership.Name
	strictHash               uint64
	transport                *udptransport.Transport
	store                    *aggregatorstore.Log
	stored                   aggregatorstore.LogContents
	sealer                   *sealedmessage.Sealer
	detector                 *failuredetector.Machine
	consensus                *consensus.Machine // nil where this one does not vote
	saving                   bool               // the consensus's work waits for the disk
	steppedOut               bool               // the directory took nothing: no vote any more
	quotaClient              *quota.Client
	granter                  *quota.Granter
	rollout                  *residency.Rollout
	reports                  *outlier.Store
	contractLease            *residency.Lease
	contracts                *residency.Table
	quotas                   map[quota.Tenant]quota.Quota
	versions                 tableVersions
	appliedContracts         residency.Version
	leader                   membership.Name // who is asked
	leaderSeenAt             float64
	pendingRequests          []pendingRequest
	requestNumber            uint64
	pendingReads             map[consensus.ReadNumber]float64
	readNumber               consensus.ReadNumber
	leadershipConfirmedUntil float64 // until when we lead for sure
	granting                 bool    // we began to grant
	term                     uint64
	nonce                    uint64
	tablesReceived           bool                                        // the consensus was heard, in this process or before
	minimumsAppliedBy        map[membership.Name]consensus.QuotasVersion // whose minimums they go by
	minimumsVersion          consensus.QuotasVersion                     // the same of us
	previousLeaderUntil      float64                                     // until when one that led before may hand out older tables
	differsInStrict          map[membership.Name]bool                    // their file refuses other tenants where contracts are not sure
	reportVersion            outlier.Version
	verdictAt                map[outlier.Backend]float64
	shardReplicas            outlier.ShardReplicas
	staleNotifiedAt          map[membership.Name]float64 // when a node was last told of its incarnation
	pendingCommands          []*pendingCommand
	isolated                 bool
	openError                string // why it is not open yet, as logged
	due                      struct{ consensus, requestGrants, read, report, gossipReports, intro, open, detector, file, nonce, again float64 }

	released    chan struct{}
	stopping    chan struct{}
	stopped     chan struct{}
	releaseOnce sync.Once
}

// New makes the actor. Until its directory and address are open, and another process may hold both, it knows no contract
// for sure and has neither tokens nor minimums.
func New(set Settings, tell *eventqueue.Queue[aggregator.Event], log *zap.Logger, count *counters.Set) (*Fleet, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	now := time.Now()
	f := &Fleet{settings: set, aggregatorEvents: tell, logger: log, counters: count, events: eventqueue.New[event](), startedAt: now, startUnix: float64(now.UnixNano()) / 1e9,
		observed: outlier.NewObserver(), peers: set.Membership.Others(set.Self), granter: quota.NewGranter(set.Lease * tokenShare),
		contractLease: residency.NewLease(set.Lease*contractShare, set.MaxDeadline), pendingReads: map[consensus.ReadNumber]float64{}, staleNotifiedAt: map[membership.Name]float64{},
		verdictAt: map[outlier.Backend]float64{}, minimumsAppliedBy: map[membership.Name]consensus.QuotasVersion{}, differsInStrict: map[membership.Name]bool{}, strictHash: set.strictHash(),
		released: make(chan struct{}), stopping: make(chan struct{}), stopped: make(chan struct{})}
	f.now = f.Now()
	f.quotaClient = quota.NewClient(set.Lease*tokenShare, len(set.Membership.Members))
	var names []membership.Name
	for _, m := range set.Membership.Members {
		names = append(names, m.Name)
	}
	f.rollout = residency.NewRollout(set.Lease*contractShare, names)
	f.contracts = f.emptyTable()
	f.publish()
	f.open()
	return f, nil
}

// Now is the clock in Unix seconds, by its monotonic reading since the start.
func (f *Fleet) Now() float64 { return f.seconds(time.Now()) }

func (f *Fleet) seconds(t time.Time) float64 { return f.startUnix + t.Sub(f.startedAt).Seconds() }

// open opens directory and address, where that was not done. The process before this one lets go of both as it begins to
// stop.
func (f *Fleet) open() {
	err := f.openAll()
	if err == nil {
		if f.openError != "" {
			f.logger.Info("fleet: address and directory are ours")
		}
		f.openError = ""
		return
	}
	f.due.open = f.now + reopenInterval
	if text := err.Error(); text != f.openError {
		f.openError = text
		f.logger.Error("fleet: not open, no floors and no leases until it is", zap.String("text", text))
	}
}

func (f *Fleet) openAll() (err error) {
	if f.settings.Directory != "" && f.store == nil {
		if f.store, f.stored, err = aggregatorstore.OpenLog(f.settings.Directory, 0, f.logger); err != nil {
			return err
		}
	}
	if f.transport == nil {
		addresses := map[membership.Name]string{}
		for _, name := range f.peers {
			addresses[name] = f.settings.Membership.Find(name).Address
		}
		if f.transport, err = udptransport.Listen(f.settings.Membership.Find(f.settings.Self).Address, addresses, f.counters); err != nil {
			return err
		}
	}
	return f.startMachines()
}

// startMachines makes the machines from what was kept.
func (f *Fleet) startMachines() (err error) {
	incarnation := sealedmessage.Incarnation(f.startUnix * 1e9)
	kept := f.readTables()
	incarnation = max(incarnation, kept.Incarnation+1)
	lim := sealedmessage.Limits{BytesPerS: maxPeerBytesPerSecond, Burst: 2 * sealedmessage.MaxBytes}
	if f.sealer, err = sealedmessage.New(f.settings.Self, incarnation, f.settings.Key, f.peers, lim); err != nil {
		return err
	}
	f.detector = failuredetector.New(failuredetector.Defaults(), f.settings.Self, failuredetector.Incarnation(incarnation), f.peers, f.settings.Seed, f.now)
	f.reports = outlier.NewStore(f.settings.Self, f.peers, f.settings.Seed^0x5bd1e995)
	f.reportVersion = outlier.Version(incarnation)
	if kept.Table != nil {
		f.contracts, f.versions.Contracts = kept.Table, kept.Table.Version
	}
	// The file's quotas are the consensus's to hear: a minimum counts only once all others know that it is this node's.
	f.quotas, f.versions.Quotas = kept.Quotas, kept.QuotasAt
	f.saveTables()
	if f.settings.Membership.Find(f.settings.Self).Votes {
		if err := f.startVoter(&f.stored); err != nil { // the node takes part all the same, but for its vote
			f.stepOut(err)
		}
	}
	f.stored = aggregatorstore.LogContents{ID: f.stored.ID}
	f.publish()
	f.publishZones()
	return nil
}

// Release lets go of address and directory, and ends all talk: another process of this node may begin. What tokens and
// contracts this one has it keeps until they run out, but no minimums, which are the other's from now on.
func (f *Fleet) Release() {
	f.releaseOnce.Do(func() { f.events.Put(event{kind: releaseRequested}) })
	select {
	case <-f.released:
	case <-f.stopped:
	}
}

// Stop ends the actor.
func (f *Fleet) Stop() {
	close(f.stopping)
	<-f.stopped
}

func (f *Fleet) close() {
	if f.transport != nil {
		f.transport.Close()
		f.transport = nil
	}
	if f.store != nil {
		f.store.Stop()
		f.store = nil
	}
	f.rejectCommands("the mixer stops")
}

func (f *Fleet) isReleased() bool {
	select {
	case <-f.released:
		return true
	default:
		return false
	}
}

// maxPeerBytesPerSecond a second that one other node may send us: some hundred requests, and a table of contracts now and then.
const maxPeerBytesPerSecond = 512 << 10
