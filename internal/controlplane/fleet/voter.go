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

var errFault = errors.New("a fault that a test put here")

// safely runs what the council's library does. It panics where what it is told can't be, as by a voter whose directory was
// put back from an old copy: that costs the voter, and not the node with its queries.
func (f *Fleet) safely(do func()) {
	defer func() {
		if p := recover(); p != nil {
			f.mute(panicError{p})
		}
	}()
	do()
}

// voter does what is due of the council.
func (f *Fleet) voter() {
	if f.failed && f.now >= f.due.again {
		f.comeBack()
	}
	if f.council != nil && !f.failed {
		f.safely(f.vote)
	}
}

func (f *Fleet) vote() {
	if f.now >= f.due.council {
		f.due.council = f.now + consensus.TickS
		f.council.Tick()
	}
	if f.now >= f.due.intro && !f.saving {
		f.due.intro = f.now + introEvery
		if f.now >= f.due.nonce {
			f.due.nonce, f.nonce = f.now+nonceFor, nonce()
		}
		if in, say := f.council.Introduce(f.nonce); say {
			f.introduce(f.set.Roster.Voters(), &in)
		}
	}
	switch {
	case !f.council.Leads():
		f.unlead()
	case f.granted && f.council.Term() != f.term: // lost and won again between two turns
		f.unlead()
		fallthrough
	default:
		if f.now >= f.due.read {
			f.due.read = f.now + readEvery
			f.readNo++
			f.reads[f.readNo] = f.now
			f.council.Read(f.readNo)
		}
	}
	f.work()
}

func nonce() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

func (f *Fleet) introduce(to []membership.Name, in *consensus.Intro) {
	fault := failpoint.Pass(failpoint.Introduce)
	for _, name := range to {
		for range fault.Times() {
			if name != f.set.Self {
				f.send(name, messageIntro, in)
			}
		}
	}
}

func (f *Fleet) introduced(from membership.Name, in *consensus.Intro) {
	if f.council == nil || f.failed || f.saving {
		return
	}
	var answer *consensus.Intro
	var save consensus.Save
	var err error
	if f.safely(func() { answer, save, err = f.council.Introduced(from, in) }); err != nil {
		f.mute(err)
	}
	if f.failed {
		return
	}
	if !save.Empty() { // the founding, or joining: before anything is said as a part of it
		f.log.Info("fleet: this voter takes part in the council", zap.String("by", string(from)))
		f.save(&save)
		return
	}
	if answer != nil {
		f.introduce([]membership.Name{from}, answer)
	}
}

// work saves what the council has to save and goes on with the rest. One piece of work is in hand at a time.
func (f *Fleet) work() {
	for !f.saving && !f.failed {
		s, has := f.council.Work()
		if !has {
			return
		}
		if !s.Empty() {
			f.save(&s)
			return
		}
		f.workDone()
	}
}

func (f *Fleet) save(s *consensus.Save) {
	out, err := asLog(s)
	if failpoint.Pass(failpoint.SaveCouncil).Fail {
		err = errFault
	}
	if err != nil {
		f.mute(err)
		return
	}
	f.saving = true
	f.store.Save(out, func(err error) { f.in.Put(note{kind: saved, err: err}) })
}

func (f *Fleet) councilSaved(err error) {
	if f.council == nil || f.failed || !f.saving {
		return
	}
	f.saving = false
	if failpoint.Pass(failpoint.SavedCouncil).Fail {
		err = errFault
	}
	if err != nil {
		f.mute(err)
		return
	}
	f.safely(func() { f.workDone(); f.work() })
}

// mute ends our part in the council: a voter that can't keep what it promised must promise nothing more. What was handed
// out runs out by itself. After a while it begins anew from what the directory holds, as a process that starts would.
func (f *Fleet) mute(err error) {
	f.failed, f.due.again = true, f.now+muteFor
	f.unlead()
	f.count.Add("fleet", "mute", 1)
	f.log.Error("fleet: the council's work can't be kept, this voter is mute", zap.String("text", err.Error()))
}

// comeBack reads the directory anew. Closing the file may wait for a disk, which this goroutine must not.
func (f *Fleet) comeBack() {
	f.due.again = f.now + muteFor
	if store := f.store; store != nil {
		f.store = nil
		go func() { store.Stop(); f.in.Put(note{kind: storeClosed}) }()
	}
}

// seat makes our voter from what the directory holds.
func (f *Fleet) seat(kept *aggregatorstore.LogContents) error {
	raftKept, err := readCouncil(kept)
	if err != nil {
		return err
	}
	f.council, err = consensus.New(f.set.Self, f.set.Roster.Voters(), raftKept)
	return err
}

func (f *Fleet) storeClosed() {
	store, kept, err := aggregatorstore.OpenLog(f.set.Directory, 0, f.log)
	if err != nil {
		f.log.Error("fleet: the directory can't be opened, this voter stays mute", zap.String("text", err.Error()))
		f.in.Put(note{kind: reopen})
		return
	}
	f.store = store
	if err := f.seat(&kept); err != nil {
		f.mute(err)
		return
	}
	f.failed, f.saving, f.nonce, f.due.nonce = false, false, 0, 0
	clear(f.reads)
	f.log.Info("fleet: this voter is mute no more")
	f.saveTables()
}

