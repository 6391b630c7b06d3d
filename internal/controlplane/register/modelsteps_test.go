package register

import (
	"fmt"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// stepKind is the kind of a step.
type stepKind uint8

const (
	stepBegin       stepKind = iota // a proposer begins its next operation
	stepCall                        // a member receives the request of an open round, and its answer arrives
	stepCallLost                    // as stepCall, but the answer is lost
	stepCallLearns                  // as stepCall, and the member learns the next view while it stores its vote
	stepCallCopies                  // as stepCallLearns, and the member gives the joining member a copy without the vote
	stepTimeout                     // a round ends without a majority
	stepRestart                     // a proposer's process is killed and restarted with its disk
	stepLoseDisk                    // a member is restarted with an empty disk
	stepCommit                      // the next view is committed, and one member learns it
	stepLearn                       // a member learns a view
	stepCopy                        // a member that is being rebuilt gets a copy from another member
	stepLateRequest                 // a request of a round that has ended arrives
)

// step is one step of the model. The meaning of its numbers depends on its kind.
type step struct {
	kind          stepKind
	first, second uint8
}

func (s step) String() string {
	names := [...]string{"begin", "call", "call, answer lost", "call, learns view during vote", "call, learns view and copies during vote", "timeout", "restart", "lose disk", "commit view", "learn view", "copy", "late request"}
	return fmt.Sprintf("%s %d %d", names[s.kind], s.first, s.second)
}

// faultBudget limits the operations and faults of a model check.
type faultBudget struct {
	replacement         bool
	writeOnce           bool  // the register is written only once, like the registers of views
	secondProposerReads bool  // the second proposer only reads
	attempts            uint8 // of each operation, at most maxModelAttempts
	lostAnswers         bool  // answers of members may be lost
	diskLosses          uint8
	losableDisks        memberSet // members that may lose their disks; all members if empty
	restarts            uint8
	duplicates          bool // each accept request may arrive again after its round has ended
	latePrepare         bool // prepare requests may also arrive after their round has ended
}

// transitions generates the successors of states.
type transitions struct {
	protocol *protocolRules
	budget   faultBudget
}

// learnInput is everything that the result of learning a view depends on.
type learnInput struct {
	manager internedID
	self    int
	view    uint8
}

type learnOutput struct {
	manager  internedID
	view     uint8
	absences uint8
}

// initial returns the initial state. The founders and the joining member know the first view.
func (t *transitions) initial() modelState {
	var model modelState
	for member := range model.members {
		t.learn(&model, member, 1)
		model.members[member].rebuilt = member != joiningMember
	}
	if t.budget.secondProposerReads {
		model.proposers[1].operation = firstRead
	}
	return model
}

// learn makes a member learn a view, by the real replicaset.Manager.
func (t *transitions) learn(model *modelState, member int, view uint8) {
	m := &model.members[member]
	in := learnInput{m.manager, member, view}
	out, found := t.protocol.learned[in]
	if !found {
		out = t.protocol.learnView(in)
		t.protocol.learned[in] = out
	}
	m.manager, m.view, m.absences = out.manager, out.view, out.absences
}

func (r *protocolRules) learnView(in learnInput) learnOutput {
	store := storage.NewMemory()
	for key, value := range r.decodeManagerTable(in.manager) {
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

// eachStep calls visit for every possible step, with the state after it and a description of the violation, if any.
func (t *transitions) eachStep(model *modelState, visit func(taken step, after *modelState, problem string)) {
	visitStep := func(taken step, act func(after *modelState) string) {
		after := *model
		visit(taken, &after, act(&after))
	}
	for p := range model.proposers {
		t.eachProposerStep(model, p, visitStep)
	}
	for m := range model.members {
		t.eachMemberStep(model, m, visitStep)
	}
	for i, late := range model.lateRequests {
		for m := range model.members {
			if late.pendingMembers.has(m) {
				visitStep(step{stepLateRequest, uint8(i), uint8(m)}, func(after *modelState) string { return t.deliverLateRequest(after, i, m) })
			}
		}
	}
}

type stepVisitor func(taken step, act func(after *modelState) string)

func (t *transitions) eachProposerStep(model *modelState, p int, visit stepVisitor) {
	proposer := &model.proposers[p]
	home := hostingMember(p)
	if proposer.phase == idle {
		if proposer.operation < firstRead+readsPerProposer && model.members[home].view > 0 {
			visit(step{stepBegin, uint8(p), 0}, func(after *modelState) string { t.beginOperation(after, p); return "" })
		}
		return
	}
	if proposer.delivered != 0 {
		visit(step{stepTimeout, uint8(p), 0}, func(after *modelState) string { return t.nextAttempt(after, p, errNoAttemptLeft) })
	}
	if model.restarts < t.budget.restarts {
		visit(step{stepRestart, uint8(p), 0}, func(after *modelState) string {
			after.restarts++
			t.restartProposer(after, p)
			return ""
		})
	}
	for m := range model.members {
		if !inView(proposer.view, m) || proposer.delivered.has(m) {
			continue
		}
		kinds := []stepKind{stepCall}
		if m != home && t.budget.lostAnswers {
			kinds = append(kinds, stepCallLost)
		}
		if model.secondViewCommitted && model.members[m].view == 1 {
			kinds = append(kinds, stepCallLearns)
			if t.mayCopy(model, joiningMember, m) {
				kinds = append(kinds, stepCallCopies)
			}
		}
		for _, kind := range kinds {
			visit(step{kind, uint8(p), uint8(m)}, func(after *modelState) string { return t.deliverRequest(after, p, m, kind) })
		}
	}
}

func (t *transitions) eachMemberStep(model *modelState, m int, visit stepVisitor) {
	member := &model.members[m]
	if model.diskLosses < t.budget.diskLosses && m != joiningMember && (t.budget.losableDisks == 0 || t.budget.losableDisks.has(m)) {
		visit(step{stepLoseDisk, uint8(m), 0}, func(after *modelState) string { t.loseDisk(after, m); return "" })
	}
	if t.budget.replacement && !model.secondViewCommitted && m != replacedMember && m != joiningMember && t.mayCommit(model) {
		visit(step{stepCommit, uint8(m), 0}, func(after *modelState) string {
			after.secondViewCommitted = true
			t.learn(after, m, 2)
			return ""
		})
	}
	for view := member.view + 1; int(view) < len(modelViews); view++ {
		if t.mayLearn(model, m, view) {
			visit(step{stepLearn, uint8(m), view}, func(after *modelState) string { t.learn(after, m, view); return "" })
		}
	}
	for source := range model.members {
		if source != m && t.mayCopy(model, m, source) {
			visit(step{stepCopy, uint8(m), uint8(source)}, func(after *modelState) string { t.copyFrom(after, m, source); return "" })
		}
	}
}

// mayCommit reports whether the remaining members can commit the next view. The replaced member does not accept a view without
// itself.
func (t *transitions) mayCommit(model *modelState) bool {
	for m := range model.members {
		if inView(1, m) && m != replacedMember && (!model.members[m].ready() || model.members[m].view != 1) {
			return false
		}
	}
	return true
}

// mayLearn reports whether a member can learn a view from another member. The members that committed a view can always learn it.
func (t *transitions) mayLearn(model *modelState, m int, view uint8) bool {
	if view == 2 && model.secondViewCommitted && model.members[m].view == 1 && inView(1, m) && m != replacedMember {
		return true
	}
	for other := range model.members {
		if other != m && model.members[other].view == view {
			return true
		}
	}
	return false
}

// mayCopy reports whether a member that is being rebuilt can get a copy from another member now. It must wait until all rounds have
// ended that may have counted an answer from its lost disk. A round counts from its first call, since its proposer may have been
// frozen before.
func (t *transitions) mayCopy(model *modelState, m, source int) bool {
	member, other := &model.members[m], &model.members[source]
	if member.ready() || member.copySources.has(source) || !inView(member.view, m) || !inView(member.view, source) || !other.ready() {
		return false
	}
	for p := range model.proposers {
		if proposer := &model.proposers[p]; proposer.delivered != 0 && proposer.diskLost.has(m) && !t.protocol.omitted.copiesDuringOpenRounds {
			return false
		}
	}
	return other.view <= member.view
}

func (t *transitions) copyFrom(model *modelState, m, source int) {
	member, other := &model.members[m], &model.members[source]
	if other.view < member.view && !t.protocol.omitted.copiesBeforeLearningView {
		t.learn(model, source, member.view)
	}
	member.copySources = member.copySources.with(source)
	member.copies[source] = other.stored
	copiesNeeded := rebuild.SnapshotsNeeded(modelViews[member.view], uint64(member.absences))
	if t.protocol.omitted.rebuildsFromOneCopy {
		copiesNeeded = 1
	}
	if member.copySources.count() < copiesNeeded {
		return
	}
	var copies []storedIDs
	for from, stored := range member.copies {
		if member.copySources.has(from) {
			copies = append(copies, stored)
		}
	}
	member.stored = t.protocol.merge(copies)
	member.rebuilt, member.rebuiltAtAbsences = true, member.absences
	member.copySources, member.copies = 0, [modelMembers]storedIDs{}
}
