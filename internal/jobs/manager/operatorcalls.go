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

// noInventoryRetry is when a call may be sent again to a leader that has not read the platform's list of workers.
const noInventoryRetry = 500 * time.Millisecond

// errNoInventory is the reply about an unknown worker before the platform's list was read. Its text crosses the wire.
var errNoInventory = errors.New("the list of searchers has not been read yet")

// ServeReports registers the internal calls by which operators read the groups that this node leads and drain workers.
func (m *Manager) ServeReports(mux *transport.Mux) {
	transport.Handle(mux, jobreport.SummaryCall, m.summary)
	transport.Handle(mux, jobreport.WorkersCall, m.workers)
	transport.Handle(mux, jobreport.JobsCall, m.jobs)
	transport.Handle(mux, jobreport.JobCall, m.job)
	transport.Handle(mux, jobreport.ExplainCall, m.why)
	transport.Handle(mux, jobreport.DrainCall, m.drain)
}

// schedulerReader only reads a scheduler; the leadership's lock is held.
type schedulerReader func(now scheduler.Now, jobs *scheduler.Scheduler)

// readCommitted reads the scheduler of a group, and returns once what was read is durable and it is certain that no other
// leader had been elected then: an operator's change may be rejected on the strength of it.
func (m *Manager) readCommitted(ctx context.Context, group string, inspect schedulerReader) error {
	leadership, err := m.leadershipOf(group)
	if err != nil {
		return err
	}
	return leadership.commit(ctx, func(now scheduler.Now) { inspect(now, leadership.scheduler) })
}

// readCurrent reads counts, which may not be durable yet. The lease is checked again afterwards: the process may have been
// paused in between, and another leader may have other counts.
func (m *Manager) readCurrent(group string, inspect schedulerReader) error {
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

// Summaries returns the summaries of the groups that this node leads now.
func (m *Manager) Summaries() map[string]jobreport.Summary {
	summaries := map[string]jobreport.Summary{}
	for _, group := range m.ledGroups() {
		_ = m.readCurrent(group, func(_ scheduler.Now, jobs *scheduler.Scheduler) { // a group whose leadership was just lost is left out
			summaries[group] = jobs.Summary()
		})
	}
	return summaries
}

// ledGroups names the groups that this node leads.
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
	err = m.readCommitted(ctx, request.Group, func(_ scheduler.Now, jobs *scheduler.Scheduler) { reply.Summary = jobs.Summary() })
	return reply, err
}

func (m *Manager) workers(ctx context.Context, request jobreport.WorkersRequest) (reply jobreport.WorkersReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) { reply.Workers = jobs.Workers(now) })
	return reply, err
}

func (m *Manager) jobs(ctx context.Context, request jobreport.JobsRequest) (reply jobreport.JobsReply, err error) {
	limit := min(max(1, request.Limit), jobreport.MaxJobLimit)
	err = m.readCommitted(ctx, request.Group, func(_ scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Jobs, reply.Total = jobs.Jobs(request.State, limit)
	})
	return reply, err
}

func (m *Manager) job(ctx context.Context, request jobreport.JobRequest) (reply jobreport.JobReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Job, reply.Known = jobs.Job(now, request.ID)
	})
	return reply, err
}

func (m *Manager) why(ctx context.Context, request jobreport.ExplainRequest) (reply jobreport.ExplainReply, err error) {
	err = m.readCommitted(ctx, request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Explanation, reply.Known = jobs.Explain(now, request.ID)
	})
	return reply, err
}

// hasInventory tells whether this node has read a complete list of workers.
func (m *Manager) hasInventory() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inventoryRead
}

// drainReport reports a worker as far as it is known: one that was drained under an earlier leadership may not have been
// listed yet. The lock is held.
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

// changeDrain sets or ends a drain, on top of a version if the request names one. The lock is held.
func (l *leadership) changeDrain(now scheduler.Now, request jobreport.DrainRequest) (known bool, outcome jobreport.DrainOutcome) {
	id := workerclient.WorkerID(request.Worker)
	if request.BaseVersion == nil {
		return l.scheduler.SetOperatorDrain(now, id, request.Draining), jobreport.DrainApplied
	}
	outcome = l.scheduler.ChangeOperatorDrain(now, id, scheduler.DrainChange{Draining: request.Draining, BaseVersion: *request.BaseVersion})
	return outcome != jobreport.DrainWorkerUnknown, outcome
}

// drain sets or ends an operator's drain, and replies once that is durable.
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
	if err == nil && !reply.Known && !m.hasInventory() {
		return reply, rpcerror.WrapNotExecuted(errNoInventory, noInventoryRetry)
	}
	if err == nil && reply.Known {
		m.config.Log.Info("operator changed drain", zap.String("group", request.Group), zap.String("worker_id", request.Worker),
			zap.Bool("draining", request.Draining), zap.Uint64("version", reply.Worker.DrainVersion),
			zap.Bool("taken", reply.Outcome == jobreport.DrainApplied))
	}
	return reply, err
}
