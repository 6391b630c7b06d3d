package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// readIndexInterval is how often a leader confirms that it still leads.
const readIndexInterval = 0.2

// leadership is the state of the node that grants. The leader of the voters grants, while a read index (Raft, section 6.4 of
// Ongaro's dissertation) has confirmed its leadership for a time.
type leadership struct {
	authority float64 // seconds that a confirmation lasts
	granting  bool    // we began to grant in term
	term      uint64
	// confirmedUntil is until when no other node can lead.
	confirmedUntil float64
	readAt         float64                          // when the next read is due
	pendingReads   map[consensus.ReadNumber]float64 // when they were sent
	lastRead       consensus.ReadNumber
	granter        *quota.Granter
	rollout        *residency.Rollout
	// previousLeaderUntil is until when a former leader may still send older tables.
	previousLeaderUntil float64
	minimumsAppliedBy   map[membership.Name]consensus.QuotasVersion // whose minimums each node goes by
	// differsInStrict are the nodes whose operator's file refuses other tenants where contracts are not confirmed.
	differsInStrict map[membership.Name]bool
}

func newLeadership(settings *Settings) leadership {
	var names []membership.Name
	for _, member := range settings.Membership.Members {
		names = append(names, member.Name)
	}
	return leadership{
		authority:         settings.Lease * authorityShare,
		pendingReads:      map[consensus.ReadNumber]float64{},
		granter:           quota.NewGranter(settings.Lease * tokenShare),
		rollout:           residency.NewRollout(settings.Lease*contractShare, names),
		minimumsAppliedBy: map[membership.Name]consensus.QuotasVersion{},
		differsInStrict:   map[membership.Name]bool{},
	}
}

// begin starts granting in a term. What a former leader granted has to expire first, which granter and rollout see to.
func (l *leadership) begin(now float64, term uint64) {
	l.granting, l.term, l.confirmedUntil = true, term, 0
	l.granter.Begin(now, l.authority, term)
	l.rollout.Begin(now, l.authority)
	l.previousLeaderUntil = now + l.authority*quota.WaitFactor
	clear(l.minimumsAppliedBy)
	clear(l.differsInStrict)
}

// confirm notes that no other node could lead at a time.
func (l *leadership) confirm(at float64) {
	l.granter.Confirm(at, l.authority)
	l.confirmedUntil = max(l.confirmedUntil, at+l.authority)
}

// end stops granting.
func (l *leadership) end() {
	l.granting, l.confirmedUntil = false, 0
	l.granter.End()
	clear(l.pendingReads)
}

// startRead numbers a read that is sent now.
func (l *leadership) startRead(now float64) consensus.ReadNumber {
	l.readAt = now + readIndexInterval
	l.lastRead++
	l.pendingReads[l.lastRead] = now
	return l.lastRead
}

// expireReads forgets the reads that were sent longer ago than a time.
func (l *leadership) expireReads(now, maxAge float64) {
	for number, sentAt := range l.pendingReads {
		if now-sentAt > maxAge {
			delete(l.pendingReads, number)
		}
	}
}

// record takes what a node says of itself in a request.
func (l *leadership) record(now float64, from membership.Name, request *grantRequest, strictHash uint64) {
	l.rollout.RecordApplied(now, from, request.AppliedContracts)
	l.rollout.RecordRenewal(now, from)
	if now >= l.previousLeaderUntil {
		l.minimumsAppliedBy[from] = request.MinimumsVersion
	}
	l.differsInStrict[from] = request.StrictHash != strictHash
}

// anyDiffersInStrict tells whether some node refuses other tenants than this one where contracts are not confirmed.
func (l *leadership) anyDiffersInStrict() bool {
	for _, differs := range l.differsInStrict {
		if differs {
			return true
		}
	}
	return false
}

