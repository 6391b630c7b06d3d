package replication

import "time"

// Clock is a monotonic clock. It never jumps, and returns the time since an arbitrary fixed moment of this process.
type Clock interface{ Now() time.Duration }

type monotonicClock struct{ origin time.Time }

// Now implements Clock.
func (c monotonicClock) Now() time.Duration { return time.Since(c.origin) }

// Timing holds the intervals and timeouts of the protocol. The zero value of a field means its default.
type Timing struct {
	HeartbeatInterval         time.Duration // interval between pings to a member; pings carry the heartbeats
	LeaderLease               time.Duration // lease of a leader, counted from sending the requests that a majority answered
	FollowerLease             time.Duration // a replica votes for no other candidate for this time after a message of its leader
	ElectionTimeout           time.Duration // time without contact to a leader until a replica campaigns
	LeaderlessElectionTimeout time.Duration // like ElectionTimeout, after a leader has resigned or before the first one
	RankDelay                 time.Duration // additional election timeout per live replica that the group prefers to this one
	MinCampaignBackoff        time.Duration // minimum backoff after a failed campaign
	MaxCampaignBackoff        time.Duration // maximum backoff after a failed campaign
	ReplyTimeout              time.Duration // a reply later than this after sending its request counts towards no majority
	LivenessTimeout           time.Duration // a member counts as alive for this time after its newest ping
	ChunkTimeout              time.Duration // timeout of a call that carries a chunk of a snapshot or of a large batch
}

// DefaultTiming holds the intervals used in production.
var DefaultTiming = Timing{
	HeartbeatInterval:         200 * time.Millisecond,
	LeaderLease:               750 * time.Millisecond,
	FollowerLease:             900 * time.Millisecond,
	ElectionTimeout:           950 * time.Millisecond,
	LeaderlessElectionTimeout: 400 * time.Millisecond,
	RankDelay:                 150 * time.Millisecond,
	MinCampaignBackoff:        60 * time.Millisecond,
	MaxCampaignBackoff:        250 * time.Millisecond,
	ReplyTimeout:              1500 * time.Millisecond,
	LivenessTimeout:           800 * time.Millisecond,
	ChunkTimeout:              2 * time.Second,
}

func (t Timing) withDefaults() Timing {
	setDefault := func(value *time.Duration, defaultValue time.Duration) {
		if *value == 0 {
			*value = defaultValue
		}
	}
	setDefault(&t.HeartbeatInterval, DefaultTiming.HeartbeatInterval)
	setDefault(&t.LeaderLease, DefaultTiming.LeaderLease)
	setDefault(&t.FollowerLease, DefaultTiming.FollowerLease)
	setDefault(&t.ElectionTimeout, DefaultTiming.ElectionTimeout)
	setDefault(&t.LeaderlessElectionTimeout, DefaultTiming.LeaderlessElectionTimeout)
	setDefault(&t.RankDelay, DefaultTiming.RankDelay)
	setDefault(&t.MinCampaignBackoff, DefaultTiming.MinCampaignBackoff)
	setDefault(&t.MaxCampaignBackoff, DefaultTiming.MaxCampaignBackoff)
	setDefault(&t.ReplyTimeout, DefaultTiming.ReplyTimeout)
	setDefault(&t.LivenessTimeout, DefaultTiming.LivenessTimeout)
	setDefault(&t.ChunkTimeout, DefaultTiming.ChunkTimeout)
	return t
}
