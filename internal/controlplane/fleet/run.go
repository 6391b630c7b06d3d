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

type noteKind uint8

const (
	sawCalls    noteKind = iota // seen
	listed                      // places
	rulesHeld                   // version
	saved                       // err
	tablesSaved                 // err
	commanded                   // command, reply
	asked                       // ask
	offered                     // err, result
	storeClosed
	reopen
	released
)

type note struct {
	kind    noteKind
	seen    []outlier.Seen
	places  []aggregator.Place
	version residency.Version
	err     error
	command *command
	result  Result
	quotas  consensus.QuotasVersion
	ask     func()
}

// Run is the goroutine of control state, until Stop.
func (f *Fleet) Run() {
	defer close(f.stopped)
	var notes []note
	timer := time.NewTimer(turn)
	for {
		var messages chan []byte
		if f.sockets != nil {
			messages = f.sockets.In
		}
		select {
		case sealed := <-messages:
			f.now = f.Now()
			f.receive(sealed)
			for range min(len(messages), messagesPerTurn) { // what waits, so that a turn sees the newest
				f.receive(<-messages)
			}
		case <-f.in.Ready():
		case <-timer.C:
		case <-f.stopping:
			f.close()
			return
		}
		f.now = f.Now()
		notes = f.in.Take(notes)
		for i := range notes {
			f.hear(&notes[i])
		}
		f.turn()
		timer.Reset(turn)
	}
}

func (f *Fleet) hear(n *note) {
	switch n.kind {
	case sawCalls:
		f.saw(n.seen)
	case listed:
		f.list(n.places)
	case rulesHeld:
		failpoint.Pass(failpoint.HoldContract)
		f.holds = max(f.holds, n.version)
		f.due.ask = min(f.due.ask, f.now+askSoonest) // the operator waits for it
	case saved:
		f.councilSaved(n.err)
	case tablesSaved:
		if n.err != nil {
			f.log.Error("fleet: tables can't be kept", zap.String("text", n.err.Error()))
		} else {
			f.floorsAt = max(f.floorsAt, n.quotas)
		}
	case commanded:
		f.command(n.command)
	case asked:
		n.ask()
	case offered:
		f.offered(n)
	case storeClosed:
		if !f.isReleased() {
			f.storeClosed()
		}
	case reopen:
		time.AfterFunc(time.Duration(muteFor*float64(time.Second)), func() { f.in.Put(note{kind: storeClosed}) })
	case released:
		f.unlead()
		f.holder.Alone()
		f.close()
		f.members, f.council = nil, nil
		close(f.released)
	}
}

// turn does what is due.
func (f *Fleet) turn() {
	if f.isReleased() {
		return
	}
	if f.members == nil {
		if f.now >= f.due.open {
			f.open()
		}
		return
	}
	if f.now >= f.due.members {
		f.due.members = f.members.Tick(f.now)
		f.sendMembers()
	}
	f.voter()
	if f.now >= f.due.ask || f.holder.Urgent() && f.now >= f.due.ask-askEvery+askSoonest {
		f.due.ask = f.now + askEvery
		f.ask()
	}
	if f.now >= f.due.pass {
		f.due.pass = f.now + passEvery
		f.pass()
	}
	if f.now >= f.due.report {
		f.due.report = f.now + reportEvery
		f.judge()
	}
	if deaf := f.members.Deaf(); deaf != f.deaf {
		f.deaf = deaf
		f.count.Add("fleet", map[bool]string{true: "deaf", false: "hears_again"}[deaf], 1)
		f.log.Warn("fleet: whether any other mixer is heard", zap.Bool("deaf", deaf))
	}
	f.expire()
}
