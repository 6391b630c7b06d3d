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
)

const (
	introductionInterval = 0.25
	nonceLifetime        = 5.0 // a message and its answer, with links of 2 s
	voterRestartDelay    = 5.0 // for a voter whose directory took nothing
)

var errInjected = errors.New("a fault that a test put here")

// voter is this node's part in the consensus.
type voter struct {
	machine     *consensus.Machine // nil where this node does not vote
	saving      bool               // a save is on its way to the disk
	steppedOut  bool               // a save failed: it does not vote until it has restarted
	nonce       uint64             // of the introductions
	tickAt      float64
	introduceAt float64
	nonceAt     float64 // when the nonce is replaced
	restartAt   float64 // once it has stepped out
}

// active tells whether this node votes.
func (v *voter) active() bool { return v.machine != nil && !v.steppedOut }

// nextNonce is the nonce of introductions at a time.
func (v *voter) nextNonce(now float64) uint64 {
	if now >= v.nonceAt {
		v.nonceAt, v.nonce = now+nonceLifetime, drawNonce()
	}
	return v.nonce
}

func drawNonce() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1 // 0 is none
}

// recoverPanic runs a part of the consensus library. It panics where its input is impossible, as by a voter whose directory was
// restored from an old copy: that costs the node its vote, and not its queries.
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
	if f.voter.steppedOut && f.now >= f.voter.restartAt {
		f.closeStoreForRestart()
	}
	if f.voter.active() {
		f.recoverPanic(f.tickVoter)
	}
}

func (f *Fleet) tickVoter() {
	v := &f.voter
	if f.now >= v.tickAt {
		v.tickAt = f.now + consensus.TickSeconds
		v.machine.Tick()
	}
	if f.now >= v.introduceAt && !v.saving {
		v.introduceAt = f.now + introductionInterval
		if introduction, send := v.machine.Introduce(v.nextNonce(f.now)); send {
			f.sendIntroduction(f.settings.Membership.Voters(), &introduction)
		}
	}
	switch {
	case !v.machine.Leads():
		f.stopLeading()
	case f.leadership.granting && v.machine.Term() != f.leadership.term: // lost and won again between two turns
		f.stopLeading()
		fallthrough
	default:
		if f.now >= f.leadership.readAt {
			v.machine.Read(f.leadership.startRead(f.now))
		}
	}
	f.saveNext()
}

func (f *Fleet) sendIntroduction(to []membership.Name, introduction *consensus.Introduction) {
	fault := failpoint.Pass(failpoint.Introduce)
	for _, name := range to {
		for range fault.Copies() {
			if name != f.settings.Self {
				f.send(name, messageIntroduction, introduction)
			}
		}
	}
}

func (f *Fleet) receiveIntroduction(from membership.Name, introduction *consensus.Introduction) {
	if !f.voter.active() || f.voter.saving {
		return
	}
	var answer *consensus.Introduction
	var save consensus.Save
	var err error
	if f.recoverPanic(func() { answer, save, err = f.voter.machine.ReceiveIntroduction(from, introduction) }); err != nil {
		f.stepOut(err)
	}
	if f.voter.steppedOut {
		return
	}
	if !save.Empty() { // the founding, or joining: saved before anything is said as a part of it
		f.logger.Info("fleet voter joined", zap.String("member", string(from)))
		f.save(&save)
		return
	}
	if answer != nil {
		f.sendIntroduction([]membership.Name{from}, answer)
	}
}

// receiveConsensus hands a voter's message to the machine.
func (f *Fleet) receiveConsensus(from membership.Name, body []byte) (err error) {
	if f.voter.active() {
		f.recoverPanic(func() { err = f.voter.machine.Step(from, body) })
	}
	return err
}

// saveNext hands the machine's next save to the store, or applies what needs none. One save is in flight at a time.
func (f *Fleet) saveNext() {
	for !f.voter.saving && !f.voter.steppedOut {
		save, has := f.voter.machine.NextSave()
		if !has {
			return
		}
		if !save.Empty() {
			f.save(&save)
			return
		}
		f.applySaved()
	}
}

func (f *Fleet) save(save *consensus.Save) {
	encoded, err := encodeSave(save)
	if failpoint.Pass(failpoint.SaveConsensus).Fail {
		err = errInjected
	}
	if err != nil {
		f.stepOut(err)
		return
	}
	f.voter.saving = true
	f.store.Save(encoded, func(err error) { f.events.Put(event{kind: consensusWorkSaved, err: err}) })
}

// consensusSaved goes on once a save is on disk, or failed.
func (f *Fleet) consensusSaved(err error) {
	if !f.voter.active() || !f.voter.saving {
		return
	}
	f.voter.saving = false
	if failpoint.Pass(failpoint.ConsensusSaved).Fail {
		err = errInjected
	}
	if err != nil {
		f.stepOut(err)
		return
	}
	f.recoverPanic(func() { f.applySaved(); f.saveNext() })
}

// applySaved sends the messages that waited for the save, and applies what was committed.
func (f *Fleet) applySaved() {
	result, err := f.voter.machine.Saved()
	if err != nil {
		f.stepOut(err)
		return
	}
	for _, message := range result.Outgoing {
		f.sendBody(message.To, messageConsensus, message.Data)
	}
	for _, number := range result.Reads {
		if sentAt, pending := f.leadership.pendingReads[number]; pending {
			f.leadershipConfirmed(sentAt)
		}
	}
	f.leadership.expireReads(f.now, f.settings.Lease)
	if result.StateChanged {
		failpoint.Pass(failpoint.ApplyCommand)
	}
	for _, applied := range result.Applied {
		f.commandCommitted(applied)
	}
}

// stepOut ends our part in the consensus for a while: a voter that can't save its votes must not vote. What it granted expires
// by itself. After voterRestartDelay it starts anew from what the directory holds, as a new process would.
func (f *Fleet) stepOut(err error) {
	f.voter.steppedOut, f.voter.restartAt = true, f.now+voterRestartDelay
	f.stopLeading()
	f.counters.Add("fleet", "mute", 1)
	f.logger.Error("fleet voter stepped out", zap.Error(err))
}

// closeStoreForRestart closes the store; restartVoter follows. The closing may wait for a disk, which this goroutine must not.
func (f *Fleet) closeStoreForRestart() {
	f.voter.restartAt = f.now + voterRestartDelay
	if store := f.store; store != nil {
		f.store = nil
		go func() { store.Stop(); f.events.Put(event{kind: storeClosed}) }()
	}
}

// startVoter makes the machine from what the directory holds.
func (f *Fleet) startVoter(contents *aggregatorstore.LogContents) error {
	stored, err := decodeConsensusState(contents)
	if err != nil {
		return err
	}
	f.voter.machine, err = consensus.New(f.settings.Self, f.settings.Membership.Voters(), stored)
	return err
}

// restartVoter opens the store again, and votes from what it holds.
func (f *Fleet) restartVoter() {
	store, contents, err := aggregatorstore.OpenLog(f.settings.Directory, 0, f.logger)
	if err != nil {
		f.logger.Error("fleet voter not restarted", zap.Error(err))
		f.events.Put(event{kind: storeReopenFailed})
		return
	}
	f.store = store
	if err := f.startVoter(&contents); err != nil {
		f.stepOut(err)
		return
	}
	f.voter.steppedOut, f.voter.saving, f.voter.nonce, f.voter.nonceAt = false, false, 0, 0
	clear(f.leadership.pendingReads)
	f.logger.Info("fleet voter restarted")
	f.saveTables()
}