func (f *Fleet) workDone() {
	r, err := f.council.Done()
	if err != nil {
		f.mute(err)
		return
	}
	for _, o := range r.Out {
		f.sendBody(o.To, messageCouncil, o.Data)
	}
	for _, no := range r.Reads {
		if at, known := f.reads[no]; known {
			f.confirmed(at)
		}
	}
	for no, at := range f.reads {
		if f.now-at > f.set.Lease {
			delete(f.reads, no)
		}
	}
	if r.News {
		failpoint.Pass(failpoint.ApplyCommand)
	}
	for _, d := range r.Done {
		f.acted(d)
	}
}

// confirmed notes that at a time we led for sure. The first such time of a term begins our granting; what another granted
// before has to run out first.
func (f *Fleet) confirmed(at float64) {
	if !f.council.Leads() {
		return
	}
	failpoint.Pass(failpoint.ConfirmGranter)
	authority := f.set.Lease * authorityShare
	if !f.granted {
		failpoint.Pass(failpoint.BeginGranting)
		f.granted, f.term, f.sureTo = true, f.council.Term(), 0
		f.granter.Begin(f.now, authority, f.term)
		f.spread.Begin(f.now, authority)
		f.quiet = f.now + authority*quota.Longer
		clear(f.quotaOf)
		clear(f.unlike)
		f.count.Add("fleet", "led", 1)
		f.log.Info("fleet: this mixer leads the council", zap.Uint64("term", f.term), zap.Float64("grants_in_s", f.granter.Ready()-f.now))
	}
	f.granter.Confirm(at, authority)
	f.sureTo = max(f.sureTo, at+authority)
}

func (f *Fleet) unlead() {
	if f.granted {
		f.granted, f.sureTo = false, 0
		f.granter.End()
		clear(f.reads)
		f.log.Info("fleet: this mixer leads no more")
	}
}

// leads tells whether we lead the council for sure, so that what it agreed on last is what we know.
func (f *Fleet) leads() bool { return f.granted && f.now < f.sureTo && !f.failed }

// answer answers a node that asks.
func (f *Fleet) answer(from membership.Name, a *asking) {
	out := f.answered(from, a)
	for range failpoint.Pass(failpoint.AnswerAsk).Times() {
		f.send(from, messageGrant, out)
	}
}

func (f *Fleet) answered(from membership.Name, a *asking) *granting {
	out := &granting{No: a.No}
	if !f.leads() {
		if f.council != nil {
			out.Leader = f.council.Leader()
		}
		return out
	}
	if a.Roster != f.set.Roster.Version { // shares of another roster do not add up with ours
		f.count.Add("fleet", "other_roster", 1)
		f.log.Error("fleet: a mixer goes by another roster",
			zap.String("mixer", string(from)),
			zap.Int("version", a.Roster),
			zap.Int("expected", f.set.Roster.Version))
		return out
	}
	state := f.council.State()
	out.Sure, out.Leader, out.Versions = true, f.set.Self, versions{state.Contracts.Version, state.QuotasAt}
	if a.Contracts != out.Versions.Contracts {
		out.Table = &state.Contracts
	}
	if a.Quotas != out.Versions.Quotas {
		out.Quotas = state.Quotas
	}
	f.spread.Hears(f.now, from, a.Holds)
	f.spread.Renews(f.now, from)
	if f.now >= f.quiet {
		f.quotaOf[from] = a.Floors
	}
	if f.unlike[from] = a.Strict != f.strictHash; f.unlike[from] {
		f.count.Add("fleet", "other_strict", 1)
	}
	for i := range a.Asks {
		if q, has := state.Quotas[a.Asks[i].Tenant]; has {
			if g, may := f.granter.Take(f.now, from, &a.Asks[i], q, f.floors); may {
				out.Grants = append(out.Grants, g)
			}
		}
	}
	return out
}

// floors sums what nodes may have by themselves: those that told us that they go by the quotas that hold, by these, and
// all others by the largest that the tenant ever had.
func (f *Fleet) floors(tenant quota.Tenant) (perS, burst float64) {
	state := f.council.State()
	n := len(f.set.Roster.Members)
	nowPerS, nowBurst := state.Quotas[tenant].Share(n)
	most := state.Floors[tenant]
	mostPerS, mostBurst := quota.Quota{PerS: most.PerS, Burst: most.Burst, Floor: 1}.Share(n)
	for _, m := range f.set.Roster.Members {
		if at, told := f.quotaOf[m.Name]; told && at == state.QuotasAt {
			perS, burst = perS+nowPerS, burst+nowBurst
		} else {
			perS, burst = perS+mostPerS, burst+mostBurst
		}
	}
	return perS, burst
}
