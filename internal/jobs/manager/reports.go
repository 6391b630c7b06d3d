package manager

import (
	"context"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/worker"
	"puffinlink.example/puffinlink/internal/transport"
)

// ServeReports registers the internal calls by which operators read and steer the groups that this mixer leads.
func (m *Manager) ServeReports(mux *transport.Mux) {
	transport.Handle(mux, jobreport.SummaryCall, m.summary)
	transport.Handle(mux, jobreport.SearchersCall, m.searchers)
	transport.Handle(mux, jobreport.JobsCall, m.jobs)
	transport.Handle(mux, jobreport.JobCall, m.job)
	transport.Handle(mux, jobreport.WhyCall, m.why)
	transport.Handle(mux, jobreport.DrainCall, m.drain)
}

// read runs a function that only reads the scheduler of a group. What it sees may not be durable yet.
func (m *Manager) read(group string, look func(now scheduler.Now, jobs *scheduler.Scheduler)) error {
	led, err := m.lead(group)
	if err != nil {
		return err
	}
	led.mu.Lock()
	defer led.mu.Unlock()
	look(steady(), led.scheduler)
	return nil
}

// Summaries returns the summaries of the groups that this mixer leads now.
func (m *Manager) Summaries() map[string]jobreport.Summary {
	summaries := map[string]jobreport.Summary{}
	for _, group := range m.ledGroups() {
		_ = m.read(group, func(_ scheduler.Now, jobs *scheduler.Scheduler) { // one that has just been lost is left out
			summaries[group] = jobs.Summary()
		})
	}
	return summaries
}

func (m *Manager) ledGroups() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	groups := make([]string, 0, len(m.leads))
	for group := range m.leads {
		groups = append(groups, group)
	}
	return groups
}

func (m *Manager) summary(_ context.Context, request jobreport.SummaryRequest) (reply jobreport.SummaryReply, err error) {
	err = m.read(request.Group, func(_ scheduler.Now, jobs *scheduler.Scheduler) { reply.Summary = jobs.Summary() })
	return reply, err
}

func (m *Manager) searchers(_ context.Context, request jobreport.SearchersRequest) (reply jobreport.SearchersReply, err error) {
	err = m.read(request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) { reply.Searchers = jobs.Searchers(now) })
	return reply, err
}

func (m *Manager) jobs(_ context.Context, request jobreport.JobsRequest) (reply jobreport.JobsReply, err error) {
	limit := min(max(1, request.Limit), jobreport.MostJobs)
	err = m.read(request.Group, func(_ scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Jobs, reply.Total = jobs.Jobs(request.State, limit)
	})
	return reply, err
}

func (m *Manager) job(_ context.Context, request jobreport.JobRequest) (reply jobreport.JobReply, err error) {
	err = m.read(request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Job, reply.Known = jobs.Job(now, request.ID)
	})
	return reply, err
}

func (m *Manager) why(_ context.Context, request jobreport.WhyRequest) (reply jobreport.WhyReply, err error) {
	err = m.read(request.Group, func(now scheduler.Now, jobs *scheduler.Scheduler) {
		reply.Why, reply.Known = jobs.Why(now, request.ID)
	})
	return reply, err
}

// drain sets or ends an operator's drain, and answers once that is durable.
func (m *Manager) drain(ctx context.Context, request jobreport.DrainRequest) (reply jobreport.DrainReply, err error) {
	led, err := m.lead(request.Group)
	if err != nil {
		return reply, err
	}
	id := worker.SearcherID(request.Searcher)
	err = led.durably(ctx, func(now scheduler.Now) {
		reply.Known = led.scheduler.SetOperatorDrain(now, id, request.Draining)
		reply.Searcher, _ = led.scheduler.Searcher(now, id)
	})
	if err == nil && reply.Known {
		m.config.Log.Info("operator's drain", zap.String("group", request.Group), zap.String("searcher", request.Searcher),
			zap.Bool("draining", request.Draining))
	}
	return reply, err
}
