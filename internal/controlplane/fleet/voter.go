package fleet

import (
	"crypto/rand"
	"encoding/binary"
	"errors"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
)

var errInjected = errors.New("a fault that a test put here")

// recoverPanic runs what the consensus's library does. It panics where what it is told can't be, as by a voter whose directory was
// put back from an old copy: that costs the voter, and not the node with its queries.
func (f *Fleet) recoverPanic(do func()) {
	defer func() {
		if p := recover(); p != nil {
			f.stepOut(panicError{p})
		}
	}()
	do()
}

// runVoter does what is due of the consensus.
func (f *Fleet) runVoter() {
	if f.steppedOut && f.now >= f.due.again {
		f.closeStoreForRestart()
	}
	if f.consensus != nil && !f.steppedOut {
		f.recoverPanic(f.tickVoter)
	}
}

func (f *Fleet) tickVoter() {
	if f.now >= f.due.consensus {
		f.due.consensus = f.now + consensus.TickSeconds
		f.consensus.Tick()
	}
	if f.now >= f.due.intro && !f.saving {
		f.due.intro = f.now + introductionInterval
		if f.now >= f.due.nonce {
			f.due.nonce, f.nonce = f.now+nonceLifetime, nonce()
		}
		if in, say := f.consensus.Introduce(f.nonce); say {
			f.sendIntroduction(f.settings.Membership.Voters(), &in)
		}
	}
	switch {
	case !f.consensus.Leads():
		f.stopLeading()
	case f.granting && f.consensus.Term() != f.term: // lost and won again between two turns
		f.stopLeading()
		fallthrough
	default:
		if f.now >= f.due.read {
			f.due.read = f.now + readIndexInterval
			f.readNumber++
			f.pendingReads[f.readNumber] = f.now
			f.consensus.Read(f.readNumber)
		}
	}
	f.saveNextReady()
}

func nonce() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

func (f *Fleet) sendIntroduction(to []membership.Name, in *consensus.Introduction) {
	fault := failpoint.Pass(failpoint.Introduce)
	for _, name := range to {
		for range fault.Times() {
			if name != f.settings.Self {
				f.send(name, messageIntroduction, in)
			}
		}
	}
}

func (f *Fleet) receiveIntroduction(from membership.Name, in *consensus.Introduction) {
	if f.consensus == nil || f.steppedOut || f.saving {
		return
	}
	var answer *consensus.Introduction
	var save consensus.Save
	var err error
	if f.recoverPanic(func() { answer, save, err = f.consensus.ReceiveIntroduction(from, in) }); err != nil {
		f.stepOut(err)
	}
	if f.steppedOut {
		return
	}
	if !save.Empty() { // the founding, or joining: before anything is said as a part of it
		f.logger.Info("fleet: this voter takes part in the council", zap.String("by", string(from)))
		f.save(&save)
		return
	}
	if answer != nil {
		f.sendIntroduction([]membership.Name{from}, answer)
	}
}

// saveNextReady saves what the consensus has to save and goes on with the rest. One piece of work is in hand at a time.
func (f *Fleet) saveNextReady() {
	for !f.saving && !f.steppedOut {
		s, has := f.consensus.NextSave()
		if !has {
			return
		}
		if !s.Empty() {
			f.save(&s)
			return
		}
		f.applyReady()
	}
}

func (f *Fleet) save(s *consensus.Save) {
	out, err := encodeSave(s)
	if failpoint.Pass(failpoint.SaveConsensus).Fail {
		err = errInjected
	}
	if err != nil {
		f.stepOut(err)
		return
	}
	f.saving = true
	f.store.Save(out, func(err error) { f.events.Put(event{kind: consensusWorkSaved, err: err}) })
}

func (f *Fleet) consensusSaved(err error) {
	if f.consensus == nil || f.steppedOut || !f.saving {
		return
	}
	f.saving = false
	if failpoint.Pass(failpoint.ConsensusSaved).Fail {
		err = errInjected
	}
	if err != nil {
		f.stepOut(err)
		return
	}
	f.recoverPanic(func() { f.applyReady(); f.saveNextReady() })
}

// stepOut ends our part in the consensus: a voter that can't keep what it promised must promise nothing more. What was handed
// out runs out by itself. After a while it begins anew from what the directory holds, as a process that starts would.
func (f *Fleet) stepOut(err error) {
	f.steppedOut, f.due.again = true, f.now+voterRestartDelay
	f.stopLeading()
	f.counters.Add("fleet", "mute", 1)
	f.logger.Error("fleet: the council's work can't be kept, this voter is mute", zap.String("text", err.Error()))
}

// closeStoreForRestart reads the directory anew. Closing the file may wait for a disk, which this goroutine must not.
func (f *Fleet) closeStoreForRestart() {
	f.due.again = f.now + voterRestartDelay
	if store := f.store; store != nil {
		f.store = nil
		go func() { store.Stop(); f.events.Put(event{kind: storeClosed}) }()
	}
}

// startVoter makes our voter from what the directory holds.
func (f *Fleet) startVoter(kept *aggregatorstore.LogContents) error {
	raftKept, err := decodeConsensusState(kept)
	if err != nil {
		return err
	}
	f.consensus, err = consensus.New(f.settings.Self, f.settings.Membership.Voters(), raftKept)
	return err
}

func (f *Fleet) restartVoter() {
	store, kept, err := aggregatorstore.OpenLog(f.settings.Directory, 0, f.logger)
	if err != nil {
		f.logger.Error("fleet: the directory can't be opened, this voter stays mute", zap.String("text", err.Error()))
		f.events.Put(event{kind: storeReopenFailed})
		return
	}
	f.store = store
	if err := f.startVoter(&kept); err != nil {
		f.stepOut(err)
		return
	}
	f.steppedOut, f.saving, f.nonce, f.due.nonce = false, false, 0, 0
	clear(f.pendingReads)
	f.logger.Info("fleet: this voter is mute no more")
	f.saveTables()
}

