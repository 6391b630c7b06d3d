package replicaset

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. A goodbye that came a second time, or late, would end the membership of one that is back.
var (
	viewCall     = transport.NewRepeatable[viewRequest, viewReply]("/replicaset/view")
	announceCall = transport.NewRepeatable[announceRequest, viewReply]("/replicaset/announce")
	leaveCall    = transport.NewOnce[leaveRequest, leaveReply]("/replicaset/leave")
)

// callLimit bounds each of the internal calls.
const callLimit = time.Second

// viewRequest asks for the receiver's view and tells it the sender's.
type viewRequest struct {
	View View `msgpack:"v"`
}

// announceRequest tells that the sender is a core node: before the first view one that may become a replica, later one
// that is no member of the view.
type announceRequest struct {
	Address     string `msgpack:"a"`
	Zone        string `msgpack:"z,omitempty"`
	Incarnation uint64 `msgpack:"i"`
	View        View   `msgpack:"v"` // the newest that the sender knows
}

// viewReply is the answer to both; the version is 0 while the receiver knows no view.
type viewReply struct {
	View View `msgpack:"v"`
}

// leaveRequest tells that a member is stopping.
type leaveRequest struct {
	Address string `msgpack:"a"`
}

type leaveReply struct{}

// Ask returns the view that another process knows; its version is 0 while it knows none.
func Ask(ctx context.Context, caller transport.Caller, address string) (View, error) {
	return exchange(ctx, caller, address, View{})
}

func exchange(ctx context.Context, caller transport.Caller, address string, known View) (View, error) {
	reply, err := viewCall.Call(ctx, caller, address, viewRequest{View: known})
	if err != nil {
		return View{}, fmt.Errorf("ask for the replicas: %w", err)
	}
	return reply.View, nil
}

// Serve registers the internal calls.
func (m *Manager) Serve(mux *transport.Mux) {
	transport.Handle(mux, viewCall, m.handleView)
	transport.Handle(mux, announceCall, m.handleAnnounce)
	transport.Handle(mux, leaveCall, m.handleLeave)
}

func (m *Manager) handleView(_ context.Context, request viewRequest) (viewReply, error) {
	if err := m.learnIfNewer(request.View); err != nil {
		return viewReply{}, err
	}
	return viewReply{View: m.View()}, nil
}

func (m *Manager) handleAnnounce(_ context.Context, request announceRequest) (viewReply, error) {
	if err := m.learnIfNewer(request.View); err != nil {
		return viewReply{}, err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	switch {
	case m.view.Version == 0:
		m.announcements.add(request.Address, request.Zone, now)
	case request.View.Version == m.view.Version && !m.view.Has(request.Address):
		m.joiningMembers.add(joiningMember{address: request.Address, zone: request.Zone, incarnation: request.Incarnation}, now)
		m.signal()
	}
	return viewReply{View: m.view}, nil
}

// signal lets Run look at the joining members.
func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) handleLeave(_ context.Context, request leaveRequest) (leaveReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.view.Has(request.Address) {
		m.leaving[request.Address] = time.Now()
		m.signal()
	}
	return leaveReply{}, nil
}

func (m *Manager) learnIfNewer(view View) error {
	if view.Version <= m.View().Version {
		return nil
	}
	return m.Learn(view)
}

// exchangeWith exchanges views with another process, so that each learns a newer one.
func (m *Manager) exchangeWith(ctx context.Context, address string) {
	theirs, err := exchange(ctx, m.config.Caller, address, m.View())
	if err != nil {
		m.config.Logger.Debug("exchange of views", zap.Error(err))
		return
	}
	m.learned(theirs)
}

// exchangeWithNext exchanges views with the other members in turn. So one that was cut off, or lost its disk, hears of the
// view soon, though it reaches no seed.
func (m *Manager) exchangeWithNext(ctx context.Context) {
	others := m.without(m.View().Members)
	if len(others) == 0 {
		return
	}
	m.exchanges++
	limited, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	m.exchangeWith(limited, others[m.exchanges%len(others)])
}

// exchangeAfterSilence exchanges views with all other members while this process is out of contact with a majority, and once
// more when it is back: after its start, a cut or a freeze it may have been replaced, and is to hear of that at once, as it
// then has to start over and to be rebuilt within the time that it is given to catch up.
func (m *Manager) exchangeAfterSilence(ctx context.Context) {
	if m.config.Contacts == nil {
		return
	}
	now := time.Now()
	silent := !m.config.Contacts().Majority || now.Sub(m.touched) > observationGap
	m.touched = now
	if silent || m.wasSilent {
		m.tell(ctx, m.View().Members)
	}
	m.wasSilent = silent
}

// announceTo tells another process of this one, and takes its view.
func (m *Manager) announceTo(ctx context.Context, address string) {
	request := announceRequest{Address: m.config.Self, Zone: m.config.Zone, Incarnation: m.incarnation, View: m.View()}
	reply, err := announceCall.Call(ctx, m.config.Caller, address, request)
	if err != nil {
		m.config.Logger.Debug("announce", zap.String("to", address), zap.Error(err))
		return
	}
	m.learned(reply.View)
}

// learned takes a view from an answer. A failure of the store ends Run; one that only refuses the write, as a full disk
// does, leaves this process with the view that it has, and it hears of the newer one again.
func (m *Manager) learned(view View) {
	err := m.learnIfNewer(view)
	switch {
	case err == nil:
	case rpcerror.Of(err) == rpcerror.NotRun:
		m.config.Logger.Warn("view of the replicas not taken", zap.Uint64("version", view.Version), zap.Error(err))
	default:
		select {
		case m.failures <- err:
		default:
		}
	}
}

// without returns the addresses that are not this process's own, sorted, each once.
func (m *Manager) without(addresses []string) []string {
	others := slices.Sorted(slices.Values(addresses))
	others = slices.Compact(others)
	return slices.DeleteFunc(others, func(address string) bool { return address == m.config.Self })
}
