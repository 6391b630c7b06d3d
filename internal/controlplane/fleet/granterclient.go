package fleet

import (
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

const (
	requestInterval       = 0.2  // a lease is renewed some twenty times while it lasts
	urgentRequestInterval = 0.02 // where a query found no token
	responseTimeout       = 0.6  // of the granter, before another voter is asked who grants
	maxPendingRequests    = 64   // the oldest are given up
)

// pendingRequest is a grant request whose response has not come.
type pendingRequest struct {
	number  uint64
	sentAt  float64
	granter membership.Name
}

// granterClient knows to whom grant requests go and which of them wait for a response.
type granterClient struct {
	voters       []membership.Name
	leader       membership.Name // that requests go to
	leaderSeenAt float64         // when its last response came, or another node named it
	lastNumber   uint64          // of requests and of commands
	pending      []pendingRequest
}

func (c *granterClient) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// granter is where requests go without a voter's knowledge: to the leader while it responds, else to one voter after the other.
func (c *granterClient) granter(now float64) membership.Name {
	if c.leader != "" && now-c.leaderSeenAt < responseTimeout {
		return c.leader
	}
	c.leader = c.voters[int(c.lastNumber/2)%len(c.voters)] // two requests each, as one may get lost
	return c.leader
}

func (c *granterClient) sawLeader(now float64, leader membership.Name) {
	c.leader, c.leaderSeenAt = leader, now
}

func (c *granterClient) add(request pendingRequest) {
	c.pending = append(c.pending, request)
	if len(c.pending) > maxPendingRequests {
		c.pending = slices.Delete(c.pending, 0, len(c.pending)-maxPendingRequests)
	}
}

// find is the index of a pending request, negative where there is none.
func (c *granterClient) find(number uint64, granter membership.Name) int {
	return slices.IndexFunc(c.pending, func(r pendingRequest) bool { return r.number == number && r.granter == granter })
}

// take removes a pending request.
func (c *granterClient) take(i int) pendingRequest {
	request := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	return request
}

// requestGrants asks the granter for tokens, and whether our contracts are the newest.
func (f *Fleet) requestGrants() {
	number := f.granters.nextNumber()
	request := &grantRequest{
		Number:            number,
		MembershipVersion: f.settings.Membership.Version,
		StrictHash:        f.strictHash,
		Contracts:         f.tables.versions.Contracts,
		AppliedContracts:  f.tables.appliedContracts,
		Quotas:            f.tables.versions.Quotas,
		MinimumsVersion:   f.tables.minimumsVersion,
		Requests:          f.quotaClient.Requests(f.now, number),
	}
	granter := f.currentGranter()
	f.granters.add(pendingRequest{number, f.now, granter})
	fault := failpoint.Pass(failpoint.RequestGrants)
	for range fault.Copies() {
		if granter == f.settings.Self {
			f.receiveGrantResponse(granter, f.grantResponse(granter, request))
		} else {
			f.send(granter, messageGrantRequest, request)
		}
	}
}

// currentGranter is the leader as far as our voter knows, or else the node that granterClient chooses.
func (f *Fleet) currentGranter() membership.Name {
	if f.voter.active() {
		if leader := f.voter.machine.Leader(); leader != "" {
			return leader
		}
	}
	return f.granters.granter(f.now)
}

// receiveGrantResponse takes a granter's response. Its leases count from when the request was sent, however long that took: so
// neither a granter that paused nor a delayed message lengthens a lease.
func (f *Fleet) receiveGrantResponse(from membership.Name, response *grantResponse) {
	i := f.granters.find(response.Number, from)
	if i < 0 {
		f.counters.Add("fleet_dropped", "unasked", 1)
		return
	}
	if failpoint.Pass(failpoint.ReceiveGrant).Drop {
		return
	}
	request := f.granters.take(i)
	if !response.Confirmed {
		if response.Leader != "" && response.Leader != f.settings.Self {
			f.granters.sawLeader(f.now, response.Leader)
		}
		return
	}
	f.granters.sawLeader(f.now, from)
	if f.tables.newerThan(response.Versions) {
		return // the response was delayed, or comes from a former leader
	}
	f.applyTables(response)
	if f.tables.versions.Contracts == response.Versions.Contracts {
		failpoint.Pass(failpoint.Renew)
		f.contractLease.Renew(request.sentAt)
		f.admission.setContractsConfirmedUntil(f.contractLease.AcceptUntil())
	}
	for i := range response.Grants {
		f.quotaClient.ReceiveGrant(f.now, request.sentAt, request.number, &response.Grants[i])
	}
}
