package aggregator

import (
	"container/heap"
	"math"
	"time"

	"puffinlink.example/puffinlink/policy"
)

// timer is a pending timer of the policy.
type timer struct {
	due time.Time
	id  policy.TimerID
}

// timers is a heap of timers by due time. It implements heap.Interface.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) } //nolint:forcetypeassert // heap.Interface requires any, and only timers are pushed

func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// setTimer sets a timer. If the timer fired in this step, the wait counts from its due time rather than from now.
// Otherwise the delays of steps would accumulate in periodic timers. If that time has already passed, the wait counts from
// now.
func (a *Aggregator) setTimer(action *policy.Action, now time.Time) {
	base := now
	wait := time.Duration(math.Ceil(action.Wait * float64(time.Second)))
	if due, repeated := a.dueTimes[action.Timer]; repeated && due.Add(wait).After(now) {
		base = due
	}
	heap.Push(&a.timers, timer{base.Add(wait), action.Timer})
}
