package manager

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/queueowner"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	errNotLeader       = errors.New("this mixer does not lead the group")
	errInvalidJobID    = errors.New("job ID: want 16 hexadecimal digits")
	errLeadershipEnded = errors.New("the leadership ended before the request was durable")
	errTooManyUnknown  = errors.New("too many cancellations of unknown jobs are remembered")
)

// Config configures a Manager.
type Config struct {
	Settings scheduler.Settings
	HTTP     *http.Client // for calls to workers
	// Connections limits the connections that HTTP opens. Nil means no limit.
	Connections *workerclient.Connections
	Log         *zap.Logger
	// Queues tells which service each queue belongs to. Nil means that each group may act for any queue.
	Queues QueueSource
	// Caller calls the leaders of other groups, which Leaders returns by group. Both are needed only with Queues.
	Caller  transport.Caller
	Leaders func() map[string]feed.Leader
}

// Manager implements replication.Handler. It runs a scheduler for each group that this node leads.
type Manager struct {
	config             Config
	mu                 sync.Mutex
	leaderships        map[string]*leadership                          // by group
	inventory          []workerclient.Instance                         // the newest complete list
	inventoryComplete  bool                                            // whether a complete list has been read since this node last began to lead
	inventoryPages     map[workerclient.WorkerID]workerclient.Instance // from the pages read before that list, and from an earlier list
	leadershipsChanged chan struct{}                                   // closed at the next change of leaderships
	vacancies          queueowner.Vacancies
}

// New creates a Manager that leads no group.
func New(config Config) *Manager {
	return &Manager{config: config, leaderships: map[string]*leadership{}, inventoryPages: map[workerclient.WorkerID]workerclient.Instance{}, leadershipsChanged: make(chan struct{})}
}

// Elected implements replication.Handler. It starts a leadership of the group. It resigns the term if the group's state
// cannot be decoded.
func (m *Manager) Elected(term *replication.Term, state map[string][]byte) {
	leadership, err := newLeadership(m.config, term, state)
	if err != nil {
		m.config.Log.Error("state of the group cannot be read, resigning", zap.String("group", term.Group()), zap.Error(err))
		term.Resign()
		return
	}
	m.mu.Lock()
	m.leaderships[term.Group()] = leadership
	instances, inventoryComplete := m.inventory, m.inventoryComplete
	if !inventoryComplete {
		instances = slices.Collect(maps.Values(m.inventoryPages))
	}
	m.notifyLeadershipsChanged()
	m.mu.Unlock()
	serviceWorkers := serviceInstances(instances, term.Group())
	m.config.Log.Info("leading", zap.String("group", term.Group()), zap.Uint64("term", term.Number()))
	if inventoryComplete {
		leadership.setInventory(serviceWorkers)
	} else if len(serviceWorkers) > 0 {
		leadership.addInventoryPage(serviceWorkers)
	}
	go leadership.loop()
}

// Deposed implements replication.Handler. It ends the leadership that belongs to the term, if there is one.
func (m *Manager) Deposed(term *replication.Term) {
	m.mu.Lock()
	leadership := m.leaderships[term.Group()]
	if leadership == nil || leadership.term != term {
		m.mu.Unlock()
		return
	}
	delete(m.leaderships, term.Group())
	if len(m.leaderships) == 0 {
		m.markInventoryIncomplete()
	}
	m.notifyLeadershipsChanged()
	m.mu.Unlock()
	leadership.close()
	m.config.Log.Info("no longer leading", zap.String("group", term.Group()), zap.Uint64("term", term.Number()))
}

// markInventoryIncomplete turns the list of workers into pages of a list that has not been read completely, as the list is read only
// while this node leads a group. The caller must hold m.mu.
func (m *Manager) markInventoryIncomplete() {
	if !m.inventoryComplete {
		return
	}
	m.inventoryPages = make(map[workerclient.WorkerID]workerclient.Instance, len(m.inventory))
	for _, instance := range m.inventory {
		m.inventoryPages[instance.ID] = instance
	}
	m.inventory, m.inventoryComplete = nil, false
}

