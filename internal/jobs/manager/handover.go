package manager

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/jobs/queueowner"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	maxDecisions      = 4                      // per call; a change of the configuration between two of them needs one more
	otherGroupTimeout = 700 * time.Millisecond // for the reply of another group's leader
	configurationWait = 400 * time.Millisecond // longest wait for a configuration that another node knows already
	releaseDelay      = time.Second            // from a change of the configuration to the release of the queues that it moved
	releaseInterval   = 30 * time.Second       // between two requests to groups that still know jobs of queues that they had
	releaseTimeout    = 2 * time.Second        // for the reply to one such request
)

var (
	errQueueReleased        = errors.New("the queue belongs to another service")
	errQueueMoving          = errors.New("the queue is being handed over")
	errNoLeaderKnown        = errors.New("no leader of the group is known")
	errConfigurationUnknown = errors.New("this mixer does not know that configuration yet")
)

// QueueSource provides the queues of the newest configuration that this node knows. configuration.Configurator implements it.
type QueueSource interface {
	Queues() *configuration.QueueDirectory
	// Changed returns a channel that is closed when the result of Queues changes.
	Changed() <-chan struct{}
	// Refresh starts reading the configuration and does not wait for it.
	Refresh()
}

// jobCall is a client's call about a job.
type jobCall struct {
	group     string
	queue     queuekey.Key // unknown in calls of older builds and of operators, which are about the jobs of one group only
	id        job.ID
	version   uint64 // of the configuration by which the caller chose the group; 0 if it did not say
	operation jobapi.Operation
}

// askedGroups are the groups that were asked about a job, for a tenure that began in a version.
type askedGroups struct {
	since    uint64
	services []string
}

// cover reports whether the groups in a decision were asked, or need not be.
func (a askedGroups) cover(decision queueowner.Decision, needed []configuration.Tenure) bool {
	return len(needed) == 0 || a.since == decision.Since && !slices.ContainsFunc(needed, func(other configuration.Tenure) bool {
		return !slices.Contains(a.services, other.Service)
	})
}

// execute executes a call on the group's scheduler under its lock, once that is durable: at once for a job that the group knows, and
// otherwise after all other groups that have or had the queue have released it and do not know the job. If one of them knows the job, it
// has executed the call instead, and its reply is returned.
func (m *Manager) execute(ctx context.Context, call jobCall, act func(now scheduler.Now, l *leadership)) (elsewhere *jobapi.HandedOverReply, err error) {
	l, err := m.leadershipOf(call.group)
	if err != nil {
		return nil, err
	}
	var asked askedGroups
	for range maxDecisions {
		var decision queueowner.Decision
		var toAsk []configuration.Tenure
		acted, err := l.commitIf(ctx, func(now scheduler.Now) bool {
			if m.config.Queues != nil && call.queue != queuekey.Unknown && !l.scheduler.Knows(call.queue, call.id) {
				decision = m.decide(l, call)
				toAsk = m.withoutVacant(call.queue, decision.Others)
				if decision.Verdict != queueowner.MayAct || !asked.cover(decision, toAsk) {
					return false
				}
			}
			act(now, l)
			return true
		})
		if acted || err != nil {
			return nil, err
		}
		switch decision.Verdict {
		case queueowner.Released:
			return nil, rpcerror.WrapNotExecuted(errQueueReleased, 0)
		case queueowner.Behind:
			if err := m.awaitConfiguration(ctx, decision.Needed); err != nil {
				return nil, err
			}
		case queueowner.MayAct:
			reply, err := m.askOthers(ctx, call, decision.Since, toAsk)
			if err != nil || reply.Known {
				return &reply, err
			}
			asked = newAskedGroups(decision.Since, toAsk)
		}
	}
	return nil, rpcerror.WrapNotExecuted(errQueueMoving, 0)
}

func newAskedGroups(since uint64, tenures []configuration.Tenure) askedGroups {
	asked := askedGroups{since: since}
	for _, tenure := range tenures {
		asked.services = append(asked.services, tenure.Service)
	}
	return asked
}

