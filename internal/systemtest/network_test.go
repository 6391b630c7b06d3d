package systemtest

import (
	"context"
	"sync"
	"time"
)

// call is one call that passes a relay.
type call struct {
	from, to string // machines; outside for clients, operators and stand-ins
	path     string
	life     string // of a worker: the life that is meant
	body     []byte
	sentAt   time.Time
	status   int // of the answer
	answer   []byte
}

// outside is the name of all that is no machine of the system.
const outside = "outside"

// phase is a place on a call's way.
type phase uint8

const (
	beforeCall   phase = iota // it has not been delivered
	beforeAnswer              // it was carried out, and its answer has not been delivered
)

// point is a numbered place at which a fault strikes: the n-th call on a path, counted from when it is armed.
type point struct {
	path   string
	from   string // the caller's machine; empty for any
	to     string // the callee's machine; empty for any
	number int    // from 1
	phase  phase
	drop   bool       // the call or its answer is lost
	strike func(call) // what happens meanwhile; may be nil
	only   func(call) bool

	seen  int
	fired chan struct{}
}

// link is a way from one machine to another.
type link struct{ from, to string }

// network decides what passes the relays.
type network struct {
	mu      sync.Mutex
	cut     map[link]bool
	delays  map[link]time.Duration
	points  []*point
	changed chan struct{} // closed at the next change of cut
	loss    func(call) bool
	lost    int // calls that loss has kept back
}

func newNetwork() *network {
	return &network{cut: map[link]bool{}, delays: map[link]time.Duration{}, changed: make(chan struct{})}
}

// arm sets a point; it strikes once.
func (n *network) arm(p point) *point {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.fired = make(chan struct{})
	n.points = append(n.points, &p)
	return &p
}

// hasFired tells whether a point has struck.
func (p *point) hasFired() bool {
	select {
	case <-p.fired:
		return true
	default:
		return false
	}
}

// setLoss loses all calls that a function picks, until it is set to nil, which returns how many were lost.
func (n *network) setLoss(loss func(call) bool) (lost int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = loss
	return n.lost
}

// loses tells whether a call is lost on its way.
func (n *network) loses(c call) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loss == nil || !n.loss(c) {
		return false
	}
	n.lost++
	return true
}

// setCut opens or closes the way from one machine to another.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// setDelay makes everything on a way take longer.
func (n *network) setDelay(from, to string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{from, to}] = delay
}

// pass waits until the way is open; the error is the context's.
func (n *network) pass(ctx context.Context, from, to string) error {
	if err := n.delay(ctx, from, to); err != nil {
		return err
	}
	for {
		n.mu.Lock()
		cut, changed := n.cut[link{from, to}], n.changed
		n.mu.Unlock()
		if !cut {
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
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reach lets the points strike that a call has come to, and tells whether it is lost there.
func (n *network) reach(c call, at phase) (dropped bool) {
	var struck []*point
	n.mu.Lock()
	for _, p := range n.points {
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
		if p.strike != nil {
			p.strike(c)
		}
		dropped = dropped || p.drop
	}
	return dropped
}

func (p *point) matches(c call, at phase) bool {
	return p.phase == at && p.path == c.path && (p.from == "" || p.from == c.from) && (p.to == "" || p.to == c.to) && (p.only == nil || p.only(c))
}
