package fleet

import (
	"maps"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// maxPendingRequests requests may wait for an answer.
const maxPendingRequests = 64

// ask asks the granter whether our contracts are the newest, and for tokens.
func (f *Fleet) requestGrants() {
	f.requestNumber++
	a := &grantRequest{Number: f.requestNumber, MembershipVersion: f.settings.Membership.Version, StrictHash: f.strictHash, Contracts: f.versions.Contracts, AppliedContracts: f.appliedContracts,
		Quotas: f.versions.Quotas, MinimumsVersion: f.minimumsVersion, Requests: f.quotaClient.Requests(f.now, f.requestNumber)}
	to := f.currentGranter()
	f.pendingRequests = append(f.pendingRequests, pendingRequest{f.requestNumber, f.now, to})
	if len(f.pendingRequests) > maxPendingRequests {
		f.pendingRequests = slices.Delete(f.pendingRequests, 0, len(f.pendingRequests)-maxPendingRequests)
	}
	fault := failpoint.Pass(failpoint.RequestGrants)
	for range fault.Times() {
		if to == f.settings.Self {
			f.receiveGrantResponse(to, f.grantResponse(to, a))
		} else {
			f.send(to, messageGrantRequest, a)
		}
	}
}

// currentGranter is whom to ask: who leads as far as a voter knows, who answered last, or else one voter after the other.
func (f *Fleet) currentGranter() membership.Name {
	if f.consensus != nil && !f.steppedOut {
		if name := f.consensus.Leader(); name != "" {
			return name
		}
	}
	if f.leader != "" && f.now-f.leaderSeenAt < responseTimeout {
		return f.leader
	}
	voters := f.settings.Membership.Voters()
	f.leader = voters[int(f.requestNumber/2)%len(voters)] // two requests each, as one may get lost
	return f.leader
}

// receiveGrantResponse takes an answer. It counts from when we asked, however long it took: so a granter that stood still, and
// messages that were held up, lengthen nothing.
func (f *Fleet) receiveGrantResponse(from membership.Name, g *grantResponse) {
	i := slices.IndexFunc(f.pendingRequests, func(o pendingRequest) bool { return o.number == g.Number && o.granter == from })
	if i < 0 {
		f.counters.Add("fleet_dropped", "unasked", 1)
		return
	}
	if failpoint.Pass(failpoint.ReceiveGrant).Drop {
		return
	}
	at, no := f.pendingRequests[i].sentAt, f.pendingRequests[i].number
	f.pendingRequests = slices.Delete(f.pendingRequests, i, i+1)
	if !g.Confirmed {
		if g.Leader != "" && g.Leader != f.settings.Self {
			f.leader, f.leaderSeenAt = g.Leader, f.now
		}
		return
	}
	f.leader, f.leaderSeenAt = from, f.now
	if g.Versions.Contracts < f.versions.Contracts || g.Versions.Quotas < f.versions.Quotas {
		return // held up, or from one that led before
	}
	f.applyTables(g)
	if f.versions.Contracts == g.Versions.Contracts {
		failpoint.Pass(failpoint.Renew)
		f.contractLease.Renew(at)
		f.setContractsConfirmedUntil(f.contractLease.Until())
	}
	for i := range g.Grants {
		f.quotaClient.ReceiveGrant(f.now, at, no, &g.Grants[i])
	}
}

// applyTables takes tables that are newer than ours.
func (f *Fleet) applyTables(g *grantResponse) {
	contracts := g.Table != nil && g.Table.Version == g.Versions.Contracts && g.Versions.Contracts != f.versions.Contracts
	quotas := g.Versions.Quotas != f.versions.Quotas
	// What another file said, and nobody agreed on, holds only until the consensus is heard.
	first := !f.tablesReceived
	if !contracts && !quotas && !first {
		return
	}
	if contracts || first && g.Versions.Contracts == 0 {
		if f.contracts = g.Table; f.contracts == nil {
			f.contracts = f.emptyTable()
		}
		f.versions.Contracts = g.Versions.Contracts
	}
	if quotas {
		f.quotas, f.versions.Quotas = maps.Clone(g.Quotas), g.Versions.Quotas
	}
	f.tablesReceived = true
	f.publish()
	if contracts || first {
		f.publishZones()
	}
	f.saveTables()
}