// decide decides whether a group may act for a call about a job that it does not know. The caller must hold l.mu.
func (m *Manager) decide(l *leadership, call jobCall) queueowner.Decision {
	return queueowner.Decide(m.config.Queues.Queues(), feed.ServiceOf(call.group), call.queue, l.scheduler.MinConfigurationVersion(), call.version)
}

// withoutVacant returns the tenures of groups that may know jobs of a queue.
func (m *Manager) withoutVacant(queue queuekey.Key, tenures []configuration.Tenure) []configuration.Tenure {
	var occupied []configuration.Tenure
	for _, tenure := range tenures {
		if !m.vacancies.Contains(queue, tenure) {
			occupied = append(occupied, tenure)
		}
	}
	return occupied
}

// awaitConfiguration waits until this node knows a version of the configuration or a later one. The wait is short: the version is
// committed, so another node has announced it or a quorum read finds it.
func (m *Manager) awaitConfiguration(ctx context.Context, version uint64) error {
	if m.config.Queues == nil {
		return nil
	}
	limit := time.NewTimer(configurationWait)
	defer limit.Stop()
	for {
		changed := m.config.Queues.Changed()
		if m.config.Queues.Queues().Version() >= version {
			return nil
		}
		m.config.Queues.Refresh()
		select {
		case <-changed:
		case <-limit.C:
			return rpcerror.WrapNotExecuted(errConfigurationUnknown, 0)
		case <-ctx.Done():
			return rpcerror.WrapNotExecuted(ctx.Err(), 0)
		}
	}
}

// askOthers asks the groups of other tenures of a queue about a job, at the same time. It returns the reply of the one that knows the job.
// If none does, it returns an error unless all have answered, and otherwise the sum of the pending jobs.
func (m *Manager) askOthers(ctx context.Context, call jobCall, since uint64, others []configuration.Tenure) (jobapi.HandedOverReply, error) {
	replies, errs := make([]jobapi.HandedOverReply, len(others)), make([]error, len(others))
	var asking sync.WaitGroup
	for i, other := range others {
		asking.Go(func() { replies[i], errs[i] = m.ask(ctx, call, since, other) })
	}
	asking.Wait()
	var sum jobapi.HandedOverReply
	for i, reply := range replies {
		if reply.Known {
			return reply, nil
		}
		sum.Pending += reply.Pending
		if errs[i] == nil && reply.Vacant {
			m.vacancies.Add(call.queue, others[i], since)
		}
	}
	err := errors.Join(errs...)
	if err != nil && call.operation == jobapi.SubmitOperation {
		err = rpcerror.WrapNotExecuted(err, 0) // another group never accepts the job because of this call
	}
	return sum, err
}

// ask asks the group of one tenure about a job.
func (m *Manager) ask(ctx context.Context, call jobCall, since uint64, other configuration.Tenure) (jobapi.HandedOverReply, error) {
	ctx, cancel := context.WithTimeout(ctx, otherGroupTimeout)
	defer cancel()
	group := feed.GroupOf(other.Service)
	leader, known := m.config.Leaders()[group]
	if !known {
		return jobapi.HandedOverReply{}, rpcerror.WrapNotExecuted(errNoLeaderKnown, 0)
	}
	request := jobapi.HandedOverRequest{Group: group, Queue: call.queue, Version: since, ID: call.id, Operation: call.operation}
	reply, err := jobapi.HandedOverCall.Call(ctx, m.config.Caller, leader.Address, request)
	m.config.Log.Debug("asked another group about a job of a moved queue", zap.String("group", call.group), zap.String("other_group", group),
		zap.String("job", string(call.id)), zap.Bool("known", reply.Known), zap.Bool("vacant", reply.Vacant), zap.Error(err))
	return reply, err
}

// handedOver answers the leader of a group that has a queue which this node's group had before.
func (m *Manager) handedOver(ctx context.Context, request jobapi.HandedOverRequest) (reply jobapi.HandedOverReply, err error) {
	err = m.release(ctx, request.Group, request.Version, func(now scheduler.Now, s *scheduler.Scheduler) {
		reply.Pending, reply.Vacant = s.PendingJobs(request.Queue, ""), s.IsVacant(request.Queue)
		if request.ID == "" {
			return
		}
		if request.Operation == jobapi.SubmitOperation {
			s.SubmitCancelled(now, request.Queue, request.ID)
		}
		if !s.Knows(request.Queue, request.ID) {
			return
		}
		if request.Operation == jobapi.CancelOperation {
			s.Cancel(now, request.ID)
		}
		reply.State, reply.Known = s.Status(request.ID)
	})
	return reply, err
}