// reservedMinimums sums what the nodes may spend of a tenant's quota without a grant: nodes that reported to go by the current
// quotas have their minimum by these, all others by the largest that the tenant ever had.
func (l *leadership) reservedMinimums(state *consensus.State, members []membership.Member, tenant quota.Tenant) (perS, burst float64) {
	currentPerS, currentBurst := state.Quotas[tenant].NodeMinimum(len(members))
	largest := state.LargestMinimums[tenant]
	largestPerS, largestBurst := quota.Quota{Rate: largest.PerS, Burst: largest.Burst, MinimumShare: 1}.NodeMinimum(len(members))
	for _, member := range members {
		if version, reported := l.minimumsAppliedBy[member.Name]; reported && version == state.QuotasVersion {
			perS, burst = perS+currentPerS, burst+currentBurst
		} else {
			perS, burst = perS+largestPerS, burst+largestBurst
		}
	}
	return perS, burst
}

// isConfirmedLeader tells whether no other node can lead, so that what we know to be agreed on is the newest.
func (f *Fleet) isConfirmedLeader() bool {
	return f.leadership.granting && f.now < f.leadership.confirmedUntil && !f.voter.steppedOut
}

// leadershipConfirmed notes that no other node could lead at a time. The first such time of a term begins our granting.
func (f *Fleet) leadershipConfirmed(at float64) {
	if !f.voter.machine.Leads() {
		return
	}
	failpoint.Pass(failpoint.ConfirmGranter)
	if l := &f.leadership; !l.granting {
		failpoint.Pass(failpoint.BeginGranting)
		l.begin(f.now, f.voter.machine.Term())
		f.counters.Add("fleet", "led", 1)
		f.logger.Info("fleet leadership began", zap.Uint64("term", l.term), zap.Float64("grants_in_s", l.granter.ReadyAt()-f.now))
	}
	f.leadership.confirm(at)
}

func (f *Fleet) stopLeading() {
	if f.leadership.granting {
		f.leadership.end()
		f.logger.Info("fleet leadership ended", zap.Uint64("term", f.leadership.term))
	}
}

func (f *Fleet) receiveGrantRequest(from membership.Name, request *grantRequest) {
	response := f.grantResponse(from, request)
	for range failpoint.Pass(failpoint.RespondToGrantRequest).Copies() {
		f.send(from, messageGrantResponse, response)
	}
}

// grantResponse responds to a node's request: with grants and newer tables where this node grants, else with the leader that it
// knows of.
func (f *Fleet) grantResponse(from membership.Name, request *grantRequest) *grantResponse {
	response := &grantResponse{Number: request.Number}
	if !f.isConfirmedLeader() {
		if f.voter.machine != nil {
			response.Leader = f.voter.machine.Leader()
		}
		return response
	}
	members := &f.settings.Membership
	if request.MembershipVersion != members.Version { // shares of another membership do not add up with ours
		f.counters.Add("fleet", "other_roster", 1)
		f.logger.Error("fleet membership version differs",
			zap.String("member", string(from)),
			zap.Int("version", request.MembershipVersion),
			zap.Int("expected", members.Version))
		return response
	}
	state := f.voter.machine.State()
	response.Confirmed, response.Leader, response.Versions = true, f.settings.Self, tableVersions{state.Contracts.Version, state.QuotasVersion}
	if request.Contracts != response.Versions.Contracts {
		response.Table = &state.Contracts
	}
	if request.Quotas != response.Versions.Quotas {
		response.Quotas = state.Quotas
	}
	f.leadership.record(f.now, from, request, f.strictHash)
	if f.leadership.differsInStrict[from] {
		f.counters.Add("fleet", "other_strict", 1)
	}
	reserved := func(tenant quota.Tenant) (perS, burst float64) {
		return f.leadership.reservedMinimums(state, members.Members, tenant)
	}
	for i := range request.Requests {
		if q, has := state.Quotas[request.Requests[i].Tenant]; has {
			if grant, may := f.leadership.granter.Grant(f.now, from, &request.Requests[i], q, reserved); may {
				response.Grants = append(response.Grants, grant)
			}
		}
	}
	return response
}
