package fleet

import (
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

const (
	// requestInterval is the time, in seconds, between grant requests. A lease is renewed about twenty times before it expires.
	requestInterval = 0.2
	// urgentRequestInterval replaces requestInterval, in seconds, after a query found no token.
	urgentRequestInterval = 0.02
	// responseTimeout is the time, in seconds, without a response from the granter after which another voter is asked.
	responseTimeout = 0.6
	// maxPendingRequests bounds the requests that wait for a response. The oldest ones are dropped.
	maxPendingRequests = 64
)

// pendingRequest is a grant request without a response so far.
type pendingRequest struct {
	number  uint64
	sentAt  float64
	granter membership.Name
}

// granterClient selects the node that grant requests are sent to, and tracks the requests that wait for a response.
type granterClient struct {
	voters       []membership.Name
	leader       membership.Name // the node that requests are sent to
	leaderSeenAt float64         // time of its last response, or of another node's message that named it
	lastNumber   uint64          // last number given to a request or a command
	pending      []pendingRequest
}

func (c *granterClient) nextNumber() uint64 {
	c.lastNumber++
	return c.lastNumber
}

// selectGranter returns the node to send a request to if no local voter knows the leader. It returns the last known leader while
// that node responds, and otherwise each voter in turn.
func (c *granterClient) selectGranter(now float64) membership.Name {
	if c.leader != "" && now-c.leaderSeenAt < responseTimeout {
		return c.leader
	}
	c.leader = c.voters[int(c.lastNumber/2)%len(c.voters)] // two requests to each voter, as one may be lost
	return c.leader
}

func (c *granterClient) setLeader(now float64, leader membership.Name) {
	c.leader, c.leaderSeenAt = leader, now
}

func (c *granterClient) add(request pendingRequest) {
	c.pending = append(c.pending, request)
	if len(c.pending) > maxPendingRequests {
		c.pending = slices.Delete(c.pending, 0, len(c.pending)-maxPendingRequests)
	}
}

// find returns the index of a pending request, or a negative number if there is none.
func (c *granterClient) find(number uint64, granter membership.Name) int {
	return slices.IndexFunc(c.pending, func(r pendingRequest) bool { return r.number == number && r.granter == granter })
}

// removeAt removes the pending request with an index and returns it.
func (c *granterClient) removeAt(i int) pendingRequest {
	request := c.pending[i]
	c.pending = slices.Delete(c.pending, i, i+1)
	return request
}

// requestGrants asks the granter for tokens, and for a confirmation that this node's contracts are the newest.
func (f *Fleet) requestGrants() {
	number := f.granterClient.nextNumber()
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
	f.granterClient.add(pendingRequest{number, f.now, granter})
	fault := failpoint.Pass(failpoint.RequestGrants)
	for range fault.Copies() {
		if granter == f.settings.Self {
			f.receiveGrantResponse(granter, f.grantResponse(granter, request))
		} else {
			f.send(granter, messageGrantRequest, request)
		}
	}
}

// currentGranter returns the leader that the local voter knows, or otherwise the node that granterClient selects.
func (f *Fleet) currentGranter() membership.Name {
	if f.voter.active() {
		if leader := f.voter.machine.Leader(); leader != "" {
			return leader
		}
	}
	return f.granterClient.selectGranter(f.now)
}

// receiveGrantResponse applies a granter's response to a pending request. The leases start at the time at which the request was
// sent. So neither a pause of the granter nor a delayed message extends a lease.
func (f *Fleet) receiveGrantResponse(from membership.Name, response *grantResponse) {
	i := f.granterClient.find(response.Number, from)
	if i < 0 {
		f.counters.Add("fleet_dropped", "unasked", 1)
		return
	}
	if failpoint.Pass(failpoint.ReceiveGrant).Drop {
		return
	}
	request := f.granterClient.removeAt(i)
	if !response.Confirmed {
		if response.Leader != "" && response.Leader != f.settings.Self {
			f.granterClient.setLeader(f.now, response.Leader)
		}
		return
	}
	f.granterClient.setLeader(f.now, from)
	if f.tables.newerThan(response.Versions) {
		return // the response was delayed, or is from a former leader
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
