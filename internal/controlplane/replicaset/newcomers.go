package replicaset

import (
	"cmp"
	"slices"
	"time"
)

const (
	newcomerDelay = 300 * time.Millisecond // from a newcomer's first announcement until it may become a member
	newcomerFresh = time.Second            // an announcement counts no longer
)

// newcomer is a core mixer that is no member and announces itself.
type newcomer struct {
	address     string
	zone        string
	incarnation uint64    // of the process that announced itself last
	first       time.Time // announcement
	last        time.Time
}

// newcomers are those that announced themselves with the current view, by address.
type newcomers map[string]newcomer

func (n newcomers) add(one newcomer, now time.Time) {
	one.first, one.last = now, now
	if known, found := n[one.address]; found {
		one.first = known.first
	}
	n[one.address] = one
}

// forget drops those that have fallen silent.
func (n newcomers) forget(now time.Time) {
	for address, one := range n {
		if now.Sub(one.last) > newcomerFresh {
			delete(n, address)
		}
	}
}

// due lists those that have announced themselves for long enough, the longest first.
func (n newcomers) due(now time.Time) []newcomer {
	var due []newcomer
	for _, one := range n {
		if now.Sub(one.first) >= newcomerDelay {
			due = append(due, one)
		}
	}
	slices.SortFunc(due, func(a, b newcomer) int {
		return cmp.Or(a.first.Compare(b.first), cmp.Compare(a.address, b.address))
	})
	return due
}
