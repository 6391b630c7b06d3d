package fleet

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/consensus"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/failpoint"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/outlier"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
)

type eventKind uint8

const (
	callsObserved      eventKind = iota // seen
	backendsListed                      // places
	contractsApplied                    // version
	consensusWorkSaved                  // err
	tablesWritten                       // err
	commandSubmitted                    // command, reply
	callRequested                       // ask
	fileTablesDecided                   // err, result
	storeClosed
	storeReopenFailed
	releaseRequested
)

type event struct {
	kind    eventKind
	seen    []outlier.Observation
	places  []aggregator.Place
	version residency.Version
	err     error
	command *pendingCommand
	result  Result
	quotas  consensus.QuotasVersion
	call    func()
}

// Run is the goroutine of control state, until Stop.
func (f *Fleet) Run() {
	defer close(f.stopped)
	var notes []event
	timer := time.NewTimer(turnInterval)
	for {
		var messages chan []byte
		if f.transport != nil {
			messages = f.transport.Received
		}
		select {
		case sealed := <-messages:
			f.now = f.Now()
			f.receive(sealed)
			for range min(len(messages), maxMessagesPerTurn) { // what waits, so that a turn sees the newest
				f.receive(<-messages)
			}
		case <-f.events.Ready():
		case <-timer.C:
		case <-f.stopping:
			f.close()
			return
		}
		f.now = f.Now()
		notes = f.events.Take(notes)
		for i := range notes {
			f.handleEvent(&notes[i])
		}
		f.runDue()
		timer.Reset(turnInterval)
	}
}

func (f *Fleet) handleEvent(n *event) {
	switch n.kind {
	case callsObserved:
		f.recordObservations(n.seen)
	case backendsListed:
		f.setBackends(n.places)
	case contractsApplied:
		failpoint.Pass(failpoint.ApplyContract)
		f.appliedContracts = max(f.appliedContracts, n.version)
		f.due.requestGrants = min(f.due.requestGrants, f.now+urgentRequestInterval) // the operator waits for it
	case consensusWorkSaved:
		f.consensusSaved(n.err)
	case tablesWritten:
		if n.err != nil {
			f.logger.Error("fleet: tables can't be kept", zap.String("text", n.err.Error()))
		} else {
			f.minimumsVersion = max(f.minimumsVersion, n.quotas)
		}
	case commandSubmitted:
		f.enqueueCommand(n.command)
	case callRequested:
		n.call()
	case fileTablesDecided:
		f.fileTablesProposed(n)
	case storeClosed:
		if !f.isReleased() {
			f.restartVoter()
		}
	case storeReopenFailed:
		time.AfterFunc(time.Duration(voterRestartDelay*float64(time.Second)), func() { f.events.Put(event{kind: storeClosed}) })
	case releaseRequested:
		f.stopLeading()
		f.quotaClient.DropMinimums()
		f.close()
		f.detector, f.consensus = nil, nil
		close(f.released)
	}
}

// turn does what is due.
func (f *Fleet) runDue() {
	if f.isReleased() {
		return
	}
	if f.detector == nil {
		if f.now >= f.due.open {
			f.open()
		}
		return
	}
	if f.now >= f.due.detector {
		f.due.detector = f.detector.Tick(f.now)
		f.sendMembers()
	}
	f.runVoter()
	if f.now >= f.due.requestGrants || f.quotaClient.Urgent() && f.now >= f.due.requestGrants-requestInterval+urgentRequestInterval {
		f.due.requestGrants = f.now + requestInterval
		f.requestGrants()
	}
	if f.now >= f.due.gossipReports {
		f.due.gossipReports = f.now + gossipInterval
		f.gossipReports()
	}
	if f.now >= f.due.report {
		f.due.report = f.now + reportInterval
		f.publishVerdicts()
	}
	if deaf := f.detector.Isolated(); deaf != f.isolated {
		f.isolated = deaf
		f.counters.Add("fleet", map[bool]string{true: "deaf", false: "hears_again"}[deaf], 1)
		f.logger.Warn("fleet: whether any other mixer is heard", zap.Bool("deaf", deaf))
	}
	f.retryCommands()
}
