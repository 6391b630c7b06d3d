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
	messagesPerTurn = 256 // or a flood would hold up what is due

	turn        = 50 * time.Millisecond // of the control goroutine, where nothing comes sooner
	askEvery    = 0.2                   // a lease is renewed some twenty times while it lasts
	askSoonest  = 0.02                  // where a query found no token
	readEvery   = 0.2                   // whether we still lead
	reportEvery = 1.0
	passEvery   = 0.25
	introEvery  = 0.25
	nonceFor    = 5.0 // a message and its answer, with links of 2 s
	answerWait  = 0.6 // for the granter's answer, before another voter is asked who grants
	commandWait = 10.0
	muteFor     = 5.0  // a voter whose directory took nothing
	reopenEvery = 0.25 // where another process still has our address or directory
	mostReports = 2    // in a message: a datagram's worth
	// Shares of the settings' lease: how long a confirmed granter may act on that, and how long tokens and contracts last.
	// With both, the clocks' slack and an election of 2 s the next granter is ready within a lease of 8 s or more.
	authorityShare, tokenShare, contractShare = 0.15, 0.4, 0.5
	// LeastLease is the shortest lease for which that holds.
	LeastLease = 8.0
)

// out is an asking on its way.
type out struct {
	no uint64
	at float64
	to membership.Name
}

// Fleet is the actor.
type Fleet struct {
	set   Settings
	tell  *eventqueue.Queue[aggregator.Event]
	log   *zap.Logger
	count *counters.Set
	in    *eventqueue.Queue[note]
	start time.Time
	unix  float64

	// What traffic reads.
	view atomic.Pointer[view]
	sure atomic.Uint64 // until when contracts are sure, as bits of a float
	// What the module's actor alone uses.
	observed *outlier.Observed
	cutAt    float64

	// What follows belongs to the goroutine of control state.
	now        float64
	others     []membership.Name
	strictHash uint64
	sockets    *udptransport.Sockets
	store      *aggregatorstore.Log
	stored     aggregatorstore.LogContents
	sealer     *sealedmessage.Sealer
	members    *failuredetector.Machine
	council    *consensus.Machine // nil where this one does not vote
	saving     bool               // the council's work waits for the disk
	failed     bool               // the directory took nothing: no vote any more
	holder     *quota.Holder
	granter    *quota.Granter
	spread     *residency.Spread
	outliers   *outlier.Store
	lease      *residency.Lease
	table      *residency.Table
	quotas     map[quota.Tenant]quota.Quota
	has        versions
	holds      residency.Version
	leader     membership.Name // who is asked
	answeredAt float64
	asked      []out
	askNo      uint64
	reads      map[consensus.ReadNo]float64
	readNo     consensus.ReadNo
	sureTo     float64 // until when we lead for sure
	granted    bool    // we began to grant
	term       uint64
	nonce      uint64
	heard      bool                                        // the council was heard, in this process or before
	quotaOf    map[membership.Name]consensus.QuotasVersion // whose floors they go by
	floorsAt   consensus.QuotasVersion                     // the same of us
	quiet      float64                                     // until when one that led before may hand out older tables
	unlike     map[membership.Name]bool                    // their file refuses other tenants where contracts are not sure
	version    outlier.Version
	judged     map[outlier.Backend]float64
	holders    outlier.Holders
	trouble    map[membership.Name]float64 // when a node was last told of its incarnation
	waiting    []*command
	deaf       bool
	opening    string // why it is not open yet, as logged
	due        struct{ council, ask, read, report, pass, intro, open, members, file, nonce, again float64 }

	released chan struct{}
	stopping chan struct{}
	stopped  chan struct{}
	once     sync.Once
}

