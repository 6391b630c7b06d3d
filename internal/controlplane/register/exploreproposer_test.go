package register

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// loseDisk starts a member again with an empty disk.
func (x *explorer) loseDisk(w *world, m int) {
	w.losses++
	w.members[m] = memberState{}
	for p := range w.proposers {
		if pr := &w.proposers[p]; pr.phase != resting {
			pr.lost = pr.lost.with(m)
		}
		if proposerHome(p) == m {
			x.restart(w, p)
		}
	}
}

// restart kills a proposer's process; what became of its operation is not known.
func (x *explorer) restart(w *world, p int) {
	pr := &w.proposers[p]
	operation := pr.operation
	if pr.phase != resting {
		x.closeRound(w, p)
		operation++
	}
	*pr = proposerState{operation: operation}
}

// begin begins a proposer's next operation.
func (x *explorer) begin(w *world, p int) {
	pr := &w.proposers[p]
	*pr = proposerState{operation: pr.operation, counter: pr.counter, floor: w.longest}
	x.beginAttempt(w, p)
}

func (x *explorer) beginAttempt(w *world, p int) {
	pr := &w.proposers[p]
	pr.counter++
	pr.proposalNumber, pr.view = pr.counter, w.members[proposerHome(p)].view
	pr.proposed, pr.value = 0, 0
	x.openRound(w, p, preparing)
}

func (x *explorer) openRound(w *world, p int, phase phase) {
	pr := &w.proposers[p]
	pr.phase, pr.called, pr.answered, pr.refused, pr.newer, pr.lost = phase, 0, 0, 0, 0, 0
	pr.grants, pr.granted = [3]text{}, 0
}

// closeRound ends a round; requests that nobody has taken stay under way.
func (x *explorer) closeRound(w *world, p int) {
	pr := &w.proposers[p]
	left := viewSet(pr.view) &^ pr.called
	if x.budget.doubles {
		left = viewSet(pr.view)
	}
	if left == 0 || pr.phase == preparing && !x.budget.latePrepare {
		return
	}
	for i := range w.late {
		if w.late[i].to == 0 {
			w.late[i] = lateRequest{uint8(p), pr.phase, pr.proposalNumber, pr.view, pr.proposed, left}
			return
		}
	}
}

// nextAttempt gives an attempt up.
func (x *explorer) nextAttempt(w *world, p int, err error) string {
	pr := &w.proposers[p]
	x.closeRound(w, p)
	var mismatch *viewError
	if errors.As(err, &mismatch) {
		x.learn(w, proposerHome(p), uint8(mismatch.view.Version))
	}
	pr.attempt++
	if pr.attempt == x.budget.attempts || w.members[proposerHome(p)].view == 0 {
		return x.fails(w, p, err)
	}
	x.beginAttempt(w, p)
	return ""
}

// call lets a member take the request of an open round.
func (x *explorer) call(w *world, p, m int, kind stepKind) string {
	pr, member := &w.proposers[p], &w.members[m]
	in := voteInput{
		held: member.held, view: member.view, ready: member.ready(), phase: pr.phase,
		proposer: uint8(p), proposalNumber: pr.proposalNumber, asked: pr.view, proposed: pr.proposed,
	}
	if kind == stepCallLearns || kind == stepCallCopies {
		in.learns = 2
		x.learn(w, m, 2)
	}
	if kind == stepCallCopies {
		x.copyFrom(w, joiningMember, m)
	}
	out := x.rules.vote(in)
	member.held = out.held
	if pr.called == 0 {
		pr.lost = 0
	}
	pr.called = pr.called.with(m)
	if kind == stepCallLost {
		return ""
	}
	return x.answered(w, p, m, out)
}

var errNoAnswer = errors.New("the member answered with an error")

