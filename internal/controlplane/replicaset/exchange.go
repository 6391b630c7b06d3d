package replicaset

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	exchangeInterval = 1500 * time.Millisecond // between two exchanges, each with the next member in turn
	exchangeTimeout  = 500 * time.Millisecond  // limit of one such exchange
	broadcastTimeout = 400 * time.Millisecond  // limit of an exchange with several processes; one that misses it learns the view later
)

// exchangeWith exchanges views with another process. The process with the older view learns the newer one.
func (m *Manager) exchangeWith(ctx context.Context, address string) {
	reply, err := viewCall.Call(ctx, m.config.Caller, address, viewRequest{View: m.View()})
	if err != nil {
		m.config.Logger.Debug("view exchange failed", zap.String("member", address), zap.Error(err))
		return
	}
	m.learnReceived(reply.View)
}

// exchangeWithNext exchanges views with the next of the other members in turn. So a member that was partitioned or lost its
// disk learns the view soon, even if it reaches no seed.
func (m *Manager) exchangeWithNext(ctx context.Context) {
	others := m.others(m.View().Members)
	if len(others) == 0 {
		return
	}
	m.exchangeCount++
	exchangeCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	m.exchangeWith(exchangeCtx, others[m.exchangeCount%len(others)])
}

// exchangeAfterDisconnection exchanges views with all other members while no quorum is reachable, and once more when a quorum
// is reachable again. This process may have been replaced before its start, or while it was partitioned or suspended. It must
// learn this at once, because it then has to restart and be rebuilt within its catch-up time.
func (m *Manager) exchangeAfterDisconnection(ctx context.Context) {
	if m.config.Liveness == nil {
		return
	}
	now := time.Now()
	disconnected := !m.config.Liveness().QuorumReachable || now.Sub(m.lastLivenessCheck) > maxObservationGap
	m.lastLivenessCheck = now
	if disconnected || m.wasDisconnected {
		m.broadcastView(ctx, m.View().Members)
	}
	m.wasDisconnected = disconnected
}

// broadcastView exchanges views with several processes concurrently. It returns when all have replied, or after broadcastTimeout.
func (m *Manager) broadcastView(ctx context.Context, addresses []string) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, address := range m.others(addresses) {
		calls.Go(func() { m.exchangeWith(ctx, address) })
	}
	calls.Wait()
}

// announceTo announces this process to another one and learns the view in the reply.
func (m *Manager) announceTo(ctx context.Context, address string) {
	request := announceRequest{Address: m.config.Self, Zone: m.config.Zone, Incarnation: m.incarnation, View: m.View()}
	reply, err := announceCall.Call(ctx, m.config.Caller, address, request)
	if err != nil {
		m.config.Logger.Debug("announcement failed", zap.String("member", address), zap.Error(err))
		return
	}
	m.learnReceived(reply.View)
}

func (m *Manager) learnIfNewer(view View) error {
	if view.Version <= m.View().Version {
		return nil
	}
	return m.Learn(view)
}

// learnReceived learns the view of a reply. A store failure ends Run. If the store only rejects the write, for example because
// the disk is full, this process keeps its view until it receives the newer one again.
func (m *Manager) learnReceived(view View) {
	err := m.learnIfNewer(view)
	switch {
	case err == nil:
	case rpcerror.ExecutionOf(err) == rpcerror.NotExecuted:
		m.config.Logger.Warn("view not stored", zap.Uint64("version", view.Version), zap.Error(err))
	default:
		select {
		case m.storeFailures <- err:
		default:
		}
	}
}

// others returns the given addresses without this process's own, sorted and without duplicates.
func (m *Manager) others(addresses []string) []string {
	others := slices.Sorted(slices.Values(addresses))
	others = slices.Compact(others)
	return slices.DeleteFunc(others, func(address string) bool { return address == m.config.Self })
}
