package replication

import "time"

// maxPendingPings is how many pings may wait for one member's answer.
const maxPendingPings = 3

// ping serves pingCall.
func (c *core) ping(request pingRequest, reply func(pingReply)) {
	sender := c.members.get(request.From)
	sender.lastPing, sender.ready = c.now, request.Ready
	answer := pingReply{Heartbeats: make([]appendReply, len(request.Heartbeats))}
	if request.LeadersChecksum != c.leaders.checksum {
		answer.Leaders = c.leaders.byGroup
	}
	missing := len(request.Heartbeats)
	if missing == 0 {
		reply(answer)
		return
	}
	for i, one := range request.Heartbeats {
		c.group(one.Group).replica.heartbeat(one.Term, request.From, request.View, func(result appendReply) {
			answer.Heartbeats[i] = result
			if missing--; missing == 0 {
				reply(answer)
			}
		})
	}
}

// pingAll sends each other member a ping with the heartbeats of all groups led here.
func (c *core) pingAll() {
	request := pingRequest{From: c.self, Ready: c.ready && c.storeWritable(), View: c.view.Version, LeadersChecksum: c.leaders.checksum}
	for _, g := range c.sortedGroups() {
		if g.leading != nil {
			request.Heartbeats = append(request.Heartbeats, heartbeat{Group: g.name, Term: g.leading.termNumber})
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
	sent := c.now
	reply := new(pingReply)
	c.call(address, pingCall.Route(), c.timing.LeaderLease, request, reply, func(err error) {
		peer.pendingPings--
		if err == nil {
			peer.lastAnswered = max(peer.lastAnswered, sent)
			c.pingAnswered(address, request, *reply, sent)
		}
	})
}

func (c *core) pingAnswered(address string, request pingRequest, reply pingReply, sent time.Duration) {
	c.leaders.update(reply.Leaders)
	if len(reply.Heartbeats) != len(request.Heartbeats) {
		return
	}
	for i, one := range request.Heartbeats {
		leading := c.groups[one.Group].leading
		if leading != nil && leading.termNumber == one.Term {
			leading.heartbeatAnswered(address, reply.Heartbeats[i], sent)
		}
	}
}
