package manager

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// inventoryRetryDelay is the delay after which a caller may retry a call that failed with errInventoryNotRead.
const inventoryRetryDelay = 500 * time.Millisecond

// errInventoryNotRead is the error for an unknown worker while the platform's list of workers has not been read completely.
// Its text is sent over the network.
var errInventoryNotRead = errors.New("the list of searchers has not been read yet")

// ServeOperatorCalls registers the internal calls by which operators read the state of the groups that this node leads and
// drain workers.
func (m *Manager) ServeOperatorCalls(mux *transport.Mux) {
	transport.Handle(mux, jobreport.SummaryCall, m.summary)
	transport.Handle(mux, jobreport.WorkersCall, m.workers)
	transport.Handle(mux, jobreport.JobsCall, m.jobs)
	transport.Handle(mux, jobreport.JobCall, m.job)
	transport.Handle(mux, jobreport.ExplainCall, m.explain)
	transport.Handle(mux, jobreport.DrainCall, m.drain)
}

// schedulerReadFunc reads a scheduler and must not change it. It is called with the leadership's lock held.
type schedulerReadFunc func(now scheduler.Now, s *scheduler.Scheduler)

// readCommitted reads the scheduler of a group. It returns once the state that was read is durable, and it is certain that no
// other leader had been elected at that time. This is needed because an operator's change may be rejected based on the result.
func (m *Manager) readCommitted(ctx context.Context, group string, inspect schedulerReadFunc) error {
	leadership, err := m.leadershipOf(group)
	if err != nil {
		return err
	}
	return leadership.commit(ctx, func(now scheduler.Now) { inspect(now, leadership.scheduler) })
}

// readUncommitted reads counts from the scheduler of a group. They may include state that is not durable yet. The lease is
// checked again after the read, because the process may have been paused and another leader may have different counts.
func (m *Manager) readUncommitted(group string, inspect schedulerReadFunc) error {
	leadership, err := m.leadershipOf(group)
	if err != nil {
		return err
	}
	leadership.mu.Lock()
	defer leadership.mu.Unlock()
	inspect(currentTime(), leadership.scheduler)
	if !leadership.term.Valid() {
		return rpcerror.WrapNotExecuted(errNotLeader, 0)
	}
	return nil
}

// Summaries returns the summaries of the groups that this node leads, by group. They may include state that is not durable
// yet. A group whose leadership was just lost is omitted.
func (m *Manager) Summaries() map[string]jobreport.Summary {
	summaries := map[string]jobreport.Summary{}
	for _, group := range m.ledGroups() {
		_ = m.readUncommitted(group, func(_ scheduler.Now, s *scheduler.Scheduler) {
			summaries[group] = s.Summary()
		})
	}
	return summaries
}

// ledGroups returns the names of the groups that this node leads.
func (m *Manager) ledGroups() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := make([]string, 0, len(m.leaderships))
	for group := range m.leaderships {
		groups = append(groups, group)
	}
	return groups
}

func (m *Manager) summary(ctx context.Context, request jobreport.SummaryRequest) (reply jobreport.SummaryReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(_ scheduler.Now, s *scheduler.Scheduler) { reply.Summary = s.Summary() })
	return reply, err
}

func (m *Manager) workers(ctx context.Context, request jobreport.WorkersRequest) (reply jobreport.WorkersReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, s *scheduler.Scheduler) { reply.Workers = s.Workers(now) })
	return reply, err
}

func (m *Manager) jobs(ctx context.Context, request jobreport.JobsRequest) (reply jobreport.JobsReply, err error) {
	limit := min(max(1, request.Limit), jobreport.MaxJobLimit)
	err = m.readCommitted(ctx, request.Group, func(_ scheduler.Now, s *scheduler.Scheduler) {
		reply.Jobs, reply.Total = s.Jobs(request.State, limit)
	})
	return reply, err
}

func (m *Manager) job(ctx context.Context, request jobreport.JobRequest) (reply jobreport.JobReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, s *scheduler.Scheduler) {
		reply.Job, reply.Known = s.Job(now, request.ID)
	})
	return reply, err
}

func (m *Manager) explain(ctx context.Context, request jobreport.ExplainRequest) (reply jobreport.ExplainReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, s *scheduler.Scheduler) {
		reply.Explanation, reply.Known = s.Explain(now, request.ID)
	})
	return reply, err
}

// hasCompleteInventory reports whether this node has read a complete list of workers.
func (m *Manager) hasCompleteInventory() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inventoryComplete
}

// drainReport returns the report on a worker after a change of its drain. If the scheduler does not know the worker, the report
// has only the drain's state: a worker that was drained under an earlier leadership may not have been listed yet. The
// caller must hold l.mu.
func (l *leadership) drainReport(now scheduler.Now, id workerclient.WorkerID) jobreport.Worker {
	report, known := l.scheduler.Worker(now, id)
	if !known {
		return jobreport.Worker{
			ID: string(id), State: jobreport.WorkerUnreachable, OperatorDraining: l.scheduler.IsOperatorDraining(id),
			DrainVersion: l.scheduler.DrainVersion(id),
		}
	}
	return report
}

// changeDrain sets or ends a drain. If the request has a base version, the outcome depends on it. The caller must hold l.mu.
func (l *leadership) changeDrain(now scheduler.Now, request jobreport.DrainRequest) (known bool, outcome jobreport.DrainOutcome) {
	id := workerclient.WorkerID(request.Worker)
	if request.BaseVersion == nil {
		return l.scheduler.SetOperatorDrain(now, id, request.Draining), jobreport.DrainApplied
	}
	outcome = l.scheduler.ChangeOperatorDrain(now, id, scheduler.DrainChange{Draining: request.Draining, BaseVersion: *request.BaseVersion})
	return outcome != jobreport.DrainWorkerUnknown, outcome
}

// drain sets or ends an operator's drain. It replies once the change is durable.
func (m *Manager) drain(ctx context.Context, request jobreport.DrainRequest) (reply jobreport.DrainReply, err error) {
	leadership, err := m.leadershipOf(request.Group)
	if err != nil {
		return reply, err
	}
	id := workerclient.WorkerID(request.Worker)
	err = leadership.commit(ctx, func(now scheduler.Now) {
		reply.Known, reply.Outcome = leadership.changeDrain(now, request)
		reply.Worker = leadership.drainReport(now, id)
	})
	if err == nil && !reply.Known && !m.hasCompleteInventory() {
		return reply, rpcerror.WrapNotExecuted(errInventoryNotRead, inventoryRetryDelay)
	}
	if err == nil && reply.Known {
		m.config.Log.Info("operator changed drain", zap.String("group", request.Group), zap.String("worker_id", request.Worker),
			zap.Bool("draining", request.Draining), zap.Uint64("version", reply.Worker.DrainVersion),
			zap.Bool("taken", reply.Outcome == jobreport.DrainApplied))
	}
	return reply, err
}