// releaseQueues releases queues that this node's group had before.
func (m *Manager) releaseQueues(ctx context.Context, request jobapi.ReleaseRequest) (reply jobapi.ReleaseReply, err error) {
	err = m.release(ctx, request.Group, request.Version, func(_ scheduler.Now, s *scheduler.Scheduler) {
		for _, queue := range request.Queues {
			if s.IsVacant(queue) {
				reply.Vacant = append(reply.Vacant, queue)
			}
		}
	})
	return reply, err
}

// release makes a group release the queues whose tenures ended in a version or earlier, and then calls act under the group's lock. This
// node learns that version first, because the group decides by no older one from then on.
func (m *Manager) release(ctx context.Context, group string, version uint64, act func(now scheduler.Now, s *scheduler.Scheduler)) error {
	if err := m.awaitConfiguration(ctx, version); err != nil {
		return err
	}
	l, err := m.leadershipOf(group)
	if err != nil {
		return err
	}
	return l.commit(ctx, func(now scheduler.Now) {
		l.scheduler.ReleaseQueues(version)
		act(now, l.scheduler)
	})
}

// IsVacant reports whether an ended tenure of a queue need not be kept: its group has released the queue and knows no job of it.
func (m *Manager) IsVacant(queue queuekey.Key, ended configuration.Tenure) bool {
	return m.vacancies.Contains(queue, ended)
}

// ReleaseMovedQueues makes the groups of ended tenures release their queues until ctx ends: soon after each change of the configuration,
// so that jobs which are submitted then need not wait for it, and at intervals, to learn which groups know no more jobs of such queues.
func (m *Manager) ReleaseMovedQueues(ctx context.Context) {
	for ctx.Err() == nil {
		changed := m.config.Queues.Changed()
		m.releaseEndedTenures(ctx)
		next := time.NewTimer(releaseInterval)
		select {
		case <-ctx.Done():
		case <-next.C:
		case <-changed:
			timer.Sleep(ctx, releaseDelay)
		}
		next.Stop()
	}
}

// releaseEndedTenures asks each group with ended tenures, except those that are known to be vacant, to release the queues.
func (m *Manager) releaseEndedTenures(ctx context.Context) {
	queues := m.config.Queues.Queues()
	m.vacancies.Retain(queues)
	endedByService := map[string]map[queuekey.Key]configuration.Tenure{}
	queues.EndedTenures(func(queue queuekey.Key, ended configuration.Tenure) {
		if m.vacancies.Contains(queue, ended) {
			return
		}
		if endedByService[ended.Service] == nil {
			endedByService[ended.Service] = map[queuekey.Key]configuration.Tenure{}
		}
		endedByService[ended.Service][queue] = ended
	})
	for service, ended := range endedByService {
		if err := m.releaseTenuresOf(ctx, service, ended); err != nil {
			m.config.Log.Debug("queues not released", zap.String("service", service), zap.Int("queues", len(ended)), zap.Error(err))
		}
	}
}

// releaseTenuresOf asks the group of a service to release queues, each with its ended tenure.
func (m *Manager) releaseTenuresOf(ctx context.Context, service string, ended map[queuekey.Key]configuration.Tenure) error {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	request := jobapi.ReleaseRequest{Group: feed.GroupOf(service)}
	for queue, tenure := range ended {
		request.Version = max(request.Version, tenure.Until)
		request.Queues = append(request.Queues, queue)
	}
	leader, known := m.config.Leaders()[request.Group]
	if !known {
		return errNoLeaderKnown
	}
	reply, err := jobapi.ReleaseCall.Call(ctx, m.config.Caller, leader.Address, request)
	for _, queue := range reply.Vacant {
		m.vacancies.Add(queue, ended[queue], request.Version)
	}
	return err
}
