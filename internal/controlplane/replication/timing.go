package replication

import "time"

// Clock is a monotonic clock: it never jumps, and counts from any fixed moment of this process.
type Clock interface{ Now() time.Duration }

type steadyClock struct{ origin time.Time }

// Now implements Clock.
func (c steadyClock) Now() time.Duration { return time.Since(c.origin) }

// Timing holds the intervals of the protocol. The zero value of a field stands for its default.
type Timing struct {
	HeartbeatInterval     time.Duration // between two pings to a member, which carry the heartbeats
	LeaderLease           time.Duration // a leader acts that long after it sent what a majority answered
	FollowerLease         time.Duration // a replica elects no other leader that long after it heard the present one
	ElectionTimeout       time.Duration // without a leader until a replica campaigns
	VacantElectionTimeout time.Duration // the same after a leader has resigned, or before the first one
	RankDelay             time.Duration // added for each live replica that comes first in the group's order
	MinCampaignBackoff    time.Duration // after a campaign that failed, at least
	MaxCampaignBackoff    time.Duration // and at most
	ReplyTimeout          time.Duration // an answer that comes later than that after its request was sent counts in no majority
	LivenessTimeout       time.Duration // a member whose ping came within that time is alive
	ChunkTimeout          time.Duration // limit of a call that carries a chunk of a snapshot or of a large batch
}

// DefaultTiming are the intervals used in service.
var DefaultTiming = Timing{
	HeartbeatInterval:     200 * time.Millisecond,
	LeaderLease:           750 * time.Millisecond,
	FollowerLease:         900 * time.Millisecond,
	ElectionTimeout:       950 * time.Millisecond,
	VacantElectionTimeout: 400 * time.Millisecond,
	RankDelay:             150 * time.Millisecond,
	MinCampaignBackoff:    60 * time.Millisecond,
	MaxCampaignBackoff:    250 * time.Millisecond,
	ReplyTimeout:          1500 * time.Millisecond,
	LivenessTimeout:       800 * time.Millisecond,
	ChunkTimeout:          2 * time.Second,
}

func (t Timing) withDefaults() Timing {
	fill := func(value *time.Duration, standard time.Duration) {
		if *value == 0 {
			*value = standard
		}
	}
	fill(&t.HeartbeatInterval, DefaultTiming.HeartbeatInterval)
	fill(&t.LeaderLease, DefaultTiming.LeaderLease)
	fill(&t.FollowerLease, DefaultTiming.FollowerLease)
	fill(&t.ElectionTimeout, DefaultTiming.ElectionTimeout)
	fill(&t.VacantElectionTimeout, DefaultTiming.VacantElectionTimeout)
	fill(&t.RankDelay, DefaultTiming.RankDelay)
	fill(&t.MinCampaignBackoff, DefaultTiming.MinCampaignBackoff)
	fill(&t.MaxCampaignBackoff, DefaultTiming.MaxCampaignBackoff)
	fill(&t.ReplyTimeout, DefaultTiming.ReplyTimeout)
	fill(&t.LivenessTimeout, DefaultTiming.LivenessTimeout)
	fill(&t.ChunkTimeout, DefaultTiming.ChunkTimeout)
	return t
}
