package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"puffinlink.example/puffinlink/internal/timer"
)

const (
	pollInterval        = 200 * time.Millisecond // between calls to one process, to learn the view or to become a member
	replacementInterval = 100 * time.Millisecond // between checks whether a member is to be replaced, while there are joining members
	pendingViewInterval = 300 * time.Millisecond // between checks for a pending view, while there are joining members
	livenessInterval    = 300 * time.Millisecond // between checks whether a quorum is reachable
)

// Run learns the view, or takes part in founding the first one; then it exchanges views with the members, announces this
// process while it is no member, and replaces failed and departing members by joining members, until the context ends. It
// returns an error only if the store fails.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.runUntilViewChange(ctx); err != nil {
			return err
		}
	}
	return nil
}

// role is what a process repeats as long as the view stays the same.
type role struct {
	step     func(ctx context.Context)
	first    time.Duration // until the first step
	interval time.Duration // from the end of a step to the next one
	replaces bool          // the process also exchanges views with the members and replaces them, as a member does
}

// runUntilViewChange plays this process's role in the current view until there is another.
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
		return m.repeat(ctx, changed, role{step: m.commitFirstView, first: pollInterval, interval: pollInterval})
	case m.config.CountsForQuorum && !view.Has(m.config.Self) && !m.departing.Load():
		m.pollAll(ctx, &calls, view.Members, m.announceTo)
		return m.repeat(ctx, changed, role{step: m.exchangeWithNext, first: exchangeInterval, interval: exchangeInterval})
	}
	return m.repeat(ctx, changed, role{step: m.exchangeAfterDisconnection, interval: livenessInterval, replaces: true})
}

// discoveryCall is the call with which a process without a view requests it.
func (m *Manager) discoveryCall() func(ctx context.Context, address string) {
	if len(m.founders) > 0 {
		return m.announceTo
	}
	return m.exchangeWith
}

// pollAll calls each process repeatedly until the context ends. One that does not reply delays no other.
func (m *Manager) pollAll(ctx context.Context, calls *sync.WaitGroup, addresses []string, call func(context.Context, string)) {
	for _, address := range addresses {
		calls.Go(func() {
			for ctx.Err() == nil {
				limited, cancel := context.WithTimeout(ctx, callTimeout)
				call(limited, address)
				cancel()
				timer.Sleep(ctx, pollInterval)
			}
		})
	}
}

// repeat runs a role's steps until the view changes or the context ends, or returns the store's error. The channels that the
// role does not use are nil, and so never ready.
//
// While there are joining members, a process that replaces members checks whether one is due, and otherwise exchanges views.
// A pending view is completed in either case, however often joining members announce themselves, as the tickers for that are
// not reset.
func (m *Manager) repeat(ctx context.Context, changed <-chan struct{}, role role) error {
	step := time.NewTimer(role.first)
	defer step.Stop()
	replacement := time.NewTimer(replacementInterval)
	defer replacement.Stop()
	var wake <-chan struct{}
	var pendingView, exchange <-chan time.Time
	if role.replaces {
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
			if m.HasJoiningMembers() {
				m.completePendingView(ctx)
			}
		case <-exchange:
			m.completePendingView(ctx)
			if !m.HasJoiningMembers() {
				m.exchangeWithNext(ctx)
			}
		case <-wake:
		case <-replacement.C:
		}
		if role.replaces && m.HasJoiningMembers() {
			m.replaceDueMember(ctx)
			replacement.Reset(replacementInterval)
		}
	}
}
