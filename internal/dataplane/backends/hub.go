// Package backends is the network side towards backends: an actor for each, with its connections, calls, probes and
// time-outs. What is sent where is the policy's decision.
package backends

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

// lateAnswerPeriod is how long after its cancellation a call may still be answered: longer than any backend works on a call
// that nobody waits for, and short enough that the names to remember are few.
const lateAnswerPeriod = 30 * time.Second

// drainWriteTimeout is the time-out of a write in progress to a backend that begins to drain: one that is not stuck is done by
// then.
const drainWriteTimeout = 100 * time.Millisecond

// Hub has the actors of all backends, and passes each its messages. Its methods are called by the policy's actor alone.
type Hub struct {
	settings     settings.Net
	events       *eventqueue.Queue[aggregator.Event]
	log          *zap.Logger
	counters     *counters.Set
	actors       map[policy.BackendID]*actor
	removed      map[policy.BackendID]*actor // those of actors that the list no longer names
	descriptors  chan struct{}               // one place for each descriptor in use
	writeTimeout time.Duration               // that a write may take
	dialContext  context.Context             // ends with all connects
	dialer       func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error)
	cancelDials  context.CancelFunc
	running      sync.WaitGroup
}

// New makes a hub that has at most maxConnections connections, and puts its events into events.
func New(set settings.Net, maxConnections int, events *eventqueue.Queue[aggregator.Event], log *zap.Logger, count *counters.Set) *Hub {
	h := &Hub{settings: set, events: events, log: log, counters: count, actors: map[policy.BackendID]*actor{},
		removed: map[policy.BackendID]*actor{}, descriptors: make(chan struct{}, maxConnections), writeTimeout: writeTimeout}
	h.dialContext, h.cancelDials = context.WithCancel(context.Background())
	h.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	}
	return h
}

// Update applies an entry of the list, and starts an actor for a new backend. The actor of a removed backend ends with its
// last call; the list never uses its number again.
func (h *Hub) Update(entry policy.Entry, address string) {
	maps.DeleteFunc(h.removed, func(id policy.BackendID, a *actor) bool {
		if a.ended.Load() {
			delete(h.actors, id)
		}
		return h.actors[id] == nil
	})
	a := h.actors[entry.Backend]
	switch {
	case a == nil && entry.Phase == policy.Removed:
		return
	case a == nil:
		a = &actor{hub: h, id: entry.Backend, in: eventqueue.New[message](), calls: map[string]*call{}}
		h.actors[entry.Backend] = a
		h.running.Go(a.run)
	case entry.Phase == policy.Removed:
		h.removed[entry.Backend] = a
	}
	a.in.Put(message{kind: messageListed, entry: entry, address: address})
}

// Retain removes the backends that a complete list does not name.
func (h *Hub) Retain(listed map[policy.BackendID]bool) {
	for id := range h.actors {
		if !listed[id] {
			h.Update(policy.Entry{Backend: id, Phase: policy.Removed}, "")
		}
	}
}

// put passes a message to a backend's actor; for an unknown backend it does nothing.
func (h *Hub) put(to policy.BackendID, n message) {
	if a := h.actors[to]; a != nil {
		a.in.Put(n)
	}
}

// Send sends calls that share a frame, and count as one on their connection.
func (h *Hub) Send(to policy.BackendID, calls []aggregator.Call) {
	if a := h.actors[to]; a != nil && !a.ended.Load() {
		a.in.Put(message{kind: messageSend, newCalls: calls})
		return
	}
	for i := range calls {
		h.notifyEnd(&calls[i], to, policy.NotConnected, time.Now(), answer{})
	}
}

// notifyEnd reports a call's end to the policy's actor.
func (h *Hub) notifyEnd(c *aggregator.Call, backend policy.BackendID, outcome policy.Outcome, endedAt time.Time, with answer) {
	h.counters.Add("calls", outcomeNames[outcome], 1)
	h.events.Put(aggregator.Event{Value: with.value, Event: policy.Event{Kind: policy.CallEnded, Subquery: c.Subquery, Call: c.Number,
		Backend: backend, Outcome: outcome, Elapsed: max(0, endedAt.Sub(c.Sent).Seconds()), Load: with.load}})
}

// Cancel cancels a call: its answer does not count any more.
func (h *Hub) Cancel(at policy.BackendID, subquery policy.SubqueryID, no policy.CallNo) {
	h.put(at, message{kind: messageCancel, subquery: subquery, no: no})
}

// Probe sends a health check to a backend; with separate, on a connection with nothing else in flight.
func (h *Hub) Probe(at policy.BackendID, separate bool) {
	h.put(at, message{kind: messageProbe, separate: separate, at: time.Now()})
}

// CloseIdle closes the idle connections to a backend.
func (h *Hub) CloseIdle(at policy.BackendID) { h.put(at, message{kind: messageCloseIdle}) }

// Stop ends all actors and their connections; the policy's actor must have ended before.
func (h *Hub) Stop() {
	for _, a := range h.actors {
		a.in.Put(message{kind: messageStop})
	}
	h.cancelDials() // nobody waits for them any more
	h.running.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var outcomeNames = [...]string{policy.Answered: "answered", policy.Errored: "errored", policy.Rejected: "turned_away",
	policy.TimedOut: "timed_out", policy.NotConnected: "not_connected", policy.Broken: "broken",
	policy.Canceled: "withdrawn", policy.NotSent: "not_sent"}
