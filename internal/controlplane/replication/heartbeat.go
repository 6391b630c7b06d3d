package replication

import "time"

// maxPendingPings bounds the number of unanswered pings per member.
const maxPendingPings = 3

// ping handles pingCall.
func (c *core) ping(request pingRequest, reply func(pingReply)) {
	sender := c.members.get(request.From)
	sender.lastPing, sender.ready = c.now, request.Ready
	answer := pingReply{Heartbeats: make([]appendReply, len(request.Heartbeats))}
	if request.LeadersChecksum != c.leaders.checksum {
		answer.Leaders = c.leaders.byGroup
	}
	unanswered := len(request.Heartbeats)
	if unanswered == 0 {
		reply(answer)
		return
	}
	for i, beat := range request.Heartbeats {
		c.group(beat.Group).replica.heartbeat(beat.Term, request.From, request.View, func(result appendReply) {
			answer.Heartbeats[i] = result
			if unanswered--; unanswered == 0 {
				reply(answer)
			}
		})
	}
}

// pingAll sends a ping to each other member, with the heartbeats of all groups that this node leads.
func (c *core) pingAll() {
	request := pingRequest{From: c.self, Ready: c.ready && c.storeWritable(), View: c.view.Version, LeadersChecksum: c.leaders.checksum}
	for _, g := range c.sortedGroups() {
		if g.leadership != nil {
			request.Heartbeats = append(request.Heartbeats, heartbeat{Group: g.name, Term: g.leadership.termNumber})
		}
	}
	for _, address := range c.view.Members {
		if address != c.self {
			c.pingOne(address, request)
		}
	}
}

func (c *core) pingOne(address string, request pingRequest) {
	peer := c.members.get(address)
	if peer.pendingPings >= maxPendingPings {
		return
	}
	peer.pendingPings++
	sentAt := c.now
	reply := new(pingReply)
	c.call(address, pingCall.Route(), c.timing.LeaderLease, request, reply, func(err error) {
		peer.pendingPings--
		if err == nil {
			peer.answeredPingSentAt = max(peer.answeredPingSentAt, sentAt)
			c.handlePingReply(address, request, *reply, sentAt)
		}
	})
}

func (c *core) handlePingReply(address string, request pingRequest, reply pingReply, sentAt time.Duration) {
	c.leaders.update(reply.Leaders)
	if len(reply.Heartbeats) != len(request.Heartbeats) {
		return
	}
	for i, beat := range request.Heartbeats {
		l := c.groups[beat.Group].leadership
		if l != nil && l.termNumber == beat.Term {
			l.handleHeartbeatReply(address, reply.Heartbeats[i], sentAt)
		}
	}
}
