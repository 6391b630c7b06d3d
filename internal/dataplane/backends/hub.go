// Package backends speaks with backends: an actor for each, with its connections, calls, probes and time-outs. What
// is sent where is the module's to decide; here is only how.
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

// lateAnswer is how long a call given up may still be answered: above any time that a backend goes on with work that
// nobody waits for, and short enough that the names given up in it are few.
const lateAnswer = 30 * time.Second

// hurry is what is left to a write to a backend that wants nothing new: one that is not stuck is done by then.
const hurry = 100 * time.Millisecond

// Hub hands each backend's actor what concerns it. It belongs to the module's actor.
type Hub struct {
	set         settings.Net
	tell        *eventqueue.Queue[aggregator.Event]
	log         *zap.Logger
	count       *counters.Set
	actors      map[policy.BackendID]*actor
	gone        map[policy.BackendID]*actor // those of actors that the list no longer names
	descriptors chan struct{}               // one place for each descriptor in use
	stuck       time.Duration               // that a write may take
	dials       context.Context             // ends with all connects
	dialer      func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error)
	undial      context.CancelFunc
	all         sync.WaitGroup
}

// New makes a hub that keeps no more than so many connections.
func New(set settings.Net, most int, tell *eventqueue.Queue[aggregator.Event], log *zap.Logger, count *counters.Set) *Hub {
	h := &Hub{set: set, tell: tell, log: log, count: count, actors: map[policy.BackendID]*actor{},
		gone: map[policy.BackendID]*actor{}, descriptors: make(chan struct{}, most), stuck: stuckWrite}
	h.dials, h.undial = context.WithCancel(context.Background())
	h.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	}
	return h
}

// Named takes what the list says of a backend, and starts its actor at the first naming. An actor whose backend is
// gone ends with its last call; the register never names one again by the same number.
func (h *Hub) Named(entry policy.Entry, address string) {
	maps.DeleteFunc(h.gone, func(id policy.BackendID, a *actor) bool {
		if a.over.Load() {
			delete(h.actors, id)
		}
		return h.actors[id] == nil
	})
	a := h.actors[entry.Backend]
	switch {
	case a == nil && entry.Phase == policy.Removed:
		return
	case a == nil:
		a = &actor{hub: h, id: entry.Backend, in: eventqueue.New[note](), calls: map[string]*call{}}
		h.actors[entry.Backend] = a
		h.all.Go(a.run)
	case entry.Phase == policy.Removed:
		h.gone[entry.Backend] = a
	}
	a.in.Put(note{kind: named, entry: entry, address: address})
}

// Unnamed takes those that a whole list leaves out for gone.
func (h *Hub) Unnamed(keep map[policy.BackendID]bool) {
	for id := range h.actors {
		if !keep[id] {
			h.Named(policy.Entry{Backend: id, Phase: policy.Removed}, "")
		}
	}
}

func (h *Hub) put(to policy.BackendID, n note) {
	if a := h.actors[to]; a != nil {
		a.in.Put(n)
	}
}

// Send sends calls that share one place on a connection.
func (h *Hub) Send(to policy.BackendID, calls []aggregator.Call) {
	if a := h.actors[to]; a != nil && !a.over.Load() {
		a.in.Put(note{kind: send, new: calls})
		return
	}
	for i := range calls {
		h.ended(&calls[i], to, policy.NotConnected, time.Now(), answer{})
	}
}

// ended tells the module's actor how a call ended.
func (h *Hub) ended(c *aggregator.Call, at policy.BackendID, how policy.Outcome, when time.Time, with answer) {
	h.count.Add("calls", outcomeNames[how], 1)
	h.tell.Put(aggregator.Event{Value: with.value, Event: policy.Event{Kind: policy.CallEnded, Subquery: c.Subquery, Call: c.No,
		Backend: at, Outcome: how, Elapsed: max(0, when.Sub(c.Sent).Seconds()), Load: with.load}})
}

// Withdraw gives a part call up: its answer counts no more.
func (h *Hub) Withdraw(at policy.BackendID, subquery policy.SubqueryID, no policy.CallNo) {
	h.put(at, note{kind: withdraw, subquery: subquery, no: no})
}

// Probe asks a backend whether it lives, apart from all that is out there if so wanted.
func (h *Hub) Probe(at policy.BackendID, apart bool) {
	h.put(at, note{kind: probe, apart: apart, at: time.Now()})
}

// CloseIdle closes the idle connections to a backend.
func (h *Hub) CloseIdle(at policy.BackendID) { h.put(at, note{kind: closeIdle}) }

// Stop ends all actors and their connections; the module's actor has ended before.
func (h *Hub) Stop() {
	for _, a := range h.actors {
		a.in.Put(note{kind: stop})
	}
	h.undial() // nobody waits for them any more
	h.all.Wait()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

var outcomeNames = [...]string{policy.Answered: "answered", policy.Errored: "errored", policy.Rejected: "turned_away",
	policy.TimedOut: "timed_out", policy.NotConnected: "not_connected", policy.Broken: "broken",
	policy.Canceled: "withdrawn", policy.NotSent: "not_sent"}
