package fleet

import (
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
)

// readIndexInterval is the time, in seconds, between the reads by which a leader confirms its leadership.
const readIndexInterval = 0.2

// leadership is the state of this node as the granter. The Raft leader is the granter. It grants only until confirmedUntil: a
// read index (section 6.4 of Ongaro's dissertation on Raft) confirms the leadership for leaderLease seconds.
type leadership struct {
	leaderLease float64 // seconds for which a read confirms the leadership
	granting    bool    // whether this node is the granter in term
	term        uint64
	// confirmedUntil is the time until which no other node can lead.
	confirmedUntil float64
	nextReadAt     float64                          // time of the next read
	pendingReads   map[consensus.ReadNumber]float64 // unconfirmed reads, with the time at which each was sent
	lastRead       consensus.ReadNumber
	granter        *quota.Granter
	rollout        *residency.Rollout
	// previousLeaderUntil is the time until which a former leader may still send older tables.
	previousLeaderUntil float64
	minimumsAppliedBy   map[membership.Name]consensus.QuotasVersion // version of the quotas whose minimums each node applies
	// strictMismatch is true for a node whose operator's file has another set of strict tenants than this node's file. Strict
	// tenants are refused while the contracts are not confirmed.
	strictMismatch map[membership.Name]bool
}

func newLeadership(settings *Settings) leadership {
	var names []membership.Name
	for _, member := range settings.Membership.Members {
		names = append(names, member.Name)
	}
	return leadership{
		leaderLease:       settings.Lease * leaderLeaseShare,
		pendingReads:      map[consensus.ReadNumber]float64{},
		granter:           quota.NewGranter(settings.Lease * tokenShare),
		rollout:           residency.NewRollout(settings.Lease*contractShare, names),
		minimumsAppliedBy: map[membership.Name]consensus.QuotasVersion{},
		strictMismatch:    map[membership.Name]bool{},
	}
}

// begin makes this node the granter in a term. The granter and the rollout wait until everything that a former leader granted
// has expired.
func (l *leadership) begin(now float64, term uint64) {
	l.granting, l.term, l.confirmedUntil = true, term, 0
	l.granter.Begin(now, l.leaderLease, term)
	l.rollout.Begin(now, l.leaderLease)
	l.previousLeaderUntil = now + l.leaderLease*quota.WaitFactor
	clear(l.minimumsAppliedBy)
	clear(l.strictMismatch)
}

// confirm extends the leader lease: at the given time no other node could lead.
func (l *leadership) confirm(confirmedAt float64) {
	l.granter.Confirm(confirmedAt, l.leaderLease)
	l.confirmedUntil = max(l.confirmedUntil, confirmedAt+l.leaderLease)
}

// end stops granting.
func (l *leadership) end() {
	l.granting, l.confirmedUntil = false, 0
	l.granter.End()
	clear(l.pendingReads)
}

// startRead registers a read that is sent now, and returns its number.
func (l *leadership) startRead(now float64) consensus.ReadNumber {
	l.nextReadAt = now + readIndexInterval
	l.lastRead++
	l.pendingReads[l.lastRead] = now
	return l.lastRead
}

// expireReads drops the pending reads that are older than maxAge seconds.
func (l *leadership) expireReads(now, maxAge float64) {
	for number, sentAt := range l.pendingReads {
		if now-sentAt > maxAge {
			delete(l.pendingReads, number)
		}
	}
}

// recordRequest stores what a node reports about itself in a grant request.
func (l *leadership) recordRequest(now float64, from membership.Name, request *grantRequest, strictHash uint64) {
	l.rollout.RecordApplied(now, from, request.AppliedContracts)
	l.rollout.RecordRenewal(now, from)
	if now >= l.previousLeaderUntil {
		l.minimumsAppliedBy[from] = request.MinimumsVersion
	}
	l.strictMismatch[from] = request.StrictHash != strictHash
}

// anyStrictMismatch reports whether the strict tenants of some node differ from those of this one.
func (l *leadership) anyStrictMismatch() bool {
	for _, differs := range l.strictMismatch {
		if differs {
			return true
		}
	}
	return false
}

// reservedMinimums returns the sum of the minimums, the part of a tenant's quota that nodes may spend without a grant. For a node
// that has reported the current version of the quotas, it counts the current minimum. For any other node it counts the largest
// minimum that the tenant ever had.
func (l *leadership) reservedMinimums(state *consensus.State, members []membership.Member, tenant quota.Tenant) (rate, burst float64) {
	currentRate, currentBurst := state.Quotas[tenant].NodeMinimum(len(members))
	largest := state.LargestMinimums[tenant]
	largestRate, largestBurst := quota.Quota{Rate: largest.Rate, Burst: largest.Burst, MinimumShare: 1}.NodeMinimum(len(members))
	for _, member := range members {
		if version, reported := l.minimumsAppliedBy[member.Name]; reported && version == state.QuotasVersion {
			rate, burst = rate+currentRate, burst+currentBurst
		} else {
			rate, burst = rate+largestRate, burst+largestBurst
		}
	}
	return rate, burst
}

// isConfirmedLeader reports whether this node leads and no other node can lead now. Then its state is the newest agreed one.
func (f *Fleet) isConfirmedLeader() bool {
	return f.leadership.granting && f.now < f.leadership.confirmedUntil && !f.voter.suspended
}

// leadershipConfirmed records that no other node could lead at the given time. With the first confirmation in a term this node
// becomes the granter.
func (f *Fleet) leadershipConfirmed(confirmedAt float64) {
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
	f.leadership.confirm(confirmedAt)
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

// grantResponse builds the response to a node's request. A confirmed leader responds with grants and with the tables that differ
// from the requester's. Any other node responds with the leader that it knows, if any.
func (f *Fleet) grantResponse(from membership.Name, request *grantRequest) *grantResponse {
	response := &grantResponse{Number: request.Number}
	if !f.isConfirmedLeader() {
		if f.voter.machine != nil {
			response.Leader = f.voter.machine.Leader()
		}
		return response
	}
	members := &f.settings.Membership
	if request.MembershipVersion != members.Version { // quotas split among another membership would add up to another sum
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
	f.leadership.recordRequest(f.now, from, request, f.strictHash)
	if f.leadership.strictMismatch[from] {
		f.counters.Add("fleet", "other_strict", 1)
	}
	reserved := func(tenant quota.Tenant) (rate, burst float64) {
		return f.leadership.reservedMinimums(state, members.Members, tenant)
	}
	for i := range request.Requests {
		if q, found := state.Quotas[request.Requests[i].Tenant]; found {
			if grant, granted := f.leadership.granter.Grant(f.now, from, &request.Requests[i], q, reserved); granted {
				response.Grants = append(response.Grants, grant)
			}
		}
	}
	return response
}
