package override

import (
	"container/heap"
	"math"
)

// end ends an override by itself.
func (t *Table) end(now float64, o *Override, what What, why string) Change {
	c := Change{Revision: t.revision + 1, At: now, What: what, Override: *o, Author: o.Author, Reason: why}
	t.Apply(c)
	return c
}

// Due ends the overrides whose end has come, and returns the changes, to be stored.
func (t *Table) Due(now float64) (ended []Change) {
	for len(t.ends) > 0 && (t.ends[0].End <= now || t.live[t.ends[0].ID] != t.ends[0]) {
		o := t.ends[0]
		heap.Pop(&t.ends)
		if t.live[o.ID] == o {
			ended = append(ended, t.end(now, o, HasEnded, "its time is over"))
		}
	}
	return ended
}

// Next tells when Due and Patch have something to do, whatever else happens; +Inf for never.
func (t *Table) Next(now float64) float64 {
	next := math.Inf(1)
	if len(t.ends) > 0 {
		next = t.ends[0].End
	}
	if len(t.recovering)+len(t.changingPins) > 0 {
		next = min(next, now+recoveryStep)
	}
	return next
}

// ends is a heap of overrides by their end.
type ends []*Override

func (e ends) Len() int { return len(e) }

func (e ends) Less(i, j int) bool { return e[i].End < e[j].End }

func (e ends) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *ends) Push(x any) { *e = append(*e, x.(*Override)) } //nolint:forcetypeassert // heap.Interface takes any, and only overrides are pushed

func (e *ends) Pop() any {
	last := len(*e) - 1
	o := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return o
}
