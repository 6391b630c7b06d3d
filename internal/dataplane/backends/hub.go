// Package backends manages the aggregator's connections to backends. Each backend has an actor, which owns its connections,
// calls, probes and timeouts.
//
// Each call to a listed backend ends with exactly one event on the hub's event queue, unless the hub is stopped first. A call is
// reported as not executed only if it was not written completely. The policy's actor is the only caller of a Hub. The package
// never chooses a backend and never retries a call: both are decisions of the policy.
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

// lateAnswerPeriod is how long after its cancellation an answer to a call is still expected. It is longer than any backend works
// on a canceled call, and short enough that few names have to be kept.
const lateAnswerPeriod = 30 * time.Second

// drainWriteTimeout is the timeout of a write that is in progress when its backend begins to drain. A write that is not blocked
// completes within that time.
const drainWriteTimeout = 100 * time.Millisecond

// Hub holds the actors of all backends, and passes messages to them. Only the policy's actor may call its methods.
type Hub struct {
	settings        settings.Net
	events          *eventqueue.Queue[aggregator.Event]
	logger          *zap.Logger
	counters        *counters.Set
	actors          map[policy.BackendID]*actor
	removed         map[policy.BackendID]*actor // the actors of backends that the list no longer contains
	descriptorSlots chan struct{}               // semaphore with one element for each descriptor in use
	writeTimeout    time.Duration               // the longest time for a write
	dialContext     context.Context             // canceled to end all dials
	dialer          func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error)
	cancelDials     context.CancelFunc
	running         sync.WaitGroup
}

// New returns a hub with at most maxConnections connections, which puts its events into events.
func New(netSettings settings.Net, maxConnections int, events *eventqueue.Queue[aggregator.Event], logger *zap.Logger, counterSet *counters.Set) *Hub {
	h := &Hub{settings: netSettings, events: events, logger: logger, counters: counterSet, actors: map[policy.BackendID]*actor{},
		removed: map[policy.BackendID]*actor{}, descriptorSlots: make(chan struct{}, maxConnections), writeTimeout: writeTimeout}
	h.dialContext, h.cancelDials = context.WithCancel(context.Background())
	h.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	}
	return h
}

// Update applies an entry of the list, and starts an actor for a new backend. The actor of a removed backend ends after its
// last call. The list never reuses the number of a removed backend.
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
		a = &actor{hub: h, id: entry.Backend, inbox: eventqueue.New[message](), calls: map[string]*call{}}
		h.actors[entry.Backend] = a
		h.running.Go(a.run)
	case entry.Phase == policy.Removed:
		h.removed[entry.Backend] = a
	}
	a.inbox.Put(message{kind: messageUpdateEntry, entry: entry, address: address})
}

// Retain removes the backends that a complete list does not contain.
func (h *Hub) Retain(listed map[policy.BackendID]bool) {
	for id := range h.actors {
		if !listed[id] {
			h.Update(policy.Entry{Backend: id, Phase: policy.Removed}, "")
		}
	}
}

// put passes a message to a backend's actor. It ignores messages for unknown backends.
func (h *Hub) put(backend policy.BackendID, msg message) {
	if a := h.actors[backend]; a != nil {
		a.inbox.Put(msg)
	}
}

// Send sends calls in one frame. Together they count as one call against the connection's limit. If the backend is unknown, they
// end as not connected.
func (h *Hub) Send(backend policy.BackendID, calls []aggregator.Call) {
	if a := h.actors[backend]; a != nil && !a.ended.Load() {
		a.inbox.Put(message{kind: messageSend, newCalls: calls})
		return
	}
	for i := range calls {
		h.notifyEnd(&calls[i], backend, policy.NotConnected, time.Now(), answer{})
	}
}

// notifyEnd reports a call's end to the policy's actor.
func (h *Hub) notifyEnd(c *aggregator.Call, backend policy.BackendID, outcome policy.Outcome, endedAt time.Time, result answer) {
	h.counters.Add("calls", outcomeNames[outcome], 1)
	h.events.Put(aggregator.Event{Value: result.value, Event: policy.Event{Kind: policy.CallEnded, Subquery: c.Subquery, Call: c.Number,
		Backend: backend, Outcome: outcome, Elapsed: max(0, endedAt.Sub(c.Sent).Seconds()), Load: result.load}})
}

// Cancel cancels a call. An answer that arrives after the cancel frame was written is dropped.
func (h *Hub) Cancel(backend policy.BackendID, subquery policy.SubqueryID, callNumber policy.CallNumber) {
	h.put(backend, message{kind: messageCancel, subquery: subquery, callNumber: callNumber})
}

// Probe sends a probe to a backend. If separate is true, the probe uses a connection with nothing else in flight.
func (h *Hub) Probe(backend policy.BackendID, separate bool) {
	h.put(backend, message{kind: messageProbe, separate: separate, at: time.Now()})
}

// CloseIdle closes the idle connections to a backend.
func (h *Hub) CloseIdle(backend policy.BackendID) { h.put(backend, message{kind: messageCloseIdle}) }

// Stop ends all actors and their connections, and waits for them. The policy's actor must have ended before.
func (h *Hub) Stop() {
	for _, a := range h.actors {
		a.inbox.Put(message{kind: messageStop})
	}
	h.cancelDials() // the dials are no longer needed
	h.running.Wait()
}

// seconds converts seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// outcomeNames are the names of the outcomes in the counters.
var outcomeNames = [...]string{policy.Answered: "answered", policy.Errored: "errored", policy.Rejected: "turned_away",
	policy.TimedOut: "timed_out", policy.NotConnected: "not_connected", policy.Broken: "broken",
	policy.Canceled: "withdrawn", policy.NotSent: "not_sent"}
