package replicaset

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// Paths of the internal calls.
const (
	viewPath     = "/replicaset/view"
	announcePath = "/replicaset/announce"
)

const (
	askInterval      = 200 * time.Millisecond // between attempts to learn the first view
	exchangeInterval = 5 * time.Second        // between exchanges with a random member
	callLimit        = time.Second
)

// viewRequest asks for the receiver's view and tells it the sender's.
type viewRequest struct {
	View View `msgpack:"v"`
}

// announceRequest tells that the sender is a core mixer, which may become a replica.
type announceRequest struct {
	Address string `msgpack:"a"`
}

// viewReply is the answer to both; the version is 0 while the receiver knows no view.
type viewReply struct {
	View View `msgpack:"v"`
}

// Ask returns the view that another process knows; its version is 0 while it knows none.
func Ask(ctx context.Context, caller transport.Caller, address string) (View, error) {
	return exchange(ctx, caller, address, View{})
}

func exchange(ctx context.Context, caller transport.Caller, address string, known View) (View, error) {
	var reply viewReply
	if err := caller.Call(ctx, address, viewPath, viewRequest{View: known}, &reply); err != nil {
		return View{}, fmt.Errorf("ask for the replicas: %w", err)
	}
	return reply.View, nil
}

// Serve registers the internal calls.
func (m *Manager) Serve(mux *transport.Mux) {
	transport.Handle(mux, viewPath, m.handleView)
	transport.Handle(mux, announcePath, m.handleAnnounce)
}

func (m *Manager) handleView(_ context.Context, request viewRequest) (viewReply, error) {
	if err := m.learnIfNewer(request.View); err != nil {
		return viewReply{}, err
	}
	return viewReply{View: m.View()}, nil
}

func (m *Manager) handleAnnounce(_ context.Context, request announceRequest) (viewReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.view.Version == 0 {
		m.announcements.add(request.Address, time.Now())
	}
	return viewReply{View: m.view}, nil
}

func (m *Manager) learnIfNewer(view View) error {
	if view.Version <= m.View().Version {
		return nil
	}
	return m.Learn(view)
}

// Run learns the view, or takes part in founding the first one, and then exchanges it now and then until the context
// ends. It returns an error only if the store fails.
func (m *Manager) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if err := m.step(ctx); err != nil {
			return err
		}
		timer.Reset(m.interval())
	}
}

func (m *Manager) interval() time.Duration {
	if m.View().Version == 0 {
		return askInterval
	}
	return exchangeInterval
}

func (m *Manager) step(ctx context.Context) error {
	view := m.View()
	if view.Version > 0 {
		return m.exchangeWithOne(ctx, view)
	}
	if err := m.askAll(ctx); err != nil || m.View().Version > 0 {
		return err
	}
	return m.found(ctx)
}

// exchangeWithOne exchanges views with a random other member, so that each learns a newer one, and so that a member that
// lost its disk hears of the view though it reaches no seed.
func (m *Manager) exchangeWithOne(ctx context.Context, view View) error {
	others := m.without(view.Members)
	if len(others) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	theirs, err := exchange(ctx, m.config.Caller, others[rand.IntN(len(others))], view)
	if err != nil {
		m.config.Logger.Debug("exchange of views", zap.Error(err))
		return nil
	}
	return m.learnIfNewer(theirs)
}

// askAll announces this process to the seeds and founders, or asks them for the view, and takes the newest answer.
func (m *Manager) askAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	targets := m.without(slices.Concat(m.founders, m.config.Seeds))
	answers := make([]View, len(targets))
	var calls sync.WaitGroup
	for i, target := range targets {
		calls.Go(func() { answers[i] = m.askOne(ctx, target) })
	}
	calls.Wait()
	var failures []error
	for _, view := range answers {
		failures = append(failures, m.learnIfNewer(view))
	}
	return errors.Join(failures...)
}

func (m *Manager) askOne(ctx context.Context, target string) View {
	if len(m.founders) == 0 {
		view, err := Ask(ctx, m.config.Caller, target)
		if err != nil {
			m.config.Logger.Debug("replicas are not known yet", zap.Error(err))
		}
		return view
	}
	var reply viewReply
	if err := m.config.Caller.Call(ctx, target, announcePath, announceRequest{Address: m.config.Self}, &reply); err != nil {
		m.config.Logger.Debug("announce to a seed", zap.Error(err))
	}
	return reply.View
}

// without returns the addresses that are not this process's own, sorted, each once.
func (m *Manager) without(addresses []string) []string {
	others := slices.Sorted(slices.Values(addresses))
	others = slices.Compact(others)
	return slices.DeleteFunc(others, func(address string) bool { return address == m.config.Self })
}
