package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/timer"
)

const (
	pollInterval        = 200 * time.Millisecond // between calls to the same process, to learn the view or to become a member
	replacementInterval = 100 * time.Millisecond // between checks for a member to replace, while there are joining members
	pendingViewInterval = 300 * time.Millisecond // between checks for a pending view, while there are joining members
	livenessInterval    = 300 * time.Millisecond // between checks whether a quorum is reachable
)

// Run runs until the context ends. While no view is known, it requests the view from other processes and, on a founder,
// participates in committing the first one. Afterwards it exchanges views with the members. If this process is a
// coordinator but not a member, and is not departing, Run announces it as a joining member. If it is a member, Run replaces
// failed and departing members by joining members. It returns an error only if the store fails.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.runUntilViewChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// periodicTask is what a process does repeatedly until the view changes.
type periodicTask struct {
	step            func(ctx context.Context)
	initialDelay    time.Duration // delay before the first step
	interval        time.Duration // from the end of a step to the next one
	replacesMembers bool          // whether to exchange views with the members and replace members as well
}

// runUntilViewChange performs this process's tasks in the current view until the view changes.
func (m *Manager) runUntilViewChange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := m.Changed()
	view := m.View()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	switch {
	case view.Version == 0:
		m.pollAll(ctx, &calls, m.others(slices.Concat(m.founders, m.config.Seeds)), m.discoveryCall())
		return m.runPeriodically(ctx, changed, periodicTask{step: m.commitFirstView, initialDelay: pollInterval, interval: pollInterval})
	case m.config.CountsForQuorum && !view.Has(m.config.Self) && !m.departing.Load():
		m.pollAll(ctx, &calls, view.Members, m.announceTo)
		return m.runPeriodically(ctx, changed, periodicTask{step: m.exchangeWithNext, initialDelay: exchangeInterval, interval: exchangeInterval})
	}
	return m.runPeriodically(ctx, changed, periodicTask{step: m.exchangeAfterDisconnection, interval: livenessInterval, replacesMembers: true})
}

// discoveryCall returns the call with which a process without a view requests it. A founder announces itself at the same time.
func (m *Manager) discoveryCall() func(ctx context.Context, address string) {
	if len(m.founders) > 0 {
		return m.announceTo
	}
	return m.exchangeWith
}

// pollAll calls each process repeatedly until the context ends. A process that does not reply delays no call to another.
func (m *Manager) pollAll(ctx context.Context, calls *sync.WaitGroup, addresses []string, call func(context.Context, string)) {
	for _, address := range addresses {
		calls.Go(func() {
			for ctx.Err() == nil {
				callCtx, cancel := context.WithTimeout(ctx, callTimeout)
				call(callCtx, address)
				cancel()
				timer.Sleep(ctx, pollInterval)
			}
		})
	}
}

// runPeriodically runs a task until the view changes or the context ends. It returns an error if the store fails. The channels
// that the task does not use stay nil and are therefore never ready.
//
// A task with replacesMembers checks for a member to replace while there are joining members, and exchanges views while there
// are none. It completes a pending view in both cases. The tickers for this are never reset, so frequent announcements of
// joining members cannot delay it.
func (m *Manager) runPeriodically(ctx context.Context, changed <-chan struct{}, role periodicTask) error {
	step := time.NewTimer(role.initialDelay)
	defer step.Stop()
	replacement := time.NewTimer(replacementInterval)
	defer replacement.Stop()
	var wake <-chan struct{}
	var pendingView, exchange <-chan time.Time
	if role.replacesMembers {
		wake = m.wake
		pendingViewTicker, exchangeTicker := time.NewTicker(pendingViewInterval), time.NewTicker(exchangeInterval)
		defer pendingViewTicker.Stop()
		defer exchangeTicker.Stop()
		pendingView, exchange = pendingViewTicker.C, exchangeTicker.C
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			return nil
		case err := <-m.storeFailures:
			return err
		case <-step.C:
			role.step(ctx)
			step.Reset(role.interval)
		case <-pendingView:
			if m.HasProposableMembers() {
				m.completePendingView(ctx)
			}
		case <-exchange:
			m.completePendingView(ctx)
			if !m.HasProposableMembers() {
				m.exchangeWithNext(ctx)
			}
		case <-wake:
		case <-replacement.C:
		}
		if role.replacesMembers && m.HasProposableMembers() {
			m.replaceDueMember(ctx)
			replacement.Reset(replacementInterval)
		}
	}
}
