package replicaset

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. The leave call is executed at most once, because a repeated or late request would end the membership of a
// member that has restarted.
var (
	viewCall     = transport.NewIdempotent[viewRequest, viewReply]("/replicaset/view")
	announceCall = transport.NewIdempotent[announceRequest, viewReply]("/replicaset/announce")
	leaveCall    = transport.NewAtMostOnce[leaveRequest, leaveReply]("/replicaset/leave")
)

// callTimeout limits a call of Run's polling, which requests the view or announces this process.
const callTimeout = time.Second

// viewRequest requests the receiver's view and contains the sender's.
type viewRequest struct {
	View View `msgpack:"v"`
}

// announceRequest announces that the sender is a coordinator. Before the first view, the sender may become one of its members.
// Later it is a coordinator that is not a member of the view.
type announceRequest struct {
	Address     string `msgpack:"a"`
	Zone        string `msgpack:"z,omitempty"`
	Incarnation uint64 `msgpack:"i"`
	View        View   `msgpack:"v"` // newest view that the sender knows
}

// viewReply is the reply to a viewRequest and an announceRequest. The version is 0 if the receiver knows no view.
type viewReply struct {
	View View `msgpack:"v"`
}

// leaveRequest announces that the member at an address is about to stop.
type leaveRequest struct {
	Address string `msgpack:"a"`
}

type leaveReply struct{}

// Serve registers the handlers of the internal calls.
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
	if m.view.Version > 0 && !m.view.Has(request.Address) {
		m.announcementReceived[request.Address] = now
	}
	switch {
	case m.view.Version == 0:
		m.announcements.add(request.Address, request.Zone, now)
	case request.View.Version == m.view.Version && !m.view.Has(request.Address):
		m.joiningMembers.add(joiningMember{address: request.Address, zone: request.Zone, incarnation: request.Incarnation}, now)
		m.wakeRun()
	}
	return viewReply{View: m.view}, nil
}

func (m *Manager) handleLeave(_ context.Context, request leaveRequest) (leaveReply, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.view.Has(request.Address) {
		m.leaveReceived[request.Address] = time.Now()
		m.wakeRun()
	}
	return leaveReply{}, nil
}

// wakeRun makes Run check at once for a member to replace.
func (m *Manager) wakeRun() { m.wake.Notify() }
