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

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var (
	errNotLeader       = errors.New("this mixer does not lead the group")
	errInvalidJobID    = errors.New("job ID: want 16 hexadecimal digits")
	errLeadershipEnded = errors.New("the leadership ended before the request was durable")
)

// Config is what a Manager is made of.
type Config struct {
	Settings scheduler.Settings
	HTTP     *http.Client // for calls to workers
	// Connections is the budget of HTTP's connections; nil for no bound.
	Connections *workerclient.Connections
	Log         *zap.Logger
}

// Manager implements replication.Handler: it runs a scheduler for each group while this node leads it.
type Manager struct {
	config         Config
	mu             sync.Mutex
	leaderships    map[string]*leadership // by group
	inventory      []workerclient.Instance
	inventoryRead  bool                                            // a complete list was read
	inventoryPages map[workerclient.WorkerID]workerclient.Instance // on the pages read before the first complete list
	changed        chan struct{}
}

// New makes a Manager that leads nothing.
func New(config Config) *Manager {
	return &Manager{config: config, leaderships: map[string]*leadership{}, inventoryPages: map[workerclient.WorkerID]workerclient.Instance{}, changed: make(chan struct{})}
}

// Elected implements replication.Handler. It resigns if the group's state cannot be read.
func (m *Manager) Elected(term *replication.Term, state map[string][]byte) {
	leadership, err := newLeadership(m.config, term, state)
	if err != nil {
		m.config.Log.Error("state of the group cannot be read, resigning", zap.String("group", term.Group()), zap.Error(err))
		term.Resign()
		return
	}
	m.mu.Lock()
	m.leaderships[term.Group()] = leadership
	instances, inventoryRead := m.inventory, m.inventoryRead
	if !inventoryRead {
		instances = slices.Collect(maps.Values(m.inventoryPages))
	}
	m.notifyChanged()
	m.mu.Unlock()
	serviceWorkers := serviceInstances(instances, term.Group())
	m.config.Log.Info("leading", zap.String("group", term.Group()), zap.Uint64("term", term.Number()))
	if inventoryRead {
		leadership.setInventory(serviceWorkers)
	} else if len(serviceWorkers) > 0 {
		leadership.addInventoryPage(serviceWorkers)
	}
	go leadership.loop()
}

// Deposed implements replication.Handler.
func (m *Manager) Deposed(term *replication.Term) {
	m.mu.Lock()
	leadership := m.leaderships[term.Group()]
	if leadership == nil || leadership.term != term {
		m.mu.Unlock()
		return
	}
	delete(m.leaderships, term.Group())
	m.notifyChanged()
	m.mu.Unlock()
	leadership.close()
	m.config.Log.Info("no longer leading", zap.String("group", term.Group()), zap.Uint64("term", term.Number()))
}

// notifyChanged wakes the callers of Leading that wait for a change; the lock is held.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Leading tells whether this node leads any group, and returns a channel that is closed at the next change.
func (m *Manager) Leading() (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaderships) > 0, m.changed
}

// AddInventoryPage takes a page of a list of workers that is being read, so that a leadership need not wait for all of a
// long list.
func (m *Manager) AddInventoryPage(instances []workerclient.Instance) {
	m.mu.Lock()
	if !m.inventoryRead {
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

// SetInventory takes a complete list of workers.
func (m *Manager) SetInventory(instances []workerclient.Instance) {
	m.mu.Lock()
	m.inventory, m.inventoryRead, m.inventoryPages = instances, true, nil
	leaderships := slices.Collect(maps.Values(m.leaderships))
	m.mu.Unlock()
	for _, leadership := range leaderships {
		leadership.setInventory(serviceInstances(instances, leadership.term.Group()))
	}
}

// serviceInstances are the instances of a group's service.
func serviceInstances(instances []workerclient.Instance, group string) []workerclient.Instance {
	var serviceWorkers []workerclient.Instance
	for _, instance := range instances {
		if feed.GroupOf(instance.Service) == group {
			serviceWorkers = append(serviceWorkers, instance)
		}
	}
	return serviceWorkers
}

// Serve registers the internal calls on jobs.
func (m *Manager) Serve(mux *transport.Mux) {
	transport.Handle(mux, jobapi.SubmitCall, m.submit)
	transport.Handle(mux, jobapi.StatusCall, m.status)
	transport.Handle(mux, jobapi.CancelCall, m.cancel)
	transport.Handle(mux, jobapi.PendingCall, m.pending)
}

// leadershipOf returns the leadership of a group. Without a leader lease that is valid at present the error says that the
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

func (m *Manager) submit(ctx context.Context, request jobapi.SubmitRequest) (jobapi.SubmitReply, error) {
	if !request.ID.Valid() {
		return jobapi.SubmitReply{}, rpcerror.WrapNotExecuted(errInvalidJobID, 0)
	}
	if err := request.Specification.Validate(); err != nil {
		return jobapi.SubmitReply{}, rpcerror.WrapNotExecuted(err, 0)
	}
	leadership, err := m.leadershipOf(request.Group)
	if err != nil {
		return jobapi.SubmitReply{}, err
	}
	leadership.traceSubmit(&request)
	return jobapi.SubmitReply{}, leadership.commit(ctx, func(now scheduler.Now) { leadership.scheduler.Submit(now, &request) })
}

func (m *Manager) cancel(ctx context.Context, request jobapi.CancelRequest) (reply jobapi.CancelReply, err error) {
	leadership, err := m.leadershipOf(request.Group)
	if err != nil {
		return reply, err
	}
	err = leadership.commit(ctx, func(now scheduler.Now) {
		reply.Known = leadership.scheduler.Cancel(now, request.ID)
		reply.State, _ = leadership.scheduler.Status(request.ID)
	})
	return reply, err
}

func (m *Manager) status(ctx context.Context, request jobapi.StatusRequest) (reply jobapi.StatusReply, err error) {
	leadership, err := m.leadershipOf(request.Group)
	if err != nil {
		return reply, err
	}
	err = leadership.commit(ctx, func(scheduler.Now) { reply.State, reply.Known = leadership.scheduler.Status(request.ID) })
	return reply, err
}

func (m *Manager) pending(_ context.Context, request jobapi.PendingRequest) (reply jobapi.PendingReply, err error) {
	err = m.readCurrent(request.Group, func(_ scheduler.Now, jobs *scheduler.Scheduler) { reply.Count = jobs.PendingJobs(request.Route) })
	return reply, err
}

// Stop ends all leaderships here; replication resigns their terms.
func (m *Manager) Stop() {
	m.mu.Lock()
	leaderships := m.leaderships
	m.leaderships = map[string]*leadership{}
	m.notifyChanged()
	m.mu.Unlock()
	for _, leadership := range leaderships {
		leadership.close()
	}
}

// currentTime reads both clocks for the scheduler.
func currentTime() scheduler.Now {
	now := time.Now()
	return scheduler.Now{Monotonic: now, WallMS: now.UnixMilli()}
}
