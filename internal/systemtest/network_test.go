package systemtest

import (
	"context"
	"sync"
	"time"
)

// call is one call that passes a relay.
type call struct {
	from, to    string // machines; outside for clients, operators and fakes
	path        string
	incarnation string // the incarnation that a call to a worker expects
	body        []byte
	sentAt      time.Time
	status      int // of the answer
	answer      []byte
}

// outside is the name of all that is no machine of the system.
const outside = "outside"

// phase is a phase of a call.
type phase uint8

const (
	beforeDelivery phase = iota // it has not been delivered
	beforeReply                 // it was carried out, and its answer has not been delivered
)

// injection injects a fault at the n-th call on a path, counted from when it is armed.
type injection struct {
	path   string
	from   string // the caller's machine; empty for any
	to     string // the callee's machine; empty for any
	number int    // from 1
	phase  phase
	drop   bool       // the call or its answer is lost
	action func(call) // what happens meanwhile; may be nil
	only   func(call) bool

	seen  int
	fired chan struct{}
}

// link is one direction between two machines.
type link struct{ from, to string }

// network decides what passes the relays.
type network struct {
	mu          sync.Mutex
	partitioned map[link]bool
	delays      map[link]time.Duration
	injections  []*injection
	changed     chan struct{} // closed at the next change of partitioned
	dropFilter  func(call) bool
	dropped     int // calls that loss has kept back
}

func newNetwork() *network {
	return &network{partitioned: map[link]bool{}, delays: map[link]time.Duration{}, changed: make(chan struct{})}
}

// arm registers an injection, which fires once.
func (n *network) arm(p injection) *injection {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.fired = make(chan struct{})
	n.injections = append(n.injections, &p)
	return &p
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

// setDropFilter loses all calls that a function picks, until it is set to nil, which returns how many were lost.
func (n *network) setDropFilter(loss func(call) bool) (lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropFilter = loss
	return n.dropped
}

// drops reports whether a call is lost on its way.
func (n *network) drops(c call) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dropFilter == nil || !n.dropFilter(c) {
		return false
	}
	n.dropped++
	return true
}

// setPartition closes or opens the link from one machine to another.
func (n *network) setPartition(from, to string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{from, to}] = partitioned
	close(n.changed)
	n.changed = make(chan struct{})
}

// setDelay delays everything on a link.
func (n *network) setDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{from, to}] = delay
}

// awaitLink waits until the link is open; the error is the context's.
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

// fireInjections fires the injections that a call has reached, and reports whether it is lost there.
func (n *network) fireInjections(c call, at phase) (dropped bool) {
	var struck []*injection
	n.mu.Lock()
	for _, p := range n.injections {
		if p.hasFired() || !p.matches(c, at) {
			continue
		}
		if p.seen++; p.seen == p.number {
			close(p.fired)
			struck = append(struck, p)
		}
	}
	n.mu.Unlock()
	for _, p := range struck {
		if p.action != nil {
			p.action(c)
		}
		dropped = dropped || p.drop
	}
	return dropped
}

func (p *injection) matches(c call, at phase) bool {
	return p.phase == at && p.path == c.path && (p.from == "" || p.from == c.from) && (p.to == "" || p.to == c.to) && (p.only == nil || p.only(c))
}
