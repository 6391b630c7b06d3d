package replication

import (
	"errors"
	"time"
)

// Clock is a steady clock: it never jumps, and counts from any fixed moment of this process.
type Clock interface{ Now() time.Duration }

type steadyClock struct{ origin time.Time }

// Now implements Clock.
func (c steadyClock) Now() time.Duration { return time.Since(c.origin) }

// Timing holds the intervals of the protocol. The zero value of a field stands for its default.
type Timing struct {
	Beat          time.Duration // between two pings to a member
	LeaderLease   time.Duration // a leader acts that long after it sent what a majority answered
	ReplicaLease  time.Duration // a replica elects no other leader that long after it heard the present one
	Silence       time.Duration // without a leader until a replica campaigns
	Vacancy       time.Duration // the same after a leader has resigned, or before the first one
	RankDelay     time.Duration // added for each live replica that comes first in the group's order
	RetryShortest time.Duration // pause after a campaign that failed, at least
	RetryLongest  time.Duration // and at most
	Round         time.Duration // an answer that comes later than that after the request counts in no majority
	Alive         time.Duration // a member that was heard within that time is alive
	Transfer      time.Duration // limit of a call that carries a part of a state
}

// DefaultTiming are the intervals used in service.
var DefaultTiming = Timing{
	Beat:          200 * time.Millisecond,
	LeaderLease:   750 * time.Millisecond,
	ReplicaLease:  900 * time.Millisecond,
	Silence:       950 * time.Millisecond,
	Vacancy:       400 * time.Millisecond,
	RankDelay:     150 * time.Millisecond,
	RetryShortest: 60 * time.Millisecond,
	RetryLongest:  250 * time.Millisecond,
	Round:         1500 * time.Millisecond,
	Alive:         800 * time.Millisecond,
	Transfer:      2 * time.Second,
}

var errLeaseTooLong = errors.New("replication: LeaderLease must be shorter than ReplicaLease")

func (t Timing) withDefaults() Timing {
	fill := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	fill(&t.Beat, DefaultTiming.Beat)
	fill(&t.LeaderLease, DefaultTiming.LeaderLease)
	fill(&t.ReplicaLease, DefaultTiming.ReplicaLease)
	fill(&t.Silence, DefaultTiming.Silence)
	fill(&t.Vacancy, DefaultTiming.Vacancy)
	fill(&t.RankDelay, DefaultTiming.RankDelay)
	fill(&t.RetryShortest, DefaultTiming.RetryShortest)
	fill(&t.RetryLongest, DefaultTiming.RetryLongest)
	fill(&t.Round, DefaultTiming.Round)
	fill(&t.Alive, DefaultTiming.Alive)
	fill(&t.Transfer, DefaultTiming.Transfer)
	return t
}
