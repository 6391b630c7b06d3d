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
	stepCommit                      // the next view is settled; one member knows of it
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
	names := [...]string{"begin", "call", "call, answer lost", "call, learns meanwhile", "call, learns and copies meanwhile", "time-out", "restart", "lose disk", "settle", "learn view", "copy", "late request"}
	return fmt.Sprintf("%s %d %d", names[s.kind], s.a, s.b)
}

// budget bounds what may happen in an exploration.
type budget struct {
	replacement bool
	once        bool  // the register is written once, as those of the views
	oneReads    bool  // the second proposer makes no change; it reads alone
	attempts    uint8 // of each operation; mostAttempts at most
	lostAnswers bool  // a member's answer may be lost
	losses      uint8
	losable     set // members that may lose their disks; all where it is empty
	restarts    uint8
	doubles     bool // each accept request may also arrive once more, after its round
	latePrepare bool // so may prepare requests that were not taken
}

// explorer makes the successors of states.
type explorer struct {
	rules  *rules
	budget budget
}

// learnInput is what learning a view depends on.
type learnInput struct {
	manager text
	self    int
	view    uint8
}

type learnOutput struct {
	manager  text
	view     uint8
	absences uint8
}

// initial is the state in which the founders know the first view, and the joining member knows it as well.
func (x *explorer) initial() world {
	var w world
	for member := range w.members {
		x.learn(&w, member, 1)
		w.members[member].complete = member != joiningMember
	}
	if x.budget.oneReads {
		w.proposers[1].operation = firstRead
	}
	return w
}

// learn lets the real manager of a member take a view.
func (x *explorer) learn(w *world, member int, view uint8) {
	m := &w.members[member]
	in := learnInput{m.manager, member, view}
	out, found := x.rules.learned[in]
	if !found {
		out = x.rules.learnReally(in)
		x.rules.learned[in] = out
	}
	m.manager, m.view, m.absences = out.manager, out.view, out.absences
}

func (r *rules) learnReally(in learnInput) learnOutput {
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
	if err := manager.Learn(exploredViews[in.view]); err != nil {
		panic(err)
	}
	table := store.Table(replicaset.TableName)
	return learnOutput{manager: r.internTable(table), view: uint8(manager.View().Version), absences: uint8(manager.Absences())}
}

// each calls visit with every step that is possible, the state after it, and what is wrong with it.
func (x *explorer) each(w *world, visit func(taken step, after *world, problem string)) {
	try := func(taken step, act func(after *world) string) {
		after := *w
		visit(taken, &after, act(&after))
	}
	for p := range w.proposers {
		x.eachOfProposer(w, p, try)
	}
	for m := range w.members {
		x.eachOfMember(w, m, try)
	}
	for i, late := range w.late {
		for m := range w.members {
			if late.to.has(m) {
				try(step{stepLateRequest, uint8(i), uint8(m)}, func(after *world) string { return x.arrive(after, i, m) })
			}
		}
	}
}

type tryStep func(taken step, act func(after *world) string)

func (x *explorer) eachOfProposer(w *world, p int, try tryStep) {
	pr := &w.proposers[p]
	home := proposerHome(p)
	if pr.phase == resting {
		if pr.operation < firstRead+readsEach && w.members[home].view > 0 {
			try(step{stepBegin, uint8(p), 0}, func(after *world) string { x.begin(after, p); return "" })
		}
		return
	}
	if pr.called != 0 {
		try(step{stepTimeout, uint8(p), 0}, func(after *world) string { return x.nextAttempt(after, p, errAttemptsOver) })
	}
	if w.restarts < x.budget.restarts {
		try(step{stepRestart, uint8(p), 0}, func(after *world) string {
			after.restarts++
			x.restart(after, p)
			return ""
		})
	}
	for m := range w.members {
		if !inView(pr.view, m) || pr.called.has(m) {
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
			try(step{kind, uint8(p), uint8(m)}, func(after *world) string { return x.call(after, p, m, kind) })
		}
	}
}

func (x *explorer) eachOfMember(w *world, m int, try tryStep) {
	member := &w.members[m]
	if w.losses < x.budget.losses && m != joiningMember && (x.budget.losable == 0 || x.budget.losable.has(m)) {
		try(step{stepLoseDisk, uint8(m), 0}, func(after *world) string { x.loseDisk(after, m); return "" })
	}
	if x.budget.replacement && !w.committed && m != replacedMember && m != joiningMember && x.mayCommit(w) {
		try(step{stepCommit, uint8(m), 0}, func(after *world) string {
			after.committed = true
			x.learn(after, m, 2)
			return ""
		})
	}
	for view := member.view + 1; int(view) < len(exploredViews); view++ {
		if x.hearsOf(w, m, view) {
			try(step{stepLearn, uint8(m), view}, func(after *world) string { x.learn(after, m, view); return "" })
		}
	}
	for giver := range w.members {
		if giver != m && x.mayCopy(w, m, giver) {
			try(step{stepCopy, uint8(m), uint8(giver)}, func(after *world) string { x.copyFrom(after, m, giver); return "" })
		}
	}
}

// mayCommit tells whether the members that stay can settle the next view: no member accepts one without itself.
func (x *explorer) mayCommit(w *world) bool {
	for m := range w.members {
		if inView(1, m) && m != replacedMember && (!w.members[m].ready() || w.members[m].view != 1) {
			return false
		}
	}
	return true
}

// hearsOf tells whether somebody can tell a member of a view. Those that settled it bring it to its end.
func (x *explorer) hearsOf(w *world, m int, view uint8) bool {
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

// mayCopy tells whether a member that is rebuilt gets a copy from another one now. It waits until each round is over that
// may have counted an answer of its lost disk. A round begins with its first call: its proposer may have been frozen.
func (x *explorer) mayCopy(w *world, m, giver int) bool {
	member, other := &w.members[m], &w.members[giver]
	if member.ready() || member.copied.has(giver) || !inView(member.view, m) || !inView(member.view, giver) || !other.ready() {
		return false
	}
	for p := range w.proposers {
		if pr := &w.proposers[p]; pr.called != 0 && pr.lost.has(m) && !x.rules.broken.copiesEarly {
			return false
		}
	}
	return other.view <= member.view
}

func (x *explorer) copyFrom(w *world, m, giver int) {
	member, other := &w.members[m], &w.members[giver]
	if other.view < member.view && !x.rules.broken.rebuiltOfOldView {
		x.learn(w, giver, member.view)
	}
	member.copied = member.copied.with(giver)
	member.copies[giver] = other.held
	needed := rebuild.CopiesNeeded(exploredViews[member.view], uint64(member.absences))
	if x.rules.broken.oneCopy {
		needed = 1
	}
	if member.copied.count() < needed {
		return
	}
	var copies []replicaState
	for one, held := range member.copies {
		if member.copied.has(one) {
			copies = append(copies, held)
		}
	}
	member.held = x.rules.merge(copies)
	member.complete, member.membership = true, member.absences
	member.copied, member.copies = 0, [exploredMembers]replicaState{}
}
