package systemtest

import (
	"context"
	"sync"
	"time"
)

// call is one call that passes through a relay.
type call struct {
	from, to    string // names of machines, workers or the platform; from is outside for clients and operators
	path        string
	incarnation string // expected incarnation of the called worker
	body        []byte
	sentAt      time.Time
	status      int // status of the answer
	answer      []byte
}

// outside is the caller's name in calls that come from outside the system's machines.
const outside = "outside"

// phase is a phase of a call at which a relay applies faults.
type phase uint8

const (
	beforeDelivery phase = iota // the call has not been delivered to the callee
	beforeReply                 // the callee has answered, and the answer has not been delivered to the caller
)

// injection is a fault at the n-th matching call, counted from when it is armed.
type injection struct {
	path   string
	from   string // the caller's machine; empty for any
	to     string // the callee's machine; empty for any
	number int    // which matching call fires it, from 1
	phase  phase
	drop   bool            // the call or its answer is lost
	action func(call)      // called before the call continues; may be nil
	filter func(call) bool // nil for all calls

	seen  int           // matching calls so far
	fired chan struct{} // closed when the injection fires
}

// link is one direction between two machines.
type link struct{ from, to string }

// network holds the partitions, delays, drops and injections that the relays apply to calls.
type network struct {
	mu          sync.Mutex
	partitioned map[link]bool
	delays      map[link]time.Duration
	injections  []*injection
	changed     chan struct{}   // closed at the next change of partitioned
	dropFilter  func(call) bool // returns true for calls that are dropped; nil drops none
	dropped     int             // calls dropped by dropFilter
}

func newNetwork() *network {
	return &network{partitioned: map[link]bool{}, delays: map[link]time.Duration{}, changed: make(chan struct{})}
}

// arm registers an injection, which fires once.
func (n *network) arm(armed injection) *injection {
	n.mu.Lock()
	defer n.mu.Unlock()
	armed.fired = make(chan struct{})
	n.injections = append(n.injections, &armed)
	return &armed
}

// hasFired reports whether an injection has fired.
func (p *injection) hasFired() bool {
	select {
	case <-p.fired:
		return true
	default:
		return false
	}
}

// setDropFilter sets the function that selects the calls to drop; nil drops none. It returns how many calls have been dropped
// so far.
func (n *network) setDropFilter(filter func(call) bool) (dropped int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropFilter = filter
	return n.dropped
}

// dropsCall reports whether dropFilter drops a call, and counts it if so.
func (n *network) dropsCall(c call) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dropFilter == nil || !n.dropFilter(c) {
		return false
	}
	n.dropped++
	return true
}

// setPartition blocks or unblocks the link from one machine to another.
func (n *network) setPartition(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{from, to}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// setDelay sets the delay of each call and each answer on a link.
func (n *network) setDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{from, to}] = delay
}

// awaitLink waits for the link's delay and then until the link is not blocked. It returns the context's error if the context
// ends first.
func (n *network) awaitLink(ctx context.Context, from, to string) error {
	if err := n.delay(ctx, from, to); err != nil {
		return err
	}
	for {
		n.mu.Lock()
		partitioned, changed := n.partitioned[link{from, to}], n.changed
		n.mu.Unlock()
		if !partitioned {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *network) delay(ctx context.Context, from, to string) error {
	n.mu.Lock()
	delay := n.delays[link{from, to}]
	n.mu.Unlock()
	if delay == 0 {
		return nil
	}
	return sleep(ctx, delay)
}

// fireInjections fires the injections that are due at a call in a phase, and reports whether one of them drops the call.
func (n *network) fireInjections(c call, at phase) (dropped bool) {
	var reached []*injection
	n.mu.Lock()
	for _, p := range n.injections {
		if p.hasFired() || !p.matches(c, at) {
			continue
		}
		if p.seen++; p.seen == p.number {
			close(p.fired)
			reached = append(reached, p)
		}
	}
	n.mu.Unlock()
	for _, p := range reached {
		if p.action != nil {
			p.action(c)
		}
		dropped = dropped || p.drop
	}
	return dropped
}

func (p *injection) matches(c call, at phase) bool {
	return p.phase == at && p.path == c.path && (p.from == "" || p.from == c.from) && (p.to == "" || p.to == c.to) && (p.filter == nil || p.filter(c))
}
