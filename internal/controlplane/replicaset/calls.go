package replicaset

import (
	"context"
	"time"

	"puffinlink.example/puffinlink/internal/transport"
)

// Internal calls. A leave request that came a second time, or late, would end the membership of a member that has restarted.
var (
	viewCall     = transport.NewIdempotent[viewRequest, viewReply]("/replicaset/view")
	announceCall = transport.NewIdempotent[announceRequest, viewReply]("/replicaset/announce")
	leaveCall    = transport.NewAtMostOnce[leaveRequest, leaveReply]("/replicaset/leave")
)

// callTimeout bounds each of the internal calls.
const callTimeout = time.Second

// viewRequest asks for the receiver's view and has the sender's.
type viewRequest struct {
	View View `msgpack:"v"`
}

// announceRequest says that the sender is a core node: before the first view one that may become a member, later one
// that is no member of the view.
type announceRequest struct {
	Address     string `msgpack:"a"`
	Zone        string `msgpack:"z,omitempty"`
	Incarnation uint64 `msgpack:"i"`
	View        View   `msgpack:"v"` // the newest that the sender knows
}

// viewReply is the reply to both; the version is 0 while the receiver knows no view.
type viewReply struct {
	View View `msgpack:"v"`
}

// leaveRequest says that a member is about to stop.
type leaveRequest struct {
	Address string `msgpack:"a"`
}

type leaveReply struct{}

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

// wakeRun lets Run check at once whether a member is to be replaced.
func (m *Manager) wakeRun() { m.wake.Notify() }