// notifyLeadershipsChanged wakes the callers of Leading that wait for a change. The caller must hold m.mu.
func (m *Manager) notifyLeadershipsChanged() {
	close(m.leadershipsChanged)
	m.leadershipsChanged = make(chan struct{})
}

// Leading reports whether this node leads any group. The returned channel is closed at the next change of leaderships.
func (m *Manager) Leading() (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaderships) > 0, m.leadershipsChanged
}

// AddInventoryPage adds the workers on one page of the platform's list while the list is still being read. A leadership
// can use them before the whole of a long list has been read.
func (m *Manager) AddInventoryPage(instances []workerclient.Instance) {
	m.mu.Lock()
	if !m.inventoryComplete {
		for _, instance := range instances {
			m.inventoryPages[instance.ID] = instance
		}
	}
	leaderships := slices.Collect(maps.Values(m.leaderships))
	m.mu.Unlock()
	for _, leadership := range leaderships {
		if serviceWorkers := serviceInstances(instances, leadership.term.Group()); len(serviceWorkers) > 0 {
			leadership.addInventoryPage(serviceWorkers)
		}
	}
}

// SetInventory replaces the known workers by a complete list from the platform.
func (m *Manager) SetInventory(instances []workerclient.Instance) {
	m.mu.Lock()
	m.inventory, m.inventoryComplete, m.inventoryPages = instances, true, nil
	leaderships := slices.Collect(maps.Values(m.leaderships))
	m.mu.Unlock()
	for _, leadership := range leaderships {
		leadership.setInventory(serviceInstances(instances, leadership.term.Group()))
	}
}

// serviceInstances returns the instances that belong to a group's service.
func serviceInstances(instances []workerclient.Instance, group string) []workerclient.Instance {
	var serviceWorkers []workerclient.Instance
	for _, instance := range instances {
		if feed.GroupOf(instance.Service) == group {
			serviceWorkers = append(serviceWorkers, instance)
		}
	}
	return serviceWorkers
}

// Serve registers the internal calls by which clients submit, cancel and query jobs.
func (m *Manager) Serve(mux *transport.Mux) {
	transport.Handle(mux, jobapi.SubmitCall, m.submit)
	transport.Handle(mux, jobapi.StatusCall, m.status)
	transport.Handle(mux, jobapi.CancelCall, m.cancel)
	transport.Handle(mux, jobapi.PendingCall, m.pending)
	transport.Handle(mux, jobapi.HandedOverCall, m.handedOver)
	transport.Handle(mux, jobapi.ReleaseCall, m.releaseQueues)
}

// leadershipOf returns the leadership of a group. If this node does not hold a valid leader lease, the error says that the
// request was certainly not executed.
func (m *Manager) leadershipOf(group string) (*leadership, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leadership := m.leaderships[group]
	if leadership == nil || !leadership.term.Valid() {
		return nil, rpcerror.WrapNotExecuted(errNotLeader, 0)
	}
	return leadership, nil
}

func (m *Manager) submit(ctx context.Context, request jobapi.SubmitRequest) (reply jobapi.SubmitReply, err error) {
	if !request.ID.Valid() {
		return reply, rpcerror.WrapNotExecuted(errInvalidJobID, 0)
	}
	if err := request.Specification.Validate(); err != nil {
		return reply, rpcerror.WrapNotExecuted(err, 0)
	}
	call := jobCall{group: request.Group, queue: request.Queue.Key, id: request.ID, version: request.Version, operation: jobapi.SubmitOperation}
	_, err = m.execute(ctx, call, func(now scheduler.Now, l *leadership) {
		l.traceSubmit(&request)
		reply.IDTaken = !l.scheduler.Submit(now, &request)
	})
	return reply, err
}