// New makes the actor. Until its directory and address are open, and another process may hold both, it knows no contract
// for sure and has neither tokens nor floors.
func New(set Settings, tell *eventqueue.Queue[aggregator.Event], log *zap.Logger, count *counters.Set) (*Fleet, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	now := time.Now()
	f := &Fleet{set: set, tell: tell, log: log, count: count, in: eventqueue.New[note](), start: now, unix: float64(now.UnixNano()) / 1e9,
		observed: outlier.NewObserved(), others: set.Roster.Others(set.Self), granter: quota.NewGranter(set.Lease * tokenShare),
		lease: residency.NewLease(set.Lease*contractShare, set.Longest), reads: map[consensus.ReadNo]float64{}, trouble: map[membership.Name]float64{},
		judged: map[outlier.Backend]float64{}, quotaOf: map[membership.Name]consensus.QuotasVersion{}, unlike: map[membership.Name]bool{}, strictHash: set.strictHash(),
		released: make(chan struct{}), stopping: make(chan struct{}), stopped: make(chan struct{})}
	f.now = f.Now()
	f.holder = quota.NewHolder(set.Lease*tokenShare, len(set.Roster.Members))
	var names []membership.Name
	for _, m := range set.Roster.Members {
		names = append(names, m.Name)
	}
	f.spread = residency.NewSpread(set.Lease*contractShare, names)
	f.table = f.emptyTable()
	f.publish()
	f.open()
	return f, nil
}

// Now is the clock in Unix seconds, by its monotonic reading since the start.
func (f *Fleet) Now() float64 { return f.seconds(time.Now()) }

func (f *Fleet) seconds(t time.Time) float64 { return f.unix + t.Sub(f.start).Seconds() }

// open opens directory and address, where that was not done. The process before this one lets go of both as it begins to
// stop.
func (f *Fleet) open() {
	err := f.tryOpen()
	if err == nil {
		if f.opening != "" {
			f.log.Info("fleet: address and directory are ours")
		}
		f.opening = ""
		return
	}
	f.due.open = f.now + reopenEvery
	if text := err.Error(); text != f.opening {
		f.opening = text
		f.log.Error("fleet: not open, no floors and no leases until it is", zap.String("text", text))
	}
}

func (f *Fleet) tryOpen() (err error) {
	if f.set.Directory != "" && f.store == nil {
		if f.store, f.stored, err = aggregatorstore.OpenLog(f.set.Directory, 0, f.log); err != nil {
			return err
		}
	}
	if f.sockets == nil {
		addresses := map[membership.Name]string{}
		for _, name := range f.others {
			addresses[name] = f.set.Roster.Find(name).Address
		}
		if f.sockets, err = udptransport.Listen(f.set.Roster.Find(f.set.Self).Address, addresses, f.count); err != nil {
			return err
		}
	}
	return f.begin()
}

// begin makes the machines from what was kept.
func (f *Fleet) begin() (err error) {
	incarnation := sealedmessage.Incarnation(f.unix * 1e9)
	kept := f.readTables()
	incarnation = max(incarnation, kept.Incarnation+1)
	lim := sealedmessage.Limits{BytesPerS: mostBytes, Burst: 2 * sealedmessage.MostLong}
	if f.sealer, err = sealedmessage.New(f.set.Self, incarnation, f.set.Key, f.others, lim); err != nil {
		return err
	}
	f.members = failuredetector.New(failuredetector.Defaults(), f.set.Self, failuredetector.Incarnation(incarnation), f.others, f.set.Seed, f.now)
	f.outliers = outlier.NewStore(f.set.Self, f.others, f.set.Seed^0x5bd1e995)
	f.version = outlier.Version(incarnation)
	if kept.Table != nil {
		f.table, f.has.Contracts = kept.Table, kept.Table.Version
	}
	// The file's quotas are the council's to hear: a floor counts only once all others know that it is this node's.
	f.quotas, f.has.Quotas = kept.Quotas, kept.QuotasAt
	f.saveTables()
	if f.set.Roster.Find(f.set.Self).Votes {
		if err := f.seat(&f.stored); err != nil { // the node takes part all the same, but for its vote
			f.mute(err)
		}
	}
	f.stored = aggregatorstore.LogContents{ID: f.stored.ID}
	f.publish()
	f.rezone()
	return nil
}

// Release lets go of address and directory, and ends all talk: another process of this node may begin. What tokens and
// contracts this one has it keeps until they run out, but no floors, which are the other's from now on.
func (f *Fleet) Release() {
	f.once.Do(func() { f.in.Put(note{kind: released}) })
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
	if f.sockets != nil {
		f.sockets.Close()
		f.sockets = nil
	}
	if f.store != nil {
		f.store.Stop()
		f.store = nil
	}
	f.refuseAll("the mixer stops")
}

func (f *Fleet) isReleased() bool {
	select {
	case <-f.released:
		return true
	default:
		return false
	}
}

// mostBytes a second that one other node may send us: some hundred askings, and a table of contracts now and then.
const mostBytes = 512 << 10