// answered lets the real round count an answer.
func (x *explorer) answered(w *world, p, m int, out voteOutput) string {
	pr := &w.proposers[p]
	view := exploredViews[pr.view]
	counted := &round{view: view, granted: make([]reply, pr.granted), refused: int(pr.refused), newer: exploredViews[pr.newer]}
	next := answer{reply: reply{Outcome: out.outcome, View: exploredViews[out.view], Promised: ProposalNumber{Counter: uint64(out.promised)}}}
	if out.failed {
		next = answer{err: errNoAnswer}
	}
	counted.count(next)
	pr.answered = pr.answered.with(m)
	pr.refused, pr.newer = uint8(counted.refused), uint8(counted.newer.Version)
	pr.counter = max(pr.counter, uint8(counted.highest.Counter))
	if len(counted.granted) > int(pr.granted) {
		pr.grants[pr.granted] = out.accepted
		pr.granted++
		slices.Sort(pr.grants[:pr.granted])
	}
	switch open := len(view.Members) - pr.answered.count(); {
	case len(counted.granted) >= view.Quorum():
		return x.majority(w, p)
	case len(counted.granted)+open < view.Quorum():
		return x.nextAttempt(w, p, counted.failure())
	}
	return ""
}

// majority goes on after a round that a majority has granted.
func (x *explorer) majority(w *world, p int) string {
	pr := &w.proposers[p]
	if pr.phase == accepting {
		x.closeRound(w, p)
		return x.returns(w, p, pr.value)
	}
	made := x.rules.decide(decisionInput{
		grants: pr.grants, granted: pr.granted, sent: pr.sent, sents: pr.sents,
		proposer: uint8(p), operation: pr.operation, proposalNumber: pr.proposalNumber, view: pr.view,
	})
	x.closeRound(w, p)
	switch {
	case made.err != nil:
		return x.fails(w, p, made.err)
	case made.committed:
		return x.returns(w, p, made.value)
	case made.proposes:
		pr.sent[pr.sents] = made.proposed
		pr.sents++
	}
	pr.proposed, pr.value = made.proposed, made.value
	x.openRound(w, p, accepting)
	return ""
}

// arrive lets a member take a late request; nobody waits for the answer.
func (x *explorer) arrive(w *world, i, m int) string {
	late, member := &w.late[i], &w.members[m]
	out := x.rules.vote(voteInput{
		held: member.held, view: member.view, ready: member.ready(), phase: late.phase,
		proposer: late.proposer, proposalNumber: late.proposalNumber, asked: late.view, proposed: late.proposed,
	})
	member.held = out.held
	if late.to = late.to.without(m); late.to == 0 {
		*late = lateRequest{}
	}
	return ""
}

// returns ends an operation with a value, and checks it against all that was returned before.
func (x *explorer) returns(w *world, p int, value text) string {
	pr := &w.proposers[p]
	operation, floor := pr.operation, x.rules.texts[pr.floor]
	*pr = proposerState{operation: max(operation+1, firstRead), counter: pr.counter}
	got, longest := x.rules.texts[value], x.rules.texts[w.longest]
	if len(got) > len(longest) {
		w.longest = value
	}
	switch {
	case operation < firstRead && !x.rules.once && !strings.Contains(got, string(tokenOf(p, int(operation)))):
		return fmt.Sprintf("the change of proposer %d returns %q", p, got)
	case !strings.HasPrefix(got, longest) && !strings.HasPrefix(longest, got):
		return fmt.Sprintf("%q is returned after %q", got, longest)
	case !strings.HasPrefix(got, floor):
		return fmt.Sprintf("%q is returned to an operation that began after %q was", got, floor)
	}
	return x.checkTokens(w, got)
}

// checkTokens checks that a value has each token once at most, and none of a change that did not run.
func (x *explorer) checkTokens(w *world, value string) string {
	for p := range w.proposers {
		for operation := range firstRead {
			count := strings.Count(value, string(tokenOf(p, operation)))
			if count > 1 || count > 0 && operation == 0 && w.notRun.has(p) {
				return fmt.Sprintf("%q has change %d of proposer %d; of these changes %b did not run", value, operation, p, w.notRun)
			}
		}
	}
	return ""
}

// fails ends an operation without a value.
func (x *explorer) fails(w *world, p int, err error) string {
	pr := &w.proposers[p]
	if pr.operation == 0 && ranNot(pr, err) {
		w.notRun = w.notRun.with(p)
	}
	*pr = proposerState{operation: max(pr.operation+1, firstRead), counter: pr.counter}
	return x.checkTokens(w, x.rules.texts[w.longest])
}