func (f *Fleet) applyReady() {
	r, err := f.consensus.Saved()
	if err != nil {
		f.stepOut(err)
		return
	}
	for _, o := range r.Outgoing {
		f.sendBody(o.To, messageConsensus, o.Data)
	}
	for _, no := range r.Reads {
		if at, known := f.pendingReads[no]; known {
			f.leadershipConfirmed(at)
		}
	}
	for no, at := range f.pendingReads {
		if f.now-at > f.settings.Lease {
			delete(f.pendingReads, no)
		}
	}
	if r.StateChanged {
		failpoint.Pass(failpoint.ApplyCommand)
	}
	for _, d := range r.Applied {
		f.commandCommitted(d)
	}
}

// leadershipConfirmed notes that at a time we led for sure. The first such time of a term begins our granting; what another granted
// before has to run out first.
func (f *Fleet) leadershipConfirmed(at float64) {
	if !f.consensus.Leads() {
		return
	}
	failpoint.Pass(failpoint.ConfirmGranter)
	authority := f.settings.Lease * authorityShare
	if !f.granting {
		failpoint.Pass(failpoint.BeginGranting)
		f.granting, f.term, f.leadershipConfirmedUntil = true, f.consensus.Term(), 0
		f.granter.Begin(f.now, authority, f.term)
		f.rollout.Begin(f.now, authority)
		f.previousLeaderUntil = f.now + authority*quota.WaitFactor
		clear(f.minimumsAppliedBy)
		clear(f.differsInStrict)
		f.counters.Add("fleet", "led", 1)
		f.logger.Info("fleet: this mixer leads the council", zap.Uint64("term", f.term), zap.Float64("grants_in_s", f.granter.ReadyAt()-f.now))
	}
	f.granter.Confirm(at, authority)
	f.leadershipConfirmedUntil = max(f.leadershipConfirmedUntil, at+authority)
}

func (f *Fleet) stopLeading() {
	if f.granting {
		f.granting, f.leadershipConfirmedUntil = false, 0
		f.granter.End()
		clear(f.pendingReads)
		f.logger.Info("fleet: this mixer leads no more")
	}
}

// isConfirmedLeader tells whether we lead the consensus for sure, so that what it agreed on last is what we know.
func (f *Fleet) isConfirmedLeader() bool {
	return f.granting && f.now < f.leadershipConfirmedUntil && !f.steppedOut
}

// answer answers a node that asks.
func (f *Fleet) receiveGrantRequest(from membership.Name, a *grantRequest) {
	out := f.grantResponse(from, a)
	for range failpoint.Pass(failpoint.RespondToGrantRequest).Times() {
		f.send(from, messageGrantResponse, out)
	}
}

func (f *Fleet) grantResponse(from membership.Name, a *grantRequest) *grantResponse {
	out := &grantResponse{Number: a.Number}
	if !f.isConfirmedLeader() {
		if f.consensus != nil {
			out.Leader = f.consensus.Leader()
		}
		return out
	}
	if a.MembershipVersion != f.settings.Membership.Version { // shares of another membership do not add up with ours
		f.counters.Add("fleet", "other_roster", 1)
		f.logger.Error("fleet: a mixer goes by another roster",
			zap.String("mixer", string(from)),
			zap.Int("version", a.MembershipVersion),
			zap.Int("expected", f.settings.Membership.Version))
		return out
	}
	state := f.consensus.State()
	out.Confirmed, out.Leader, out.Versions = true, f.settings.Self, tableVersions{state.Contracts.Version, state.QuotasVersion}
	if a.Contracts != out.Versions.Contracts {
		out.Table = &state.Contracts
	}
	if a.Quotas != out.Versions.Quotas {
		out.Quotas = state.Quotas
	}
	f.rollout.RecordApplied(f.now, from, a.AppliedContracts)
	f.rollout.RecordRenewal(f.now, from)
	if f.now >= f.previousLeaderUntil {
		f.minimumsAppliedBy[from] = a.MinimumsVersion
	}
	if f.differsInStrict[from] = a.StrictHash != f.strictHash; f.differsInStrict[from] {
		f.counters.Add("fleet", "other_strict", 1)
	}
	for i := range a.Requests {
		if q, has := state.Quotas[a.Requests[i].Tenant]; has {
			if g, may := f.granter.Grant(f.now, from, &a.Requests[i], q, f.reservedMinimums); may {
				out.Grants = append(out.Grants, g)
			}
		}
	}
	return out
}

// reservedMinimums sums what nodes may have by themselves: those that told us that they go by the quotas that hold, by these, and
// all others by the largest that the tenant ever had.
func (f *Fleet) reservedMinimums(tenant quota.Tenant) (perS, burst float64) {
	state := f.consensus.State()
	n := len(f.settings.Membership.Members)
	nowPerS, nowBurst := state.Quotas[tenant].NodeMinimum(n)
	most := state.LargestMinimums[tenant]
	mostPerS, mostBurst := quota.Quota{PerS: most.PerS, Burst: most.Burst, MinimumShare: 1}.NodeMinimum(n)
	for _, m := range f.settings.Membership.Members {
		if at, told := f.minimumsAppliedBy[m.Name]; told && at == state.QuotasVersion {
			perS, burst = perS+nowPerS, burst+nowBurst
		} else {
			perS, burst = perS+mostPerS, burst+mostBurst
		}
	}
	return perS, burst
}
