package override

import (
	"container/heap"
	"math"
)

// endOverride ends an override that no operator cleared, and returns the change.
func (t *Table) endOverride(now float64, o *Override, kind ChangeKind, reason string) Change {
	change := Change{Revision: t.revision + 1, ChangedAt: now, Kind: kind, Override: *o, Author: o.Author, Reason: reason}
	t.Apply(change)
	return change
}

// Expire ends the overrides that have expired. It returns the changes, which the caller must store.
func (t *Table) Expire(now float64) (ended []Change) {
	for len(t.expiries) > 0 && (t.expiries[0].ExpiresAt <= now || t.live[t.expiries[0].ID] != t.expiries[0]) {
		o := t.expiries[0]
		heap.Pop(&t.expiries)
		if t.live[o.ID] == o {
			ended = append(ended, t.endOverride(now, o, Expired, "its time is over"))
		}
	}
	return ended
}

// NextDeadline returns the time at which Expire or Patch has to be called next if nothing else happens, or +Inf.
func (t *Table) NextDeadline(now float64) float64 {
	next := math.Inf(1)
	if len(t.expiries) > 0 {
		next = t.expiries[0].ExpiresAt
	}
	if len(t.recovering)+len(t.changingPins) > 0 {
		next = min(next, now+recoveryInterval)
	}
	return next
}

// expiryHeap is a min-heap of overrides ordered by expiry time.
type expiryHeap []*Override

func (e expiryHeap) Len() int { return len(e) }

func (e expiryHeap) Less(i, j int) bool { return e[i].ExpiresAt < e[j].ExpiresAt }

func (e expiryHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *expiryHeap) Push(x any) { *e = append(*e, x.(*Override)) } //nolint:forcetypeassert // heap.Interface takes any, and only overrides are pushed

func (e *expiryHeap) Pop() any {
	last := len(*e) - 1
	o := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return o
}
