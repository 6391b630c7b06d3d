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

const (
	// maxMessagesPerIteration bounds the messages handled in one iteration of Run, so that a flood of messages does not delay the
	// periodic tasks.
	maxMessagesPerIteration = 256
	// maxLoopWait is the longest time that Run waits for a message or an event before it checks the periodic tasks.
	maxLoopWait = 50 * time.Millisecond
)

// eventKind is the kind of an event. The comments of its values name the fields that the kind uses.
type eventKind uint8

const (
	callsObserved       eventKind = iota // observations
	backendsChanged                      // placements
	contractsApplied                     // version
	consensusStateSaved                  // err
	tablesWritten                        // err, quotas
	commandSubmitted                     // command
	callRequested                        // call
	fileTablesDecided                    // err, result
	storeClosed
	storeReopenFailed
	releaseRequested
)

// event is passed from another goroutine to that of Run.
type event struct {
	kind         eventKind
	observations []outlier.Observation
	placements   []aggregator.Placement
	version      residency.Version
	err          error
	command      *pendingCommand
	result       Result
	quotas       consensus.QuotasVersion
	call         func()
}

// Run receives messages, handles events and runs the periodic tasks until Stop is called. Its goroutine owns the control state.
func (f *Fleet) Run() {
	defer close(f.stopped)
	var events []event
	timer := time.NewTimer(maxLoopWait)
	for {
		var messages chan []byte
		if f.transport != nil {
			messages = f.transport.Received
		}
		select {
		case sealed := <-messages:
			f.now = f.Now()
			f.receive(sealed)
			for range min(len(messages), maxMessagesPerIteration) { // drains the queue, so that the periodic tasks use the newest state
				f.receive(<-messages)
			}
		case <-f.events.Ready():
		case <-timer.C:
		case <-f.stopping:
			f.close()
			return
		}
		f.now = f.Now()
		events = f.events.Take(events)
		for i := range events {
			f.handleEvent(&events[i])
		}
		f.runPeriodicTasks()
		timer.Reset(maxLoopWait)
	}
}

func (f *Fleet) handleEvent(e *event) {
	switch e.kind {
	case callsObserved:
		if f.detector != nil {
			f.outliers.report(f.now, e.observations)
		}
	case backendsChanged:
		f.outliers.setBackends(f.settings.Layout, e.placements)
	case contractsApplied:
		failpoint.Pass(failpoint.ApplyContract)
		f.tables.appliedContracts = max(f.tables.appliedContracts, e.version)
		f.due.request = min(f.due.request, f.now+urgentRequestInterval) // reports it soon, as the operator waits for it
	case consensusStateSaved:
		f.consensusSaved(e.err)
	case tablesWritten:
		if e.err != nil {
			f.logger.Error("fleet tables not saved", zap.Error(e.err))
		} else {
			f.tables.minimumsVersion = max(f.tables.minimumsVersion, e.quotas)
		}
	case commandSubmitted:
		f.enqueueCommand(e.command)
	case callRequested:
		e.call()
	case fileTablesDecided:
		f.fileTablesDecided(e.result, e.err)
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
		f.detector, f.voter.machine = nil, nil
		close(f.released)
	}
}

// runPeriodicTasks runs the periodic tasks that are due.
func (f *Fleet) runPeriodicTasks() {
	if f.isReleased() {
		return
	}
	if f.detector == nil {
		if f.now >= f.due.open {
			f.open()
		}
		return
	}
	if f.now >= f.due.probe {
		f.due.probe = f.detector.Tick(f.now)
		f.sendFailureDetector()
	}
	f.runVoter()
	if f.now >= f.due.request || f.quotaClient.Urgent() && f.now >= f.due.request-requestInterval+urgentRequestInterval {
		f.due.request = f.now + requestInterval
		f.requestGrants()
	}
	if f.now >= f.due.gossip {
		f.due.gossip = f.now + gossipInterval
		f.gossipReports()
	}
	if f.now >= f.due.verdicts {
		f.due.verdicts = f.now + reportInterval
		f.publishVerdicts()
	}
	if isolated := f.detector.Isolated(); isolated != f.isolated {
		f.isolated = isolated
		f.counters.Add("fleet", map[bool]string{true: "deaf", false: "hears_again"}[isolated], 1)
		f.logger.Warn("fleet isolation changed", zap.Bool("isolated", isolated))
	}
	f.retryCommands()
	f.proposeFileTablesIfDue()
}
