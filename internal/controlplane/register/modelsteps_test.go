package register

import (
	"fmt"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// stepKind is what happens in one step.
type stepKind uint8

const (
	stepBegin       stepKind = iota // a proposer begins its next operation
	stepCall                        // a member takes an open round's request, and its answer arrives
	stepCallLost                    // the same, and the answer is lost
	stepCallLearns                  // the same, and the member learns the next view while its vote is being stored
	stepCallCopies                  // the same, and it also gives the joining member a copy that lacks the vote
	stepTimeout                     // a round ends without a majority
	stepRestart                     // a proposer's process is killed and started again, with its disk
	stepLoseDisk                    // a member starts again with an empty disk
	stepCommit                      // the next view is committed; one member has learned it
	stepLearn                       // a member learns a view
	stepCopy                        // a member that is rebuilt gets a copy from another one
	stepLateRequest                 // a request of a round that is over arrives
)

// step is one of them; what the numbers mean depends on the kind.
type step struct {
	kind stepKind
	a, b uint8
}

func (s step) String() string {
	names := [...]string{"begin", "call", "call, answer lost", "call, learns meanwhile", "call, learns and copies meanwhile", "time-out", "restart", "lose disk", "commit view", "learn view", "copy", "late request"}
	return fmt.Sprintf("%s %d %d", names[s.kind], s.a, s.b)
}

// faultBudget bounds what may happen in an exploration.
type faultBudget struct {
	replacement         bool
	writeOnce           bool  // the register is written once, as those of the views
	secondProposerReads bool  // the second proposer makes no change; it reads alone
	attempts            uint8 // of each operation; maxModelAttempts at most
	lostAnswers         bool  // a member's answer may be lost
	diskLosses          uint8
	losableDisks        memberSet // members that may lose their disks; all where it is empty
	restarts            uint8
	duplicates          bool // each accept request may also arrive once more, after its round
	latePrepare         bool // so may prepare requests that were not taken
}

// transitions makes the successors of states.
type transitions struct {
	protocol *protocolRules
	budget   faultBudget
}

// learnInput is what learning a view depends on.
type learnInput struct {
	manager textID
	self    int
	view    uint8
}

type learnOutput struct {
	manager  textID
	view     uint8
	absences uint8
}

// initial is the state in which the founders know the first view, and the joining member knows it as well.
func (x *transitions) initial() modelState {
	var w modelState
	for member := range w.members {
		x.learn(&w, member, 1)
		w.members[member].complete = member != joiningMember
	}
	if x.budget.secondProposerReads {
		w.proposers[1].operation = firstRead
	}
	return w
}

// learn lets the real manager of a member take a view.
func (x *transitions) learn(w *modelState, member int, view uint8) {
	m := &w.members[member]
	in := learnInput{m.manager, member, view}
	out, found := x.protocol.learned[in]
	if !found {
		out = x.protocol.learnView(in)
		x.protocol.learned[in] = out
	}
	m.manager, m.view, m.absences = out.manager, out.view, out.absences
}

func (r *protocolRules) learnView(in learnInput) learnOutput {
	store := storage.NewMemory()
	for key, value := range r.managerTable(in.manager) {
		if err := store.Write(storage.Change{Table: replicaset.TableName, Key: key, Value: value}); err != nil {
			panic(err)
		}
	}
	manager, err := replicaset.NewManager(replicaset.Config{Self: memberName(in.self), Store: store, Logger: zap.NewNop()})
	if err != nil {
		panic(err)
	}
	if err := manager.Learn(modelViews[in.view]); err != nil {
		panic(err)
	}
	table := store.Table(replicaset.TableName)
	return learnOutput{manager: r.internTable(table), view: uint8(manager.View().Version), absences: uint8(manager.Absences())}
}

// eachStep calls visit with every step that is possible, the state after it, and what is wrong with it.
func (x *transitions) eachStep(w *modelState, visit func(taken step, after *modelState, problem string)) {
	visitStep := func(taken step, act func(after *modelState) string) {
		after := *w
		visit(taken, &after, act(&after))
	}
	for p := range w.proposers {
		x.eachOfProposer(w, p, visitStep)
	}
	for m := range w.members {
		x.eachOfMember(w, m, visitStep)
	}
	for i, late := range w.late {
		for m := range w.members {
			if late.to.has(m) {
				visitStep(step{stepLateRequest, uint8(i), uint8(m)}, func(after *modelState) string { return x.arrive(after, i, m) })
			}
		}
	}
}

type visitStep func(taken step, act func(after *modelState) string)

func (x *transitions) eachOfProposer(w *modelState, p int, visit visitStep) {
	state := &w.proposers[p]
	home := proposerHome(p)
	if state.phase == idle {
		if state.operation < firstRead+readsEach && w.members[home].view > 0 {
			visit(step{stepBegin, uint8(p), 0}, func(after *modelState) string { x.begin(after, p); return "" })
		}
		return
	}
	if state.called != 0 {
		visit(step{stepTimeout, uint8(p), 0}, func(after *modelState) string { return x.nextAttempt(after, p, errAttemptsOver) })
	}
	if w.restarts < x.budget.restarts {
		visit(step{stepRestart, uint8(p), 0}, func(after *modelState) string {
			after.restarts++
			x.restart(after, p)
			return ""
		})
	}
	for m := range w.members {
		if !inView(state.view, m) || state.called.has(m) {
			continue
		}
		kinds := []stepKind{stepCall}
		if m != home && x.budget.lostAnswers {
			kinds = append(kinds, stepCallLost)
		}
		if w.committed && w.members[m].view == 1 {
			kinds = append(kinds, stepCallLearns)
			if x.mayCopy(w, joiningMember, m) {
				kinds = append(kinds, stepCallCopies)
			}
		}
		for _, kind := range kinds {
			visit(step{kind, uint8(p), uint8(m)}, func(after *modelState) string { return x.call(after, p, m, kind) })
		}
	}
}

func (x *transitions) eachOfMember(w *modelState, m int, visit visitStep) {
	member := &w.members[m]
	if w.diskLosses < x.budget.diskLosses && m != joiningMember && (x.budget.losableDisks == 0 || x.budget.losableDisks.has(m)) {
		visit(step{stepLoseDisk, uint8(m), 0}, func(after *modelState) string { x.loseDisk(after, m); return "" })
	}
	if x.budget.replacement && !w.committed && m != replacedMember && m != joiningMember && x.mayCommit(w) {
		visit(step{stepCommit, uint8(m), 0}, func(after *modelState) string {
			after.committed = true
			x.learn(after, m, 2)
			return ""
		})
	}
	for view := member.view + 1; int(view) < len(modelViews); view++ {
		if x.mayLearn(w, m, view) {
			visit(step{stepLearn, uint8(m), view}, func(after *modelState) string { x.learn(after, m, view); return "" })
		}
	}
	for giver := range w.members {
		if giver != m && x.mayCopy(w, m, giver) {
			visit(step{stepCopy, uint8(m), uint8(giver)}, func(after *modelState) string { x.copyFrom(after, m, giver); return "" })
		}
	}
}

// mayCommit reports whether the members that stay can commit the next view: no member accepts one without itself.
func (x *transitions) mayCommit(w *modelState) bool {
	for m := range w.members {
		if inView(1, m) && m != replacedMember && (!w.members[m].ready() || w.members[m].view != 1) {
			return false
		}
	}
	return true
}

// mayLearn reports whether a member can learn a view from another one. Those that committed it learn it in any case.
func (x *transitions) mayLearn(w *modelState, m int, view uint8) bool {
	if view == 2 && w.committed && w.members[m].view == 1 && inView(1, m) && m != replacedMember {
		return true
	}
	for other := range w.members {
		if other != m && w.members[other].view == view {
			return true
		}
	}
	return false
}

// mayCopy reports whether a member that is rebuilt gets a copy from another one now. It waits until each round is over that
// may have counted an answer of its lost disk. A round begins with its first call: its proposer may have been frozen.
func (x *transitions) mayCopy(w *modelState, m, giver int) bool {
	member, other := &w.members[m], &w.members[giver]
	if member.ready() || member.copied.has(giver) || !inView(member.view, m) || !inView(member.view, giver) || !other.ready() {
		return false
	}
	for p := range w.proposers {
		if state := &w.proposers[p]; state.called != 0 && state.diskLost.has(m) && !x.protocol.omitted.copiesDuringOpenRounds {
			return false
		}
	}
	return other.view <= member.view
}

func (x *transitions) copyFrom(w *modelState, m, giver int) {
	member, other := &w.members[m], &w.members[giver]
	if other.view < member.view && !x.protocol.omitted.copiesBeforeLearningView {
		x.learn(w, giver, member.view)
	}
	member.copied = member.copied.with(giver)
	member.copies[giver] = other.stored
	needed := rebuild.SnapshotsNeeded(modelViews[member.view], uint64(member.absences))
	if x.protocol.omitted.rebuildsFromOneCopy {
		needed = 1
	}
	if member.copied.count() < needed {
		return
	}
	var copies []storedTexts
	for one, stored := range member.copies {
		if member.copied.has(one) {
			copies = append(copies, stored)
		}
	}
	member.stored = x.protocol.merge(copies)
	member.complete, member.membership = true, member.absences
	member.copied, member.copies = 0, [modelMembers]storedTexts{}
}
