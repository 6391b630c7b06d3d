package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	askInterval      = 200 * time.Millisecond  // between calls to one process, to learn the view or to become a member
	considerInterval = 100 * time.Millisecond  // between looks at the members while a joining member waits
	finishInterval   = 300 * time.Millisecond  // between looks for a next view that was begun, while joining members wait
	contactInterval  = 300 * time.Millisecond  // between looks whether this process is in contact with a majority
	exchangeInterval = 1500 * time.Millisecond // between exchanges with the next member
	exchangeLimit    = 500 * time.Millisecond
)

// Run learns the view, or takes part in founding the first one; then it exchanges the view now and then, announces this
// process while it is no member, and replaces dead members by joining members, until the context ends. It returns an error only
// if the store fails.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := m.untilChanged(ctx); err != nil {
			return err
		}
	}
	return nil
}

// untilChanged does what the current view asks for until there is another.
func (m *Manager) untilChanged(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := m.Changed()
	view := m.View()
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	step, interval := m.exchangeWithNext, exchangeInterval
	switch {
	case view.Version == 0:
		m.callAll(ctx, &calls, m.without(slices.Concat(m.founders, m.config.Seeds)), m.firstCall())
		step, interval = m.found, askInterval
	case m.config.CountsForQuorum && !view.Has(m.config.Self) && !m.departing.Load():
		m.callAll(ctx, &calls, view.Members, m.announceTo)
	default:
		return m.keepMembership(ctx, changed)
	}
	return m.every(ctx, changed, interval, step)
}

// firstCall is how a process without a view asks for it.
func (m *Manager) firstCall() func(ctx context.Context, address string) {
	if len(m.founders) > 0 {
		return m.announceTo
	}
	return m.exchangeWith
}

// callAll calls each process again and again until the context ends. One that does not answer holds up no other.
func (m *Manager) callAll(ctx context.Context, calls *sync.WaitGroup, addresses []string, call func(context.Context, string)) {
	for _, address := range addresses {
		calls.Go(func() {
			for ctx.Err() == nil {
				limited, cancel := context.WithTimeout(ctx, callLimit)
				call(limited, address)
				cancel()
				pause(ctx, askInterval)
			}
		})
	}
}

// every runs a step at intervals until the view changes.
func (m *Manager) every(ctx context.Context, changed <-chan struct{}, interval time.Duration, step func(context.Context)) error {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			return nil
		case err := <-m.failures:
			return err
		case <-timer.C:
		}
		step(ctx)
		timer.Reset(interval)
	}
}

// keepMembership exchanges views now and then. While there are joining members, it looks for a member to replace instead. What was
// begun is finished in either case, however often joining members are heard.
func (m *Manager) keepMembership(ctx context.Context, changed <-chan struct{}) error {
	contact := time.NewTimer(0)
	defer contact.Stop()
	finish := time.NewTicker(finishInterval)
	defer finish.Stop()
	exchange := time.NewTicker(exchangeInterval)
	defer exchange.Stop()
	consider := time.NewTimer(considerInterval)
	defer consider.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			return nil
		case err := <-m.failures:
			return err
		case <-contact.C:
			m.exchangeAfterSilence(ctx)
			contact.Reset(contactInterval)
		case <-finish.C:
			if m.JoiningMembersWait() {
				m.finishPending(ctx)
			}
		case <-exchange.C:
			m.finishPending(ctx)
			if !m.JoiningMembersWait() {
				m.exchangeWithNext(ctx)
			}
		case <-m.wake:
		case <-consider.C:
		}
		if m.JoiningMembersWait() {
			m.considerReplacing(ctx)
			consider.Reset(considerInterval)
		}
	}
}

// pause waits unless the context ends before.
func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