// cancel cancels a job. The cancellation of a job that no group knows is remembered before it is answered, because the job's submission may
// still be on its way. The exception are calls of older builds and of operators, which do not name a queue.
func (m *Manager) cancel(ctx context.Context, request jobapi.CancelRequest) (reply jobapi.CancelReply, err error) {
	tooMany := false
	call := jobCall{group: request.Group, queue: request.Queue, id: request.ID, version: request.Version, operation: jobapi.CancelOperation}
	elsewhere, err := m.execute(ctx, call, func(now scheduler.Now, l *leadership) {
		switch {
		case l.scheduler.Knows(request.Queue, request.ID):
			reply.Known = l.scheduler.Cancel(now, request.ID)
			reply.State, _ = l.scheduler.Status(request.ID)
		case request.Queue != queuekey.Unknown:
			tooMany = !l.scheduler.CancelEarly(now, request.Queue, request.ID)
		}
	})
	if err == nil && tooMany {
		return reply, rpcerror.WrapNotExecuted(errTooManyUnknown, 0)
	}
	if elsewhere != nil {
		reply.Known, reply.State = elsewhere.Known, elsewhere.State
	}
	reply.NoSuchJob = err == nil && !reply.Known && request.Queue != queuekey.Unknown
	return reply, err
}

func (m *Manager) status(ctx context.Context, request jobapi.StatusRequest) (reply jobapi.StatusReply, err error) {
	call := jobCall{group: request.Group, queue: request.Queue, id: request.ID, version: request.Version, operation: jobapi.ReadOperation}
	elsewhere, err := m.execute(ctx, call, func(_ scheduler.Now, l *leadership) {
		if l.scheduler.Knows(request.Queue, request.ID) {
			reply.State, reply.Known = l.scheduler.Status(request.ID)
		}
	})
	if elsewhere != nil {
		reply.Known, reply.State = elsewhere.Known, elsewhere.State
	}
	reply.NoSuchJob = err == nil && !reply.Known && request.Queue != queuekey.Unknown
	return reply, err
}

// pending returns the number of pending jobs of a queue, also of those in groups that had the queue before. An older configuration than that
// of the caller, or than what the group has released, may lack some of these groups.
func (m *Manager) pending(ctx context.Context, request jobapi.PendingRequest) (reply jobapi.PendingReply, err error) {
	needed := request.Version
	err = m.readUncommitted(request.Group, func(_ scheduler.Now, s *scheduler.Scheduler) { needed = max(needed, s.MinConfigurationVersion()) })
	if err != nil {
		return reply, err
	}
	if err := m.awaitConfiguration(ctx, needed); err != nil {
		return reply, err
	}
	var others []configuration.Tenure
	var since uint64
	err = m.readUncommitted(request.Group, func(_ scheduler.Now, s *scheduler.Scheduler) {
		reply.Count = s.PendingJobs(request.Queue, request.Route)
		if m.config.Queues != nil && request.Queue != queuekey.Unknown {
			queues, service := m.config.Queues.Queues(), feed.ServiceOf(request.Group)
			latest, _ := queues.Latest(request.Queue, service)
			others, since = m.withoutVacant(request.Queue, queues.Others(request.Queue, service)), latest.Since
		}
	})
	if err != nil || len(others) == 0 {
		return reply, err
	}
	elsewhere, err := m.askOthers(ctx, jobCall{group: request.Group, queue: request.Queue}, since, others)
	reply.Count += elsewhere.Pending
	return reply, err
}

// Stop ends all leaderships on this node. It leaves it to package replication to resign their terms.
func (m *Manager) Stop() {
	m.mu.Lock()
	leaderships := m.leaderships
	m.leaderships = map[string]*leadership{}
	m.notifyLeadershipsChanged()
	m.mu.Unlock()
	for _, leadership := range leaderships {
		leadership.close()
	}
}

// currentTime returns the monotonic and the wall-clock time for the scheduler.
func currentTime() scheduler.Now {
	now := time.Now()
	return scheduler.Now{Monotonic: now, WallMS: now.UnixMilli()}
}
