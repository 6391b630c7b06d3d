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
	// introductionInterval is the time, in seconds, between the introductions that a voter sends until it belongs to a group.
	introductionInterval = 0.25
	// nonceLifetimeSeconds is long enough for a message and its answer over links with a delay of 2 s.
	nonceLifetimeSeconds = 5.0
	// voterRestartDelay is the time, in seconds, after which a suspended voter restarts. A voter is suspended if, for instance, its
	// directory accepts no writes.
	voterRestartDelay = 5.0
)

var errInjected = errors.New("fault injected by a test")

// voter is the state of this node's part in the consensus.
type voter struct {
	machine            *consensus.Machine // nil if this node does not vote
	saving             bool               // a save to the store is in flight
	suspended          bool               // the voter failed, and does not vote until it has restarted
	nonce              uint64             // nonce of the current introductions
	nextTickAt         float64
	nextIntroductionAt float64
	nonceExpiresAt     float64 // time at which the nonce is replaced
	restartAt          float64 // time of the next restart of a suspended voter
}

// active reports whether this node votes now.
func (v *voter) active() bool { return v.machine != nil && !v.suspended }

// nextNonce returns the nonce for introductions that are sent now. It draws a new nonce if the current one has expired.
func (v *voter) nextNonce(now float64) uint64 {
	if now >= v.nonceExpiresAt {
		v.nonceExpiresAt, v.nonce = now+nonceLifetimeSeconds, drawNonce()
	}
	return v.nonce
}

func drawNonce() uint64 {
	var b [8]byte
	rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1 // never 0, which means no nonce
}

// recoverPanic calls a function that uses the consensus library, and suspends the voter if the library panics. The library panics
// on impossible input, for example from a voter whose directory was restored from an old copy. Such a panic must not stop the node
// from serving queries.
func (f *Fleet) recoverPanic(call func()) {
	defer func() {
		if p := recover(); p != nil {
			f.suspendVoter(panicError{p})
		}
	}()
	call()
}

// runVoter restarts a suspended voter if that is due, or runs the periodic tasks of an active one.
func (f *Fleet) runVoter() {
	if f.voter.suspended && f.now >= f.voter.restartAt {
		f.closeStoreForRestart()
	}
	if f.voter.active() {
		f.recoverPanic(f.tickVoter)
	}
}

func (f *Fleet) tickVoter() {
	v := &f.voter
	if f.now >= v.nextTickAt {
		v.nextTickAt = f.now + consensus.TickSeconds
		v.machine.Tick()
	}
	if f.now >= v.nextIntroductionAt && !v.saving {
		v.nextIntroductionAt = f.now + introductionInterval
		if introduction, send := v.machine.Introduce(v.nextNonce(f.now)); send {
			f.sendIntroduction(f.settings.Membership.Voters(), &introduction)
		}
	}
	switch {
	case !v.machine.Leads():
		f.stopLeading()
	case f.leadership.granting && v.machine.Term() != f.leadership.term: // leadership was lost and won again between two iterations of Run
		f.stopLeading()
		fallthrough
	default:
		if f.now >= f.leadership.nextReadAt {
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
		f.suspendVoter(err)
	}
	if f.voter.suspended {
		return
	}
	if !save.Empty() { // the voter bootstraps or joins a group, and must save this first
		f.logger.Info("fleet voter joined", zap.String("member", string(from)))
		f.save(&save)
		return
	}
	if answer != nil {
		f.sendIntroduction([]membership.Name{from}, answer)
	}
}

// receiveConsensus passes a consensus message of another voter to the machine.
func (f *Fleet) receiveConsensus(from membership.Name, body []byte) (err error) {
	if f.voter.active() {
		f.recoverPanic(func() { err = f.voter.machine.Step(from, body) })
	}
	return err
}

// saveNext passes the machine's next save to the store. It applies an empty save at once. Only one save is in flight at a time.
func (f *Fleet) saveNext() {
	for !f.voter.saving && !f.voter.suspended {
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
		f.suspendVoter(err)
		return
	}
	f.voter.saving = true
	f.store.Save(encoded, func(err error) { f.events.Put(event{kind: consensusStateSaved, err: err}) })
}

// consensusSaved handles the end of a save: it applies what was saved, or suspends the voter if the save failed.
func (f *Fleet) consensusSaved(err error) {
	if !f.voter.active() || !f.voter.saving {
		return
	}
	f.voter.saving = false
	if failpoint.Pass(failpoint.ConsensusSaved).Fail {
		err = errInjected
	}
	if err != nil {
		f.suspendVoter(err)
		return
	}
	f.recoverPanic(func() { f.applySaved(); f.saveNext() })
}

// applySaved sends the messages that had to wait for the save, records the confirmed reads, and completes the commands that were
// committed.
func (f *Fleet) applySaved() {
	result, err := f.voter.machine.Saved()
	if err != nil {
		f.suspendVoter(err)
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

// suspendVoter stops this node's part in the consensus, because a voter that cannot save its votes must not vote. The leases that
// it granted expire by themselves. After voterRestartDelay the voter restarts from the contents of its directory, as a new process
// would.
func (f *Fleet) suspendVoter(err error) {
	f.voter.suspended, f.voter.restartAt = true, f.now+voterRestartDelay
	f.stopLeading()
	f.counters.Add("fleet", "mute", 1)
	f.logger.Error("fleet voter stepped out", zap.Error(err))
}

// closeStoreForRestart closes the store in another goroutine, as closing may wait for the disk. The storeClosed event that follows
// calls restartVoter.
func (f *Fleet) closeStoreForRestart() {
	f.voter.restartAt = f.now + voterRestartDelay
	if store := f.store; store != nil {
		f.store = nil
		go func() { store.Stop(); f.events.Put(event{kind: storeClosed}) }()
	}
}

// startVoter creates the machine from the contents of the directory.
func (f *Fleet) startVoter(contents *aggregatorstore.LogContents) error {
	stored, err := decodeConsensusState(contents)
	if err != nil {
		return err
	}
	f.voter.machine, err = consensus.New(f.settings.Self, f.settings.Membership.Voters(), stored)
	return err
}

// restartVoter opens the store again and restarts the voter from its contents.
func (f *Fleet) restartVoter() {
	store, contents, err := aggregatorstore.OpenLog(f.settings.Directory, 0, f.logger)
	if err != nil {
		f.logger.Error("fleet voter not restarted", zap.Error(err))
		f.events.Put(event{kind: storeReopenFailed})
		return
	}
	f.store = store
	if err := f.startVoter(&contents); err != nil {
		f.suspendVoter(err)
		return
	}
	f.voter.suspended, f.voter.saving, f.voter.nonce, f.voter.nonceExpiresAt = false, false, 0, 0
	clear(f.leadership.pendingReads)
	f.logger.Info("fleet voter restarted")
	f.saveTables()
}
