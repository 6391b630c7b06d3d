package fleet

import (
	"maps"
	"slices"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
)

// mostAsked askings may wait for an answer.
const mostAsked = 64

// ask asks the granter whether our contracts are the newest, and for tokens.
func (f *Fleet) ask() {
	f.askNo++
	a := &asking{No: f.askNo, Roster: f.set.Roster.Version, Strict: f.strictHash, Contracts: f.has.Contracts, Holds: f.holds,
		Quotas: f.has.Quotas, Floors: f.floorsAt, Asks: f.holder.Asks(f.now, f.askNo)}
	to := f.granterNow()
	f.asked = append(f.asked, out{f.askNo, f.now, to})
	if len(f.asked) > mostAsked {
		f.asked = slices.Delete(f.asked, 0, len(f.asked)-mostAsked)
	}
	fault := failpoint.Pass(failpoint.AskGranter)
	for range fault.Times() {
		if to == f.set.Self {
			f.takeGrant(to, f.answered(to, a))
		} else {
			f.send(to, messageAsk, a)
		}
	}
}

// granterNow is whom to ask: who leads as far as a voter knows, who answered last, or else one voter after the other.
func (f *Fleet) granterNow() membership.Name {
	if f.council != nil && !f.failed {
		if name := f.council.Leader(); name != "" {
			return name
		}
	}
	if f.leader != "" && f.now-f.answeredAt < answerWait {
		return f.leader
	}
	voters := f.set.Roster.Voters()
	f.leader = voters[int(f.askNo/2)%len(voters)] // two askings each, as one may get lost
	return f.leader
}

// takeGrant takes an answer. It counts from when we asked, however long it took: so a granter that stood still, and
// messages that were held up, lengthen nothing.
func (f *Fleet) takeGrant(from membership.Name, g *granting) {
	i := slices.IndexFunc(f.asked, func(o out) bool { return o.no == g.No && o.to == from })
	if i < 0 {
		f.count.Add("fleet_dropped", "unasked", 1)
		return
	}
	if failpoint.Pass(failpoint.TakeGrant).Drop {
		return
	}
	at, no := f.asked[i].at, f.asked[i].no
	f.asked = slices.Delete(f.asked, i, i+1)
	if !g.Sure {
		if g.Leader != "" && g.Leader != f.set.Self {
			f.leader, f.answeredAt = g.Leader, f.now
		}
		return
	}
	f.leader, f.answeredAt = from, f.now
	if g.Versions.Contracts < f.has.Contracts || g.Versions.Quotas < f.has.Quotas {
		return // held up, or from one that led before
	}
	f.adopt(g)
	if f.has.Contracts == g.Versions.Contracts {
		failpoint.Pass(failpoint.Renew)
		f.lease.Renew(at)
		f.setSure(f.lease.Until())
	}
	for i := range g.Grants {
		f.holder.Take(f.now, at, no, &g.Grants[i])
	}
}

// adopt takes tables that are newer than ours.
func (f *Fleet) adopt(g *granting) {
	contracts := g.Table != nil && g.Table.Version == g.Versions.Contracts && g.Versions.Contracts != f.has.Contracts
	quotas := g.Versions.Quotas != f.has.Quotas
	// What another file said, and nobody agreed on, holds only until the council is heard.
	first := !f.heard
	if !contracts && !quotas && !first {
		return
	}
	if contracts || first && g.Versions.Contracts == 0 {
		if f.table = g.Table; f.table == nil {
			f.table = f.emptyTable()
		}
		f.has.Contracts = g.Versions.Contracts
	}
	if quotas {
		f.quotas, f.has.Quotas = maps.Clone(g.Quotas), g.Versions.Quotas
	}
	f.heard = true
	f.publish()
	if contracts || first {
		f.rezone()
	}
	f.saveTables()
}
